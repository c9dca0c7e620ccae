"""One voter of a replicated log: Raft with pre-vote, check-quorum, hand-over, snapshots. No I/O.

What it wants done it leaves in `out`, in order: what follows a `WriteRecord` happens once that is on the
disk. Clock (seconds, one process's own) and randomness are arguments.

Source: Ongaro 2014, chapters 3, 4, 6, 9.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from random import Random

from weldhatch.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Hello,
    InstallSnapshot,
    LogEntry,
    Message,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from weldhatch.consensus.persistent_state import PersistentState
from weldhatch.consensus.rejoin import RejoinGuard

ENTRIES_MOST = 64  # in one message
ANEW = -1  # in the place of a match: nothing here is of this lineage, send all of it
UNHEARD = 2.0  # election times without a majority's answer, after which a leader gives up
WARY = 20.0  # election times for which a voter that comes back hears others before it trusts its store
LATE = 0.5  # of an election's time: a tick that comes so late tells of this process, not of others


@dataclass(slots=True, frozen=True)
class Timing:
    """Spans in seconds. `drift`: by what part two clocks may run apart."""

    beat: float = 0.1
    election: float = 0.4  # nobody is elected so soon after the last word of a leader; at random to twice it
    drift: float = 0.02


# ---- what a voter wants done ---------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """A record of `PersistentState`; all that follows waits until it is on the disk."""

    word: tuple


@dataclass(slots=True, frozen=True)
class Send:
    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class EntryPersisted:
    """All entries up to `index` are on this disk: call `stored`."""

    index: int
    term: int


@dataclass(slots=True, frozen=True)
class Commit:
    """An entry that is decided: each index once and in order, on every voter the same."""

    index: int
    entry: LogEntry


@dataclass(slots=True, frozen=True)
class LoadSnapshot:
    """A snapshot takes the place of what was applied."""

    index: int
    state: str


Effect = WriteRecord | Send | EntryPersisted | Commit | LoadSnapshot


class NotLeaderError(Exception):
    """Only a leader takes commands; the text names the one that is known, or ''."""


class BusyError(Exception):
    """Not now: the text says why."""


class Raft:
    """`name` votes where it is among the voters of its log; otherwise it only listens."""

    def __init__(self, name: str, saved: PersistentState, times: Timing, random: Random, now: float) -> None:
        self.name, self.saved, self._times, self._random = name, saved, times, random
        self.out: list[Effect] = []
        self.role, self.leader = "follower", ""
        self.voters = saved.voters_now()
        self.commit = self.applied = saved.base
        # Guards a leader's lease: a voter that has just started may have forgotten that it heard one.
        self._heard = now  # when a leader was heard last
        self._since = now  # since when an election is waited for
        self._votes: set[str] = set()
        self._next: dict[str, int] = {}
        self._match: dict[str, int] = {}
        self._acked: dict[str, float] = {}  # by voter: when the newest append that it answered was sent
        self._sent: dict[str, float] = {}
        self.first = 0  # the index of our first entry as a leader
        self._handed = ""  # to whom leadership is being handed
        self._handed_at = 0.0
        self._ticked = self._judged_from = now
        self._vouched = RejoinGuard(now + WARY * times.election)
        if not saved.writes:
            self._vouched.trust()
        self.seen: dict[str, int] = {}  # by voter: the most records of its store that we were told of
        self._wait = self._patience()

    def _patience(self) -> float:
        return self._times.election * (1 + self._random.random())

    @property
    def lost(self) -> str:
        """Why it votes no more: its store is not what it was. It comes back under a new name."""
        return self.saved.lost

    @property
    def votes(self) -> bool:
        return self.name in self.voters and not self.lost

    def _majority(self, names: set[str] | list[str]) -> bool:
        return len(set(names) & self.voters.keys()) * 2 > len(self.voters)

    def _write(self, *word: object) -> None:
        self.saved.apply(*word)
        self.out.append(WriteRecord(word))

    # ---- time ------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Call every few hundredths of a second."""
        self._forgive(now)
        if self.role == "leader":
            handed_late = self._handed and now - self._handed_at > self._times.election
            # Check-quorum: it may have been replaced by now. What it promises ends by `leads_until` alone, so
            # it may wait for answers that are late: on a machine with too much to do, one that gives up at
            # once brings another election, which is more to do still.
            unheard = now - self._quorum_at(now) > UNHEARD * self._times.election
            if handed_late or (unheard and now >= self._judged_from):
                # One that handed over to a voter that did not stand in time may still be replaced by a late
                # word, so it does not lead on either.
                self._follow(self.saved.term, "", now)
                self._since = now
                return
            for voter in self.voters:
                if voter != self.name and now - self._sent.get(voter, -1e9) >= self._times.beat:
                    self._append(voter, now)
        elif self._may_stand(now) and now - self._since > self._wait and now >= self._judged_from:
            self._stand(now, pre=True)

    def _forgive(self, now: float) -> None:
        """Guards against a process that was held up: a leader's words, or answers to its own, may wait
        unread, and that the clock has run on meanwhile proves nothing. For a beat, and not without end."""
        late, self._ticked = now - self._ticked > LATE * self._times.election, now
        if late and now - self._judged_from > self._times.election:
            self._judged_from = now + self._times.beat

    def _quorum_at(self, now: float) -> float:
        """A majority has answered what was sent then, or later."""
        times = sorted(
            (now if name == self.name else self._acked.get(name, -1e9) for name in self.voters), reverse=True
        )
        return times[len(self.voters) // 2] if times else -1e9

    def leads_until(self, now: float) -> float:
        """No other can lead before then, by this clock; -inf where that is not known.

        Guards what a leader promises: a majority heard from it after a time that it knows, and none of them
        votes for another until an election's time after that.
        """
        if self.role != "leader" or self._handed or self.commit < self.first:
            return float("-inf")
        return self._quorum_at(now) + self._times.election * (1 - self._times.drift)

    # ---- elections -------------------------------------------------------------------------------------

    def _may_stand(self, now: float) -> bool:
        far = self._vouched.required_log(now, self.name, self.voters)
        return self.votes and far is not None and self._log >= far

    @property
    def _log(self) -> tuple[int, int]:
        return self.saved.term_at(self.saved.last), self.saved.last

    def _stand(self, now: float, pre: bool, handed: bool = False) -> None:
        if self._vouched.spent(now, self.saved.term + 1):
            self._follow(self._vouched.term, "", now)
        self._since, self._wait, self.leader = now, self._patience(), ""
        if pre:
            self.role = "asks"
        else:
            self.role = "candidate"
            self._write("vote", self.saved.lineage, self.saved.term + 1, self.name)
        self._votes = {self.name}
        saved = self.saved
        for voter in self.voters:
            if voter != self.name:
                self.out.append(
                    Send(
                        voter,
                        RequestVote(
                            saved.lineage,
                            saved.term + pre,
                            saved.last,
                            saved.term_at(saved.last),
                            pre,
                            handed,
                            self.seen.get(voter, 0),
                            saved.writes,
                        ),
                    )
                )
        self._count(now)

    def _count(self, now: float) -> None:
        if not self._majority(self._votes):
            return
        if self.role == "asks":
            self._stand(now, pre=False)
        elif self.role == "candidate":
            self._lead(now)

    def _lead(self, now: float) -> None:
        self.role, self.leader, self._handed = "leader", self.name, ""
        self._next = {voter: self.saved.last + 1 for voter in self.voters}
        self._match, self._sent = {}, {}
        self._acked = dict.fromkeys(self.voters, now)  # no promise: `leads_until` waits for our first entry
        self.first = self.saved.last + 1
        self._enter(LogEntry(self.saved.term, "first"))
        self.tick(now)

    def _follow(self, term: int, leader: str, now: float) -> None:
        if term > self.saved.term:
            self._write("vote", self.saved.lineage, term, "")
        self.role, self.leader = "follower", leader
        if leader:
            self._heard = self._since = now
            self._wait = self._patience()

    def _asked(self, now: float, name: str, ask: RequestVote) -> None:
        saved = self.saved
        self._vouched.heard(name, 0, (ask.last_term, ask.last_index))
        far = self._vouched.required_log(now, self.name, self.voters)
        current = far is not None and (ask.last_term, ask.last_index) >= max(self._log, far)
        # Guards a leader that lives, and what it has promised, against a voter that can't hear it.
        sticky = now - self._heard < self._times.election or self.role == "leader"
        if not self.votes or (sticky and not ask.handed):
            return
        if ask.pre:
            granted = current and ask.term > saved.term
            # Guards against two that never elect: one whose term is higher, as it stood once, and one that
            # alone has all entries and would never hear of that term.
            term = ask.term if granted else saved.term
            self.out.append(Send(name, RequestVoteResponse(saved.lineage, term, granted, True)))
            return
        if ask.term > saved.term:
            self._follow(ask.term, "", now)
        free = saved.vote == name or (not saved.vote and not self._vouched.spent(now, ask.term))
        granted = current and ask.term == saved.term and free
        if granted and not saved.vote:
            self._write("vote", saved.lineage, saved.term, name)
            self._since = now
        self.out.append(
            Send(name, RequestVoteResponse(saved.lineage, saved.term, granted, False, saved.writes))
        )

    # ---- hearing ---------------------------------------------------------------------------------------

    def hear(self, now: float, name: str, message: Message) -> None:
        """One message of another voter."""
        if message.lineage != self.saved.lineage:
            # A lineage ends with a recovery by hand: what those say that were left behind counts no more.
            if message.lineage < self.saved.lineage:
                self.out.append(Send(name, Hello(self.saved.lineage, 0)))
                return
            if not isinstance(message, InstallSnapshot | AppendEntries):
                # It decides no more, until the group that goes on takes it in.
                self._lose(f"{name} is of a recovery by hand that left this voter behind")
                return
            if isinstance(message, AppendEntries):
                self.out.append(
                    Send(
                        name, AppendEntriesResponse(message.lineage, message.term, False, ANEW, message.sent)
                    )
                )
                return
        # Of candidates and leaders, too. Guards against one that decides, counting its own store, and comes
        # back with an older one: nobody else would know what it had.
        if (
            isinstance(message, RequestVoteResponse | AppendEntriesResponse | RequestVote | AppendEntries)
            and message.stored
        ):
            self.seen[name] = max(self.seen.get(name, 0), message.stored)
        if isinstance(message, RequestVote | AppendEntries | Hello) and message.seen > self.saved.writes:
            # Before anything is taken from it: what fills the store up again would hide that it is.
            self._lose(
                f"{name} has been told of {message.seen} records of this store, it holds "
                f"{self.saved.writes}: it has lost its end, or is an older copy"
            )
        match message:
            case Hello(_, _, term, last_term, last_index, asks):
                self._vouched.heard(name, term, (last_term, last_index))
                if asks:
                    self._greet(name, False)
            case RequestVote():
                self._asked(now, name, message)
            case RequestVoteResponse(_, term, granted, pre):
                if term > self.saved.term + (pre and granted):
                    self._follow(term, "", now)
                elif (
                    granted
                    and self.role == ("asks" if pre else "candidate")
                    and term == self.saved.term + pre
                ):
                    self._votes.add(name)
                    self._count(now)
            case AppendEntries():
                self._told(now, name, message)
            case AppendEntriesResponse():
                self._answered(now, name, message)
            case InstallSnapshot():
                self._installed(now, name, message)
            case TimeoutNow(_, term):
                if term == self.saved.term and self._may_stand(now) and self.role == "follower":
                    self._stand(now, pre=False, handed=True)

    def _lose(self, why: str) -> None:
        if not self.lost:
            self._write("lost", why)
            self.role, self.leader = "follower", ""

    def greet(self, name: str) -> None:
        """A link is up: tell the other side what we know of its store."""
        self._greet(name, self._vouched.waits)

    def _greet(self, name: str, asks: bool) -> None:
        self.out.append(
            Send(name, Hello(self.saved.lineage, self.seen.get(name, 0), self.saved.term, *self._log, asks))
        )

    def _told(self, now: float, name: str, told: AppendEntries) -> None:
        saved = self.saved
        if told.term < saved.term:
            self.out.append(Send(name, AppendEntriesResponse(saved.lineage, saved.term, False, 0, told.sent)))
            return
        self._follow(told.term, name, now)
        at, match = told.prev_index, told.prev_index
        if at > saved.base and saved.term_at(at) != told.prev_term:
            hint = min(saved.last, at - 1)
            self.out.append(
                Send(name, AppendEntriesResponse(saved.lineage, saved.term, False, hint, told.sent))
            )
            return
        for entry in told.entries:
            match += 1
            if match <= saved.base:
                continue  # behind our snapshot: decided long ago
            if saved.term_at(match) != entry.term:
                self._write("entry", match, entry.term, entry.kind, entry.data)
                self.voters = saved.voters_now()
        self.out.append(
            Send(name, AppendEntriesResponse(saved.lineage, saved.term, True, match, told.sent, saved.writes))
        )
        self._decided(min(told.commit, match))

    def _answered(self, now: float, name: str, told: AppendEntriesResponse) -> None:
        if told.term > self.saved.term:
            self._follow(told.term, "", now)
            return
        if self.role != "leader" or told.term != self.saved.term:
            return
        self._acked[name] = max(self._acked.get(name, -1e9), told.sent)
        if not told.ok:
            self._next[name] = (
                0 if told.match == ANEW else max(1, min(told.match + 1, self._next.get(name, 1)))
            )
            self._append(name, now)
            return
        if told.match > self._match.get(name, 0):
            self._match[name] = told.match
            self._next[name] = max(self._next.get(name, 1), told.match + 1)
            self._advance()
        if self._next.get(name, 1) <= self.saved.last:
            self._append(name, now)
        if self._handed == name and self._match.get(name, 0) == self.saved.last:
            self.out.append(Send(name, TimeoutNow(self.saved.lineage, self.saved.term)))

    def _installed(self, now: float, name: str, told: InstallSnapshot) -> None:
        saved, behind = self.saved, told.lineage > self.saved.lineage
        if not behind:
            if told.term < saved.term:
                return
            self._follow(told.term, name, now)
            if told.index <= self.commit:
                self.out.append(
                    Send(
                        name,
                        AppendEntriesResponse(
                            saved.lineage, saved.term, True, self.commit, told.sent, saved.writes
                        ),
                    )
                )
                return
        else:
            self.role, self.leader, self._heard, self._since = "follower", name, now, now
        self._write("snapshot", told.lineage, told.index, told.index_term, told.voters, told.state)
        if told.term > saved.term:
            self._write("vote", told.lineage, told.term, "")
        if behind:
            self._vouched.trust()
        if behind and saved.lost:
            self._write("lost", "")  # what it may have voted in the lineage before is void
        self.voters = saved.voters_now()
        self.commit = self.applied = told.index
        self.out.append(LoadSnapshot(told.index, told.state))
        self.out.append(
            Send(
                name,
                AppendEntriesResponse(saved.lineage, saved.term, True, told.index, told.sent, saved.writes),
            )
        )

    # ---- the leader's log ------------------------------------------------------------------------------

    def propose(self, now: float, data: str, kind: str = "command") -> int:
        """Enter one command; its index. It is decided once `Commit` says so.

        Raises NotLeaderError, BusyError.
        """
        if self.role != "leader":
            raise NotLeaderError(self.leader)
        if self._handed:
            raise BusyError(f"leadership is being handed to {self._handed}")
        index = self._enter(LogEntry(self.saved.term, kind, data))
        for voter in self.voters:
            if voter != self.name:
                self._append(voter, now)
        return index

    def change_voters(self, now: float, voters: dict[str, str]) -> int:
        """One voter more, or one less. Raises NotLeaderError, BusyError, ValueError."""
        if self.role != "leader":
            raise NotLeaderError(self.leader)
        if len(voters.keys() ^ self.voters.keys()) > 1:
            raise ValueError("voters come and go one at a time: any two majorities have to overlap")
        if not voters:
            raise ValueError("the last voter can't go")
        # Guards against two leaders that each change the voters and never hear of the other's change.
        if self.commit < self.first or any(
            entry.kind == "voters" for entry in self.saved.entries[self.commit - self.saved.base :]
        ):
            raise BusyError("the change before it is not decided yet")
        index = self.propose(now, json.dumps(voters, sort_keys=True), "voters")
        for voter in voters:
            self._acked.setdefault(voter, now)  # a new one gets an election's time to answer
        return index

    def hand_over(self, now: float, name: str) -> None:
        """Let another voter lead. It steps down after an election's time at the latest.

        Raises NotLeaderError, ValueError.
        """
        if self.role != "leader":
            raise NotLeaderError(self.leader)
        if name == self.name or name not in self.voters:
            raise ValueError(f"{name!r} is no other voter")
        self._handed, self._handed_at = name, now
        if self._match.get(name, 0) == self.saved.last:
            self.out.append(Send(name, TimeoutNow(self.saved.lineage, self.saved.term)))
        else:
            self._append(name, now)

    def recover(self, now: float, address: str) -> None:
        """The majority is lost for good: this voter alone goes on, as a new lineage."""
        saved = self.saved
        self._write("vote", saved.lineage + 1, saved.term + 1, self.name)
        self._write("lost", "")
        self._vouched.trust()
        self.commit = max(self.commit, saved.base)
        self._write("entry", saved.last + 1, saved.term, "voters", json.dumps({self.name: address}))
        self.voters = saved.voters_now()
        self._lead(now)

    def begin(self, voters: dict[str, str]) -> None:
        """The first voters of a new group, the same on each of them: the log's base."""
        self._write("snapshot", 0, 0, 0, json.dumps(voters, sort_keys=True), "")
        self.voters = self.saved.voters_now()

    def _enter(self, entry: LogEntry) -> int:
        index = self.saved.last + 1
        self._write("entry", index, entry.term, entry.kind, entry.data)
        self.voters = self.saved.voters_now()
        self.out.append(EntryPersisted(index, entry.term))
        return index

    def stored(self, done: EntryPersisted) -> None:
        """Our own disk counts as one of the majority, once it holds the entry."""
        if self.role == "leader" and self.saved.term_at(done.index) == done.term:
            self._match[self.name] = max(self._match.get(self.name, 0), done.index)
            self._advance()

    def _append(self, voter: str, now: float) -> None:
        saved, self._sent[voter] = self.saved, now
        at = self._next.setdefault(voter, saved.last + 1)
        if at <= saved.base and (saved.base or not at):
            self.out.append(
                Send(
                    voter,
                    InstallSnapshot(
                        saved.lineage, saved.term, saved.base, saved.base_term, saved.voters, saved.state, now
                    ),
                )
            )
            self._next[voter] = saved.base + 1
            return
        entries = tuple(saved.entries[at - saved.base - 1 : at - saved.base - 1 + ENTRIES_MOST])
        self.out.append(
            Send(
                voter,
                AppendEntries(
                    saved.lineage,
                    saved.term,
                    at - 1,
                    max(0, saved.term_at(at - 1)),
                    entries,
                    self.commit,
                    now,
                    self.seen.get(voter, 0),
                    saved.writes,
                ),
            )
        )
        self._next[voter] = at + len(entries)

    def _advance(self) -> None:
        """What a majority holds, of our own term, is decided; and with it all before."""
        held = sorted((self._match.get(name, 0) for name in self.voters), reverse=True)
        index = held[len(held) // 2]
        if index > self.commit and self.saved.term_at(index) == self.saved.term:
            self._decided(index)
            if self.name not in self.voters:  # it was removed, and that is decided now
                self._follow(self.saved.term, "", self._heard)

    def _decided(self, index: int) -> None:
        self.commit = max(self.commit, index)
        while self.applied < self.commit:
            self.applied += 1
            self.out.append(Commit(self.applied, self.saved.entries[self.applied - self.saved.base - 1]))

    def snapshot(self, state: str, index: int) -> None:
        """The state after all up to `index`: the log before it is not needed any more."""
        saved = self.saved
        if saved.base < index <= self.applied:
            voters = saved.voters
            for entry in saved.entries[: index - saved.base]:
                voters = entry.data if entry.kind == "voters" else voters
            self._write("snapshot", saved.lineage, index, saved.term_at(index), voters, state)
