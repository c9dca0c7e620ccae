"""Handlers of the messages of a server, which update the records of its link."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from weldhatch.core.messages import Answered, Ended, Noted
from weldhatch.net.connection import MalformedMessageError
from weldhatch.platform import server_codec
from weldhatch.platform.endpoint_list import Server
from weldhatch.platform.server_records import ServerRecords
from weldhatch.scheduling.types import Outcome

OUTCOMES_BEFORE_ANSWER = {  # by the cause of a release; any other cause is a reset
    34: Outcome.FULL,
    47: Outcome.ERROR,
    102: Outcome.NOT_SENT,
}
OUTCOMES_AFTER_ANSWER = {16: Outcome.OK, 31: Outcome.CANCELLED}
TOPICS = {"runs": 1, "cores": 2, "memory": 3, "served": 4, "pressure": 5}
REASONS = {
    "no_cores": 1,
    "no_memory": 2,
    "queue_full": 3,
    "not_here": 4,
    "evicted": 5,
    "pushed_out": 6,
    "sent_away": 7,
}


class ReportOwner(Protocol):
    """Receives load reports, and ends of tasks that are not in the link's records."""

    @property
    def on_load_report(self) -> Callable[[int, tuple[float, ...]], None]:
        """Process a machine's load report that does not answer a probe."""

    def keep_unclaimed_end(self, tag: bytes, ended: Ended) -> None:
        """Keep the end of a task that no client has reported yet."""

    def read_report(self, message: server_codec.Message) -> tuple[float, ...]:
        """Return the load report of the message in the order of the settings, or ()."""


class ReceivingLink(Protocol):
    """The link that a message was received on."""

    records: ServerRecords
    server: Server

    @property
    def owner(self) -> ReportOwner:
        """The owner of all links."""

    def send(self, name: object, data: bytes) -> None:
        """Send a message to the server."""


def handle(link: ReceivingLink, message: server_codec.Message) -> None:
    """Apply a message of the server.

    Each handler decodes the whole message before it changes a record: a malformed message ends the
    connection, and every offer in flight must then still be recorded to get its end.

    Raises:
        MalformedMessageError: the message is malformed, or its type is one that servers do not send.
    """
    match message.type:
        case server_codec.ANSWER:
            _handle_answer(link, message)
        case server_codec.RELEASE:
            _handle_release(link, message)
        case server_codec.NOTE:
            _handle_note(link, message)
        case server_codec.TESTED:
            _handle_test_answer(link, message)
        case server_codec.TEST:
            link.send(
                message.tag,
                server_codec.encode(server_codec.TESTED, message.tag, {server_codec.CAUSE: b"\1"}),
            )
        case server_codec.PROGRESS | server_codec.RELEASE_HEARD:
            pass
        case _:
            raise MalformedMessageError(f"a message of type {message.type}, which servers do not send")


def _handle_answer(link: ReceivingLink, message: server_codec.Message) -> None:
    description = message.description
    records = link.records
    records.mark_answered(message.tag)
    if record := records.in_flight.pop(message.tag, None):
        records.running[message.tag] = record
        record.running_since = time.time()
        record.receiver.deliver(Answered(record.attempt, description))


def _handle_note(link: ReceivingLink, message: server_codec.Message) -> None:
    records = link.records
    record = records.running.get(message.tag) or records.in_flight.get(message.tag)
    topic = TOPICS.get(message.text(server_codec.TOPIC))
    if record is not None and topic is not None:
        figure = server_codec.finite_number(message.text(server_codec.FIGURE))
        record.receiver.deliver(Noted(record.attempt, topic, figure))


def _handle_test_answer(link: ReceivingLink, message: server_codec.Message) -> None:
    report = link.owner.read_report(message)
    passed = message.cause == 1
    if probe := link.records.probes.pop(message.tag, None):
        done, timer = probe
        timer.cancel()
        done(Outcome.OK if passed else Outcome.FULL, report)
    elif passed and report:
        link.owner.on_load_report(link.server.machine, report)


def _handle_release(link: ReceivingLink, message: server_codec.Message) -> None:
    cause = message.cause
    reason = REASONS.get(message.text(server_codec.TOPIC), 0)
    report = link.owner.read_report(message)
    records = link.records
    records.mark_answered(message.tag)
    if record := records.in_flight.pop(message.tag, None):
        outcome = OUTCOMES_BEFORE_ANSWER.get(cause, Outcome.RESET)
        record.receiver.deliver(Ended(record.attempt, outcome, reason, report, cause))
        return
    outcome = OUTCOMES_AFTER_ANSWER.get(cause, Outcome.RESET)
    if record := records.running.pop(message.tag, None):
        record.receiver.deliver(Ended(record.attempt, outcome, reason, report, cause))
    else:
        link.owner.keep_unclaimed_end(message.tag, Ended(0, outcome, reason, report, cause))
