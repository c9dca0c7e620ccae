"""One dispatcher's side of zone failover: its observations, admission of requests and starts, reports. Pure.

`FailoverMember` processes the events that the policy receives, and is consulted when a request arrives and
before a start is sent. It combines observation (`observations`, `silence_detector` and `load_accounting`,
updated by `exchange_tracker`), request admission (`request_admission`, `task_fences`), start admission
(`start_gate`) and reports to the leader (`member_reports`).
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

HEALTH_CHECK_INTERVAL_S = 0.25  # of a place that is left or silent
INITIAL_CHECKS_WHEN_SILENT = 3  # of a zone that has just gone silent: their time-outs serve as evidence
STALL_S = 0.5  # after a longer gap between ticks this process was stalled; failures since then are discarded


class FailoverMember:
    """Combines the components of a member, which share one `LocalView`."""

    def __init__(
        self,
        settings: Settings,
        drift: float,
        random: Random,
        uid_of: Callable[[int], str],
        fences: bool = True,
    ) -> None:
        """Start with all places in service.

        `drift`: the maximum relative difference between clock rates; `uid_of`: returns the name of a machine
        that all dispatchers use, or '' if it is unknown; `fences`: whether this dispatcher prevents a second
        start of tasks that may still run behind a network partition, or leaves that to their owners.
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
        self._left_at: dict[str, float] = {}  # when this dispatcher left a place
        self._checked_at: dict[str, float] = {}  # last health check of a place
        self._last_tick = float("-inf")
        self._isolation = Isolation.NONE  # as of the last tick

    @property
    def zones(self) -> ZoneStates:
        """The agreed states of zones that this dispatcher has applied."""
        return self._view.zones

    @property
    def silent_zones(self) -> frozenset[str]:
        """Zones from which starts are withheld because they are silent, as of the last tick."""
        return self._gate.silent_zones

    @property
    def rejected(self) -> int:
        """Number of requests rejected because of the state of the zones."""
        return self._admission.rejected

    # ---- events ------------------------------------------------------------------------------------------

    def handle_event(self, now: float, event: Event) -> None:
        """Process one event that the policy receives."""
        self._tracker.handle_event(now, event)

    def connection_lost(self, machine: int) -> None:
        """Treat a machine whose connection has ended as a new process, whatever the endpoint list says."""
        self._tracker.connection_lost(machine)

    def update_settings(self, settings: Settings) -> None:
        """Replace the settings. Known classes and zones must keep their positions in them."""
        self._view.settings = settings
        self.observations.set_zones(settings.zones)

    def apply_agreed_state(self, now: float, zones: ZoneStates) -> None:
        """Replace the agreed states of zones, and update left places, fences and quotas accordingly."""
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
        """Start the migration ramp and fence possibly running tasks. Running tasks are handled as before."""
        self._left_at[name] = now
        remaining_rate = sum(
            self._start_rates.rate(now, zone)
            for zone in self.observations.zones
            if self.zones.place(zone).phase not in NO_NEW_WORK
        )
        self._ramp.begin(now, remaining_rate, self._start_rates.rate(now, name))
        self._fences.place_left(now, name)

    def receive_quotas(self, quotas: Iterable[StartQuota], asked_at: float) -> bool:
        """Accept quotas from a response of the leader; return True if any is new.

        `asked_at`: when they were requested, by this dispatcher's clock.
        """
        return sum(self.quota_lease.accept(quota, asked_at) for quota in quotas) > 0

    # ---- queries -----------------------------------------------------------------------------------------

    def phase(self, machine: int) -> tuple[Phase, str]:
        """Return the phase of a machine that applies to this dispatcher, and the place that has it."""
        return self._view.phase(machine)

    def effective_state(self, now: float, machine: int) -> EffectiveState:
        """Return the state of a machine that the policy should use."""
        return self._gate.effective_state(now, machine)

    def start_refusal(self, now: float, machine: int, attempt: int) -> str:
        """Return why a start is refused, or '' if it is admitted, which spends retry budget and quota.

        `attempt`: counted from 0; -1 for a start that was admitted before and has not been sent yet.
        """
        return self._gate.start_refusal(now, machine, attempt)

    def rejection(
        self, now: float, class_index: int, key: int, tenant: int = 0, cores: float = 0.0
    ) -> Rejection | None:
        """Return why an arriving request is rejected, or None if it is admitted."""
        return self._admission.rejection(
            now, class_index, key, tenant, cores, self._isolation, self._left_at.keys()
        )

    def unreported_fences(self) -> tuple[str, list[str]]:
        """Return a place and keys of own tasks there that the group is to fence; ('', []) if none."""
        return self._fences.unreported()

    def report(self, now: float) -> ZoneReport:
        """Return the report to the leader."""
        return self._reports.report(now, self.rejected)

    # ---- time --------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[int]:
        """Update isolation and silent zones, and return the machines to which a health check is due.

        To be called every 100 ms.
        """
        if now - self._last_tick > STALL_S and self._last_tick > 0:
            # After this process was stopped, all exchanges in flight time out at once, through no fault of
            # the zones.
            self.observations.discard_failures(self._last_tick)
            self.silence.restart_waits(now)
        self._last_tick = now
        self._isolation = self.observations.isolation(now)
        newly_silent = self._gate.update_silent_zones(now)
        checks: list[int] = []
        for place in self._left_at.keys() | self.silent_zones:
            is_new = place in newly_silent and place not in self._left_at
            if is_new or now - self._checked_at.get(place, float("-inf")) >= HEALTH_CHECK_INTERVAL_S:
                self._checked_at[place] = now
                machines = [
                    machine for machine in self._view.machines if place in self._view.places_of(machine)
                ]
                checks += self._random.sample(
                    machines, min(len(machines), INITIAL_CHECKS_WHEN_SILENT if is_new else 1)
                )
        return checks
