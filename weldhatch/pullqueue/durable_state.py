"""The stored state of a pull queue: its epoch, submissions with their answers, leases and spent keys.

This module defines the records and folds them into the state; its callers write them. A record is a JSON list
whose first item is its kind:

    ["epoch", number, token, at, settles_at]        a run of the gateway begins; until settles_at (Unix s),
                                                    leases of runs without this store may still run
    ["lease", seconds]                              for how long leases are promised from now on
    ["asked", name, fields, blob, meta]             a submission was received
    ["handed", lease, name, bot, place, attempt, at]
                                                    a lease is about to be handed out; place: cores, memory,
                                                    zone and rack of the machine; at: Unix us
    ["back", lease]                                 the lease was not handed out after all
    ["running", lease]                              the machine has started the task of the lease
    ["seen", lease]                                 the machine has renewed the lease: once an epoch
    ["stop", lease, cause]                          the machine must stop the task of the lease, which then
                                                    ends with this cause
    ["until", lease, expires]                       a starting gateway counts the lease as leased until then
    ["over", lease, outcome, cause, result, message]
                                                    the lease has ended: what the core and the submitter are
                                                    told of that
    ["answer", name, answer]                        the final answer to a submission
    ["end", name, state, cause, result]             the task of a submission has ended
    ["drop", name]                                  a submission is no longer kept, once its lease has ended
    ["spent", keys]                                 keys of tasks that must not be handed out again
    ["unspent", keys]                               keys that were spent by leases which were not handed out

A lease ends in one record, and what follows from its end (an answer, the end of the task, another attempt) is
written later. Until then the end is kept with the submission, so that a gateway that starts in between
continues from it. Records of earlier versions lack `at`, `settles_at` and all of an end but the lease.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from weldhatch.core.messages import CAUSE_LOST
from weldhatch.scheduling.types import NOTHING_RAN, Outcome

SPENT_PER_RECORD = 1000


def encode(*record: object) -> bytes:
    """Encode a record for the log."""
    return json.dumps(record, separators=(",", ":")).encode()


_STATE_OF_ANSWER = {"placed": "PLACED", "refused": "REFUSED", "failed": "FAILED"}


@dataclass(slots=True)
class LeaseRecord:
    """A lease that a machine holds or may hold.

    `place`: cores, memory, zone and rack of the machine; `until`: expiry in Unix seconds, 0 if unknown.

    Only the first renewal of each epoch is written. After a restart, a lease that was `seen` in the last
    epoch may run for a full lease time, by the longest that was promised; any other lease keeps its old
    expiry, however often the gateway restarts.
    """

    id: str
    operation: str
    bot: str
    place: list[Any]
    attempt: int
    running: bool = False
    stop_cause: int = 0  # cause of the end of a lease that must stop; 0 for one that goes on
    seen: bool = True
    until: float = 0.0
    at: int = 0  # Unix us of the hand-out; 0 if unknown


@dataclass(slots=True, frozen=True)
class LeaseEnd:
    """How a lease ended, as its machine reported it. The default: unknown, so that its task may have run."""

    outcome: Outcome = Outcome.ERROR
    cause: int = CAUSE_LOST
    result: object = None
    message: str = ""

    def encode(self, lease: str) -> bytes:
        """Encode the end of this lease as a record."""
        return encode("over", lease, self.outcome, self.cause, self.result, self.message)


@dataclass(slots=True, frozen=True)
class EndedLease:
    """A lease that has ended, with its end."""

    lease: LeaseRecord
    end: LeaseEnd

    @property
    def was_placed(self) -> bool:
        """Whether the machine reported that the task was started, which is the answer to its submitter."""
        return self.lease.running or self.end.outcome is Outcome.OK

    @property
    def may_have_run(self) -> bool:
        """Whether the task may have run on the machine."""
        return self.was_placed or self.end.outcome not in NOTHING_RAN


@dataclass(slots=True)
class OperationRecord:
    """A submission with its answer and the end of its task.

    `meta`: at and deadline (Unix us), tenant, request (the request id), waits (whether the submitter may
    fetch the answer later).
    """

    name: str
    fields: dict[str, Any]
    blob: str
    meta: dict[str, Any]
    answer: dict[str, Any] | None = None
    state: str = "ASKED"
    cause: int = 0
    result: object = None
    over: bool = False
    lease: str = ""
    dropped: bool = False  # unknown to callers; kept only for the lease that its machine may still hold
    ended_leases: list[EndedLease] = field(default_factory=list)  # decide its answer or end

    def add_end(self, ended: EndedLease) -> None:
        """Add a lease that has ended, unless it never ran or the submission is over."""
        if ended.may_have_run and not self.over:
            self.ended_leases.append(ended)

    def end(self) -> None:
        """Mark the submission as over: nothing depends on its leases any more."""
        self.over = True
        self.ended_leases.clear()

    @property
    def placed_and_ended(self) -> EndedLease | None:
        """The lease with which the task was placed and has ended, if the end is not written yet."""
        return next((ended for ended in self.ended_leases if ended.was_placed), None)

    @property
    def uncertain(self) -> EndedLease | None:
        """The first lease on which the task may have run without being placed."""
        return next((ended for ended in self.ended_leases if not ended.was_placed), None)


@dataclass(slots=True)
class QueueState:
    """The state that results from all records."""

    epoch: int = 0
    token: str = ""
    operations: dict[str, OperationRecord] = field(default_factory=dict)
    leases: dict[str, LeaseRecord] = field(default_factory=dict)
    spent: dict[int, None] = field(default_factory=dict)
    settles_at: float = 0.0  # Unix seconds; 0 if the first run had nothing to wait for
    lease_s: float = 0.0  # the longest time for which one of the leases may have been promised; 0 if unknown

    def apply(self, payload: bytes) -> None:
        """Apply one record. Raises ValueError for an invalid record."""
        try:
            kind, *values = json.loads(payload)
            known = (
                self._apply_run(kind, values)
                or self._apply_lease(kind, values)
                or self._apply_operation(kind, values)
            )
            if not known:
                raise ValueError(kind)
        except (ValueError, TypeError, KeyError, IndexError, RecursionError) as error:
            raise ValueError(f"invalid record {payload[:80]!r}: {error!r}") from None

    def _apply_run(self, kind: str, values: list[Any]) -> bool:
        """Apply a record that concerns the whole store; return False for any other."""
        match kind, values:
            case "epoch", [number, token, _, *rest]:
                self.epoch = number
                self.token = token
                self.settles_at = rest[0] if rest else 0.0
                for lease in self.leases.values():
                    lease.seen = False
            case "lease", [seconds]:
                self.lease_s = max(seconds, self.lease_s if self.leases else 0.0)
            case "spent", [keys]:
                self.spent.update(dict.fromkeys(keys))
            case "unspent", [keys]:
                for key in keys:
                    self.spent.pop(key, None)
            case "probe", []:
                pass
            case _:
                return False
        return True

    def _apply_lease(self, kind: str, values: list[Any]) -> bool:
        """Apply a record of a lease; return False for any other. Records of unknown leases are ignored."""
        match kind, values:
            case "handed", [id, name, bot, place, attempt, *rest]:
                self.leases[id] = LeaseRecord(id, name, bot, place, attempt, at=rest[0] if rest else 0)
                if name in self.operations:
                    self.operations[name].lease = id
            case "running", [id]:
                if lease := self.leases.get(id):
                    lease.running = True
                    lease.seen = True
                    lease.until = 0.0
            case "stop", [id, cause]:
                if lease := self.leases.get(id):
                    lease.stop_cause = cause
            case "seen", [id]:
                if lease := self.leases.get(id):
                    lease.seen = True
                    lease.until = 0.0
            case "until", [id, expires]:
                if lease := self.leases.get(id):
                    lease.seen = False
                    lease.until = expires
            case "over", [id, *end]:
                self._end_lease(id, end)
            case "back", [id]:
                self._remove_lease(id)
            case _:
                return False
        return True

    def _end_lease(self, id: str, end: list[Any]) -> None:
        lease = self._remove_lease(id)
        operation = self.operations.get(lease.operation) if lease else None
        if operation is not None:
            outcome, *rest = end or [Outcome.ERROR]
            operation.add_end(EndedLease(lease, LeaseEnd(Outcome(outcome), *rest)))

    def _remove_lease(self, id: str) -> LeaseRecord | None:
        """Remove a lease, and its submission if that was only kept for it; return the lease, if known."""
        lease = self.leases.pop(id, None)
        if lease and (operation := self.operations.get(lease.operation)) and operation.dropped:
            del self.operations[operation.name]
        return lease

    def _drop(self, operation: OperationRecord) -> None:
        """Remove a submission; while a machine may hold its lease, its task and key are still restored."""
        operation.dropped = operation.lease in self.leases
        if not operation.dropped:
            del self.operations[operation.name]

    def _apply_operation(self, kind: str, values: list[Any]) -> bool:
        """Apply a record of a submission; return False for any other."""
        match kind, values:
            case "asked", [name, fields, blob, meta]:
                self.operations[name] = OperationRecord(name, fields, blob, meta)
            case "answer", [name, answer]:
                if operation := self.operations.get(name):
                    operation.answer = answer
                    operation.state = _STATE_OF_ANSWER[answer["answer"]]
                    if answer["answer"] != "placed":
                        operation.end()
            case "end", [name, state, cause, result]:
                if operation := self.operations.get(name):
                    operation.state = state
                    operation.cause = cause
                    operation.result = result
                    operation.end()
            case "drop", [name]:
                if operation := self.operations.get(name):
                    self._drop(operation)
            case _:
                return False
        return True

    def epoch_record(self, at: float) -> bytes:
        """Return the record of this run, which began at `at` (Unix seconds)."""
        settles = [self.settles_at] if self.settles_at else []
        return encode("epoch", self.epoch, self.token, at, *settles)

    def snapshot_records(self) -> Iterator[bytes]:
        """Return a minimal list of records that folds to the same state."""
        yield self.epoch_record(0)
        if self.lease_s:
            yield encode("lease", self.lease_s)
        keys = list(self.spent)
        for start in range(0, len(keys), SPENT_PER_RECORD):
            yield encode("spent", keys[start : start + SPENT_PER_RECORD])
        for operation in self.operations.values():
            yield encode("asked", operation.name, operation.fields, operation.blob, operation.meta)
            for ended in operation.ended_leases:
                yield from self._lease_records(ended.lease)
                yield ended.end.encode(ended.lease.id)
        for lease in self.leases.values():
            yield from self._lease_records(lease)
            if not lease.seen:
                yield encode("until", lease.id, lease.until)
        for operation in self.operations.values():
            answer = operation.answer
            if answer is not None:
                yield encode("answer", operation.name, answer)
            if operation.over and (answer is None or answer["answer"] == "placed"):
                yield encode("end", operation.name, operation.state, operation.cause, operation.result)
            if operation.dropped:
                yield encode("drop", operation.name)

    @staticmethod
    def _lease_records(lease: LeaseRecord) -> Iterator[bytes]:
        yield encode("handed", lease.id, lease.operation, lease.bot, lease.place, lease.attempt, lease.at)
        if lease.running:
            yield encode("running", lease.id)
        if lease.stop_cause:
            yield encode("stop", lease.id, lease.stop_cause)

    @property
    def snapshot_size(self) -> int:
        """The approximate number of records of `snapshot_records`."""
        return 2 + 3 * len(self.operations) + 2 * len(self.leases) + len(self.spent) // SPENT_PER_RECORD


def fold(payloads: Iterable[bytes]) -> QueueState:
    """Return the state that results from records. Raises ValueError for an invalid record."""
    out = QueueState()
    for payload in payloads:
        out.apply(payload)
    return out


def epoch_of(name: str) -> tuple[int, str] | None:
    """Return the epoch in a name like `leases/7.3fa0-12`; None for a name without a store's epoch."""
    _, sign, rest = name.partition("/")
    head, dash, _ = rest.partition("-")
    number, dot, token = head.partition(".")
    if not (sign and dash and dot and number.isascii() and number.isdigit() and len(number) < 16):
        return None
    return int(number), token


def find_later_name(names: Iterable[str], epoch: int, token: str) -> str:
    """Return the first of these names that a later run of the gateway generated; '' if there is none.

    Such a name shows that the store is an older copy. It lacks the leases that were handed out after it was
    made, so the gateway must not hand out anything from it.
    """
    for name in names:
        known = epoch_of(name)
        if known is not None and (known[0] > epoch or (known[0] == epoch and known[1] != token)):
            return name
    return ""
