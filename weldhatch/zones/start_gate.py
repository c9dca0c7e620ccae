"""Which starts a dispatcher lets out at this moment, by the state of the zones. Pure."""

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
    """What the policy should take a machine for."""

    READY = "ready"
    DRAINING = "draining"  # nothing new may go there


class StartGate:
    """Agreed phases, quotas, the retry budget, and silence that this dispatcher alone has detected."""

    def __init__(
        self,
        view: LocalView,
        observations: Observations,
        load: LoadAccounting,
        silence: SilenceDetector,
        quota_lease: QuotaLease,
        start_rates: StartRates,
    ) -> None:
        """Ask and count in what the parts of a member share."""
        self.retry_budget = RetryBudget()
        self.silent_zones: frozenset[str] = frozenset()  # that we hold back from, as of the last tick
        self.answering_since: dict[int, float] = {}  # machines that answer without a break
        self._view = view
        self._observations = observations
        self._load = load
        self._silence = silence
        self._quota_lease = quota_lease
        self._start_rates = start_rates

    def effective_state(self, now: float, machine: int) -> EffectiveState:
        """Return what the policy should take a machine for."""
        places = self._view.places_of(machine)
        phase, place = self._view.phase_of(places)
        if phase in NO_NEW_WORK or self._is_held_back(now, places):
            return EffectiveState.DRAINING
        if (
            self._needs_quota(now, machine, phase, place)
            and self._quota_lease.remaining(now, place, self._view.uid_of(machine)) <= 0
        ):
            return EffectiveState.DRAINING
        return EffectiveState.READY

    def start_refusal(self, now: float, machine: int, attempt: int) -> str:
        """Return why a start may not leave now; '' where it may, which spends what it needs.

        `attempt`: counted from 0; -1 for one that has been asked for, and has not left yet.
        """
        places = self._view.places_of(machine)
        phase, place = self._view.phase_of(places)
        if phase in NO_NEW_WORK:
            return f"{place} is {phase.value}"
        if attempt < 0:
            return ""
        if self._is_held_back(now, places):
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
        """Tell whether starts on a machine are taken from a quota.

        They are where its place returns, and for those inside a left one unless it has answered for the
        warm-up time without a break. Guards against those who go on in a zone that is cut one way, and whose
        servers come back cold before the others notice: each by itself would be the first to overload them.
        """
        if phase is Phase.RETURNING:
            return True
        entry = self._view.zones.place(place)
        return (
            entry.phase in NO_NEW_WORK
            and self._view.continues_inside(entry, place)
            and now - self.answering_since.get(machine, now) < self._view.settings.warm_up_us / 1e6
        )

    def _is_held_back(self, now: float, places: tuple[str, ...]) -> bool:
        """Tell whether a machine's zone is silent, by what we detect alone, and until its first answer."""
        return bool(places) and self._is_silent(now, places[0])

    def _is_silent(self, now: float, zone: str) -> bool:
        """Tell whether to hold back from a zone.

        Guards against starts that are sent into a zone while those before them are still to time out. What is
        left, or returns, goes by what was agreed; and somewhere work has to go.
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
        """Look at all zones, and return those that have gone silent since the last look."""
        before = self.silent_zones
        self.silent_zones = frozenset(zone for zone in self._observations.zones if self._is_silent(now, zone))
        return self.silent_zones - before
