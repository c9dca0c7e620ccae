"""The budget of descriptors: every socket holds one slot of it and gives it back in one place."""

from __future__ import annotations

from collections.abc import Callable

RESERVED = 24  # standard streams, the event loop's own, a few files


class NoDescriptor(OSError):
    """No slot is left for a further socket: this says nothing of the other side."""


class Budget:
    """How many sockets may be open at once. A listener that found none left is woken by the next return."""

    def __init__(self, descriptors: int) -> None:
        self.most = max(8, descriptors - RESERVED)
        self.held = 0
        self._reserved = 0  # free slots that only the share which reserved them may take
        self._waiting: list[Callable[[], None]] = []

    def reserve(self, slots: int) -> None:
        self._reserved += slots

    def take(self, reserved: bool = False) -> bool:
        if reserved:
            self._reserved -= 1
        elif self.held + self._reserved >= self.most:
            return False
        self.held += 1
        return True

    def give_back(self, reserved: bool = False) -> None:
        self.held -= 1
        self._reserved += reserved
        waiting, self._waiting = self._waiting, []
        for wake in waiting:
            wake()

    def when_free(self, wake: Callable[[], None]) -> None:
        self._waiting.append(wake)


class Share:
    """A part of the budget: what one group of sockets may hold of it.

    `reserved`: slots that are kept for this group, however many sockets the others ask for.
    """

    def __init__(self, budget: Budget, most: int, reserved: int = 0) -> None:
        self._budget, self.most, self.held = budget, most, 0
        self._reserved = reserved
        self._waiting: list[Callable[[], None]] = []
        budget.reserve(reserved)

    def take(self) -> bool:
        if self.held >= self.most or not self._budget.take(reserved=self.held < self._reserved):
            return False
        self.held += 1
        return True

    def give_back(self) -> None:
        self.held -= 1
        self._budget.give_back(reserved=self.held < self._reserved)
        waiting, self._waiting = self._waiting, []
        for wake in waiting:
            wake()

    def when_free(self, wake: Callable[[], None]) -> None:
        (self._waiting if self.held >= self.most else self._budget._waiting).append(wake)
