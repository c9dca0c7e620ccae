"""The leader's records of leases: who has one, and which state each member is known to have. No I/O.

For its holder, a lease starts when it was requested. The leader counts from the later time of the grant, and
extends the duration by the clock drift. A new leader does not know the grants of its predecessor, so it
assumes that every member was granted a lease at the moment of its own election.
"""

from __future__ import annotations

from dataclasses import dataclass

from weldhatch.coordination.commands import CommandKind
from weldhatch.coordination.incarnation import Incarnation
from weldhatch.coordination.messages import DenialKind, LeaseRequest, LeaseResponse
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.coordination.timing import LeaseTiming

MAX_COMMANDS = 200  # commands kept for members that are behind; for more, a snapshot is sent
_DIRECTIVE_MARKER = f'"do":"{CommandKind.DIRECT_MACHINE}"'


@dataclass(slots=True)
class Grant:
    """Last lease request of one incarnation of a member, and when a lease was last granted to it."""

    granted_at: float
    applied_index: int = 0
    reviewed_version: int = 0  # number of the prepared version that the member has reviewed
    rejection: str = ""


@dataclass(slots=True, frozen=True)
class StateUpdate:
    """What a dispatcher is missing: the commands after its index, or a snapshot."""

    commands: tuple[str, ...] = ()
    snapshot: str = ""


class LeaseGrants:
    """Lease grants of one leadership. Created at each election."""

    def __init__(self, timing: LeaseTiming, elected_at: float) -> None:
        """Create the records. Every member counts as granted a lease at `elected_at`."""
        self._timing = timing
        self._elected_at = elected_at
        self.entries: dict[Incarnation, Grant] = {}
        self._commands: dict[int, str] = {}  # the newest, by index

    # ---- commands --------------------------------------------------------------------------------------

    def record_commit(self, index: int, data: str) -> None:
        """Keep a committed command for members that are slightly behind."""
        self._commands[index] = data
        self._commands.pop(index - MAX_COMMANDS, None)

    def last_directive_index(self, state_machine: StateMachine) -> int:
        """Return the index of the newest directive, or a later index if the directive is not known."""
        for index in sorted(self._commands, reverse=True):
            if _DIRECTIVE_MARKER in self._commands[index].replace(" ", ""):  # faster than parsing
                return index
        return state_machine.index

    # ---- grants ----------------------------------------------------------------------------------------

    def answer(
        self,
        now: float,
        state_machine: StateMachine,
        request: LeaseRequest,
        lineage: int,
        may_grant_until: float,
    ) -> LeaseResponse:
        """Answer one lease request. `may_grant_until`: no other voter can become leader before then."""
        denial = self._denial(now, state_machine, request, lineage, may_grant_until)
        update = self._missing_update(state_machine, request, lineage)
        if not denial or DenialKind.of(denial) is DenialKind.REFUSES:
            grant = self._grant_of(Incarnation.of(request))
            grant.applied_index = request.applied_index
            grant.reviewed_version = request.reviewed_version
            grant.rejection = request.rejection
            if not denial:
                grant.granted_at = now
        return LeaseResponse(
            lineage=lineage,
            sent_at=request.sent_at,
            granted=not denial,
            denial=denial,
            leader="",
            base_index=request.applied_index if not update.snapshot else 0,
            commands=update.commands,
            snapshot=update.snapshot,
            applied_index=state_machine.index,
            digest=state_machine.digest,
        )

    @staticmethod
    def _denial(
        now: float, state_machine: StateMachine, request: LeaseRequest, lineage: int, may_grant_until: float
    ) -> str:
        """Return why the lease is denied, beginning with a `DenialKind`; '' if it is granted."""
        known = state_machine.members.get(request.name)
        if request.lineage > lineage:
            return "it is of a later recovery than we are"
        if known is None:
            return "unknown: it has not joined yet"
        if (known.epoch, known.token) != (request.epoch, request.token):
            if known.epoch > request.epoch:
                return f"fenced: another process has come under the name {request.name}, epoch {known.epoch}"
            return "unknown: a new life of it has not joined yet"
        if now >= may_grant_until:
            return "the leader is not sure that it still leads"
        if request.rejection and _rejection_applies(state_machine, request):
            # Ensures that the member stops acting on the old rules: its present lease expires.
            return f"refuses version {request.reviewed_version}: {request.rejection}"
        return ""

    def _missing_update(
        self, state_machine: StateMachine, request: LeaseRequest, lineage: int
    ) -> StateUpdate:
        same_lineage = request.lineage == lineage
        if same_lineage and (request.applied_index, request.digest) == (
            state_machine.index,
            state_machine.digest,
        ):
            return StateUpdate()
        missing = range(request.applied_index + 1, state_machine.index + 1)
        is_known = len(missing) and all(index in self._commands for index in missing)
        if same_lineage and request.applied_index and is_known:
            return StateUpdate(commands=tuple(self._commands[index] for index in missing))
        return StateUpdate(snapshot=state_machine.snapshot())

    def _grant_of(self, incarnation: Incarnation) -> Grant:
        if incarnation not in self.entries:
            self.entries[incarnation] = Grant(self._elected_at)
        return self.entries[incarnation]

    # ---- state of the members --------------------------------------------------------------------------

    def pending(
        self, now: float, state_machine: StateMachine, index: int, span: float, version: int = 0
    ) -> dict[str, str]:
        """Return members that may still have a lease of that duration and lack the state at `index`.

        The values are human-readable reasons. `version`: a version that each member must have reviewed, too.
        """
        pending = self._pending_members(now, state_machine, index, span, version)
        granter_span = self._timing.by_granter_clock(span)
        for incarnation, grant in self.entries.items():
            if (
                not _is_current(state_machine, incarnation)
                and grant.applied_index < index
                and now - grant.granted_at <= granter_span
            ):
                remaining = granter_span - (now - grant.granted_at)
                pending[incarnation.name] = f"an earlier life of it may have a lease for {remaining:.2f} s"
        return pending

    def _pending_members(
        self, now: float, state_machine: StateMachine, index: int, span: float, version: int
    ) -> dict[str, str]:
        pending = {}
        granter_span = self._timing.by_granter_clock(span)
        may_refuse = state_machine.prepared.may_refuse if state_machine.prepared is not None else []
        for name, member in state_machine.members.items():
            grant = self.entries.get(Incarnation(name, member.epoch, member.token))
            granted_at = grant.granted_at if grant is not None else self._elected_at
            reason = "has not said that it holds it"
            if grant is not None and _has_state(grant, index, version):
                if not grant.rejection:
                    continue
                reason = f"refuses: {grant.rejection}"
            if now - granted_at <= granter_span:
                pending[name] = f"{reason}; its lease ends in {granter_span - (now - granted_at):.2f} s"
            elif grant is not None and grant.rejection and version and name not in may_refuse:
                pending[name] = reason
        return pending

    def rejections(self, state_machine: StateMachine) -> dict[str, str]:
        """Return members that reject the prepared version, except those that are allowed to.

        The values name the unsupported key and the reason.
        """
        prepared = state_machine.prepared
        if prepared is None:
            return {}
        return {
            incarnation.name: grant.rejection
            for incarnation, grant in self.entries.items()
            if grant.rejection
            and grant.reviewed_version == prepared.number
            and incarnation.name not in prepared.may_refuse
            and _is_current(state_machine, incarnation)
        }


def _rejection_applies(state_machine: StateMachine, request: LeaseRequest) -> bool:
    may_refuse_active = state_machine.active is not None and request.name in state_machine.active.may_refuse
    is_of_prepared = (
        state_machine.prepared is not None and request.reviewed_version == state_machine.prepared.number
    )
    return may_refuse_active or is_of_prepared


def _is_current(state_machine: StateMachine, incarnation: Incarnation) -> bool:
    member = state_machine.members.get(incarnation.name)
    return member is not None and (member.epoch, member.token) == (incarnation.epoch, incarnation.token)


def _has_state(grant: Grant, index: int, version: int) -> bool:
    return grant.applied_index >= index and (not version or grant.reviewed_version == version)
