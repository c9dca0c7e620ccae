"""A dispatcher's part: what it holds, until when, and what it may act on at this moment. Pure.

With a lease it acts on the version in force, restricted by one that is being prepared. Without one there is a
grace period: safe work goes on, on machines that nothing it knows excludes. Once that has ended, nothing new
starts; what stands is looked after all the same.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from weldhatch.coordination import compatibility
from weldhatch.coordination.drain_reports import stricter
from weldhatch.coordination.incarnation import Incarnation
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.messages import DenialKind, LeaseRequest, LeaseResponse
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.coordination.timing import LeaseTiming
from weldhatch.scheduling.types import Effect, RequestClass, Settings

NEVER = float("-inf")


class LeaseStatus(Enum):
    """How much of the rules a dispatcher is sure of, as operators see it."""

    VALID = "lease"
    GRACE = "common ground"
    EXPIRED = "nothing new"


@dataclass(slots=True, frozen=True)
class ActiveRules:
    """What is acted on: the number in force, the one being prepared (0: none), and the stricter of both."""

    number: int
    prepared: int
    restricted: compatibility.RestrictedSettings


class LeaseHolder:
    """One dispatcher's copy of the agreed state, and its lease. Clock values are seconds of its own clock."""

    def __init__(
        self,
        incarnation: Incarnation,
        timing: LeaseTiming,
        parse_settings: Callable[[JsonObject], Settings],
        unsupported_reason: Callable[[Settings], str] = lambda settings: "",
    ) -> None:
        """Hold nothing yet.

        `read`: a version's settings with this dispatcher's own keys, ConfigError (a ValueError) for none.
        `fits`: '' where this dispatcher can act on such settings, or the key and the reason.
        """
        self.incarnation = incarnation
        self.timing = timing
        self._parse_settings = parse_settings
        self._unsupported_reason = unsupported_reason
        self.state_machine = StateMachine()
        self.lineage = 0
        self.rules: ActiveRules | None = None
        self.lease_ends = NEVER
        self.grace_ends = NEVER
        self.denial = "nobody has been heard"  # why there is no lease
        self.conflicts: list[str] = []  # two states under one index: kept for operators
        self.last_response_at = NEVER
        self._reviewed_version = 0
        self._rejection = ""

    # ---- asking and learning ---------------------------------------------------------------------------

    def request(self, now: float, leaving: bool = False, zone_report: str = "") -> LeaseRequest:
        """Return a request for a lease from `now` on."""
        return LeaseRequest(
            lineage=self.lineage,
            name=self.incarnation.name,
            epoch=self.incarnation.epoch,
            token=self.incarnation.token,
            sent_at=now,
            applied_index=self.state_machine.index,
            digest=self.state_machine.digest if self.state_machine.index else "",
            reviewed_version=self._reviewed_version,
            rejection=self._rejection,
            leaving=leaving,
            zone_report=zone_report,
        )

    def handle_response(self, now: float, response: LeaseResponse) -> bool:
        """Take an answer; whether what may be acted on has changed."""
        if response.leader or response.lineage < self.lineage:
            return False
        self.last_response_at = now
        changed = self._apply_update(response)
        holds_state = self.state_machine.index >= response.applied_index
        if response.granted and holds_state and not self._find_conflict(response):
            # Counted from when it was asked, by our own clock: never longer than the granter thinks.
            lease = self.timing.by_holder_clock(self.timing.lease)
            grace = self.timing.by_holder_clock(self.timing.grace)
            self.lease_ends = max(self.lease_ends, response.sent_at + lease)
            self.grace_ends = max(self.grace_ends, response.sent_at + grace)
            self.denial = ""
        elif response.denial:
            self.denial = response.denial
            if DenialKind.of(response.denial) is DenialKind.FENCED:
                self.lease_ends = NEVER
                self.grace_ends = NEVER
        return changed

    def _find_conflict(self, response: LeaseResponse) -> bool:
        """Guards against going on with a state that is not the group's."""
        machine = self.state_machine
        if machine.index != response.applied_index or machine.digest == response.digest:
            return False
        text = f"index {response.applied_index}: {machine.digest} here, {response.digest} at the leader"
        if text not in self.conflicts:
            self.conflicts.append(text)
        machine.index = 0  # the next answer brings the whole state
        return True

    def _apply_update(self, response: LeaseResponse) -> bool:
        machine = self.state_machine
        before = (self.lineage, machine.index)
        if response.snapshot:
            # Newer never gives way to older.
            if response.lineage > self.lineage or response.applied_index >= machine.index:
                machine.load(response.snapshot)
        elif response.lineage == self.lineage and response.base_index <= machine.index:
            for index, command in enumerate(response.commands, response.base_index + 1):
                if index > machine.index:
                    machine.apply(index, command)
        self.lineage = max(self.lineage, response.lineage)
        if (self.lineage, machine.index) == before:
            return False
        self._review_versions()
        return True

    def restore(self, snapshot: str, lineage: int) -> None:
        """Take what a former incarnation held: shown, and not acted on before the group is heard."""
        self.state_machine.load(snapshot)
        self.lineage = lineage
        self._review_versions()

    def _review_versions(self) -> None:
        """Work out what is acted on, from what is held."""
        machine = self.state_machine
        if machine.prepared is not None:
            self._rejection = self._review_prepared(machine.prepared.tree)
            self._reviewed_version = machine.prepared.number
        elif not self._rejects_active():
            self._rejection = ""
        self.rules = self._derive_rules()

    def _review_prepared(self, tree: JsonObject) -> str:
        """Return '' where this dispatcher can act on such a version, or the key and the reason."""
        active = self.state_machine.active
        try:
            new = self._parse_settings(tree)
            if active is not None:
                compatibility.find_changes(self._parse_settings(active.tree), new)
            return self._unsupported_reason(new)
        except ValueError as error:  # ConfigError names its key, and so does IncompatibleChangeError
            return str(error)

    def _rejects_active(self) -> bool:
        """Whether the version in force came into force although we refused it: nothing is acted on then."""
        active = self.state_machine.active
        return active is not None and bool(self._rejection) and self._reviewed_version == active.number

    def _derive_rules(self) -> ActiveRules | None:
        active = self.state_machine.active
        prepared = self.state_machine.prepared
        if active is None or self._rejects_active():
            return None
        try:
            settings = self._parse_settings(active.tree)
            restricted = compatibility.RestrictedSettings(settings)
            if prepared is not None and not self._rejection:
                restricted = compatibility.intersect(settings, self._parse_settings(prepared.tree))
        except ValueError as error:
            self._reviewed_version = active.number
            self._rejection = str(error)
            return None
        return ActiveRules(active.number, prepared.number if prepared else 0, restricted)

    # ---- what may be acted on --------------------------------------------------------------------------

    def lease_status(self, now: float) -> LeaseStatus:
        """Return how much of the rules this dispatcher is sure of."""
        if now < self.lease_ends:
            return LeaseStatus.VALID
        return LeaseStatus.GRACE if now < self.grace_ends else LeaseStatus.EXPIRED

    def refusal_reason(
        self, now: float, request_class: RequestClass, machine: str = "", revision: int = 0
    ) -> str:
        """Return why nothing of this class may start now, on that machine; '' where it may.

        `revision`: of this dispatcher's own list of machines, 0 for none.

        Asked at the moment at which a start leaves, and not only when it is decided: a process that was
        stopped in between finds its lease run out.
        """
        if self.rules is None:
            return "no rules are in force here"
        status = self.lease_status(now)
        if status is LeaseStatus.EXPIRED:
            return f"no lease: {self.denial or 'the group is not heard'}"
        if not self.rules.restricted.allows(request_class.name):
            return f"version {self.rules.prepared} switches it: neither the old nor the new rules act yet"
        if status is LeaseStatus.GRACE and request_class.effect is not Effect.SAFE:
            return "no lease: only safe work goes on"
        if machine and (state := self.machine_state(machine, revision)) != "ready":
            return f"{machine} is {state}"
        return ""

    def machine_state(self, machine: str, revision: int = 0, own: str = "ready") -> str:
        """Return the state of a machine that counts for new work, by operators and all dispatchers' lists."""
        directive = self.state_machine.directives.entries.get(machine)
        state = stricter(own, directive.effective_state) if directive is not None else own
        return self.state_machine.drain_reports.effective_state(machine, revision, state)
