"""A dispatcher's lease and its copy of the agreed state, which determine what it may start now. No I/O.

With a lease, a dispatcher acts on the active version, restricted by a version that is being prepared. Without
a lease, a grace period follows, in which safe work continues on machines that no known list or directive
excludes. After the grace period no new task starts; running tasks are still managed.
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
    """Status of a dispatcher's lease; the values are shown to operators."""

    VALID = "lease"
    GRACE = "common ground"
    EXPIRED = "nothing new"


@dataclass(slots=True, frozen=True)
class ActiveRules:
    """Rules in effect: numbers of the active and prepared version (0: none), and the stricter of both."""

    number: int
    prepared: int
    restricted: compatibility.RestrictedSettings


class LeaseHolder:
    """One dispatcher's copy of the agreed state, and its lease. Times are seconds of the local clock."""

    def __init__(
        self,
        incarnation: Incarnation,
        timing: LeaseTiming,
        parse_settings: Callable[[JsonObject], Settings],
        unsupported_reason: Callable[[Settings], str] = lambda settings: "",
    ) -> None:
        """Create a holder without state or lease.

        `parse_settings` returns a version's settings with this dispatcher's local keys; it raises ConfigError
        (a ValueError) for invalid settings. `unsupported_reason` returns the key and the reason if this
        dispatcher can't act on such settings, or ''.
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
        self.denial = "nobody has been heard"  # why there is no lease; '' once one is granted
        self.conflicts: list[str] = []  # two different states at one index; shown to operators
        self.last_response_at = NEVER
        self._reviewed_version = 0
        self._rejection = ""

    # ---- lease requests and responses ------------------------------------------------------------------

    def request(self, now: float, leaving: bool = False, zone_report: str = "") -> LeaseRequest:
        """Return a request for a lease that starts at `now`."""
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
        """Handle a response, and return whether the agreed state has changed."""
        if response.leader or response.lineage < self.lineage:
            return False
        self.last_response_at = now
        changed = self._apply_update(response)
        holds_state = self.state_machine.index >= response.applied_index
        if response.granted and holds_state and not self._find_conflict(response):
            # Counted from the request, by the local clock: never longer than the granter assumes.
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
        """Whether our state differs from the leader's at the same index. If so, discard ours."""
        state_machine = self.state_machine
        if state_machine.index != response.applied_index or state_machine.digest == response.digest:
            return False
        text = f"index {response.applied_index}: {state_machine.digest} here, {response.digest} at the leader"
        if text not in self.conflicts:
            self.conflicts.append(text)
        state_machine.index = 0  # makes the next response carry a snapshot
        return True

    def _apply_update(self, response: LeaseResponse) -> bool:
        state_machine = self.state_machine
        before = (self.lineage, state_machine.index)
        if response.snapshot:
            # A newer state is never replaced by an older one.
            if response.lineage > self.lineage or response.applied_index >= state_machine.index:
                state_machine.load(response.snapshot)
        elif response.lineage == self.lineage and response.base_index <= state_machine.index:
            for index, command in enumerate(response.commands, response.base_index + 1):
                if index > state_machine.index:
                    state_machine.apply(index, command)
        self.lineage = max(self.lineage, response.lineage)
        if (self.lineage, state_machine.index) == before:
            return False
        self._review_versions()
        return True

    def restore(self, snapshot: str, lineage: int) -> None:
        """Load the state of a former incarnation. It is shown, but not acted on before a lease is granted."""
        self.state_machine.load(snapshot)
        self.lineage = lineage
        self._review_versions()

    def _review_versions(self) -> None:
        """Review the active and the prepared version, and derive the rules in effect."""
        state_machine = self.state_machine
        if state_machine.prepared is not None:
            self._rejection = self._review_prepared(state_machine.prepared.tree)
            self._reviewed_version = state_machine.prepared.number
        elif not self._rejects_active():
            self._rejection = ""
        self.rules = self._derive_rules()

    def _review_prepared(self, tree: JsonObject) -> str:
        """Return the key and the reason if this dispatcher can't act on such a version, or ''."""
        active = self.state_machine.active
        try:
            new = self._parse_settings(tree)
            if active is not None:
                compatibility.find_changes(self._parse_settings(active.tree), new)
            return self._unsupported_reason(new)
        except ValueError as error:  # ConfigError and IncompatibleChangeError both name the key
            return str(error)

    def _rejects_active(self) -> bool:
        """Whether the active version was activated despite our rejection; no rules are in effect then."""
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

    # ---- permission to start tasks ---------------------------------------------------------------------

    def lease_status(self, now: float) -> LeaseStatus:
        """Return the status of the lease."""
        if now < self.lease_ends:
            return LeaseStatus.VALID
        return LeaseStatus.GRACE if now < self.grace_ends else LeaseStatus.EXPIRED

    def refusal_reason(
        self, now: float, request_class: RequestClass, machine: str = "", revision: int = 0
    ) -> str:
        """Return why no task of this class may start now on that machine; '' if it may.

        `revision`: revision of this dispatcher's own endpoint list, 0 for none.

        Callers check this when a start is sent, not only when it is decided: the lease of a process that was
        paused in between may have expired.
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
        """Return a machine's state for new tasks, from directives and all dispatchers' endpoint lists."""
        directive = self.state_machine.directives.entries.get(machine)
        state = stricter(own, directive.effective_state) if directive is not None else own
        return self.state_machine.drain_reports.effective_state(machine, revision, state)
