"""What one dispatcher's own work tells of zones: what stands where, what arrives, what starts come to. Pure.

It hears the events that the module hears, so it needs nothing of either front.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from weldhatch import interface as i

RATE_S = 4.0  # new work is counted over so long
ARRIVED_MOST = 20_000  # requests remembered until they are placed; the oldest go first


@dataclass(slots=True)
class Asked:
    class_index: int
    cores: float
    key: int


@dataclass(slots=True)
class Standing:
    class_index: int
    cores: float
    key: int
    machine: int


@dataclass(slots=True)
class Starts:
    """At one place since it was asked for first: offers sent, those that were taken, and what went wrong."""

    sent: int = 0
    ran: int = 0
    trouble: int = 0


class Tally:
    def __init__(self) -> None:
        self._arrived: dict[int, Asked] = {}
        self._rates: dict[int, deque[tuple[float, float]]] = {}
        self._sums: dict[int, float] = {}
        self.standing: dict[int, Standing] = {}
        self.by_machine: dict[int, set[int]] = {}  # requests that stand there
        self.starts: dict[str, Starts] = {}  # by place
        self.cores_on: dict[int, float] = {}  # by machine, of our tasks

    def arrived(self, now: float, e: i.RequestArrived) -> None:
        self._arrived[e.request] = Asked(e.class_index, e.cores, e.key)
        if len(self._arrived) > ARRIVED_MOST:
            del self._arrived[next(iter(self._arrived))]
        self._rates.setdefault(e.class_index, deque()).append((now, e.cores))
        self._sums[e.class_index] = self._sums.get(e.class_index, 0.0) + e.cores
        self._prune(now, e.class_index)

    def _prune(self, now: float, class_index: int) -> None:
        told = self._rates[class_index]
        while told and now - told[0][0] > RATE_S:
            self._sums[class_index] -= told.popleft()[1]

    def rate(self, now: float, class_index: int) -> float:
        """Cores a second of new work."""
        if class_index not in self._rates:
            return 0.0
        self._prune(now, class_index)
        return max(0.0, self._sums[class_index]) / RATE_S

    def adopted(self, e: i.TaskAdopted) -> None:
        self._stand(e.request, Standing(e.class_index, e.cores, e.key, e.machine))

    def placed(self, request: int, machine: int) -> None:
        asked = self._arrived.pop(request, None)
        if asked is not None:
            self._stand(request, Standing(asked.class_index, asked.cores, asked.key, machine))

    def _stand(self, request: int, one: Standing) -> None:
        self.standing[request] = one
        self.by_machine.setdefault(one.machine, set()).add(request)
        self.cores_on[one.machine] = self.cores_on.get(one.machine, 0.0) + one.cores

    def ended(self, request: int) -> Standing | None:
        """A task that stood is over, or a request is; what stood."""
        one = self.standing.pop(request, None)
        if one is None:
            return None
        there = self.by_machine[one.machine]
        there.discard(request)
        self.cores_on[one.machine] -= one.cores
        if not there:
            del self.by_machine[one.machine], self.cores_on[one.machine]
        return one

    def asked(self, request: int) -> Asked | None:
        """A request that is under way and not placed."""
        return self._arrived.get(request)

    def over(self, request: int) -> None:
        self._arrived.pop(request, None)

    def at(self, place: str) -> Starts:
        return self.starts.setdefault(place, Starts())
