"""Sampling: the machines drawn for a request, and the homes of its service.

Power of d choices with a probe of each drawn machine (Xie, Dong, Lu, Srikant, "Power of d Choices for
Large-Scale Bin Packing: A Loss Model", SIGMETRICS 2015). The homes of a service are the machines that every
dispatcher prefers for it, so that its program is cached there for all of them.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from itertools import islice

from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.eligibility import Eligibility
from weldhatch.scheduling.ranking import HOME_TIER, MachineRanking

SAMPLE_SIZE = 2  # machines drawn for a request; d in the paper
HOMES_PER_SERVICE = 2  # preferred machines of a service
CACHED_ORDER_LENGTH = 16  # machines cached from the rendezvous order of a service
MAX_CACHED_ORDERS = 1024  # services with a cached order
MASK_64_BITS = (1 << 64) - 1  # ranks are 64-bit hashes


def rendezvous_rank(service: int, machine: int) -> int:
    """Rendezvous hash: gives every dispatcher the same machine order for a service without messages."""
    mixed = (service * 0x9E3779B97F4A7C15 ^ machine * 0xC2B2AE3D27D4EB4F) & MASK_64_BITS
    mixed = (mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9 & MASK_64_BITS
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
        """Draw eligible machines, lower tiers of `ranking` first."""
        self._context = context
        self._cluster = cluster
        self._eligibility = eligibility
        self._ranking = ranking
        # By service: the list version, and the first machines in the service's rendezvous order.
        self._orders: dict[int, tuple[int, list[MachineRecord]]] = {}

    def reconfigure(self) -> None:
        """Clear the cached orders."""
        self._orders.clear()

    def draw(self, request: RequestRecord) -> list[MachineRecord]:
        """Draw machines of the lowest tiers, examining the fleet in random order only as far as needed."""
        tiers = self._candidate_tiers(request)
        candidates = list(tiers)
        self._context.random.shuffle(candidates)
        drawn = sorted(candidates, key=tiers.__getitem__)[:SAMPLE_SIZE]
        request.drawn = [machine.entry.id for machine in drawn]
        request.drawn_tier = max((tiers[machine] for machine in drawn), default=0)
        return drawn

    def _candidate_tiers(self, request: RequestRecord) -> dict[MachineRecord, int]:
        """Return the machines to draw from, with the tier of each."""
        eligible = self._eligibility.eligible
        tier = self._ranking.tier
        # Machines with the program first, then the homes.
        preferred = dict.fromkeys(self._cluster.placements.of(request.service))
        if not self._context.settings.by_service:  # homes matter only if dispatchers share the service
            request.homes = self._homes(request)
            preferred |= dict.fromkeys(request.homes)
        tiers = {
            machine: tier(request, machine) for machine in preferred if eligible(request, machine, False)
        }
        low_tier_count = sum(machine_tier <= HOME_TIER for machine_tier in tiers.values())
        for machine in self._context.in_random_order(self._cluster.machines.values()):
            if low_tier_count >= SAMPLE_SIZE:  # the rest of the fleet has no lower tier
                break
            if machine not in preferred and eligible(request, machine, False):
                tiers[machine] = tier(request, machine)
                low_tier_count += tiers[machine] <= HOME_TIER
        if not tiers and self._eligibility.none_usable():
            tiers = {
                machine: tier(request, machine)
                for machine in self._cluster.machines.values()
                if self._eligibility.permitted(request, machine)
            }
        return tiers

    def _homes(self, request: RequestRecord) -> list[MachineRecord]:
        """Return the first HOMES_PER_SERVICE eligible machines in the rendezvous order of the service.

        To limit the cost per request, the first CACHED_ORDER_LENGTH machines are computed once for each list
        version, and the whole fleet is sorted only if too few of them are eligible.
        """
        machines = self._cluster.machines

        def rank(machine: MachineRecord) -> int:
            return rendezvous_rank(request.service, machine.entry.id)

        version, first_ranked = self._orders.pop(request.service, (-1, []))
        if version != self._cluster.list_version:
            first_ranked = heapq.nsmallest(CACHED_ORDER_LENGTH, machines.values(), key=rank)
        self._orders[request.service] = (self._cluster.list_version, first_ranked)
        if len(self._orders) > MAX_CACHED_ORDERS:  # evict the least recently drawn service
            del self._orders[next(iter(self._orders))]
        homes = self._first_eligible(request, first_ranked)
        if len(homes) < HOMES_PER_SERVICE and len(first_ranked) < len(machines):
            homes = self._first_eligible(request, sorted(machines.values(), key=rank))
        return homes

    def _first_eligible(
        self, request: RequestRecord, machines: Iterable[MachineRecord]
    ) -> list[MachineRecord]:
        eligible = self._eligibility.eligible
        return list(
            islice((machine for machine in machines if eligible(request, machine, False)), HOMES_PER_SERVICE)
        )
