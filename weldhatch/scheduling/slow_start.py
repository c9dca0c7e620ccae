"""Slow start: how many offers of ours a machine that started lately may have."""

from __future__ import annotations

from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord
from weldhatch.scheduling.context import DecisionContext

WARMING_OPEN_OFFERS = 2  # open offers of ours that a machine which warms up may have


class SlowStart:
    """Divides the offers to a machine that warms up among all dispatchers, without any talk."""

    def __init__(self, context: DecisionContext, cluster: ClusterState) -> None:
        """Divide as the settings say; records of machines remember as many offers as that needs."""
        self._context = context
        self._cluster = cluster
        self.reconfigure()

    def reconfigure(self) -> None:
        """Work out our share of the offers, and the turns where there are more dispatchers than offers."""
        settings = self._context.settings
        # Offers of one turn may arrive twice the answer margin apart.
        self._window_us = settings.fall_us + 2 * self._context.answer_margin_us
        self._share = int(settings.warm_up_offers / max(1, settings.group_size))
        self._rotation = 1
        if not self._share and settings.warm_up_offers >= 2:
            self._share = 1
            self._rotation = -(-settings.group_size // int(settings.warm_up_offers // 2))  # rounded up
        for machine in self._cluster.machines.values():
            machine.keep_offer_times(self.offer_times_kept)

    @property
    def offer_times_kept(self) -> int:
        """The count of last offers whose times a record needs."""
        return max(1, self._share)

    def allows(self, machine: MachineRecord) -> bool:
        """Whether the machine is warm, or may have one more offer of ours while it warms up."""
        warm_at = machine.entry.born_us + self._context.settings.warm_up_us
        return self._context.now >= warm_at or self._may_offer_warming(machine)

    def _may_offer_warming(self, machine: MachineRecord) -> bool:
        """Whether it is our turn, and our share of the offers in any window is not spent.

        Dispatchers that outnumber the offers take turns, which all work out alike from the machine's start.
        A window meets two turns: half the offers each. Harm: it could often take more than that.
        """
        context = self._context
        now = context.now
        window = self._window_us
        times = machine.offer_times
        started_at = machine.entry.born_us
        turn = (now - started_at) // window + machine.entry.id
        spent = len(times) == times.maxlen and now - times[0] <= window
        # A dispatcher that has just started doesn't know what it has sent before its own restart.
        before_us = started_at < context.started_at and now - context.started_at <= window
        return (
            not spent
            and not before_us
            and self._share > 0
            and len(machine.open_offers) < WARMING_OPEN_OFFERS
            and turn % self._rotation == context.settings.me % self._rotation
        )
