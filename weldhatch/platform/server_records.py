"""What is open at one server: offers in flight, running tasks, probes, and what waits for a connection."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from weldhatch.core import ports
from weldhatch.core.messages import CUT, Ended
from weldhatch.core.policy_driver import unix_us
from weldhatch.scheduling.types import Outcome

LATE_ANSWER_WINDOW_S = 5.0  # so long after it was given up, a set-up may still be answered

# Gets the outcome of a probe and the load report.
ProbeDone = Callable[[Outcome, tuple[float, ...]], None]


@dataclass(slots=True)
class TaskRecord:
    """An offer in flight, or a running task."""

    attempt: int
    receiver: ports.Receiver
    running_since: float  # of a running task: Unix time, seconds
    start_by_us: int = 0  # an offer that has not left by then must not; 0 for any time
    end_request: bytes = b""  # the release or migration of a running task: repeated until its end comes


class ServerRecords:
    """Everything open at one server. Each offer and each probe leaves with exactly one end."""

    __slots__ = ("_given_up", "in_flight", "probes", "running", "waiting")

    def __init__(self) -> None:
        """Start with nothing open."""
        self.waiting: dict[object, bytes] = {}  # messages that wait for the connection, by tag or probe
        self.in_flight: dict[bytes, TaskRecord] = {}
        self.running: dict[bytes, TaskRecord] = {}
        self.probes: dict[bytes, tuple[ProbeDone, asyncio.TimerHandle]] = {}
        # Offers that were given up and may still be answered: when, and whose; the oldest first. Most links
        # never have one, and there is a link for each server: made when it is needed.
        self._given_up: dict[bytes, tuple[float, ports.Receiver]] | None = None

    @property
    def is_settled(self) -> bool:
        """Whether nothing is in flight, runs or waits there."""
        return not (self.in_flight or self.running or self.probes or self.waiting)

    def withdraw(self, name: object) -> bool:
        """Take back what still waits for the connection; return whether it did."""
        return self.waiting.pop(name, None) is not None

    # ---- offers that were given up -------------------------------------------------------------------------

    def mark_given_up(self, tag: bytes, receiver: ports.Receiver) -> None:
        """Remember that the answer to this offer may still be on its way."""
        now = time.monotonic()
        if self._given_up is None:
            self._given_up = {}
        given_up = self._given_up
        while given_up and now - next(iter(given_up.values()))[0] > LATE_ANSWER_WINDOW_S:
            del given_up[next(iter(given_up))]
        given_up.pop(tag, None)
        given_up[tag] = (now, receiver)

    def may_answer_late(self, tag: bytes, receiver: ports.Receiver) -> bool:
        """Whether an earlier attempt of that request here was given up and is unanswered since."""
        if not self._given_up:
            return False
        now = time.monotonic()
        given_up_at, given_up_by = self._given_up.get(tag, (0.0, None))
        return given_up_by is receiver and now - given_up_at <= LATE_ANSWER_WINDOW_S

    def mark_answered(self, tag: bytes) -> None:
        """Forget that this offer was given up: its answer has come."""
        if self._given_up:
            self._given_up.pop(tag, None)

    # ---- connections that come and go ----------------------------------------------------------------------

    def take_waiting(self) -> bytes:
        """Return what goes out first on a new connection; offers that come too late end as not sent.

        Ends asked for running tasks come first, repeated; then what may still leave.
        """
        self._given_up = None
        end_requests = [record.end_request for record in self.running.values() if record.end_request]
        now = unix_us()
        for tag in [tag for tag in self.in_flight if tag in self.waiting]:
            record = self.in_flight[tag]
            if record.start_by_us and now > record.start_by_us:
                del self.in_flight[tag]
                del self.waiting[tag]
                record.receiver.deliver(Ended(record.attempt, Outcome.NOT_SENT))
        waiting = self.waiting
        self.waiting = {}
        return b"".join((*end_requests, *waiting.values()))

    def end_open(self, outcome: Outcome, probe_outcome: Outcome | None = None) -> None:
        """End all but what was asked for since the connection closed: that still waits for the next one.

        Guards against an offer that is reported as ended here and goes out there all the same.
        """
        for tag in [tag for tag in self.in_flight if tag not in self.waiting]:
            record = self.in_flight.pop(tag)
            record.receiver.deliver(Ended(record.attempt, outcome))
        for tag in [tag for tag in self.probes if tag not in self.waiting]:
            done, timer = self.probes.pop(tag)
            timer.cancel()
            done(probe_outcome or outcome, ())

    def end_all(self, outcome: Outcome, probe_outcome: Outcome | None = None) -> None:
        """End all, also what waits for a connection."""
        self.waiting.clear()
        self.end_open(outcome, probe_outcome)

    def end_as_lost(self, tags: list[bytes]) -> None:
        """End these running tasks as lost."""
        for tag in tags:
            record = self.running.pop(tag)
            record.receiver.deliver(Ended(record.attempt, Outcome.RESET, cause=CUT))
