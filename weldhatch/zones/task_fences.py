"""Tracks tasks that may still run in a left place and must not be started again meanwhile. Pure."""

from __future__ import annotations

from weldhatch.scheduling.types import Effect
from weldhatch.zones.load_accounting import LoadAccounting, PendingRequest, RunningTask
from weldhatch.zones.local_view import LocalView
from weldhatch.zones.observations import ExchangeResult, Observations
from weldhatch.zones.request_rejection import DEFAULT_RETRY_AFTER_S, Rejection

MAX_KEYS_PER_COMMAND = 500
POSSIBLY_RUNNING_S = 10.0  # how long an attempt without an answer counts as possibly running
MAX_POSSIBLY_RUNNING = 5000


class TaskFences:
    """Fences unsafe tasks until their place serves again, and idempotent ones for their time window."""

    def __init__(
        self, view: LocalView, load: LoadAccounting, observations: Observations, is_enabled: bool
    ) -> None:
        """Without `is_enabled`, running tasks are not fenced; that is left to their owners."""
        self._view = view
        self._load = load
        self._observations = observations
        self._is_enabled = is_enabled
        self._by_place: dict[str, set[str]] = {}  # keys of own tasks not yet fenced by the group
        self._possibly_running: dict[str, tuple[int, float]] = {}  # by key: machine, time of the loss
        self._windows: dict[str, float] = {}  # by key of an idempotent task: end of its window

    def note_lost(self, now: float, task: PendingRequest | RunningTask | None, machine: int) -> None:
        """Record an unsafe task that may still run after its answer or its connection was lost."""
        if task is None or not task.key:
            return
        if self._view.settings.classes[task.class_index].effect is Effect.UNSAFE:
            self._possibly_running[f"{task.key:x}"] = machine, now
            if len(self._possibly_running) > MAX_POSSIBLY_RUNNING:
                del self._possibly_running[next(iter(self._possibly_running))]

    def place_left(self, now: float, name: str) -> None:
        """Fence the tasks that may run in a place when it is left."""
        unsafe = self._running_in(now, name) if self._is_enabled else set()
        # The answer to a start may have been lost: the task runs, while its owner gives up and retries.
        unsafe |= {
            key
            for key, (machine, at) in self._possibly_running.items()
            if now - at <= POSSIBLY_RUNNING_S
            and name in self._view.places_of(machine)
            and not self._is_proved_dead(now, machine)
        }
        if unsafe:
            self._by_place[name] = unsafe

    def _running_in(self, now: float, name: str) -> set[str]:
        """Return the keys of unsafe tasks that run in a place, and start the window of idempotent ones."""
        unsafe: set[str] = set()
        for machine, requests in self._load.requests_on.items():
            if name not in self._view.places_of(machine) or self._is_proved_dead(now, machine):
                continue
            for request in requests:
                task = self._load.running[request]
                cls = self._view.settings.classes[task.class_index]
                if task.key and cls.effect is Effect.UNSAFE:
                    unsafe.add(f"{task.key:x}")
                elif task.key and cls.effect is Effect.KEYED:
                    self._windows[f"{task.key:x}"] = now + cls.window_us / 1e6
        return unsafe

    def _is_proved_dead(self, now: float, machine: int) -> bool:
        """Return whether a machine's process is gone: a refused connection proves it, silence does not."""
        record = self._observations.machines.get(machine)
        return record is not None and record.fails(now) and record.last_failure is ExchangeResult.REFUSED

    def place_not_left(self, name: str) -> None:
        """Discard unreported fences of a place that is no longer left."""
        self._by_place.pop(name, None)

    def unreported(self) -> tuple[str, list[str]]:
        """Return a place and keys of own tasks there, to be fenced by the group; ('', []) if none."""
        for name in list(self._by_place):
            fenced = self._view.zones.fenced
            keys = [key for key in sorted(self._by_place[name]) if key not in fenced][:MAX_KEYS_PER_COMMAND]
            if keys:
                return name, keys
            del self._by_place[name]  # the group has fenced all of them
        return "", []

    def rejection(self, now: float, key: int) -> Rejection | None:
        """Return why a task with the key is not started now, or None if it may be."""
        key_text = f"{key:x}"
        fenced = self._view.zones.fenced
        if key_text in fenced:
            return Rejection(DEFAULT_RETRY_AFTER_S, f"it may still run in {fenced[key_text][0]}")
        until = self._windows.get(key_text)
        if until is None:
            return None
        if now < until:
            return Rejection(min(DEFAULT_RETRY_AFTER_S, until - now), "its window by hall is not over")
        del self._windows[key_text]
        return None
