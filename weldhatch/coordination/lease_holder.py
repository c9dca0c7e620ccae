"""A dispatcher's part: what it holds, until when, and what it may act on at this moment. Pure.

With a lease it acts on the version in force, narrowed by one that is being prepared. Without one it goes on
by the common ground: safe work, on machines that nothing it knows excludes. Once that is not sure either,
nothing new starts; what stands is looked after all the same.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from weldhatch.coordination import compatibility
from weldhatch.coordination.drain_reports import stricter
from weldhatch.coordination.leader import LeaseTiming
from weldhatch.coordination.messages import LeaseRequest, LeaseResponse
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.scheduling.types import Effect, RequestClass, Settings


class LeaseStatus(Enum):
    """How much of the rules a dispatcher is sure of."""

    VALID = "lease"
    GRACE = "common ground"
    EXPIRED = "nothing new"


@dataclass(slots=True, frozen=True)
class ActiveRules:
    """What is acted on: the number in force, the one being prepared (0: none), and the stricter of both."""

    number: int
    prepared: int
    narrow: compatibility.RestrictedSettings


class LeaseHolder:
    """One dispatcher. `read`: a version's settings with this dispatcher's own keys; ConfigError for none."""

    def __init__(
        self,
        name: str,
        epoch: int,
        token: str,
        spans: LeaseTiming,
        read: Callable[[dict], Settings],
        fits: Callable[[Settings], str] = lambda settings: "",
    ) -> None:
        """`fits`: '' where this dispatcher can act on such settings, or the key and the reason."""
        self.name, self._epoch, self._token, self.spans = name, epoch, token, spans
        self._read, self._fits = read, fits
        self.state_machine, self.lineage = StateMachine(), 0
        self.rules: ActiveRules | None = None
        self.lease_ends = self.ground_ends = float("-inf")
        self.why = "nobody has been heard"  # why there is no lease
        self.conflicts: list[str] = []  # two states under one index: kept for operators
        self.heard = float("-inf")
        self._number, self._fault = 0, ""

    # ---- learning --------------------------------------------------------------------------------------

    def ask(self, now: float, leaves: bool = False, sight: str = "") -> LeaseRequest:
        return LeaseRequest(
            self.lineage,
            self.name,
            self._epoch,
            self._token,
            now,
            self.state_machine.index,
            self.state_machine.digest if self.state_machine.index else "",
            self._number,
            self._fault,
            leaves,
            sight,
        )

    def learned(self, now: float, told: LeaseResponse) -> bool:
        """Take an answer; whether what may be acted on has changed."""
        if told.leader or told.lineage < self.lineage:
            return False
        self.heard = now
        changed = self._take(told)
        if told.granted and self.state_machine.index >= told.index and not self._behind(told):
            # Counted from when it was asked, by our own clock: never longer than the granter thinks.
            self.lease_ends = max(self.lease_ends, told.sent + self.spans.held(self.spans.lease))
            self.ground_ends = max(self.ground_ends, told.sent + self.spans.held(self.spans.ground))
            self.why = ""
        elif told.why:
            self.why = told.why
            if told.why.startswith("fenced"):
                self.lease_ends = self.ground_ends = float("-inf")
        return changed

    def _behind(self, told: LeaseResponse) -> bool:
        """Guards against going on with a state that is not the group's."""
        if self.state_machine.index == told.index and self.state_machine.digest != told.digest:
            text = f"index {told.index}: {self.state_machine.digest} here, {told.digest} at the leader"
            if text not in self.conflicts:
                self.conflicts.append(text)
            self.state_machine.index = 0  # the next answer brings the whole state
            return True
        return False

    def _take(self, told: LeaseResponse) -> bool:
        group, before = self.state_machine, (self.lineage, self.state_machine.index)
        if told.state:
            if told.lineage > self.lineage or told.index >= group.index:  # newer never gives way to older
                group.load(told.state)
        elif told.lineage == self.lineage and told.base <= group.index:
            for n, command in enumerate(told.commands, told.base + 1):
                if n > group.index:
                    group.apply(n, command)
        self.lineage = max(self.lineage, told.lineage)
        if (self.lineage, group.index) == before:
            return False
        self._settle()
        return True

    def _settle(self) -> None:
        """What is acted on, from what is held."""
        group, fault = self.state_machine, ""
        if group.prepared is not None:
            try:
                new = self._read(group.prepared.tree)
                if group.active is not None:
                    compatibility.find_changes(self._read(group.active.tree), new)
                fault = self._fits(new)
            except ValueError as unfit:  # ConfigError names its key, and so does IncompatibleChangeError
                fault = str(unfit)
            self._number, self._fault = group.prepared.number, fault
        elif group.active is not None and self._fault and self._number == group.active.number:
            pass  # it came into force despite our refusal: nothing is acted on
        else:
            self._fault = ""
        self.rules = self._narrowed()

    def _narrowed(self) -> ActiveRules | None:
        group = self.state_machine
        if group.active is None or (self._fault and self._number == group.active.number):
            return None
        try:
            now = self._read(group.active.tree)
            narrow = compatibility.RestrictedSettings(now)
            if group.prepared is not None and not self._fault:
                narrow = compatibility.intersect(now, self._read(group.prepared.tree))
        except ValueError as unfit:
            self._number, self._fault = group.active.number, str(unfit)
            return None
        return ActiveRules(group.active.number, group.prepared.number if group.prepared else 0, narrow)

    def restore(self, state: str, lineage: int) -> None:
        """What a former life of this process held: shown, and not acted on before the group is heard."""
        self.state_machine.load(state)
        self.lineage = lineage
        self._settle()

    # ---- what may be acted on --------------------------------------------------------------------------

    def lease_status(self, now: float) -> LeaseStatus:
        if now < self.lease_ends:
            return LeaseStatus.VALID
        return LeaseStatus.GRACE if now < self.ground_ends else LeaseStatus.EXPIRED

    def refusal_reason(self, now: float, cls: RequestClass, machine: str = "", rev: int = 0) -> str:
        """Why nothing of this class may start now, on that machine; '' where it may.

        `rev`: the revision of this dispatcher's own list of machines, 0 for none.

        Asked at the moment at which a start leaves, and not only when it is decided: a process that was
        stopped in between finds its lease run out.
        """
        if self.rules is None:
            return "no rules are in force here"
        footing = self.lease_status(now)
        if footing is LeaseStatus.EXPIRED:
            return f"no lease: {self.why or 'the group is not heard'}"
        narrow = self.rules.narrow
        if not narrow.allows(cls.name):
            return f"version {self.rules.prepared} switches it: neither the old nor the new rules act yet"
        if footing is LeaseStatus.GRACE and cls.effect is not Effect.SAFE:
            return "no lease: only safe work goes on"
        if machine and (state := self.machine_state(machine, rev)) != "ready":
            return f"{machine} is {state}"
        return ""

    def machine_state(self, machine: str, rev: int = 0, own: str = "ready") -> str:
        """The state of a machine that counts for new work: operators' words, and all dispatchers' lists."""
        word = self.state_machine.words.get(machine)
        return self.state_machine.lists.acts(
            machine, rev, stricter(own, word.acts) if word is not None else own
        )
