"""Deliberate faults of the program, one a subsystem: that plays find each of them says what plays are worth.

A promise that no wrong program breaks is no promise. Each puts one function of the program in another's place
for as long as it stands; nothing of it is ever imported by a gateway.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from contextlib import AbstractContextManager
from dataclasses import dataclass
from unittest import mock

from weldhatch.consensus.rejoin import RejoinGuard
from weldhatch.consensus.voter_state import VoterState
from weldhatch.coordination.lease_holder import LeaseHolder, LeaseStatus
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.net.connection import Connection
from weldhatch.pullqueue import front
from weldhatch.pullqueue.durable_state import QueueState
from weldhatch.pullqueue.leases import KeyLedger
from weldhatch.simulation.scenario_runner import run_scenario
from weldhatch.simulation.scenarios import SCENARIOS
from weldhatch.zones.failover_rules import FailoverRules


@dataclass(slots=True, frozen=True)
class Bug:
    """`scenario` is where it shows."""

    name: str
    subsystem: str
    scenario: str

    def there(self) -> AbstractContextManager:
        return _PUT[self.name]()


def _leases_for_ever() -> AbstractContextManager:
    return mock.patch.object(LeaseHolder, "lease_status", lambda self, now: LeaseStatus.VALID)


def _one_is_enough() -> AbstractContextManager:
    return mock.patch.object(VoterState, "is_majority", lambda self, names: len(names) >= 1)


def _trusts_its_store() -> AbstractContextManager:
    return mock.patch.object(RejoinGuard, "required_log", lambda *_: (0, 0))


def _store_forgets() -> AbstractContextManager:
    apply = QueueState.apply

    def forgets(self: QueueState, payload: bytes) -> None:
        known = json.loads(payload)
        if known and known[0] == "epoch":  # it comes back with nothing but its name
            apply(self, payload)

    return mock.patch.object(QueueState, "apply", forgets)


def _never_returns() -> AbstractContextManager:
    return mock.patch.object(FailoverRules, "_change_of_returning", lambda *_: None)


def _sent_late() -> AbstractContextManager:
    return mock.patch.object(Connection, "abort", Connection.close)


def _wall_clock() -> AbstractContextManager:
    return mock.patch.object(front, "steady", lambda: time.time)


def _said_again() -> AbstractContextManager:
    apply = StateMachine.apply

    def anew(self: StateMachine, index: int, data: str) -> dict:
        self.results.clear()
        return apply(self, index, data)

    return mock.patch.object(StateMachine, "apply", anew)


def _keys_free() -> AbstractContextManager:
    return mock.patch.object(KeyLedger, "rejection", lambda self, key, cls: None)


_PUT = {
    "leases for ever": _leases_for_ever,
    "one is a majority": _one_is_enough,
    "a voter trusts its store": _trusts_its_store,
    "a return that stalls": _never_returns,
    "set-ups arrive after a cut": _sent_late,
    "the store forgets": _store_forgets,
    "leases by the wall clock": _wall_clock,
    "commands said again count again": _said_again,
    "keys are never taken": _keys_free,
}
BUGS = (
    Bug("leases for ever", "rules", "mixed"),
    Bug("one is a majority", "consensus", "mixed"),
    Bug("a voter trusts its store", "consensus", "copies"),
    Bug("a return that stalls", "zones", "halls"),
    Bug("set-ups arrive after a cut", "net", "halls"),
    Bug("commands said again count again", "rules", "mixed"),
    Bug("the store forgets", "store", "morning"),
    Bug("leases by the wall clock", "pullqueue", "clocks"),
    Bug("keys are never taken", "pullqueue", "again"),
)


def caught(bug: Bug, most: int = 200, first: int = 0) -> tuple[int, str]:
    """How many seeds it takes until a promise is broken, and which; 0 and '' where none of `most` does."""
    with bug.there():
        for n, seed in enumerate(range(first, first + most), 1):
            if broken := run_scenario(seed, SCENARIOS[bug.scenario]).broken:
                return n, broken[0]
    return 0, ""


def all_caught(most: int = 200) -> Iterator[tuple[Bug, int, str]]:
    for bug in BUGS:
        yield bug, *caught(bug, most)
