"""Slow start: limits the own offers to a machine that started recently."""

from __future__ import annotations

from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord
from weldhatch.scheduling.context import DecisionContext

MAX_WARMING_OPEN_OFFERS = 2  # own open offers to a machine that is warming up


class SlowStart:
    """Divides the offers to a machine that is warming up among all dispatchers, without messages."""

    def __init__(self, context: DecisionContext, cluster: ClusterState) -> None:
        """Compute the share from the settings; machine records keep as many offer times as it needs."""
        self._context = context
        self._cluster = cluster
        self.reconfigure()

    def reconfigure(self) -> None:
        """Recompute the share of this dispatcher, and the turns if dispatchers outnumber the offers."""
        settings = self._context.settings
        # Offers of one turn may arrive up to twice the answer margin apart.
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
        """The number of recent offer times that a machine record keeps."""
        return max(1, self._share)

    def allows(self, machine: MachineRecord) -> bool:
        """Whether the machine has warmed up, or may get one more own offer while it warms up."""
        warm_at = machine.entry.born_us + self._context.settings.warm_up_us
        return self._context.now >= warm_at or self._may_offer_while_warming(machine)

    def _may_offer_while_warming(self, machine: MachineRecord) -> bool:
        """Whether it is this dispatcher's turn and its share of offers within the window is not used up.

        Dispatchers that outnumber the offers take turns, which all compute from the machine's start time. A
        window overlaps two turns, so each turn gets half the offers; the machine could often take more.
        """
        context = self._context
        now = context.now
        window = self._window_us
        times = machine.offer_times
        started_at = machine.entry.born_us
        turn = (now - started_at) // window + machine.entry.id
        share_used_up = len(times) == times.maxlen and now - times[0] <= window
        # After its own restart a dispatcher does not know which offers it made before.
        started_before_dispatcher = started_at < context.started_at and now - context.started_at <= window
        return (
            not share_used_up
            and not started_before_dispatcher
            and self._share > 0
            and len(machine.open_offers) < MAX_WARMING_OPEN_OFFERS
            and turn % self._rotation == context.settings.me % self._rotation
        )
