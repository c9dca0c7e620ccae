"""What all parts of one policy share: settings, the present time, chance, timers and the actions so far."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import TypeVar

from weldhatch.scheduling.actions import Action, SetTimer
from weldhatch.scheduling.types import Settings

ANSWER_MARGIN_US = 12_000  # final answers leave this long and two ticks before the deadline
MANY_DISPATCHERS = 8  # from this many on, each sees too few of a service's tasks to know where its program is
LONGEST_TIMER_US = 4_200_000_000  # the simulator's wire has 32 bits for a wait
TIMER_ID_MASK = 0xFFFFFFFF

Item = TypeVar("Item")


class DecisionContext:
    """The surroundings of every decision. The parts read it; only `Policy` starts batches."""

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
        """Start with no time known; `random` is the policy's one source of chance."""
        self.random = random
        self.now = 0  # microseconds
        self.started_at = 0  # when the first batch came
        self.actions: list[Action] = []
        self._timers: dict[int, tuple[Callable[..., None], tuple[object, ...]]] = {}
        self._last_timer = 0
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Decide by these settings from now on."""
        self.settings = settings
        self.answer_margin_us = ANSWER_MARGIN_US + 2 * settings.tick_us
        self.many_dispatchers = settings.group_size >= MANY_DISPATCHERS

    def begin_batch(self, now: int) -> None:
        """Start a batch of events at this time; a clock that goes backwards stands still."""
        self.now = max(now, self.now)
        self.started_at = self.started_at or self.now
        self.actions = []

    def schedule(self, wait_us: float, callback: Callable[..., None], *arguments: object) -> None:
        """Call back after a wait, by a timer of the host program."""
        self._last_timer = (self._last_timer + 1) & TIMER_ID_MASK
        self._timers[self._last_timer] = (callback, arguments)
        self.actions.append(SetTimer(max(0, min(int(wait_us), LONGEST_TIMER_US)), self._last_timer))

    def fire(self, timer: int) -> None:
        """Run what was scheduled under this timer; one that is not known is ignored."""
        scheduled = self._timers.pop(timer, None)
        if scheduled is not None:
            callback, arguments = scheduled
            callback(*arguments)

    def jitter(self, wait_us: float) -> float:
        """Spread a wait evenly over 0.5 to 1.5 of it."""
        return wait_us * (0.5 + self.random.random())

    def in_random_order(self, items: Iterable[Item]) -> Iterator[Item]:
        """Yield the items in random order, each drawn only when it is asked for."""
        rest = list(items)
        for left in range(len(rest), 0, -1):
            at = int(self.random.random() * left)
            yield rest[at]
            rest[at] = rest[left - 1]
