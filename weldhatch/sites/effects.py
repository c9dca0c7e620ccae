"""Executes hand-off effects in order; each record is on the disk before later effects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from weldhatch.sites import handoff_source, handoff_target, messages
from weldhatch.sites.handoff_source import AnswerOwner, ReclaimTask, ReportEnd, SourceEffect
from weldhatch.sites.handoff_target import AbandonTask, ReleaseTask, StartTask, TargetEffect
from weldhatch.sites.storage import SiteStorage, encode_source_record, encode_target_record

OwnerEffect = AnswerOwner | ReclaimTask | ReportEnd
TaskEffect = StartTask | AbandonTask | ReleaseTask


class EffectRunner:
    """Writes records, sends messages, and passes all other effects to a callback.

    `on_owner_effect` receives effects for an owner at this site, `on_task_effect` those for a task of another
    site. Both must be set before the first effect is run.
    """

    on_owner_effect: Callable[[OwnerEffect], None]
    on_task_effect: Callable[[TaskEffect], None]

    def __init__(
        self,
        storage: SiteStorage,
        send: Callable[[str, messages.ToTarget | messages.ToSource], None],
    ) -> None:
        """Write records to `storage`; `send` receives a site and a message, and may lose it."""
        self._storage = storage
        self._send = send
        self._closed = False

    def run_source(self, effects: Sequence[SourceEffect]) -> None:
        """Execute effects of this site as the source of hand-offs."""
        self._run("", effects)

    def run_target(self, site: str, effects: Sequence[TargetEffect]) -> None:
        """Execute effects of this site as the target of hand-offs from `site`."""
        self._run(site, effects)

    def _run(self, site: str, effects: Sequence[SourceEffect | TargetEffect]) -> None:
        """Execute effects in order; the effects after a record wait until that record is on the disk.

        Does nothing once closed: a gateway closed while a record was being written must not start the task.
        """
        if self._closed:
            return
        for index, effect in enumerate(effects):
            record = _record_of(site, effect)
            if record is None:
                self._run_one(effect)
                continue
            remaining = effects[index + 1 :]

            def run_remaining(
                written: asyncio.Future[None], remaining: Sequence[SourceEffect | TargetEffect] = remaining
            ) -> None:
                if not written.cancelled():
                    self._run(site, remaining)

            self._storage.append_with_retry([record]).add_done_callback(run_remaining)
            return

    def _run_one(self, effect: SourceEffect | TargetEffect) -> None:
        match effect:
            case handoff_source.SendMessage(site, message):
                self._send(site, message)
            case handoff_target.SendMessage(site, message):
                self._send(site, message)
            case AnswerOwner() | ReclaimTask() | ReportEnd():
                self.on_owner_effect(effect)
            case StartTask() | AbandonTask() | ReleaseTask():
                self.on_task_effect(effect)

    def close(self) -> None:
        """Execute no further effects, not even those that wait for a record to be written."""
        self._closed = True


def _record_of(site: str, effect: SourceEffect | TargetEffect) -> bytes | None:
    """Return the encoded record that an effect writes; None if it writes none."""
    match effect:
        case handoff_source.WriteRecord(record):
            return encode_source_record(record)
        case handoff_target.WriteRecord(record):
            return encode_target_record(site, record)
    return None
