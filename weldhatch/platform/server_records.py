"""What is open at one server: offers in flight, running tasks, probes, and unsent messages."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from weldhatch.core import ports
from weldhatch.core.messages import CAUSE_LOST, Ended
from weldhatch.core.policy_driver import unix_us
from weldhatch.scheduling.types import Outcome

LATE_ANSWER_WINDOW_S = 5.0  # how long an abandoned offer may still be answered

# Called with the outcome of a probe and the load report.
ProbeDone = Callable[[Outcome, tuple[float, ...]], None]


@dataclass(slots=True)
class TaskRecord:
    """An offer in flight, or a running task."""

    attempt: int
    receiver: ports.Receiver
    running_since: float  # Unix time in seconds; 0.0 while in flight
    start_by_us: int = 0  # latest time to send the offer, Unix microseconds; 0 for none
    end_request: bytes = b""  # release or migration of a running task, repeated until it ends


class ServerRecords:
    """Everything open at one server. Each offer and each probe gets exactly one end."""

    __slots__ = ("_given_up", "in_flight", "probes", "running", "waiting")

    def __init__(self) -> None:
        """Start with nothing open."""
        self.waiting: dict[object, bytes] = {}  # messages that wait for the connection, by name
        self.in_flight: dict[bytes, TaskRecord] = {}
        self.running: dict[bytes, TaskRecord] = {}
        self.probes: dict[bytes, tuple[ProbeDone, asyncio.TimerHandle]] = {}
        # Abandoned offers that may still be answered: time and receiver by tag, oldest first. Created on
        # demand, since there is a link per server and most links never have such an offer.
        self._given_up: dict[bytes, tuple[float, ports.Receiver]] | None = None

    @property
    def is_settled(self) -> bool:
        """Whether no offer, task, probe or unsent message is recorded."""
        return not (self.in_flight or self.running or self.probes or self.waiting)

    def withdraw(self, name: object) -> bool:
        """Remove a message that still waits for the connection; return whether there was one."""
        return self.waiting.pop(name, None) is not None

    # ---- abandoned offers ----------------------------------------------------------------------------------

    def mark_given_up(self, tag: bytes, receiver: ports.Receiver) -> None:
        """Remember that the answer to this abandoned offer may still arrive."""
        now = time.monotonic()
        if self._given_up is None:
            self._given_up = {}
        given_up = self._given_up
        while given_up and now - next(iter(given_up.values()))[0] > LATE_ANSWER_WINDOW_S:
            del given_up[next(iter(given_up))]
        given_up.pop(tag, None)
        given_up[tag] = (now, receiver)

    def may_answer_late(self, tag: bytes, receiver: ports.Receiver) -> bool:
        """Whether an earlier attempt of that request here was abandoned and may still be answered."""
        if not self._given_up:
            return False
        now = time.monotonic()
        given_up_at, given_up_by = self._given_up.get(tag, (0.0, None))
        return given_up_by is receiver and now - given_up_at <= LATE_ANSWER_WINDOW_S

    def mark_answered(self, tag: bytes) -> None:
        """Forget an abandoned offer: its answer has arrived."""
        if self._given_up:
            self._given_up.pop(tag, None)

    # ---- start and end of connections ----------------------------------------------------------------------

    def take_waiting(self) -> bytes:
        """Return the first bytes to send on a new connection; offers past their start time end as not sent.

        The pending release and migration requests are repeated first, then the waiting messages follow.
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
        """End the offers and probes that were sent; those made since the connection closed still wait.

        Ending a waiting offer here would report it as ended although the next connection sends it.
        """
        for tag in [tag for tag in self.in_flight if tag not in self.waiting]:
            record = self.in_flight.pop(tag)
            record.receiver.deliver(Ended(record.attempt, outcome))
        for tag in [tag for tag in self.probes if tag not in self.waiting]:
            done, timer = self.probes.pop(tag)
            timer.cancel()
            done(probe_outcome or outcome, ())

    def end_all(self, outcome: Outcome, probe_outcome: Outcome | None = None) -> None:
        """End all offers and probes, also those that wait for a connection."""
        self.waiting.clear()
        self.end_open(outcome, probe_outcome)

    def end_as_lost(self, tags: list[bytes]) -> None:
        """End these running tasks as lost."""
        for tag in tags:
            record = self.running.pop(tag)
            record.receiver.deliver(Ended(record.attempt, Outcome.RESET, cause=CAUSE_LOST))
