"""What outlasts a gateway: its epoch, submissions with their answers, leases that are out, and spent keys.

Records and their fold only; the front writes them. A record is a JSON list; its first word says what it
tells:

    ["epoch", number, token, at]                    a gateway begins
    ["asked", name, fields, blob, meta]             a submission
    ["handed", lease, name, bot, place, attempt]    a lease is about to leave; place: cores, memory, hall,
    rack
    ["back", lease]                                 it did not leave
    ["running", lease]                              its machine has begun it
    ["seen", lease]                                 its machine has renewed it, told once an epoch
    ["until", lease, expires]                       a gateway that starts counts it as out until then
    ["over", lease]                                 its one end
    ["answer", name, answer]                        the one final answer
    ["end", name, state, cause, result]             the task is over
    ["drop", name]                                  it is no longer told of
    ["spent", keys]                                 keys of tasks that never go out again
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

SPENT_A_RECORD = 1000


def encode(*record: object) -> bytes:
    return json.dumps(record, separators=(",", ":")).encode()


@dataclass(slots=True)
class LeaseRecord:
    """A lease that is out, or may be."""

    id: str
    operation: str
    bot: str
    place: list  # cores, memory, hall, rack
    attempt: int
    running: bool = False
    # Renewals are not written, each epoch's first one is: what was seen in the last epoch may run for a whole
    # lease from its end on; what was not runs out when it would have, however often the gateway starts anew.
    seen: bool = True
    until: float = 0.0  # Unix seconds; 0 where it is not known


@dataclass(slots=True)
class OperationRecord:
    """A submission as it is told of."""

    name: str
    fields: dict
    blob: str
    meta: dict  # at, deadline (Unix us), tenant, request (its id), waits (somebody may come for the answer)
    answer: dict | None = None
    state: str = "ASKED"
    cause: int = 0
    result: object = None
    over: bool = False
    lease: str = ""


@dataclass(slots=True)
class QueueState:
    """The fold of all records."""

    epoch: int = 0
    token: str = ""
    operations: dict[str, OperationRecord] = field(default_factory=dict)
    leases: dict[str, LeaseRecord] = field(default_factory=dict)
    spent: dict[int, None] = field(default_factory=dict)

    def apply(self, payload: bytes) -> None:
        """One record. Raises ValueError for what is none."""
        try:
            word, *rest = json.loads(payload)
            self._apply(word, rest)
        except (ValueError, TypeError, KeyError, IndexError) as fault:
            raise ValueError(f"a record that can't be read: {payload[:80]!r}: {fault!r}") from None

    def _apply(self, word: str, rest: list) -> None:
        match word, rest:
            case "epoch", [number, token, _]:
                self.epoch, self.token = number, token
                for one in self.leases.values():
                    one.seen = False
            case "asked", [name, fields, blob, meta]:
                self.operations[name] = OperationRecord(name, fields, blob, meta)
            case "handed", [lease, name, bot, place, attempt]:
                self.leases[lease] = LeaseRecord(lease, name, bot, place, attempt)
                if name in self.operations:
                    self.operations[name].lease = lease
            case "running", [lease]:
                if lease in self.leases:
                    one = self.leases[lease]
                    one.running, one.seen, one.until = True, True, 0.0
            case "seen", [lease]:
                if lease in self.leases:
                    self.leases[lease].seen, self.leases[lease].until = True, 0.0
            case "until", [lease, expires]:
                if lease in self.leases:
                    self.leases[lease].seen, self.leases[lease].until = False, expires
            case "over" | "back", [lease]:
                self.leases.pop(lease, None)
            case "answer", [name, answer]:
                if name in self.operations:
                    one = self.operations[name]
                    one.answer = answer
                    one.state = {"placed": "PLACED", "refused": "REFUSED", "failed": "FAILED"}[
                        answer["answer"]
                    ]
                    one.over = answer["answer"] != "placed"
            case "end", [name, state, cause, result]:
                if name in self.operations:
                    one = self.operations[name]
                    one.state, one.cause, one.result, one.over = state, cause, result, True
            case "drop", [name]:
                self.operations.pop(name, None)
            case "spent", [keys]:
                self.spent.update(dict.fromkeys(keys))
            case "probe", []:
                pass
            case _:
                raise ValueError(word)

    def snapshot_records(self) -> Iterator[bytes]:
        """The least records that fold to the same."""
        yield encode("epoch", self.epoch, self.token, 0)
        keys = list(self.spent)
        for at in range(0, len(keys), SPENT_A_RECORD):
            yield encode("spent", keys[at : at + SPENT_A_RECORD])
        for one in self.operations.values():
            yield encode("asked", one.name, one.fields, one.blob, one.meta)
        for lease in self.leases.values():
            yield encode("handed", lease.id, lease.operation, lease.bot, lease.place, lease.attempt)
            if lease.running:
                yield encode("running", lease.id)
            if not lease.seen:
                yield encode("until", lease.id, lease.until)
        for one in self.operations.values():
            if one.answer is not None:
                yield encode("answer", one.name, one.answer)
            if one.over and (one.answer is None or one.answer["answer"] == "placed"):
                yield encode("end", one.name, one.state, one.cause, one.result)

    @property
    def snapshot_size(self) -> int:
        """About how many records `records` gives."""
        return 2 + 3 * len(self.operations) + 2 * len(self.leases) + len(self.spent) // SPENT_A_RECORD


def fold(payloads: Iterable[bytes]) -> QueueState:
    out = QueueState()
    for payload in payloads:
        out.apply(payload)
    return out


# ---- epochs
# --------------------------------------------------------------------------------------------------


def epoch_of(name: str) -> tuple[int, str] | None:
    """The epoch in a name that a gateway with a store gave: `leases/7.3fa0-12`; None for any other name."""
    _, sign, rest = name.partition("/")
    head, dash, _ = rest.partition("-")
    number, dot, token = head.partition(".")
    if not (sign and dash and dot and number.isascii() and number.isdigit() and len(number) < 16):
        return None
    return int(number), token


def from_later(names: Iterable[str], epoch: int, token: str) -> str:
    """A name that a later gateway than this one has given; '' where there is none.

    Guards against an older copy of the store: what was started after it was made is unknown to it, so a
    gateway that meets a trace of that must not give anything out.
    """
    for name in names:
        known = epoch_of(name)
        if known is not None and (known[0] > epoch or (known[0] == epoch and known[1] != token)):
            return name
    return ""
