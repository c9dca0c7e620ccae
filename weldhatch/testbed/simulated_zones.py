"""Many dispatchers and servers on a virtual clock: real keepers and marshal, with delays and losses by seed.

For sizes that sockets don't reach. Agreement itself is taken as given here (`testbed/simulated_cluster.py`
tries it): a change that the leader makes is held by each dispatcher once a message of it has arrived.
"""

from __future__ import annotations

import heapq
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from weldhatch.scheduling.events import AttemptEnded, MachinesChanged, Placed, ProbeAnswered, RequestArrived
from weldhatch.scheduling.types import Effect, ListForm, MachineKind, Outcome, RequestClass, Settings
from weldhatch.scheduling.types import Machine as ListedMachine
from weldhatch.zones.failover_leader import FailoverLeader
from weldhatch.zones.failover_member import FailoverMember
from weldhatch.zones.failover_rules import FailoverTiming
from weldhatch.zones.reports import ZoneReport
from weldhatch.zones.start_quota import StartQuota
from weldhatch.zones.state import Phase, ZoneStates

STATED, DRIFT = 2.0, 0.02
ASK_S, TICK_S = 0.2, 0.05


def settings(zones: int, dispatchers: int, warm_up_offers: float = 6.0) -> Settings:
    return Settings(
        classes=(
            RequestClass("lookup", 700_000, 1_500_000),
            RequestClass("writer", 700_000, 1_500_000, Effect.UNSAFE, priority_weight=5.0),
        ),
        kinds=(MachineKind("std", 40.0, 40.0),),
        zones=tuple(f"z{n}" for n in range(zones)),
        group_size=dispatchers,
        warm_up_offers=warm_up_offers,
        fall_us=1_000_000,
        warm_up_us=6_000_000,
    )


@dataclass(slots=True)
class Machine:
    uid: str
    zone: int
    cell: int
    up: bool = True
    cold_since: float = float("-inf")
    starts: deque = field(default_factory=deque)  # of the last window
    worst: float = 0.0  # starts in a window over what it bears when just back


class Realm:
    """`at(time, what)` plans faults; `run(until)` plays. All randomness comes from `seed`."""

    def __init__(
        self,
        dispatchers: int = 64,
        machines: int = 1000,
        zones: int = 4,
        racks: int = 10,
        seed: int = 1,
        loss: float = 0.02,
        delay_s: float = 0.02,
        every_s: float = 0.05,
        times: FailoverTiming | None = None,
        silence_s: float = 0.27,
    ) -> None:
        """`silence_s`: until a start that is not answered is given up; probes are after a quarter of a
        second."""
        self.random, self.loss, self.delay_s, self.every_s = Random(seed), loss, delay_s, every_s
        self.times, self.silence_s = times or FailoverTiming(), silence_s
        self.settings = settings(zones, dispatchers)
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self.machines = [Machine(f"m{n}", n % zones, n // zones % racks) for n in range(machines)]
        self.by_zone = [
            [n for n, one in enumerate(self.machines) if one.zone == zone] for zone in range(zones)
        ]
        listed = tuple(ListedMachine(n, one.zone, 0, one.cell) for n, one in enumerate(self.machines))
        self.zones, self.changes = ZoneStates(), []
        self.keepers: list[FailoverMember] = []
        self.alive = [True] * dispatchers
        self.cut_off: set[int] = set()  # dispatchers whose words to the leader are lost
        self.blind: dict[int, set[int]] = {}  # dispatcher: zones that never answer it
        self.liars: set[int] = set()
        self._held = [0] * dispatchers
        self._heard = [0.0] * dispatchers
        self.left_at: dict[tuple[int, str], float] = {}  # dispatcher and place: when it left last
        self.leader = FailoverLeader(0.0, "l0", self.times, 1.0, 0.25 * STATED, DRIFT)
        self.leaders = 1
        self.starts = 0
        self.unheard = 0  # starts that nobody will ever answer
        for n in range(dispatchers):
            keeper = FailoverMember(
                replace(self.settings, zone=n % zones),
                DRIFT,
                Random(seed * 1000 + n),
                lambda machine: self.machines[machine].uid,
            )
            keeper.handle_event(0.0, MachinesChanged(ListForm.FULL, listed))
            self.keepers.append(keeper)
            self._later(self.random.random() * ASK_S, lambda n=n: self._ask(n))
            self._later(self.random.random() * TICK_S, lambda n=n: self._tick(n))
            self._later(self.random.random() * every_s, lambda n=n: self._work(n))
        self._later(0.05, self._lead)

    # ---- time ------------------------------------------------------------------------------------------

    def _later(self, after: float, what: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._queue, (self.now + after, self._serial, what))

    def at(self, when: float, what: Callable[[], None]) -> None:
        self._later(when - self.now, what)

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, what = heapq.heappop(self._queue)
            what()
        self.now = until

    def _send(self, what: Callable[[], None]) -> None:
        """A message: it takes a while, or is lost."""
        if self.random.random() >= self.loss:
            self._later(self.delay_s * (0.5 + self.random.expovariate(1.0)), what)

    # ---- dispatchers -----------------------------------------------------------------------------------

    def _ask(self, n: int) -> None:
        self._later(ASK_S, lambda: self._ask(n))
        if not self.alive[n] or n in self.cut_off:
            return
        told = self.keepers[n].report(self.now).to_tree()
        if n in self.liars:
            told |= {
                "cut": "",
                "looks": {place: ["down", 0, look[3], look[3]] for place, look in told["looks"].items()},
            }
        sent, held = self.now, self.keepers[n].zones.number
        self._send(lambda: self._asked(n, json.loads(json.dumps(told)), sent, held))

    def _asked(self, n: int, told: dict, sent: float, held: int) -> None:
        if self.leader is None:
            return
        self._heard[n], self._held[n] = self.now, held
        self.leader.receive_report(self.now, f"d{n}", f"d{n}.1", ZoneReport.from_tree(told))
        shares = self.leader.quotas_for(self.now, f"d{n}.1", self.zones, self.settings)
        state = json.dumps(self.zones.to_tree()) if held < self.zones.number else ""
        self._send(lambda: self._answered(n, shares, sent, state))

    def _answered(self, n: int, shares: list[StartQuota], sent: float, state: str) -> None:
        if self.alive[n] and n not in self.cut_off:
            if state:
                self._hold(n, state)
            self.keepers[n].receive_quotas(shares, sent)

    def _hold(self, n: int, state: str) -> None:
        zones = ZoneStates.from_tree(json.loads(state))
        if self.alive[n] and n not in self.cut_off and zones.number > self.keepers[n].zones.number:
            before = {
                name
                for name, one in self.keepers[n].zones.entries.items()
                if one.phase in (Phase.LEAVING, Phase.LEFT)
            }
            self.keepers[n].apply_agreed_state(self.now, zones)
            for name, one in zones.entries.items():
                if one.phase in (Phase.LEAVING, Phase.LEFT) and name not in before:
                    self.left_at[n, name] = self.now

    def _tick(self, n: int) -> None:
        self._later(TICK_S, lambda: self._tick(n))
        if self.alive[n]:
            for machine in self.keepers[n].tick(self.now):
                self._exchange(n, machine)

    def _work(self, n: int) -> None:
        """One start on a machine drawn from those that are ready here, of two."""
        self._later(self.every_s * self.random.expovariate(1.0), lambda: self._work(n))
        if not self.alive[n]:
            return
        keeper = self.keepers[n]
        for _ in range(6):
            machine = self.random.randrange(len(self.machines))
            if keeper.effective_state(self.now, machine) == "ready" and not keeper.start_refusal(
                self.now, machine, 0
            ):
                self._serial += 1
                keeper.handle_event(self.now, RequestArrived(self._serial, 0, 0, 1, 1.0, 1.0))
                self._exchange(n, machine, self._serial)
                return

    def _exchange(self, n: int, machine: int, request: int = 0) -> None:
        """A start, or a probe; what it comes to is told soon, silence when it is given up."""
        one = self.machines[machine]
        reached = one.up and one.zone not in self.blind.get(n, ())
        if request and reached:
            self.starts += 1
            self._start(one)
        self.unheard += bool(request) and not reached
        silence = self.silence_s if request else 0.27
        self._later(0.02 if reached else silence, lambda: self._told(n, machine, request, reached))

    def _start(self, one: Machine) -> None:
        if self.now - one.cold_since > 6.0:
            return
        one.starts.append(self.now)
        while self.now - one.starts[0] > 1.0:
            one.starts.popleft()
        one.worst = max(one.worst, len(one.starts) / self.settings.warm_up_offers)

    def _told(self, n: int, machine: int, request: int, reached: bool) -> None:
        if not self.alive[n]:
            return
        keeper = self.keepers[n]
        if not request:
            outcome = Outcome.OK if reached else Outcome.TIMEOUT
            keeper.handle_event(self.now, ProbeAnswered(machine, outcome))
        elif reached:
            keeper.handle_event(self.now, Placed(request, 0, machine, 0))
            self._later(
                3.0,
                lambda: keeper.handle_event(
                    self.now, AttemptEnded(request, 0, machine, Outcome.OK, closed=True)
                ),
            )
        else:
            keeper.handle_event(self.now, AttemptEnded(request, 0, machine, Outcome.TIMEOUT, closed=True))

    # ---- the leader ------------------------------------------------------------------------------------

    def _lead(self) -> None:
        self._later(0.05, self._lead)
        if self.leader is None:
            return

        def held(index: int) -> bool:
            return all(
                self._held[n] >= index or self.now - self._heard[n] > 0.8 * STATED
                for n in range(len(self.keepers))
            )

        self.leader.set_members({f"d{n}" for n in range(len(self.keepers))})
        for change in self.leader.due_changes(self.now, self.zones, self.settings, held):
            result = self.zones.apply(self.zones.number + 1, change.to_tree(), self.settings.zones)
            if "error" not in result:
                self.changes.append(
                    (
                        round(self.now, 2),
                        change.place,
                        change.phase.value,
                        change.step or 0,
                        change.reason,
                    )
                )
                state = json.dumps(self.zones.to_tree())
                for n in range(len(self.keepers)):
                    self._send(lambda n=n, state=state: self._hold(n, state))

    def kill_leader(self, gone_s: float = 0.8) -> None:
        """It dies; another leads after a while, and knows only what was decided."""
        self.leader = None

        def elected() -> None:
            self.leader = FailoverLeader(self.now, f"l{self.leaders}", self.times, 1.0, 0.25 * STATED, DRIFT)
            self.leaders += 1

        self._later(gone_s, elected)

    # ---- faults ----------------------------------------------------------------------------------------

    def fail_zone(self, zone: int, cell: int | None = None) -> None:
        for n in self.by_zone[zone]:
            if cell is None or self.machines[n].cell == cell:
                self.machines[n].up = False

    def return_zone(self, zone: int) -> None:
        for n in self.by_zone[zone]:
            self.machines[n].up, self.machines[n].cold_since = True, self.now
            self.machines[n].starts.clear()

    # ---- what came of it -------------------------------------------------------------------------------

    def leaves(self, place: str) -> list[float]:
        return [when for when, name, phase, _, _ in self.changes if name == place and phase == "leaving"]

    def oscillations(self, failures: dict[str, int]) -> int:
        """FailoverTiming that a place was left beyond its true failures."""
        left = [name for _, name, phase, _, _ in self.changes if phase == "leaving"]
        return sum(max(0, left.count(name) - failures.get(name, 0)) for name in set(left))

    @property
    def peak(self) -> float:
        return max(one.worst for one in self.machines)
