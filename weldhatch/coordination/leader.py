"""The leading voter's part: who holds what, who has a lease, and when a version comes into force. Pure.

A lease is a span of the holder's own clock from the moment it asked; here it is counted from the moment it
was granted, which is later, and stretched by the drift between clocks. A new leader knows of no grant that
the one before gave: to it, every member has one from the moment of its election.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from weldhatch.coordination import compatibility
from weldhatch.coordination.messages import LeaseRequest, LeaseResponse
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.scheduling.types import Settings

COMMANDS_MOST = 200  # that are sent as a difference; more, and the whole state goes


@dataclass(slots=True, frozen=True)
class LeaseTiming:
    """Seconds, all from the stated time, for longer than which no two act on rules that contradict."""

    stated: float = 2.0
    drift: float = 0.02

    @property
    def lease(self) -> float:
        """All rules may be acted on for so long after asking."""
        return 0.4 * self.stated

    @property
    def ground(self) -> float:
        """Safe work goes on for so long after asking."""
        return 0.8 * self.stated

    @property
    def ask(self) -> float:
        return 0.15 * self.stated

    @property
    def beat(self) -> float:
        return 0.075 * self.stated

    @property
    def election(self) -> float:
        return 0.2 * self.stated

    def held(self, span: float) -> float:
        """By the holder's clock."""
        return span * (1 - self.drift)

    def lapsed(self, span: float) -> float:
        """By the granter's clock."""
        return span * (1 + self.drift)


@dataclass(slots=True)
class Incarnation:
    """One life of a member, as far as this leader has heard of it."""

    granted: float
    index: int = 0
    number: int = 0  # the prepared version that it has looked at
    fault: str = ""


@dataclass(slots=True)
class Leader:
    """Made anew at each election, at `now`."""

    spans: LeaseTiming
    began: float
    read: Callable[[dict], Settings]  # a version's settings; ConfigError for what is none
    lives: dict[tuple[str, int, str], Incarnation] = field(default_factory=dict)
    log: dict[int, str] = field(default_factory=dict)  # the last commands by index
    _changes: dict[tuple[int, int], tuple[list[compatibility.Change], bool]] = field(default_factory=dict)

    # ---- granting --------------------------------------------------------------------------------------

    def decided(self, index: int, data: str) -> None:
        """A command has been decided: members that are a little behind get it from here."""
        self.log[index] = data
        self.log.pop(index - COMMANDS_MOST, None)

    def asked(
        self, now: float, group: StateMachine, ask: LeaseRequest, lineage: int, until: float
    ) -> LeaseResponse:
        """Answer one dispatcher. `until`: no other voter can lead before then (`Raft.leads_until`)."""
        why = self._refusal(now, group, ask, lineage, until)
        commands, state = self._news(group, ask, lineage)
        if not why or why.startswith("refuses"):
            life = self._life(ask)
            life.index, life.number, life.fault = ask.index, ask.number, ask.fault
            if not why:
                life.granted = now
        return LeaseResponse(
            lineage,
            ask.sent,
            not why,
            why,
            "",
            ask.index if not state else 0,
            commands,
            state,
            group.index,
            group.digest,
        )

    def _refusal(self, now: float, group: StateMachine, ask: LeaseRequest, lineage: int, until: float) -> str:
        known = group.members.get(ask.name)
        if ask.lineage > lineage:
            return "it is of a later recovery than we are"
        if known is None:
            return "unknown: it has not joined yet"
        if (known.epoch, known.token) != (ask.epoch, ask.token):
            if known.epoch > ask.epoch:
                return f"fenced: another process has come under the name {ask.name}, epoch {known.epoch}"
            return "unknown: a new life of it has not joined yet"
        if now >= until:
            return "the leader is not sure that it still leads"
        left_out = group.active is not None and ask.name in group.active.despite
        if ask.fault and (left_out or (group.prepared is not None and ask.number == group.prepared.number)):
            # Guards the group against one that goes on by the old rules: it has what it holds until then.
            return f"refuses version {ask.number}: {ask.fault}"
        return ""

    def _news(self, group: StateMachine, ask: LeaseRequest, lineage: int) -> tuple[tuple[str, ...], str]:
        if ask.lineage == lineage and ask.index == group.index and ask.digest == group.digest:
            return (), ""
        wanted = range(ask.index + 1, group.index + 1)
        if ask.lineage == lineage and ask.index and len(wanted) and all(n in self.log for n in wanted):
            return tuple(self.log[n] for n in wanted), ""
        return (), group.state()

    def _life(self, ask: LeaseRequest) -> Incarnation:
        key = ask.name, ask.epoch, ask.token
        if key not in self.lives:
            self.lives[key] = Incarnation(self.began)
        return self.lives[key]

    # ---- what an activation waits for ------------------------------------------------------------------

    def waits(
        self, now: float, group: StateMachine, index: int, span: float, number: int = 0
    ) -> dict[str, str]:
        """Who does not hold the state at `index` yet and may have a lease of that span: name to reason.

        `number`: a version that each has to have looked at, too.
        """
        out = {}
        lapsed = self.spans.lapsed(span)
        for name, member in group.members.items():
            life = self.lives.get((name, member.epoch, member.token))
            granted = life.granted if life is not None else self.began
            if life is not None and life.index >= index and (not number or life.number == number):
                if not life.fault:
                    continue
                why = f"refuses: {life.fault}"
            else:
                why = "has not said that it holds it"
            if now - granted <= lapsed:
                out[name] = f"{why}; its lease ends in {lapsed - (now - granted):.2f} s"
            elif life is not None and life.fault and number and name not in self._despite(group):
                out[name] = why
        for (name, epoch, token), life in self.lives.items():
            member = group.members.get(name)
            if (
                (member is None or (member.epoch, member.token) != (epoch, token))
                and life.index < index
                and now - life.granted <= lapsed
            ):
                left = lapsed - (now - life.granted)
                out[name] = f"an earlier life of it may have a lease for {left:.2f} s"
        return out

    @staticmethod
    def _despite(group: StateMachine) -> list[str]:
        return group.prepared.despite if group.prepared is not None else []

    def changes(self, group: StateMachine) -> tuple[list[compatibility.Change], bool]:
        """What the prepared version changes, and whether safe work is touched.

        Raises IncompatibleChangeError, ConfigError.
        """
        prepared = group.prepared
        if group.active is None:
            return [], True
        key = group.active.number, prepared.number
        if key not in self._changes:
            old, new = self.read(group.active.tree), self.read(prepared.tree)
            found = compatibility.find_changes(old, new)
            self._changes = {key: (found, compatibility.affects_safe_work(found, old, new))}
        return self._changes[key]

    def waits_for(self, now: float, group: StateMachine) -> dict[str, str]:
        """What the prepared version waits for; nothing where none is, or it may come into force."""
        if group.prepared is None:
            return {}
        found, safe = self.changes(group)
        # What tightens is acted on by whoever hears of it: then only the answers are waited for.
        wide = group.active is None or compatibility.needs_all_members(found)
        span = self.spans.ground if safe and wide else self.spans.lease
        return self.waits(now, group, group.prepared_at, span, group.prepared.number)

    def todo(self, now: float, group: StateMachine) -> list[dict]:
        """Commands that are due now."""
        out: list[dict] = []
        if group.prepared is not None:
            number, faults = group.prepared.number, self._faults(group)
            try:
                if faults:
                    name, fault = next(iter(faults.items()))
                    out.append({"do": "drop", "number": number, "why": f"{name} refuses: {fault}"})
                elif not self.waits_for(now, group):
                    out.append({"do": "activate", "number": number})
            except ValueError as fault:  # IncompatibleChangeError, or no settings at all
                out.append({"do": "drop", "number": number, "why": str(fault)})
        if group.unsettled and not self.waits(now, group, self._list_index(group), self.spans.ground):
            out.append({"do": "settled", "rev": group.unsettled})
        return out

    def _list_index(self, group: StateMachine) -> int:
        """From which index on a member holds the newest word: that of the last word, or later."""
        for index in sorted(self.log, reverse=True):
            if '"do":"word"' in self.log[index].replace(" ", ""):
                return index
        return group.index

    def _faults(self, group: StateMachine) -> dict[str, str]:
        """Members that can't act on the prepared version, but for those that may refuse it."""
        return {
            name: life.fault
            for (name, epoch, token), life in self.lives.items()
            if life.fault
            and life.number == group.prepared.number
            and name not in group.prepared.despite
            and (member := group.members.get(name)) is not None
            and (member.epoch, member.token) == (epoch, token)
        }
