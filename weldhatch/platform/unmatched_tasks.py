"""Ends of tasks that no client has named yet, and tasks on machines that no list has named."""

from __future__ import annotations

import time
from collections.abc import Callable

from weldhatch.core.messages import Ended
from weldhatch.platform.server_records import TaskRecord
from weldhatch.scheduling.types import Outcome

MAX_UNCLAIMED_ENDS = 4096  # ends of tasks that no client has named yet
UNCLAIMED_END_TIMEOUT_S = 10.0  # how long they are kept
UNLISTED_TASK_TIMEOUT_S = (
    6.0  # a task on a machine that is not listed by then is lost; its client must hear within 8 s
)


class UnmatchedTasks:
    """Ends without a task, and running tasks without a machine: each waits for its other half."""

    def __init__(self, log: Callable[[str], None]) -> None:
        """Start empty."""
        self._log = log
        self._unclaimed: dict[bytes, tuple[float, Ended]] = {}  # the oldest first
        self._unlisted: dict[int, dict[bytes, TaskRecord]] = {}

    @property
    def has_unclaimed(self) -> bool:
        """Whether the end of a task that no client has named is kept."""
        return bool(self._unclaimed)

    def keep_end(self, tag: bytes, ended: Ended) -> None:
        """Guards against a race after a restart: the release may come before the client names the task."""
        self._unclaimed[tag] = (time.monotonic(), ended)
        if len(self._unclaimed) > MAX_UNCLAIMED_ENDS:
            del self._unclaimed[next(iter(self._unclaimed))]

    def claim_end(self, tag: bytes) -> Ended | None:
        """Take the end of this task, if it has come."""
        kept = self._unclaimed.pop(tag, None)
        return kept[1] if kept is not None else None

    def keep_unlisted(self, machine: int, tag: bytes, record: TaskRecord) -> None:
        """Guards against tasks reported lost at a start: clients name them before the list is up to date."""
        self._unlisted.setdefault(machine, {})[tag] = record

    def unlisted(self, machine: int, tag: bytes) -> TaskRecord | None:
        """Return the record of a running task on a machine that no list has named."""
        return self._unlisted.get(machine, {}).get(tag)

    def take_listed(self, machine: int) -> dict[bytes, TaskRecord] | None:
        """Take the running tasks of a machine that a list has named now."""
        return self._unlisted.pop(machine, None)

    def expire_unlisted(self, now: float) -> None:
        """Lose tasks whose machine no list has named in time (`now` in Unix seconds)."""
        for machine, unlisted in list(self._unlisted.items()):
            for tag, record in list(unlisted.items()):
                if now - record.running_since > UNLISTED_TASK_TIMEOUT_S:
                    del unlisted[tag]
                    self._log(f"a task on machine {machine}, which no list has named")
                    record.receiver.deliver(Ended(0, Outcome.RESET))
            if not unlisted:
                del self._unlisted[machine]

    def expire_unclaimed(self, now: float) -> None:
        """Drop ends that no client has claimed in time (`now` in monotonic seconds)."""
        for tag, (kept_at, _) in list(self._unclaimed.items()):
            if now - kept_at < UNCLAIMED_END_TIMEOUT_S:
                break
            del self._unclaimed[tag]
