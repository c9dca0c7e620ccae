"""Chooses the site that gets a task which the local site can't place now, or keeps the task. No I/O.

As within a site: filter the sites, sample a few uniformly, and take the one with the most free capacity
(power of d choices, Mitzenmacher 2001). Summaries of other sites arrive late, so tasks forwarded since are
subtracted from the reported free capacity. A failing site is excluded for a while and then readmitted by a
recovery ramp. Placement within a site is left to its decision module.

Times are in seconds of the caller's clock, capacities in tasks of a class's usual size.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from weldhatch.sites.messages import Work

SITES_SAMPLED = 2  # sites sampled per task (power of d choices)
SUMMARY_TTL_S = 5.0  # an older summary is not used
RECENT_TRANSFERS_S = 6.0  # how long forwarded tasks are kept, to be subtracted from older summaries
CAPACITY_MARGIN = 1.25  # factor by which the other site must be freer; prevents herding
LOCAL_CAPACITY_RESERVE = 0.05  # a site keeps its tasks while more than this part of its size is free
MAX_OPEN_FRACTION = 0.75  # part of a site's size that one other site may fill; its own work comes on top
MIN_OPEN_LIMIT = 2  # open transfers always allowed to a site that is not excluded
DELAY_PENALTY_PER_S = 0.5  # free fraction deducted per second of one-way delay
REJECTION_TTL_S = 1.0  # how long a returned task excludes tasks of its class that need as much
FAILURES_TO_EXCLUDE = 3  # consecutive failed or unanswered transfers that exclude a site
EXCLUDE_S = 2.0  # first exclusion; doubles each time
MAX_EXCLUDE_S = 60.0
RAMP_STEP_S = 1.0  # least time between two doublings of a readmitted site's limit


class RandomSource(Protocol):
    """A source of random choices, such as `random.Random` with a seed."""

    def sample(self, population: list[RemoteSite], k: int) -> list[RemoteSite]:
        """Return `k` distinct elements."""

    def shuffle(self, x: list[RemoteSite]) -> None:
        """Shuffle the list in place."""


@dataclass(slots=True, frozen=True)
class CapacitySummary:
    """The free capacity that a site reports to other sites.

    `free`: by class, how many tasks of the usual size the site would accept now. `size`: how many it could
    accept when empty. `waiting`: requests that its module has not placed. `draining`: it accepts none.
    """

    free: Mapping[str, int]
    size: int
    waiting: int = 0
    draining: bool = False


@dataclass(slots=True, frozen=True)
class Rejection:
    """A task that a site has returned. Tasks of its class that need as much are not sent until `until`."""

    until: float
    cores: float
    memory: float

    def covers(self, now: float, work: Work) -> bool:
        """Return whether a task of the same class is expected to be returned as well."""
        return now < self.until and work.cores >= self.cores and work.memory >= self.memory


@dataclass(slots=True)
class RemoteSite:
    """The known state of one other site.

    `up`: its link is up, and neither store is an older copy. `open_transfers`: transfers from this site that
    it holds. `recent_transfers`: time and class of each. `rejections`: by class. `ramp_limit`: open transfers
    allowed during the recovery ramp; None outside a ramp.
    """

    name: str
    summary: CapacitySummary | None = None
    summary_at: float = 0.0
    delay_s: float = 0.0
    up: bool = False
    open_transfers: int = 0
    recent_transfers: deque[tuple[float, str]] = field(default_factory=deque)
    rejections: dict[str, Rejection] = field(default_factory=dict)
    consecutive_failures: int = 0
    excluded_until: float = 0.0
    backoff_s: float = EXCLUDE_S
    ramp_limit: int | None = None
    ramp_stepped_at: float = 0.0


@dataclass(slots=True, frozen=True)
class KeepLocal:
    """The task stays at the local site. `reason` joins fixed texts, each with the name of its site if any."""

    reason: str


class Router:
    """Routes the tasks of one site to the other sites."""

    def __init__(self, names: list[str], random_source: RandomSource) -> None:
        """Start with all links down and no summaries. `names`: the other sites."""
        self.sites = {name: RemoteSite(name) for name in names}
        self._random_source = random_source

    # ---- reported events -------------------------------------------------------------------------------

    def link_changed(self, now: float, name: str, up: bool) -> None:
        """Handle a link that came up or went down. A summary from before a break is discarded."""
        site = self.sites[name]
        if site.up and not up:
            site.summary = None
        site.up = up

    def receive_summary(self, now: float, name: str, summary: CapacitySummary, delay_s: float) -> None:
        """Store a site's summary. `delay_s`: one-way delay of its link."""
        site = self.sites[name]
        site.summary = summary
        site.summary_at = now
        site.delay_s = delay_s

    def transfer_sent(self, now: float, name: str, work: Work) -> None:
        """Count a task that was forwarded."""
        site = self.sites[name]
        site.open_transfers += 1
        site.recent_transfers.append((now, work.class_name))
        while site.recent_transfers and now - site.recent_transfers[0][0] > RECENT_TRANSFERS_S:
            site.recent_transfers.popleft()

    def transfer_placed(self, now: float, name: str) -> None:
        """Handle a placement at the site: reset its failures, and advance its recovery ramp."""
        site = self.sites[name]
        site.consecutive_failures = 0
        site.backoff_s = EXCLUDE_S
        if site.ramp_limit is not None and now - site.ramp_stepped_at >= RAMP_STEP_S:
            site.ramp_limit = 2 * site.ramp_limit
            site.ramp_stepped_at = now
            if site.summary is not None and site.ramp_limit > site.summary.size:
                site.ramp_limit = None

    def transfer_returned(self, now: float, name: str, work: Work) -> None:
        """Handle a returned task: tasks like it are not sent to the site for REJECTION_TTL_S."""
        site = self.sites[name]
        site.rejections[work.class_name] = Rejection(now + REJECTION_TTL_S, work.cores, work.memory)
        site.consecutive_failures = 0

    def transfer_failed(self, now: float, name: str) -> None:
        """Count a failed or unanswered transfer; several in a row, or one during a ramp, exclude the site."""
        site = self.sites[name]
        site.consecutive_failures += 1
        if (
            site.consecutive_failures >= FAILURES_TO_EXCLUDE or site.ramp_limit is not None
        ) and now >= site.excluded_until:
            site.excluded_until = now + site.backoff_s
            site.consecutive_failures = 0
            site.backoff_s = min(2 * site.backoff_s, MAX_EXCLUDE_S)
            site.ramp_limit = 1
            site.ramp_stepped_at = site.excluded_until

    def transfer_ended(self, name: str) -> None:
        """Count one open transfer less."""
        site = self.sites[name]
        site.open_transfers = max(0, site.open_transfers - 1)

    # ---- the choice ------------------------------------------------------------------------------------

    def choose(
        self,
        now: float,
        work: Work,
        local: CapacitySummary,
        left_s: float,
        visited: frozenset[str] = frozenset(),
    ) -> str | KeepLocal:
        """Return the site to forward a task to, or why it stays.

        `local`: this site's own summary. `left_s`: time until the owner's deadline. `visited`: sites that
        have had the task already.
        """
        local_free = local.free.get(work.class_name, 0)
        local_fraction = 0.0 if local.draining or not local.size else local_free / local.size
        if not local.draining and local.size and local_free > LOCAL_CAPACITY_RESERVE * local.size:
            return KeepLocal("home has room")
        eligible: list[RemoteSite] = []
        reasons: list[str] = []
        for site in self.sites.values():
            reason = "it was there" if site.name in visited else self._unfit_reason(now, site, work, left_s)
            if reason:
                reasons.append(f"{site.name}: {reason}")
            else:
                eligible.append(site)
        if not eligible:
            return KeepLocal("; ".join(reasons) or "there is no other site")
        sampled = self._random_source.sample(eligible, min(SITES_SAMPLED, len(eligible)))
        self._random_source.shuffle(sampled)
        best = max(sampled, key=lambda site: self._free_fraction(now, site, work))
        if self._free_fraction(now, best, work) < CAPACITY_MARGIN * local_fraction:
            return KeepLocal(f"{best.name}: hardly roomier than home")
        return best.name

    def free_capacity(self, now: float, site: RemoteSite, class_name: str) -> int:
        """Return a site's reported free capacity, less the tasks forwarded too late to be counted in it."""
        if site.summary is None or now - site.summary_at > SUMMARY_TTL_S:
            return 0
        counted_since = site.summary_at - 2 * site.delay_s
        return site.summary.free.get(class_name, 0) - sum(
            sent_at >= counted_since and name == class_name for sent_at, name in site.recent_transfers
        )

    def _unfit_reason(self, now: float, site: RemoteSite, work: Work, left_s: float) -> str:
        if not site.up:
            return "its link is down"
        if now < site.excluded_until:
            return "it failed lately"
        if site.ramp_limit is not None and site.open_transfers >= site.ramp_limit:
            return "it is let back by steps"
        if site.summary is None or now - site.summary_at > SUMMARY_TTL_S:
            return "it has told nothing lately"
        if site.summary.draining:
            return "it is drained"
        if left_s <= 2 * site.delay_s:
            return "it is too far for the time left"
        rejection = site.rejections.get(work.class_name)
        if rejection is not None and rejection.covers(now, work):
            return "it returned such a task lately"
        if self.free_capacity(now, site, work.class_name) <= 0:
            return "it has no room for the class"
        if site.open_transfers >= max(MIN_OPEN_LIMIT, MAX_OPEN_FRACTION * site.summary.size):
            return "enough is out there"
        return ""

    def _free_fraction(self, now: float, site: RemoteSite, work: Work) -> float:
        """Return the fraction of a site's size that is free for the class, less a penalty for link delay."""
        size = site.summary.size if site.summary is not None else 1
        return (
            self.free_capacity(now, site, work.class_name) / max(1, size) - DELAY_PENALTY_PER_S * site.delay_s
        )
