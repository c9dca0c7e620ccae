"""The budget of descriptors: every socket holds one slot of it and gives it back in one place."""

from __future__ import annotations

from collections.abc import Callable

RESERVED = 24  # standard streams, the event loop's own, a few files


class NoDescriptor(OSError):
    """No slot is left for a further socket: this says nothing of the other side."""


class Budget:
    """How many sockets may be open at once. A listener that found none left is woken by the next return."""

    def __init__(self, descriptors: int, kept: int = 0) -> None:
        """`kept`: sockets of the process that don't come from here."""
        self.most = max(8, descriptors - RESERVED) - kept
        self.held = 0
        self._waiting: list[Callable[[], None]] = []

    def take(self) -> bool:
        if self.held >= self.most:
            return False
        self.held += 1
        return True

    def give_back(self) -> None:
        self.held -= 1
        waiting, self._waiting = self._waiting, []
        for wake in waiting:
            wake()

    def when_free(self, wake: Callable[[], None]) -> None:
        self._waiting.append(wake)


class Share:
    """A part of the budget: what one group of sockets may hold of it."""

    def __init__(self, budget: Budget, most: int) -> None:
        self._budget, self.most, self.held = budget, most, 0
        self._waiting: list[Callable[[], None]] = []

    @property
    def spent(self) -> bool:
        """Whether all of this part is held; what it lacks otherwise, others hold."""
        return self.held >= self.most

    def take(self) -> bool:
        if self.held >= self.most or not self._budget.take():
            return False
        self.held += 1
        return True

    def give_back(self) -> None:
        self.held -= 1
        self._budget.give_back()
        waiting, self._waiting = self._waiting, []
        for wake in waiting:
            wake()

    def when_free(self, wake: Callable[[], None]) -> None:
        (self._waiting if self.held >= self.most else self._budget._waiting).append(wake)
