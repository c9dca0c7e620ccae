"""Ends of tasks that no client has reported yet, and running tasks on machines that are not listed yet."""

from __future__ import annotations

import time
from collections.abc import Callable

from weldhatch.core.messages import Ended
from weldhatch.platform.server_records import TaskRecord
from weldhatch.scheduling.types import Outcome

MAX_UNCLAIMED_ENDS = 4096  # kept ends of tasks that no client has reported yet
UNCLAIMED_END_TIMEOUT_S = 10.0  # how long such an end is kept
UNLISTED_TASK_TIMEOUT_S = 6.0  # until the task is lost; its client must be notified within 8 s


class UnmatchedTasks:
    """Keeps ends until their task is reported, and running tasks until their machine is listed."""

    def __init__(self, log: Callable[[str], None]) -> None:
        """Start empty."""
        self._log = log
        self._unclaimed: dict[bytes, tuple[float, Ended]] = {}  # time of arrival and end by tag, oldest first
        self._unlisted: dict[int, dict[bytes, TaskRecord]] = {}

    @property
    def has_unclaimed(self) -> bool:
        """Whether any unclaimed end is kept."""
        return bool(self._unclaimed)

    def keep_end(self, tag: bytes, ended: Ended) -> None:
        """Keep the end of an unknown task: after a restart it may arrive before its client reports it."""
        self._unclaimed[tag] = (time.monotonic(), ended)
        if len(self._unclaimed) > MAX_UNCLAIMED_ENDS:
            del self._unclaimed[next(iter(self._unclaimed))]

    def claim_end(self, tag: bytes) -> Ended | None:
        """Remove and return the end of this task, if it has arrived."""
        kept = self._unclaimed.pop(tag, None)
        return kept[1] if kept is not None else None

    def keep_unlisted(self, machine: int, tag: bytes, record: TaskRecord) -> None:
        """Keep a running task until its machine is listed.

        At a start, clients may report their tasks before the list is current; those tasks are not lost.
        """
        self._unlisted.setdefault(machine, {})[tag] = record

    def unlisted(self, machine: int, tag: bytes) -> TaskRecord | None:
        """Return the record of a running task on a machine that is not listed."""
        return self._unlisted.get(machine, {}).get(tag)

    def take_listed(self, machine: int) -> dict[bytes, TaskRecord] | None:
        """Remove and return the running tasks of a machine that is now listed."""
        return self._unlisted.pop(machine, None)

    def expire_unlisted(self, now: float) -> None:
        """End as lost the tasks whose machine was not listed in time (`now`: Unix seconds)."""
        for machine, unlisted in list(self._unlisted.items()):
            for tag, record in list(unlisted.items()):
                if now - record.running_since > UNLISTED_TASK_TIMEOUT_S:
                    del unlisted[tag]
                    self._log(f"a task is lost: its machine {machine} is not listed")
                    record.receiver.deliver(Ended(0, Outcome.RESET))
            if not unlisted:
                del self._unlisted[machine]

    def expire_unclaimed(self, now: float) -> None:
        """Drop the ends that no client has claimed in time (`now`: monotonic seconds)."""
        for tag, (kept_at, _) in list(self._unclaimed.items()):
            if now - kept_at < UNCLAIMED_END_TIMEOUT_S:
                break
            del self._unclaimed[tag]
