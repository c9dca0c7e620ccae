"""The budget of file descriptors: every open socket holds one slot of it."""

from __future__ import annotations

from collections.abc import Callable

RESERVED_DESCRIPTORS = 24  # for standard streams, the event loop and a few files


class NoDescriptorError(OSError):
    """No slot is left for another socket. The error does not reflect the state of the peer."""


class DescriptorBudget:
    """Limits how many sockets may be open at once. Callbacks waiting for a slot run when one is returned."""

    def __init__(self, descriptors: int, excluded: int = 0) -> None:
        """Budget the process's `descriptors`, less `excluded` for sockets that take no slot here."""
        self.limit = max(8, descriptors - RESERVED_DESCRIPTORS) - excluded
        self.held = 0
        self._waiting: list[Callable[[], None]] = []

    def take(self) -> bool:
        """Take a slot; return False if none is left."""
        if self.held >= self.limit:
            return False
        self.held += 1
        return True

    def give_back(self) -> None:
        """Return a slot and run all waiting callbacks."""
        self.held -= 1
        waiting = self._waiting
        self._waiting = []
        for wake in waiting:
            wake()

    def when_free(self, wake: Callable[[], None]) -> None:
        """Call `wake` once, when the next slot is returned."""
        self._waiting.append(wake)


class DescriptorShare:
    """The part of the budget that one group of sockets may hold."""

    def __init__(self, budget: DescriptorBudget, limit: int) -> None:
        """Allow at most `limit` slots of the budget."""
        self._budget = budget
        self.limit = limit
        self.held = 0
        self._waiting: list[Callable[[], None]] = []

    @property
    def is_exhausted(self) -> bool:
        """Whether this share is used up. If not and `take` fails, the whole budget is used up."""
        return self.held >= self.limit

    def take(self) -> bool:
        """Take a slot; return False if this share or the budget is used up."""
        if self.held >= self.limit or not self._budget.take():
            return False
        self.held += 1
        return True

    def give_back(self) -> None:
        """Return a slot; run the callbacks that wait for the budget, then those that wait for this share."""
        self.held -= 1
        self._budget.give_back()
        waiting = self._waiting
        self._waiting = []
        for wake in waiting:
            wake()

    def when_free(self, wake: Callable[[], None]) -> None:
        """Call `wake` once, when a slot is returned to this share if it is used up, else to the budget."""
        (self._waiting if self.held >= self.limit else self._budget._waiting).append(wake)
