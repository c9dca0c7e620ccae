"""One dispatcher's part: what it observes, what it may start where at this moment, what it reports. Pure.

It follows the events that the policy gets, and is asked when a request arrives and when a start leaves. It
puts together what it observes (`observations`, `silence_detector`, `load_accounting`, fed by
`exchange_tracker`), what it admits (`request_admission`, `task_fences`), what it starts (`start_gate`), and
its reports (`member_reports`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from weldhatch.scheduling.events import Event
from weldhatch.scheduling.types import Settings
from weldhatch.zones.exchange_tracker import ExchangeTracker
from weldhatch.zones.load_accounting import LoadAccounting
from weldhatch.zones.local_view import LocalView
from weldhatch.zones.member_reports import MemberReports
from weldhatch.zones.observations import Observations
from weldhatch.zones.reports import Isolation, ZoneReport
from weldhatch.zones.request_admission import RequestAdmission
from weldhatch.zones.request_rejection import Rejection
from weldhatch.zones.retry_budget import MigrationRamp, StartRates
from weldhatch.zones.silence_detector import SilenceDetector
from weldhatch.zones.start_gate import EffectiveState, StartGate
from weldhatch.zones.start_quota import QuotaLease, StartQuota
from weldhatch.zones.state import NO_NEW_WORK, Phase, ZoneStates
from weldhatch.zones.task_fences import TaskFences

HEALTH_CHECK_EVERY_S = 0.25  # a place that was left, or is silent, gets one health check so often
CHECKS_WHEN_SILENT = 3  # and so many where it has just gone silent: their time-outs are evidence
STALL_S = 0.5  # a tick that comes so late says more of us: what failed meanwhile does too


class FailoverMember:
    """Put together by its parts, which share one `LocalView`."""

    def __init__(
        self,
        settings: Settings,
        drift: float,
        random: Random,
        uid_of: Callable[[int], str],
        fences: bool = True,
    ) -> None:
        """Begin with all places serving.

        `drift`: the part by which clocks may differ in rate; `uid_of`: what all dispatchers call a machine,
        '' for one that is not known; `fences`: whether tasks that may run behind a cut are kept from a second
        start here, and not by their owners.
        """
        self._random = random
        self._view = LocalView(settings, uid_of)
        self.observations = Observations(settings.zones, self._view.own_zone)
        self.load = LoadAccounting()
        self.silence = SilenceDetector(lambda machine: self._view.places_of(machine)[1])
        self.quota_lease = QuotaLease(drift)
        self._start_rates = StartRates()
        self._ramp = MigrationRamp()
        self._fences = TaskFences(self._view, self.load, self.observations, fences)
        self._gate = StartGate(
            self._view, self.observations, self.load, self.silence, self.quota_lease, self._start_rates
        )
        self._admission = RequestAdmission(self._view, self.load, self._fences, self._ramp, random.random)
        self._tracker = ExchangeTracker(
            self._view, self.observations, self.load, self.silence, self._fences, self._gate
        )
        self._reports = MemberReports(self._view, self.observations, self.load)
        self._left_at: dict[str, float] = {}  # places that we have left
        self._checked_at: dict[str, float] = {}  # places that got a health check
        self._last_tick = float("-inf")
        self._isolation = Isolation.NONE  # as of the last tick

    @property
    def zones(self) -> ZoneStates:
        """The agreed states, as they are held here."""
        return self._view.zones

    @property
    def silent_zones(self) -> frozenset[str]:
        """Zones that we hold back from, as of the last tick."""
        return self._gate.silent_zones

    @property
    def rejected(self) -> int:
        """Requests that were rejected because of the zones."""
        return self._admission.rejected

    # ---- events ------------------------------------------------------------------------------------------

    def handle_event(self, now: float, event: Event) -> None:
        """Take one event that the policy gets."""
        self._tracker.handle_event(now, event)

    def connection_lost(self, machine: int) -> None:
        """Take a machine for a new process, whatever lists say: its connection has ended."""
        self._tracker.connection_lost(machine)

    def update_settings(self, settings: Settings) -> None:
        """Take other settings: classes keep their places in them, and zones do."""
        self._view.settings = settings
        self.observations.set_zones(settings.zones)

    def apply_agreed_state(self, now: float, zones: ZoneStates) -> None:
        """Take the group's state of zones, as it is held here from now on."""
        self._view.zones = zones
        for name, place in zones.entries.items():
            is_left = place.phase in NO_NEW_WORK and not self._view.continues_inside(place, name)
            if is_left and name not in self._left_at:
                self._leave(now, name)
            elif not is_left and self._left_at.pop(name, None) is not None:
                self._fences.place_not_left(name)
            if is_left or place.phase in (Phase.SERVING, Phase.SUSPECTED):
                self.quota_lease.revoke(name)

    def _leave(self, now: float, name: str) -> None:
        """Send nothing new there from now on. What runs there is looked after as before."""
        self._left_at[name] = now
        remaining_rate = sum(
            self._start_rates.rate(now, zone)
            for zone in self.observations.zones
            if self.zones.place(zone).phase not in NO_NEW_WORK
        )
        self._ramp.begin(now, remaining_rate, self._start_rates.rate(now, name))
        self._fences.place_left(now, name)

    def receive_quotas(self, quotas: Iterable[StartQuota], asked_at: float) -> bool:
        """Take quotas that came with an answer; True where any is new.

        `asked_at`: when they were asked for, by our clock.
        """
        return sum(self.quota_lease.accept(quota, asked_at) for quota in quotas) > 0

    # ---- questions ---------------------------------------------------------------------------------------

    def phase(self, machine: int) -> tuple[Phase, str]:
        """Return the phase of a machine as it counts for this dispatcher, and the place that has it."""
        return self._view.phase(machine)

    def effective_state(self, now: float, machine: int) -> EffectiveState:
        """Return what the policy should take a machine for."""
        return self._gate.effective_state(now, machine)

    def start_refusal(self, now: float, machine: int, attempt: int) -> str:
        """Return why a start may not leave now; '' where it may, which spends what it needs.

        `attempt`: counted from 0; -1 for one that has been asked for, and has not left yet.
        """
        return self._gate.start_refusal(now, machine, attempt)

    def rejection(
        self, now: float, class_index: int, key: int, tenant: int = 0, cores: float = 0.0
    ) -> Rejection | None:
        """Return why a request is rejected when it arrives; None where it is admitted."""
        return self._admission.rejection(
            now, class_index, key, tenant, cores, self._isolation, self._left_at.keys()
        )

    def unreported_fences(self) -> tuple[str, list[str]]:
        """Return a place, and keys of ours that may still run there, for the group to fence; ('', [])."""
        return self._fences.unreported()

    def report(self, now: float) -> ZoneReport:
        """Return what the leader is to know."""
        return self._reports.report(now, self.rejected)

    # ---- time --------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[int]:
        """Look at all zones, and return the machines to send a health check to.

        Call it every tenth of a second.
        """
        if now - self._last_tick > STALL_S and self._last_tick > 0:
            # Guards against a process that was stopped: all that was under way has timed out at once.
            self.observations.discard_failures(self._last_tick)
            self.silence.restart_waits(now)
        self._last_tick = now
        self._isolation = self.observations.isolation(now)
        newly_silent = self._gate.update_silent_zones(now)
        checks: list[int] = []
        for place in self._left_at.keys() | self.silent_zones:
            fresh = place in newly_silent and place not in self._left_at
            if fresh or now - self._checked_at.get(place, float("-inf")) >= HEALTH_CHECK_EVERY_S:
                self._checked_at[place] = now
                there = [machine for machine in self._view.machines if place in self._view.places_of(machine)]
                checks += self._random.sample(there, min(len(there), CHECKS_WHEN_SILENT if fresh else 1))
        return checks
