"""Sampling: which machines a request draws, and the homes of its service.

Power of d choices with the load of each drawn machine probed (Xie, Dong, Lu, Srikant, "Power of d Choices for
Large-Scale Bin Packing: A Loss Model", SIGMETRICS 2015).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from itertools import islice

from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.eligibility import Eligibility
from weldhatch.scheduling.ranking import HOME, MachineRanking

DRAWN = 2  # machines drawn for a request: the paper's d
HOMES = 2  # machines that every dispatcher favours for a service, so that its program is there for all
RANKED = 16  # the first machines in a service's order that are kept
SERVICES = 1024  # for so many services
MASK = (1 << 64) - 1  # ranks are hashed in 64 bits


def rendezvous_rank(service: int, machine: int) -> int:
    """Rendezvous hashing: the same order of machines for a service at every dispatcher, without any talk."""
    mixed = (service * 0x9E3779B97F4A7C15 ^ machine * 0xC2B2AE3D27D4EB4F) & MASK
    mixed = (mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9 & MASK
    return mixed ^ mixed >> 32


class Sampler:
    """Draws machines for requests."""

    def __init__(
        self,
        context: DecisionContext,
        cluster: ClusterState,
        eligibility: Eligibility,
        ranking: MachineRanking,
    ) -> None:
        """Draw from the machines that are eligible, in the order of this ranking."""
        self._context = context
        self._cluster = cluster
        self._eligibility = eligibility
        self._ranking = ranking
        # By service: the version of the list, and the first machines in the service's order.
        self._orders: dict[int, tuple[int, list[MachineRecord]]] = {}

    def reconfigure(self) -> None:
        """Forget the orders of services."""
        self._orders.clear()

    def draw(self, request: RequestRecord) -> list[MachineRecord]:
        """Draw from the lowest tier, looking at no more of the fleet, in random order, than that takes."""
        tiers = self._candidate_tiers(request)
        found = list(tiers)
        self._context.random.shuffle(found)
        drawn = sorted(found, key=tiers.__getitem__)[:DRAWN]
        request.drawn = [machine.entry.id for machine in drawn]
        request.drawn_tier = max((tiers[machine] for machine in drawn), default=0)
        return drawn

    def _candidate_tiers(self, request: RequestRecord) -> dict[MachineRecord, int]:
        """The machines to draw from, with the tier of each."""
        eligible = self._eligibility.eligible
        tier = self._ranking.tier
        # First the machines with the program, then the homes.
        preferred = dict.fromkeys(self._cluster.placements.of(request.service))
        if not self._context.settings.by_service:  # else no other dispatcher has tasks of the service
            request.homes = self._homes(request)
            preferred |= dict.fromkeys(request.homes)
        tiers = {
            machine: tier(request, machine) for machine in preferred if eligible(request, machine, False)
        }
        good = sum(one <= HOME for one in tiers.values())
        for machine in self._context.in_random_order(self._cluster.machines.values()):
            if good >= DRAWN:  # no other machine is of a lower tier
                break
            if machine not in preferred and eligible(request, machine, False):
                tiers[machine] = tier(request, machine)
                good += tiers[machine] <= HOME
        if not tiers and self._eligibility.none_usable():
            tiers = {
                machine: tier(request, machine)
                for machine in self._cluster.machines.values()
                if self._eligibility.permitted(request, machine)
            }
        return tiers

    def _homes(self, request: RequestRecord) -> list[MachineRecord]:
        """The first HOMES eligible machines in the service's rendezvous order, as a full sort would give.

        Guards the cost per request: only the first RANKED of the order are worked out once a list version,
        and the whole fleet is sorted only where too few of those are eligible.
        """
        machines = self._cluster.machines

        def rank(machine: MachineRecord) -> int:
            return rendezvous_rank(request.service, machine.entry.id)

        version, first = self._orders.pop(request.service, (-1, []))
        if version != self._cluster.list_version:
            first = heapq.nsmallest(RANKED, machines.values(), key=rank)
        self._orders[request.service] = (self._cluster.list_version, first)
        if len(self._orders) > SERVICES:  # the least lately drawn service is forgotten
            del self._orders[next(iter(self._orders))]
        homes = self._first_eligible(request, first)
        if len(homes) < HOMES and len(first) < len(machines):
            homes = self._first_eligible(request, sorted(machines.values(), key=rank))
        return homes

    def _first_eligible(
        self, request: RequestRecord, machines: Iterable[MachineRecord]
    ) -> list[MachineRecord]:
        eligible = self._eligibility.eligible
        return list(islice((machine for machine in machines if eligible(request, machine, False)), HOMES))
