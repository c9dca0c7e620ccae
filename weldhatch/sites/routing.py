"""Which site gets a task that its own can't place now: what goes over and what stays. No I/O.

In the spirit of the design inside a site: filter the sites, draw a few uniformly, and take the roomiest. What
each site tells of itself comes late, so what went over since counts as there already; a site that fails is
left out for a while and let back by steps. Inside a site its decision module decides as ever.

Times are in seconds of the caller's clock, rooms in tasks of a class's usual size.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from weldhatch.sites.messages import Work

DRAWN = 2  # sites drawn for a task, as machines are inside a site
TOLD_MOST_S = 5.0  # an older summary says nothing of room
KEPT_S = 6.0  # how long what went over is remembered, to be counted against an older summary
MARGIN = 1.25  # the other side has to be so much roomier than home: guards against herds
HOME_ROOM = 0.05  # a home with more than this part of its room free keeps all that it can place
SHARE_OUT = 0.75  # the part of a site's size that one other site may fill: its own work comes on top
LEAST_OUT = 2  # transfers that may be out at a site whatever it tells, where it is not left out
DELAY_PRICE = 0.5  # what a second of delay each way costs, in parts of free room
REFUSED_S = 1.0  # a task returned speaks for all of its class that ask as much, for so long
FAILS_MOST = 3  # transfers in a row without a word, or failed, that leave a site out
OUT_S, OUT_MOST_S = 2.0, 60.0  # for so long at first; doubles
STEP_S = 1.0  # a site that is let back may have twice as much out after each such step without a failure


class Draws(Protocol):
    """A source of random choices, such as `random.Random` with a seed."""

    def sample(self, population: list, k: int) -> list: ...

    def shuffle(self, x: list) -> None: ...


@dataclass(slots=True, frozen=True)
class Summary:
    """What a site tells of itself. `free`: tasks of usual size by class that it would take now; `size`: those
    it could take empty; `waiting`: requests that its module has not placed; `draining`: takes nothing new."""

    free: Mapping[str, int]
    size: int
    waiting: int = 0
    draining: bool = False


@dataclass(slots=True)
class Site:
    """What is known of one other site."""

    name: str
    told: Summary | None = None
    told_at: float = 0.0
    delay_s: float = 0.0
    up: bool = False  # its link stands, and no store is an older copy
    out: int = 0  # transfers that it holds
    sent: deque[tuple[float, str]] = field(default_factory=deque)  # when, and of which class
    refused: dict[str, tuple[float, float, float]] = field(default_factory=dict)  # until, cores, memory
    fails: int = 0
    left_out: float = 0.0  # until when
    wait: float = OUT_S
    steps: int | None = None  # what may be out while it is let back; None where nothing limits it
    stepped: float = 0.0


@dataclass(slots=True, frozen=True)
class Stays:
    """No site is chosen; `why` is one of a closed set of reasons, for those who ask."""

    why: str


class Router:
    """Chooses for one site, among those of these names."""

    def __init__(self, names: list[str], draws: Draws) -> None:
        self.sites = {name: Site(name) for name in names}
        self._draws = draws

    # ---- what is heard ----------------------------------------------------------------------------------

    def link(self, now: float, name: str, up: bool) -> None:
        """Its link has come up or gone down. What it told before a break is old news."""
        site = self.sites[name]
        if site.up and not up:
            site.told = None
        site.up = up

    def told(self, now: float, name: str, summary: Summary, delay_s: float) -> None:
        site = self.sites[name]
        site.told, site.told_at, site.delay_s = summary, now, delay_s

    def sent(self, now: float, name: str, work: Work) -> None:
        """A task went over."""
        site = self.sites[name]
        site.out += 1
        site.sent.append((now, work.class_name))
        while site.sent and now - site.sent[0][0] > KEPT_S:
            site.sent.popleft()

    def placed(self, now: float, name: str) -> None:
        """It stands there: the site works."""
        site = self.sites[name]
        site.fails, site.wait = 0, OUT_S
        if site.steps is not None and now - site.stepped >= STEP_S:
            site.steps, site.stepped = 2 * site.steps, now
            if site.told is not None and site.steps > site.told.size:
                site.steps = None

    def returned(self, now: float, name: str, work: Work) -> None:
        """It took nothing of that kind: it would turn away the next one as well."""
        self.sites[name].refused[work.class_name] = (now + REFUSED_S, work.cores, work.memory)
        self.sites[name].fails = 0

    def failed(self, now: float, name: str) -> None:
        """No word in time, or it failed there. Several in a row leave the site out for a while."""
        site = self.sites[name]
        site.fails += 1
        if (site.fails >= FAILS_MOST or site.steps is not None) and now >= site.left_out:
            site.left_out, site.fails = now + site.wait, 0
            site.wait = min(2 * site.wait, OUT_MOST_S)
            site.steps, site.stepped = 1, site.left_out

    def over(self, name: str) -> None:
        """The site holds one transfer less."""
        site = self.sites[name]
        site.out = max(0, site.out - 1)

    # ---- the choice --------------------------------------------------------------------------------------

    def choose(
        self, now: float, work: Work, home: Summary, left_s: float, crossed: frozenset[str] = frozenset()
    ) -> str | Stays:
        """The site that a task goes to, or why it stays. `crossed`: sites that have had it already."""
        if home.size and home.free.get(work.class_name, 0) > HOME_ROOM * home.size and not home.draining:
            return Stays("home has room")
        fit, whys = [], []
        for site in self.sites.values():
            why = "it was there" if site.name in crossed else self._unfit(now, site, work, left_s)
            if why:
                whys.append(f"{site.name}: {why}")
            else:
                fit.append(site)
        if not fit:
            return Stays("; ".join(whys) or "there is no other site")
        drawn = self._draws.sample(fit, min(DRAWN, len(fit)))
        self._draws.shuffle(drawn)
        best = max(drawn, key=lambda site: self._roominess(now, site, work))
        at_home = 0.0 if home.draining or not home.size else home.free.get(work.class_name, 0) / home.size
        if self._roominess(now, best, work) < MARGIN * at_home:
            return Stays(f"{best.name}: hardly roomier than home")
        return best.name

    def free(self, now: float, site: Site, class_name: str) -> int:
        """What a site told it would take, less what went there since it can have counted it."""
        if site.told is None or now - site.told_at > TOLD_MOST_S:
            return 0
        since = site.told_at - 2 * site.delay_s
        return site.told.free.get(class_name, 0) - sum(
            at >= since and name == class_name for at, name in site.sent
        )

    def _unfit(self, now: float, site: Site, work: Work, left_s: float) -> str:
        if not site.up:
            return "its link is down"
        if now < site.left_out:
            return "it failed lately"
        if site.steps is not None and site.out >= site.steps:
            return "it is let back by steps"
        if site.told is None or now - site.told_at > TOLD_MOST_S:
            return "it has told nothing lately"
        if site.told.draining:
            return "it is drained"
        if left_s <= 2 * site.delay_s:
            return "it is too far for the time left"
        until, cores, memory = site.refused.get(work.class_name, (0.0, 0.0, 0.0))
        if now < until and work.cores >= cores and work.memory >= memory:
            return "it returned such a task lately"
        if self.free(now, site, work.class_name) <= 0:
            return "it has no room for the class"
        if site.out >= max(LEAST_OUT, SHARE_OUT * site.told.size):
            return "enough is out there"
        return ""

    def _roominess(self, now: float, site: Site, work: Work) -> float:
        """The part of its size that is free for the class, less the price of the way."""
        return self.free(now, site, work.class_name) / max(1, site.told.size) - DELAY_PRICE * site.delay_s
