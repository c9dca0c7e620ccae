"""What one dispatcher's own work tells of zones: what stands where, what arrives, what starts come to. Pure.

It hears the events that the module hears, so it needs nothing of either front.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from weldhatch.scheduling import types as i

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
        self._rates: dict[tuple[int, int], deque[tuple[float, float]]] = {}  # by class and tenant
        self._sums: dict[tuple[int, int], float] = {}
        self.standing: dict[int, Standing] = {}
        self.by_machine: dict[int, set[int]] = {}  # requests that stand there
        self.starts: dict[str, Starts] = {}  # by place
        self.cores_on: dict[int, float] = {}  # by machine, of our tasks

    def arrived(self, now: float, e: i.RequestArrived) -> None:
        self._arrived[e.request] = Asked(e.class_index, e.cores, e.key)
        if len(self._arrived) > ARRIVED_MOST:
            del self._arrived[next(iter(self._arrived))]
        self.wanted(now, e.class_index, e.tenant, e.cores)

    def wanted(self, now: float, class_index: int, tenant: int, cores: float) -> None:
        """New work, whether it was taken up or not."""
        key = class_index, tenant
        self._rates.setdefault(key, deque()).append((now, cores))
        self._sums[key] = self._sums.get(key, 0.0) + cores
        self._prune(now, key)

    def _prune(self, now: float, key: tuple[int, int]) -> None:
        told = self._rates[key]
        while told and now - told[0][0] > RATE_S:
            self._sums[key] -= told.popleft()[1]

    def rates(self, now: float) -> dict[tuple[int, int], float]:
        """Cores a second of new work, by class and tenant."""
        for key in self._rates:
            self._prune(now, key)
        return {key: max(0.0, cores) / RATE_S for key, cores in self._sums.items()}

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
