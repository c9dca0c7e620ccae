"""State shared by all parts of one policy: settings, time, random source, timers and actions."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import TypeVar

from weldhatch.scheduling.actions import Action, SetTimer
from weldhatch.scheduling.types import Settings

ANSWER_MARGIN_US = 12_000  # final answers are given this long plus two ticks before the deadline
MANY_DISPATCHERS = 8  # from this group size on, one dispatcher sees too few tasks to know where programs are
MAX_TIMER_US = 4_200_000_000  # the simulator protocol has 32 bits for a delay
TIMER_ID_MASK = 0xFFFFFFFF

Item = TypeVar("Item")


class DecisionContext:
    """Inputs and outputs of a batch of decisions. Only `Policy` starts batches."""

    __slots__ = (
        "_last_timer",
        "_timers",
        "actions",
        "answer_margin_us",
        "many_dispatchers",
        "now",
        "random",
        "settings",
        "started_at",
    )

    def __init__(self, settings: Settings, random: Random) -> None:
        """Create a context at time 0; `random` is the only random source of the policy."""
        self.random = random
        self.now = 0  # microseconds
        self.started_at = 0  # time of the first batch
        self.actions: list[Action] = []
        self._timers: dict[int, tuple[Callable[..., None], tuple[object, ...]]] = {}
        self._last_timer = 0
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Replace the settings."""
        self.settings = settings
        self.answer_margin_us = ANSWER_MARGIN_US + 2 * settings.tick_us
        self.many_dispatchers = settings.group_size >= MANY_DISPATCHERS

    def begin_batch(self, now: int) -> None:
        """Start a batch of events; if the clock has gone backwards, the previous time is kept."""
        self.now = max(now, self.now)
        self.started_at = self.started_at or self.now
        self.actions = []

    def schedule(self, wait_us: float, callback: Callable[..., None], *arguments: object) -> None:
        """Call `callback` after a delay, through a timer of the host program."""
        self._last_timer = (self._last_timer + 1) & TIMER_ID_MASK
        self._timers[self._last_timer] = (callback, arguments)
        self.actions.append(SetTimer(max(0, min(int(wait_us), MAX_TIMER_US)), self._last_timer))

    def fire(self, timer: int) -> None:
        """Run the callback of a timer; unknown timers are ignored."""
        scheduled = self._timers.pop(timer, None)
        if scheduled is not None:
            callback, arguments = scheduled
            callback(*arguments)

    def jitter(self, wait_us: float) -> float:
        """Multiply a delay by a random factor, uniform between 0.5 and 1.5."""
        return wait_us * (0.5 + self.random.random())

    def in_random_order(self, items: Iterable[Item]) -> Iterator[Item]:
        """Yield the items in random order; each is drawn only when the consumer asks for it."""
        remaining = list(items)
        for remaining_count in range(len(remaining), 0, -1):
            index = int(self.random.random() * remaining_count)
            yield remaining[index]
            remaining[index] = remaining[remaining_count - 1]
