"""Which site gets a task that its own can't place now: what goes over and what stays. No I/O.

As inside a site: filter the sites, draw a few uniformly, and take the one with the most free capacity (power
of d choices, Mitzenmacher 2001). What each site tells of itself comes late, so what went over since counts
as there already; a site that fails is excluded for a while, and then let back by a ramp. Inside a site its
decision module decides as ever.

Times are in seconds of the caller's clock, capacities in tasks of a class's usual size.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from weldhatch.sites.messages import Work

SITES_SAMPLED = 2  # for a task, as machines are inside a site
SUMMARY_TTL_S = 5.0  # an older summary says nothing of room
RECENT_TRANSFERS_S = 6.0  # how long what went over is remembered, to be counted against an older summary
CAPACITY_MARGIN = 1.25  # the other site has to have so much more free: guards against herds
LOCAL_CAPACITY_RESERVE = 0.05  # a site with more than this part of its size free keeps what it can place
MAX_OPEN_FRACTION = 0.75  # the part of a site's size that one other site may fill: its own work comes on top
MIN_OPEN_LIMIT = 2  # transfers that a site may hold whatever it tells, where it is not excluded
DELAY_PRICE = 0.5  # what a second of delay each way costs, in parts of free capacity
REJECTION_TTL_S = 1.0  # a task returned speaks for all of its class that ask as much, for so long
FAILURES_TO_EXCLUDE = 3  # transfers in a row without a message, or failed, that exclude a site
EXCLUDE_S = 2.0  # for so long at first; doubles
EXCLUDE_MAX_S = 60.0
RAMP_STEP_S = 1.0  # a site that is let back may have twice as much out after each such step without a failure


class RandomSource(Protocol):
    """A source of random choices, such as `random.Random` with a seed."""

    def sample(self, population: list[RemoteSite], k: int) -> list[RemoteSite]:
        """Return k of them, none twice."""

    def shuffle(self, x: list[RemoteSite]) -> None:
        """Bring them into a random order, in place."""


@dataclass(slots=True, frozen=True)
class CapacitySummary:
    """What a site tells of itself.

    `free`: tasks of usual size by class that it would take now; `size`: those it could take empty; `waiting`:
    requests that its module has not placed; `draining`: it takes nothing new.
    """

    free: Mapping[str, int]
    size: int
    waiting: int = 0
    draining: bool = False


@dataclass(slots=True, frozen=True)
class Rejection:
    """A task that a site has returned: until then it takes none of its class that asks for as much."""

    until: float
    cores: float
    memory: float

    def covers(self, now: float, work: Work) -> bool:
        """Return whether a task of the same class would be returned as well."""
        return now < self.until and work.cores >= self.cores and work.memory >= self.memory


@dataclass(slots=True)
class RemoteSite:
    """What is known of one other site.

    `up`: its link stands, and no store is an older copy; `open_transfers`: what it holds of ours;
    `recent_transfers`: when, and of which class; `rejections`: by class; `ramp_limit`: how many transfers it
    may hold while it is let back, None where nothing limits it.
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
    """No site is chosen; `why` is one of a closed set of reasons, for those who ask."""

    reason: str


class Router:
    """Chooses for one site, among those of these names."""

    def __init__(self, names: list[str], random_source: RandomSource) -> None:
        """Begin with all links down and nothing known."""
        self.sites = {name: RemoteSite(name) for name in names}
        self._random_source = random_source

    # ---- what is reported ---------------------------------------------------------------------------------

    def link_changed(self, now: float, name: str, up: bool) -> None:
        """Take note of a link that has come up or gone down. What the site told before a break is void."""
        site = self.sites[name]
        if site.up and not up:
            site.summary = None
        site.up = up

    def receive_summary(self, now: float, name: str, summary: CapacitySummary, delay_s: float) -> None:
        """Take what a site tells of itself; `delay_s`: of its link, one way."""
        site = self.sites[name]
        site.summary = summary
        site.summary_at = now
        site.delay_s = delay_s

    def transfer_sent(self, now: float, name: str, work: Work) -> None:
        """Take note of a task that went over."""
        site = self.sites[name]
        site.open_transfers += 1
        site.recent_transfers.append((now, work.class_name))
        while site.recent_transfers and now - site.recent_transfers[0][0] > RECENT_TRANSFERS_S:
            site.recent_transfers.popleft()

    def transfer_placed(self, now: float, name: str) -> None:
        """Take note that a task was placed there: the site works."""
        site = self.sites[name]
        site.consecutive_failures = 0
        site.backoff_s = EXCLUDE_S
        if site.ramp_limit is not None and now - site.ramp_stepped_at >= RAMP_STEP_S:
            site.ramp_limit = 2 * site.ramp_limit
            site.ramp_stepped_at = now
            if site.summary is not None and site.ramp_limit > site.summary.size:
                site.ramp_limit = None

    def transfer_returned(self, now: float, name: str, work: Work) -> None:
        """Take note that it took nothing of that kind: it would reject the next one as well."""
        site = self.sites[name]
        site.rejections[work.class_name] = Rejection(now + REJECTION_TTL_S, work.cores, work.memory)
        site.consecutive_failures = 0

    def transfer_failed(self, now: float, name: str) -> None:
        """Take note of a task without a message in time, or failed there. Several in a row exclude a site."""
        site = self.sites[name]
        site.consecutive_failures += 1
        if (
            site.consecutive_failures >= FAILURES_TO_EXCLUDE or site.ramp_limit is not None
        ) and now >= site.excluded_until:
            site.excluded_until = now + site.backoff_s
            site.consecutive_failures = 0
            site.backoff_s = min(2 * site.backoff_s, EXCLUDE_MAX_S)
            site.ramp_limit = 1
            site.ramp_stepped_at = site.excluded_until

    def transfer_ended(self, name: str) -> None:
        """Take note that the site holds one transfer less."""
        site = self.sites[name]
        site.open_transfers = max(0, site.open_transfers - 1)

    # ---- the choice --------------------------------------------------------------------------------------

    def choose(
        self,
        now: float,
        work: Work,
        local: CapacitySummary,
        left_s: float,
        visited: frozenset[str] = frozenset(),
    ) -> str | KeepLocal:
        """Return the site that a task goes to, or why it stays.

        `local`: what this site tells of itself; `left_s`: how long the owner waits; `visited`: sites that
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
        """Return what a site told it would take, less what went there since it can have counted it."""
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
        """Return the part of its size that is free for the class, less the price of the way."""
        size = site.summary.size if site.summary is not None else 1
        return self.free_capacity(now, site, work.class_name) / max(1, size) - DELAY_PRICE * site.delay_s
