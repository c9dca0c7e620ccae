"""The zone part of the leading voter: reports in, commands and quotas. `zones.failover_leader` decides."""

from __future__ import annotations

import json
import math
from collections.abc import Callable

from weldhatch.coordination.leader import Coordinator
from weldhatch.coordination.messages import Ask
from weldhatch.coordination.state_machine import Group
from weldhatch.scheduling import types as i
from weldhatch.zones.failover_leader import Marshal, Times
from weldhatch.zones.start_quota import Share

LOOK_S = 0.05  # witnesses are weighed as often
PLACES_MOST = 100  # that one report may name
TENANTS_MOST = 16  # classes of which one report may tell rates by tenant
SPAN = 0.25  # of the stated time: for which a share holds. Shorter than a lease: shares lapse with it


class Zoning:
    """Made anew at each election, at `now`; `term` tells its epochs of shares from those of other leaders."""

    def __init__(
        self,
        now: float,
        name: str,
        term: int,
        times: Times,
        coordinator: Coordinator,
        read: Callable[[dict], i.Settings],
    ) -> None:
        self._now, self._name, self._times, self._coordinator = now, f"{name}.{term}", times, coordinator
        self._read = read
        self._marshal: Marshal | None = None
        self._settings: tuple[int, i.Settings | None] = (0, None)
        self._looked = float("-inf")

    def _current(self, group: Group) -> tuple[Marshal, i.Settings] | None:
        """Nothing before a version is in force: only that names the zones."""
        if group.active is None:
            return None
        if self._settings[0] != group.active.number:
            self._settings = group.active.number, self._read(group.active.tree)
            if self._marshal is not None:
                self._marshal.ledger.bound(self._settings[1].fall_us / 1e6)
        settings = self._settings[1]
        if self._marshal is None:
            spans = self._coordinator.spans
            self._marshal = Marshal(
                self._now, self._name, self._times, settings.fall_us / 1e6, SPAN * spans.stated, spans.drift
            )
        return self._marshal, settings

    def hear(self, now: float, group: Group, ask: Ask) -> None:
        """A dispatcher's report. One that can't be read is of no use, and harms nobody."""
        if not ask.sight or (found := self._current(group)) is None:
            return
        try:
            told = json.loads(ask.sight)
            looks = {
                str(place): [str(look[0]), *map(int, look[1:])]
                for place, look in list(told["looks"].items())[:PLACES_MOST]
            }
            told = {
                "zone": str(told["zone"]),
                "cut": str(told["cut"]),
                "looks": looks,
                **{
                    key: {str(name): _number(value) for name, value in told.get(key, {}).items()}
                    for key in ("stands", "rates", "size")
                },
                "starts": {
                    str(name): [int(count) for count in counts][:3]
                    for name, counts in told.get("starts", {}).items()
                },
                "tenants": {
                    str(name): {str(tenant): _number(rate) for tenant, rate in by.items()}
                    for name, by in list(told.get("tenants", {}).items())[:TENANTS_MOST]
                },
                "refused": int(told.get("refused", 0)),
            }
        except (ValueError, KeyError, TypeError, AttributeError, IndexError, OverflowError):
            return
        found[0].hear(now, ask.name, f"{ask.name}.{ask.epoch}.{ask.token}", told)

    def todo(self, now: float, group: Group) -> list[dict]:
        """Commands that are due now."""
        if now - self._looked < LOOK_S or (found := self._current(group)) is None:
            return []
        self._looked = now
        marshal, settings = found
        marshal.gone(group.members.keys())

        def held(index: int) -> bool:
            return not self._coordinator.waits(now, group, index, self._coordinator.spans.ground)

        return [
            {**one, "id": f"zone-{one['place']}-{one['number']}-{group.zones.number}-{one['phase']}"}
            for one in marshal.todo(now, group.zones, settings, held)
        ]

    def shares(self, now: float, group: Group, ask: Ask) -> str:
        """What one who has just been granted a lease may start on machines that return; '' for nothing."""
        if (found := self._current(group)) is None:
            return ""
        marshal, settings = found
        life = f"{ask.name}.{ask.epoch}.{ask.token}"
        shares: list[Share] = marshal.shares(now, life, group.zones, settings)
        return json.dumps([one.to_tree() for one in shares]) if shares else ""

    def operator(self, now: float, group: Group, told: dict) -> dict:
        """An operator's word as a command for the log, or an error."""
        if (found := self._current(group)) is None:
            return {"error": "unknown", "text": "no rules are in force yet: nothing names the zones"}
        return found[0].operator(now, told, group.zones, found[1])

    def status(self, now: float, group: Group) -> dict:
        if (found := self._current(group)) is None:
            return {}
        marshal, settings = found
        return {
            **marshal.status(now, dict.fromkeys([*settings.zones, *group.zones.entries])),
            "timeline": marshal.timeline,
        }


def _number(value: float) -> float:
    """Raises ValueError for what is no finite number: one report would spoil the sums of all."""
    if not math.isfinite(value := float(value)):
        raise ValueError(f"{value} is no figure")
    return value
