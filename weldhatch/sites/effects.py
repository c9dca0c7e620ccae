"""Carries out, in order, what source and targets of hand-offs decide: records before what follows them."""

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
    """Writes records, sends messages, and hands the rest to whom it concerns.

    `on_owner_effect` gets what is for an owner here, `on_task_effect` what is for a task of another site;
    both are set before the first effect is run.
    """

    on_owner_effect: Callable[[OwnerEffect], None]
    on_task_effect: Callable[[TaskEffect], None]

    def __init__(
        self,
        storage: SiteStorage,
        send: Callable[[str, messages.ToTarget | messages.ToSource], None],
    ) -> None:
        """Write to `storage`; `send` gets a site and a message to it, which may get lost."""
        self._storage = storage
        self._send = send
        self._closed = False

    def run_source(self, effects: Sequence[SourceEffect]) -> None:
        """Carry out what this site has decided as a source."""
        self._run("", effects)

    def run_target(self, site: str, effects: Sequence[TargetEffect]) -> None:
        """Carry out what this site has decided as the target of `site`."""
        self._run(site, effects)

    def _run(self, site: str, effects: Sequence[SourceEffect | TargetEffect]) -> None:
        """Carry effects out in order: what follows a record waits until it is on the disk.

        Guards against a start by a gateway that was closed while its record was being written.
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
        """Carry out nothing any more, not even what follows a record that is being written."""
        self._closed = True


def _record_of(site: str, effect: SourceEffect | TargetEffect) -> bytes | None:
    """Return the record that an effect writes; None for any other effect."""
    match effect:
        case handoff_source.WriteRecord(record):
            return encode_source_record(record)
        case handoff_target.WriteRecord(record):
            return encode_target_record(site, record)
    return None
