"""One process of a group as a whole: its voter, the leader's part where it leads, its holder. Pure.

What is to be done outside leaves in `effects`, in order. What follows a `WriteRecords` in the voter's order
waits here until `records_written` says that it is on the disk.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from random import Random

from weldhatch.consensus import messages, raft
from weldhatch.consensus.persistent_state import PersistentState
from weldhatch.coordination.effects import (
    CommandCompleted,
    ConnectVoters,
    Effect,
    LogEvent,
    QuotaReceived,
    SaveState,
    Send,
    WriteRecords,
)
from weldhatch.coordination.leader import Leader, LeaseTiming
from weldhatch.coordination.lease_holder import LeaseHolder, LeaseStatus
from weldhatch.coordination.messages import (
    CommandRequest,
    CommandResult,
    GroupMessage,
    LeaseRequest,
    LeaseResponse,
)
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.coordination.zone_leader import ZoneLeader
from weldhatch.scheduling.types import Settings
from weldhatch.zones.failover_rules import FailoverTiming

SNAPSHOT_EVERY = 400  # entries
JOIN_AGAIN_S = 0.5
BACKLOG_MOST = 2000  # effects that wait for a disk; with more, the voter is silent until it takes records
TOLD = (
    "number",
    "machine",
    "state",
    "why",
    "by",
    "place",
    "phase",
    "step",
    "witnesses",
    "shed",
    "tenants",
    "inside",
    "flaps",
    "held",
)  # of a command, in the log


class CoordinationNode:
    """Feed it time and words; carry out what it leaves in `out`. Nothing here waits."""

    def __init__(
        self,
        name: str,
        epoch: int,
        token: str,
        spans: LeaseTiming,
        read: Callable[[dict], Settings],
        fits: Callable[[Settings], str],
        first: dict,
        random: Random,
        now: float,
        saved: PersistentState | None,
        begin: dict[str, str] | None = None,
        zones: FailoverTiming | None = None,
    ) -> None:
        """`saved`: a voter's log, None for one that never votes; `begin`: the first voters of a new group;
        `first`: the settings that are proposed where a group has none yet; `zones`: where the group leaves
        zones that fail, how long it takes its time."""
        self.name, self.spans, self._read, self._first = name, spans, read, first
        self._epoch, self._token = epoch, token
        self.lease_holder = LeaseHolder(name, epoch, token, spans, read, fits)
        self.state_machine = StateMachine()  # as the voter here has it
        self.raft: raft.Raft | None = None
        self.coordinator: Leader | None = None
        self._zone_times, self.zoning = zones, None  # the leader's, while it leads
        self.observe_zones: Callable[[float], str] = (
            lambda now: ""
        )  # what is told of the zones with each question
        self.effects: list[Effect] = []
        self.leader = ""
        self._queue: deque[raft.Effect] = deque()
        self._writing = False
        self._own: deque[GroupMessage] = deque()  # what it says to itself
        self._asked: dict[str, str] = {}  # commands in the log, by id: who is to hear the result
        self._voting: dict[int, tuple[str, str]] = {}  # changes of the voters, by index: id and who asked
        self._joining: dict[tuple, float] = {}
        self._given: dict[str, tuple[str, float]] = {}  # commands given here, and when they were said last
        self._footing, self._last_ask = LeaseStatus.EXPIRED, float("-inf")
        self._reaching: dict[str, str] = {}
        self.reached: set[str] = set()  # voters that this process can say something to
        if saved is not None:
            times = raft.Timing(spans.beat, spans.election, spans.drift)
            self.raft = raft.Raft(name, saved, times, random, now)
            if begin is not None:
                self.raft.begin(begin)
            if saved.state:
                self.state_machine.load(saved.state)
            self._carry(now)

    @property
    def is_leader(self) -> bool:
        return self.raft is not None and self.raft.role == "leader"

    # ---- time ------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Call every few hundredths of a second."""
        if self.raft is not None and len(self._queue) < BACKLOG_MOST:
            self.raft.tick(now)
            self._carry(now)
            self._lead(now)
        if now - self._last_ask >= self.spans.ask:
            self.request_lease(now)
        for id, (text, said) in list(self._given.items()):
            if now - said >= 2 * self.spans.ask:
                self._give(now, id, text)
        self._look(now)
        self._settle(now)

    def _look(self, now: float) -> None:
        """Send once that the footing has changed."""
        footing = self.lease_holder.lease_status(now)
        if footing is not self._footing:
            self._event("footing", before=self._footing.value, now=footing.value, why=self.lease_holder.why)
            self._footing = footing

    def _event(self, name: str, **fields: object) -> None:
        self.effects.append(LogEvent(name, fields))

    def _lead(self, now: float) -> None:
        """The leader's own work, once it has just become one and while it is."""
        if not self.is_leader:
            if self.coordinator is not None:
                self.coordinator = self.zoning = None
                self._asked.clear()  # what was not decided yet may never be: its senders say it again
                self._voting.clear()
                self._event("leads_no_more", term=self.raft.saved.term, leader=self.raft.leader)
            return
        if self.coordinator is None:
            self.coordinator = Leader(self.spans, now, self._read)
            if self._zone_times is not None:
                self.zoning = ZoneLeader(
                    now, self.name, self.raft.saved.term, self._zone_times, self.coordinator, self._read
                )
            self._event("leads", term=self.raft.saved.term)
        if now >= self.sure_until(now):
            return
        if not self.state_machine.number and self.state_machine.members:
            self._enter(
                now,
                {
                    "do": "propose",
                    "id": "first",
                    "base": 0,
                    "tree": self._first,
                    "why": "the settings of the first leader's file",
                    "by": self.name,
                },
            )
        for command in self.coordinator.todo(now, self.state_machine):
            id = f"{command['do']}-{command.get('number', command.get('rev'))}"
            self._enter(now, {**command, "id": id})
        for command in self.zoning.todo(now, self.state_machine) if self.zoning is not None else ():
            self._enter(now, command)

    def sure_until(self, now: float) -> float:
        """Until when a leader may grant leases and activate; -inf where it may not.

        Guards against a leader whose own state is not yet what leaders before it have decided, because its
        disk is slow: it would grant a lease on rules that others have moved on from.
        """
        behind = self.state_machine.index < self.raft.first
        return float("-inf") if behind else self.raft.leads_until(now)

    def _enter(self, now: float, command: dict, who: str = "") -> None:
        """One command into the log, once under its id."""
        id = command["id"]
        if id in self._asked:
            self._asked[id] = who or self._asked[id]
            return
        try:
            self.raft.propose(now, json.dumps(command, separators=(",", ":")))
        except (raft.NotLeaderError, raft.BusyError):
            return
        self._asked[id] = who
        self._carry(now)

    # ---- the voter -------------------------------------------------------------------------------------

    def _carry(self, now: float) -> None:
        """Carry the voter's effects out in order. What follows a record waits until it is on the disk.

        Guards against a vote or an answer that a restart would not remember.
        """
        self._fetch()
        while self._queue and not self._writing:
            words = []
            while self._queue and isinstance(self._queue[0], raft.WriteRecord):
                words.append(self._queue.popleft().word)
            if words:
                for _, lineage, term, name in (word for word in words if word[0] == "vote" and word[3]):
                    self._event("votes", lineage=lineage, term=term, for_=name)
                self._writing = True
                self.effects.append(WriteRecords(tuple(words)))
                return
            self._do(now, self._queue.popleft())
            self._fetch()

    def _fetch(self) -> None:
        self._queue += self.raft.out
        self.raft.out.clear()
        if self.name in self.raft.voters:  # those in its log count as soon as they stand there
            self._reach(dict(self.raft.voters))

    def _reach(self, voters: dict[str, str]) -> None:
        if voters != self._reaching:
            self._reaching = voters
            self.effects.append(ConnectVoters(voters))

    def records_written(self, now: float) -> None:
        """The `WriteRecords` that was out is on the disk."""
        self._writing = False
        self._carry(now)
        self._lead(now)
        self._settle(now)

    def _do(self, now: float, effect: raft.Effect) -> None:
        match effect:
            case raft.Send(to, message):
                self.effects.append(Send(to, message))
            case raft.EntryPersisted():
                self.raft.stored(effect)
            case raft.Commit(index, entry):
                self._decided(index, entry)
            case raft.LoadSnapshot(_, state):
                self.state_machine = StateMachine()
                if state:
                    self.state_machine.load(state)

    def _decided(self, index: int, entry: messages.LogEntry) -> None:
        data = entry.data if entry.kind == "command" else ""
        result = self.state_machine.apply(index, data)
        if entry.kind == "voters":
            voters = json.loads(entry.data)
            self._event("voters", voters=sorted(voters), index=index)
            if index in self._voting:
                id, who = self._voting.pop(index)
                self._tell(who, CommandResult(id, json.dumps({"ok": True, "voters": voters})))
        if data:
            command = json.loads(data)
            if who := self._asked.pop(command["id"], ""):
                self._tell(who, CommandResult(command["id"], json.dumps(result)))
            if command["do"] not in ("join", "leave"):
                told = {key: value for key, value in command.items() if key in TOLD}
                self._event(command["do"], index=index, **told, result=result.get("error", "ok"))
                for text in result.get("conflicts", ()):
                    self._event("conflict", text=text)
        if self.coordinator is not None:
            self.coordinator.decided(index, data)
            if self.is_leader:
                self._push(index, data)
        if index - self.raft.saved.base >= SNAPSHOT_EVERY:
            self.raft.snapshot(self.state_machine.state(), index)

    def _push(self, index: int, data: str) -> None:
        """News goes out at once, so that everybody asks at once and is known to hold it."""
        told = LeaseResponse(
            self.raft.saved.lineage,
            0.0,
            False,
            "",
            "",
            index - 1,
            (data,),
            "",
            self.state_machine.index,
            self.state_machine.digest,
            json.dumps(self.raft.voters),
        )
        for name in self.state_machine.members:
            self._tell(name, told)

    def _tell(self, name: str, word: GroupMessage) -> None:
        if name == self.name:
            self._own.append(word)
        elif name:
            self.effects.append(Send(name, word))

    def _settle(self, now: float) -> None:
        """Hear what it said to itself."""
        while self._own:
            self._hear(now, self.name, self._own.popleft())

    # ---- hearing ---------------------------------------------------------------------------------------

    def peer_up(self, now: float, name: str) -> None:
        """A voter can be reached (again)."""
        self.reached.add(name)
        if self.raft is not None:
            self.raft.greet(name)
            self._carry(now)
        self.request_lease(now)
        self._settle(now)

    def peer_down(self, name: str) -> None:
        self.reached.discard(name)

    def receive(self, now: float, name: str, word: messages.Message | GroupMessage) -> None:
        """One word of another process."""
        if isinstance(word, messages.Message):
            if self.raft is not None and len(self._queue) < BACKLOG_MOST:
                was = self.raft.lost
                self.raft.hear(now, name, word)
                if self.raft.lost and not was:
                    self._event("lost", why=self.raft.lost)
                self._carry(now)
                self._lead(now)
        else:
            self._hear(now, name, word)
        self._settle(now)

    def _hear(self, now: float, name: str, word: GroupMessage) -> None:
        match word:
            case LeaseRequest() if word.name == name:
                self._answer(now, name, word)
            case LeaseResponse():
                self._learned(now, name, word)
            case CommandRequest(id, command):
                self._submitted(now, name, id, command)
            case CommandResult(id, result):
                if self._given.pop(id, None) is not None:
                    self.effects.append(CommandCompleted(id, json.loads(result)))

    def _answer(self, now: float, name: str, ask: LeaseRequest) -> None:
        """A dispatcher asks; only a leader that is sure of it answers with a lease."""
        if self.coordinator is None or not self.is_leader:
            if self.raft is not None and self.raft.leader not in ("", self.name):
                self._tell(
                    name,
                    LeaseResponse(
                        self.raft.saved.lineage,
                        ask.sent,
                        False,
                        "",
                        self.raft.leader,
                        0,
                        (),
                        "",
                        0,
                        "",
                        json.dumps(self.raft.voters),
                    ),
                )
            return
        if ask.leaves:
            self._enter(
                now,
                {"do": "leave", "id": f"leave-{ask.name}-{ask.token}", "name": ask.name, "token": ask.token},
            )
            return
        until, shares = self.sure_until(now), ""
        told = self.coordinator.asked(now, self.state_machine, ask, self.raft.saved.lineage, until)
        if told.why.startswith("unknown"):
            key = ask.name, ask.epoch, ask.token
            if now - self._joining.get(key, float("-inf")) > JOIN_AGAIN_S:
                self._joining[key] = now
                self._enter(
                    now,
                    {
                        "do": "join",
                        "id": f"join-{ask.name}-{ask.epoch}-{ask.token}",
                        "name": ask.name,
                        "epoch": ask.epoch,
                        "token": ask.token,
                    },
                )
        if self.zoning is not None:
            self.zoning.hear(now, self.state_machine, ask)
            shares = self.zoning.shares(now, self.state_machine, ask) if told.granted else ""
        self._tell(
            name,
            LeaseResponse(
                told.lineage,
                told.sent,
                told.granted,
                told.why,
                "",
                told.base,
                told.commands,
                told.state,
                told.index,
                told.digest,
                json.dumps(self.raft.voters),
                shares,
            ),
        )
        self._lead(now)

    def _learned(self, now: float, name: str, told: LeaseResponse) -> None:
        if told.voters and self.name not in (voters := json.loads(told.voters)):
            self._reach(voters)  # also for one that votes no more, and has not heard that
        if told.leader:
            if told.leader != self.leader:
                self.leader = told.leader
                self.request_lease(now)
            return
        self.leader = name
        if told.shares:
            self.effects.append(QuotaReceived(told.shares, told.sent))
        before = self.lease_holder.rules
        if self.lease_holder.learned(now, told):
            self.effects.append(SaveState(self.lease_holder.lineage, self.lease_holder.state_machine.state()))
            self.request_lease(now)  # at once: whoever waits for this dispatcher hears that it holds it
            if (rules := self.lease_holder.rules) != before:
                self._event(
                    "acts_on", number=rules.number if rules else 0, prepared=rules.prepared if rules else 0
                )
        self._look(now)

    # ---- asking ----------------------------------------------------------------------------------------

    def request_lease(self, now: float, leaves: bool = False) -> None:
        """LeaseRequest the leader; where none is known, or it says nothing, every voter."""
        self._last_ask = now
        ask = self.lease_holder.ask(now, leaves, self.observe_zones(now))
        if self.is_leader:
            self._own.append(ask)
            return
        if self.raft is not None and self.raft.leader:
            self.leader = self.raft.leader
        if self.leader in self.reached and now - self.lease_holder.heard < 2 * self.spans.ask:
            self.effects.append(Send(self.leader, ask))
            return
        self.effects += [Send(name, ask) for name in sorted(self.reached)]

    def submit(self, now: float, id: str, command: dict) -> None:
        """Have one command decided: `CommandCompleted` brings its result.

        It is said again until then, or `forget_command`.
        """
        self._give(now, id, json.dumps({**command, "id": id}))
        self._settle(now)

    def forget_command(self, id: str) -> None:
        self._given.pop(id, None)

    def _give(self, now: float, id: str, text: str) -> None:
        self._given[id] = text, now
        if self.is_leader:
            self._submitted(now, self.name, id, text)
        elif self.leader in self.reached:
            self.effects.append(Send(self.leader, CommandRequest(id, text)))
        else:
            self.effects += [Send(name, CommandRequest(id, text)) for name in sorted(self.reached)]

    def _submitted(self, now: float, name: str, id: str, text: str) -> None:
        """A command of a dispatcher. Not a leader's to take: its sender says it again."""
        if not self.is_leader:
            return
        if id in self.state_machine.results:
            self._tell(name, CommandResult(id, json.dumps(self.state_machine.results[id])))
            return
        command = json.loads(text)
        match command["do"]:
            case "voters":
                self._change_voters(now, name, id, command)
            case "status":
                self._tell(name, CommandResult(id, json.dumps(self.leader_status(now))))
            case "zone_word":
                self._zone_word(now, name, command)
            case "hand":
                try:
                    self.raft.hand_over(now, command["to"])
                    self._tell(name, CommandResult(id, '{"ok": true}'))
                except (raft.NotLeaderError, ValueError) as fault:
                    self._tell(name, CommandResult(id, json.dumps({"error": "refused", "text": str(fault)})))
                self._carry(now)
            case _:
                self._enter(now, command, name)

    def _zone_word(self, now: float, name: str, told: dict) -> None:
        """An operator's word on a zone: weighed here, where the reports are, then decided by the group."""
        command = {"error": "off", "text": "zones: this group does not leave zones; see its file"}
        if self.zoning is not None:
            command = self.zoning.operator(now, self.state_machine, told)
        if "error" in command:
            self._tell(name, CommandResult(told["id"], json.dumps(command)))
        else:
            self._enter(now, command, name)

    def _change_voters(self, now: float, name: str, id: str, command: dict) -> None:
        if any(known == id for known, _ in self._voting.values()):
            return
        voters = {**self.raft.voters, **command.get("add", {})}
        voters = {one: at for one, at in voters.items() if one not in command.get("remove", [])}
        if voters == self.raft.voters:
            self._tell(name, CommandResult(id, json.dumps({"ok": True, "voters": voters})))
            return
        try:
            self._voting[self.raft.change_voters(now, voters)] = (id, name)
        except (raft.NotLeaderError, raft.BusyError, ValueError) as fault:
            self._tell(name, CommandResult(id, json.dumps({"error": "refused", "text": str(fault)})))
        self._carry(now)

    # ---- operators -------------------------------------------------------------------------------------

    def recover(self, now: float, address: str, by: str, why: str, unix: float) -> dict:
        """The majority of the voters is lost for good, an operator says: this one goes on alone."""
        if self.raft is None:
            return {"error": "refused", "text": "only a voter can be recovered: this process listens nowhere"}
        self.coordinator = None
        self._asked.clear()
        self.raft.recover(now, address)
        self._carry(now)
        self._lead(now)
        self._enter(
            now,
            {
                "do": "recovered",
                "id": f"recovered-{self.raft.saved.lineage}",
                "by": by,
                "why": why,
                "at": unix,
            },
        )
        self._event("recovered", by=by, why=why, lineage=self.raft.saved.lineage)
        return {"ok": True, "lineage": self.raft.saved.lineage}

    def leader_status(self, now: float) -> dict:
        """What only the leader knows: who holds what, and what is waited for."""
        coordinator = self.coordinator
        if coordinator is None:
            return {}
        members = {}
        for name, member in self.state_machine.members.items():
            life = coordinator.lives.get((name, member.epoch, member.token))
            members[name] = {
                "epoch": member.epoch,
                "index": life.index if life else 0,
                "granted_s": round(now - life.granted, 3) if life else None,
                "fault": life.fault if life else "",
            }
        try:
            waits = coordinator.waits_for(now, self.state_machine)
        except ValueError as fault:
            waits = {"": str(fault)}
        sure = self.sure_until(now) - now
        return {
            "members": members,
            "waits": waits,
            "index": self.state_machine.index,
            "zones": self.zoning.status(now, self.state_machine) if self.zoning is not None else None,
            "sure_s": round(max(0.0, sure), 3),
        }

    def status(self, now: float) -> dict:
        """What this process holds and may act on."""
        holder, voter = self.lease_holder, self.raft
        group = holder.state_machine
        return {
            "name": self.name,
            "epoch": self._epoch,
            "lineage": holder.lineage,
            "footing": holder.lease_status(now).value,
            "why": holder.why,
            "lease_s": round(max(0.0, holder.lease_ends - now), 3),
            "ground_s": round(max(0.0, holder.ground_ends - now), 3),
            "stated_s": self.spans.stated,
            "number": group.active.number if group.active else 0,
            "prepared": group.prepared.number if group.prepared else 0,
            "index": group.index,
            "digest": group.digest,
            "rev": group.rev,
            "leader": self.name if self.is_leader else (voter.leader if voter else "") or self.leader,
            "term": voter.saved.term if voter else 0,
            "role": voter.role if voter else "learner",
            "zones": {
                name: {"phase": one.phase.value, "step": one.step, "held": one.held}
                for name, one in group.zones.entries.items()
            },
            "lost": voter.lost if voter else "",
            "members": sorted(group.members),
            "narrowed": len(group.lists.entries),  # machines that somebody's list takes out for all
            "conflicts": [*holder.conflicts, *group.lists.conflicts],
            "recoveries": list(group.recoveries),
        }
