"""The budget of descriptors: every socket holds one slot of it and gives it back in one place."""

from __future__ import annotations

from collections.abc import Callable

RESERVED_DESCRIPTORS = 24  # standard streams, the event loop's own, a few files


class NoDescriptorError(OSError):
    """No slot is left for another socket: this says nothing of the other side."""


class DescriptorBudget:
    """How many sockets may be open at once. A listener that found none left is woken by the next return."""

    def __init__(self, descriptors: int, excluded: int = 0) -> None:
        """Budget `descriptors` of the process; `kept` are its sockets that don't come from here."""
        self.limit = max(8, descriptors - RESERVED_DESCRIPTORS) - excluded
        self.held = 0
        self._waiting: list[Callable[[], None]] = []

    def take(self) -> bool:
        """Take a slot; False where none is left."""
        if self.held >= self.limit:
            return False
        self.held += 1
        return True

    def give_back(self) -> None:
        """Give a slot back, and wake all that wait for one."""
        self.held -= 1
        waiting = self._waiting
        self._waiting = []
        for wake in waiting:
            wake()

    def when_free(self, wake: Callable[[], None]) -> None:
        """Call `wake` once, when the next slot is given back."""
        self._waiting.append(wake)


class DescriptorShare:
    """A part of the budget: what one group of sockets may hold of it."""

    def __init__(self, budget: DescriptorBudget, limit: int) -> None:
        """Hold at most `most` slots of the budget."""
        self._budget = budget
        self.limit = limit
        self.held = 0
        self._waiting: list[Callable[[], None]] = []

    @property
    def is_exhausted(self) -> bool:
        """Whether all of this part is held; what it lacks otherwise, others hold."""
        return self.held >= self.limit

    def take(self) -> bool:
        """Take a slot; False where this part or the budget has none left."""
        if self.held >= self.limit or not self._budget.take():
            return False
        self.held += 1
        return True

    def give_back(self) -> None:
        """Give a slot back, and wake all that wait for one of the budget, then those of this part."""
        self.held -= 1
        self._budget.give_back()
        waiting = self._waiting
        self._waiting = []
        for wake in waiting:
            wake()

    def when_free(self, wake: Callable[[], None]) -> None:
        """Call `wake` once, when the next slot is given back of what is used up: this part, or the budget."""
        (self._waiting if self.held >= self.limit else self._budget._waiting).append(wake)
