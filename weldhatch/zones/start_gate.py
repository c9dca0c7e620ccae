"""Admits or refuses starts depending on the state of the zones. Pure."""

from __future__ import annotations

from enum import Enum

from weldhatch.zones.load_accounting import LoadAccounting
from weldhatch.zones.local_view import LocalView
from weldhatch.zones.observations import Observations
from weldhatch.zones.retry_budget import RetryBudget, StartRates
from weldhatch.zones.silence_detector import SilenceDetector
from weldhatch.zones.start_quota import QuotaLease
from weldhatch.zones.state import NO_NEW_WORK, Phase


class EffectiveState(str, Enum):
    """The state of a machine that the policy should use."""

    READY = "ready"
    DRAINING = "draining"  # no new starts


class StartGate:
    """Admits starts by agreed phases, start quotas, the retry budget, and locally detected silence."""

    def __init__(
        self,
        view: LocalView,
        observations: Observations,
        load: LoadAccounting,
        silence: SilenceDetector,
        quota_lease: QuotaLease,
        start_rates: StartRates,
    ) -> None:
        """Use the given components, which the parts of a member share."""
        self.retry_budget = RetryBudget()
        self.silent_zones: frozenset[str] = frozenset()  # starts are withheld from these, as of the last tick
        self.answering_since: dict[int, float] = {}  # by machine: start of uninterrupted answers
        self._view = view
        self._observations = observations
        self._load = load
        self._silence = silence
        self._quota_lease = quota_lease
        self._start_rates = start_rates

    def effective_state(self, now: float, machine: int) -> EffectiveState:
        """Return the state of a machine that the policy should use."""
        places = self._view.places_of(machine)
        phase, place = self._view.phase_of(places)
        if phase in NO_NEW_WORK or self._is_withheld(now, places):
            return EffectiveState.DRAINING
        if (
            self._needs_quota(now, machine, phase, place)
            and self._quota_lease.remaining(now, place, self._view.uid_of(machine)) <= 0
        ):
            return EffectiveState.DRAINING
        return EffectiveState.READY

    def start_refusal(self, now: float, machine: int, attempt: int) -> str:
        """Return why a start is refused, or '' if it is admitted, which spends retry budget and quota.

        `attempt`: counted from 0; -1 for a start that was admitted before and has not been sent yet.
        """
        places = self._view.places_of(machine)
        phase, place = self._view.phase_of(places)
        if phase in NO_NEW_WORK:
            return f"{place} is {phase.value}"
        if attempt < 0:
            return ""
        if self._is_withheld(now, places):
            return "its zone says nothing"
        if attempt and not self.retry_budget.try_retry(self._view.is_degraded()):
            return "the budget of second attempts is spent"
        if self._needs_quota(now, machine, phase, place):
            if not self._quota_lease.spend(now, place, self._view.uid_of(machine)):
                return f"no share of {place} is left"
            self._load.starts_at(place).sent += phase is Phase.RETURNING
        if places:
            self._start_rates.add(now, places[0])
            self._silence.request_sent(now, places[0], machine)
        return ""

    def _needs_quota(self, now: float, machine: int, phase: Phase, place: str) -> bool:
        """Return whether starts on a machine need a quota.

        They do if its place is returning, and for dispatchers that continue inside a left place, unless the
        machine has answered for the warm-up time without interruption. Otherwise, in a zone that is cut off
        in one direction, these dispatchers would overload servers that come back cold before the others
        notice.
        """
        if phase is Phase.RETURNING:
            return True
        entry = self._view.zones.place(place)
        return (
            entry.phase in NO_NEW_WORK
            and self._view.continues_inside(entry, place)
            and now - self.answering_since.get(machine, now) < self._view.settings.warm_up_us / 1e6
        )

    def _is_withheld(self, now: float, places: tuple[str, ...]) -> bool:
        """Return whether starts are withheld because this dispatcher detects that the zone is silent."""
        return bool(places) and self._is_silent(now, places[0])

    def _is_silent(self, now: float, zone: str) -> bool:
        """Return whether to withhold starts from a silent zone.

        Prevents further starts in a zone while earlier ones have not timed out yet. Zones that are left or
        returning follow the agreed phase instead, and at least one other zone must take work.
        """
        zones = self._view.zones
        return (
            zones.place(zone).phase in (Phase.SERVING, Phase.SUSPECTED)
            and self._silence.is_silent(now, zone, self._observations.has_single_rack(zone))
            and any(
                other != zone
                and other not in self.silent_zones
                and zones.place(other).phase not in NO_NEW_WORK
                for other in self._observations.zones
            )
        )

    def update_silent_zones(self, now: float) -> frozenset[str]:
        """Update `silent_zones`, and return the zones that have gone silent since the last update."""
        before = self.silent_zones
        self.silent_zones = frozenset(zone for zone in self._observations.zones if self._is_silent(now, zone))
        return self.silent_zones - before
