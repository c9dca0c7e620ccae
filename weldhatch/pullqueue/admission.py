"""Who is let in to the module, in which order, and who is told at once that it will not do. No I/O.

Under no load everybody goes straight in. Beyond what is let in at a time, submissions wait in a bounded
queue:
tenants by weighted fair shares, and within a tenant by deadline. One whose answer could not come in time
hears
so now, with the time after which there should be room.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

INSIDE_LEAST, INSIDE_MOST = 24, 256
LAG_HIGH_US, LAG_LOW_US = 60_000, 20_000  # lag of the loop above which less is let in, and below which more
STEADY_US = 1_000_000
LAG_COUNTED_US = 250_000  # of a long lag: the next turn is shorter
SMOOTH = 0.05
RESERVE = 1.25  # an answer is expected to take so many times what the last ones took
RETRY_SHARE = 0.5  # repeated asks a tenant may have for each first one, while there is a queue
RETRY_BURST = 50.0


class Verdict(Enum):
    IN = "in"
    WAIT = "wait"
    REFUSED = "refused"


@dataclass(slots=True, eq=False)
class Ticket:
    """One submission at the gate. Times in Unix microseconds."""

    tenant: int
    deadline: int
    came: int
    again: bool = False
    entered: int = 0
    gone: bool = False


@dataclass(slots=True)
class _Lane:
    """One tenant's queue."""

    weight: float
    turn: float = 0.0  # its place in virtual time
    heap: list[tuple[int, int, Ticket]] = field(default_factory=list)
    waiting: int = 0
    retries: float = RETRY_BURST


class Gate:
    """The one place where submissions wait before the module."""

    def __init__(self, weights: Mapping[int, float], most: int) -> None:
        """weights: by tenant index, all above 0; most: submissions that wait at a time."""
        self._lanes = {tenant: _Lane(weight) for tenant, weight in weights.items()}
        self._most = most
        self._virtual = 0.0
        self._serial = 0
        self.inside = self.waiting = 0
        self.limit = float(INSIDE_MOST)
        self._took_us = 0.0  # smoothed, from entering to the answer
        self._rate = 0.0  # answers a second, smoothed
        self._last_leave = 0
        self._lag_us = 0.0
        self._steady_since = 0

    def _lane(self, tenant: int) -> _Lane:
        return self._lanes.setdefault(tenant, _Lane(1.0))

    def expected_wait_us(self, ahead: int) -> float:
        """How long so many ahead will take to be let in, by the last second's pace."""
        return ahead / self._rate * 1e6 if self._rate > 0 else 0.0

    def _pace_known(self, now: int) -> bool:
        """Has there been a queue for a while, and a loop that did not lag?

        Guards against turning a crowd away by the pace of the moment in which it is read: nothing else is
        done
        then, and what follows is much faster.
        """
        return self._rate > 0 and now - self._steady_since >= STEADY_US

    def come(self, ticket: Ticket, now: int) -> tuple[Verdict, int, Ticket | None]:
        """What becomes of one that comes: the verdict, for a refusal the time to stay away, and who is put
        out for it, if somebody is."""
        lane = self._lane(ticket.tenant)
        if not ticket.again:
            lane.retries = min(RETRY_BURST, lane.retries + RETRY_SHARE)
        if self.inside < self.limit and not self.waiting:
            self._enter(ticket, now)
            return Verdict.IN, 0, None
        if ticket.again:
            # Guards first asks against a storm of repeated ones: a tenant's repeats are a share of its
            # firsts.
            if lane.retries < 1:
                return Verdict.REFUSED, self.advice_us(), None
            lane.retries -= 1
        if not self.waiting:
            self._steady_since = now
        wait = self.expected_wait_us(self._ahead(lane)) if self._pace_known(now) else 0.0
        if now + (wait + self._took_us) * RESERVE > ticket.deadline:
            return Verdict.REFUSED, self.advice_us(), None
        put_out = None
        if self.waiting >= self._most:
            put_out = self._worst()
            if put_out is None or (put_out.tenant == ticket.tenant and put_out.deadline <= ticket.deadline):
                return Verdict.REFUSED, self.advice_us(), None
            self.leave_queue(put_out)
        self._serial += 1
        if not lane.waiting:
            lane.turn = max(lane.turn, self._virtual)
        heapq.heappush(lane.heap, (ticket.deadline, self._serial, ticket))
        lane.waiting += 1
        self.waiting += 1
        return Verdict.WAIT, 0, put_out

    def _ahead(self, lane: _Lane) -> int:
        """About how many are let in before the last of a lane: its own, and the others' by their shares."""
        active = sum(other.weight for other in self._lanes.values() if other.waiting or other is lane)
        own = lane.waiting + 1
        return min(self.waiting + 1, int(own * active / lane.weight) + 1)

    def advice_us(self) -> int:
        """When there should be room again: what waits now has gone in."""
        return int(max(200_000.0, min(self.expected_wait_us(self.waiting + 1), 30_000_000.0)))

    def _worst(self) -> Ticket | None:
        """The last by deadline of the tenant that has most waiting for its weight."""
        lane = max(
            (lane for lane in self._lanes.values() if lane.waiting),
            key=lambda lane: lane.waiting / lane.weight,
            default=None,
        )
        if lane is None:
            return None
        return max((entry for entry in lane.heap if not entry[2].gone), key=lambda entry: entry[:2])[2]

    def _enter(self, ticket: Ticket, now: int) -> None:
        self.inside += 1
        ticket.entered = now

    def leave_queue(self, ticket: Ticket) -> None:
        """One that waits goes away: put out, given up, or too late."""
        if not ticket.gone and not ticket.entered:
            ticket.gone = True
            self._lane(ticket.tenant).waiting -= 1
            self.waiting -= 1

    def leave(self, ticket: Ticket, now: int) -> None:
        """One that was let in has its answer."""
        self.inside -= 1
        took = max(0, now - ticket.entered)
        self._took_us += SMOOTH * (took - self._took_us) if self._took_us else took
        if self._last_leave:
            gap = max(1, now - self._last_leave) / 1e6
            share = min(1.0, gap)  # the rate over about the last second
            self._rate = self._rate * (1 - share) + share / gap if self._rate else 1 / max(gap, 0.001)
        self._last_leave = now

    def next(self, now: int) -> tuple[list[Ticket], list[Ticket]]:
        """Who is let in now, and who is told that it will not do, since its time is up or nearly so."""
        let_in: list[Ticket] = []
        late: list[Ticket] = []
        while self.waiting and self.inside < self.limit:
            lane = min((lane for lane in self._lanes.values() if lane.waiting), key=lambda lane: lane.turn)
            ticket = heapq.heappop(lane.heap)[2]
            if ticket.gone:
                continue
            lane.waiting -= 1
            self.waiting -= 1
            if now + self._took_us > ticket.deadline:
                ticket.gone = True
                late.append(ticket)
                continue
            self._virtual = max(self._virtual, lane.turn)
            lane.turn += 1 / lane.weight
            self._enter(ticket, now)
            let_in.append(ticket)
        return let_in, late

    def trim(self, now: int) -> list[Ticket]:
        """Those who wait and, by the pace that is known now, will not be answered in time.

        Guards against telling thousands at their deadline what is plain long before. Until the pace is known,
        only those whose time is as good as up are told.
        """
        if self._lag_us > LAG_HIGH_US:
            self._steady_since = now
        known = self._pace_known(now)
        if not self.waiting:
            return []
        out: list[Ticket] = []
        active = sum(lane.weight for lane in self._lanes.values() if lane.waiting)
        for lane in self._lanes.values():
            ahead, kept = 0, []
            for entry in sorted(lane.heap):
                ticket = entry[2]
                if ticket.gone:
                    continue
                wait = min(self._lag_us, LAG_COUNTED_US)
                if known:
                    wait = self.expected_wait_us(int(ahead * active / lane.weight))
                wait += self._took_us
                if now + wait * RESERVE > ticket.deadline:
                    ticket.gone = True
                    out.append(ticket)
                else:
                    ahead += 1
                    kept.append(entry)
            lane.heap, lane.waiting = kept, len(kept)
        self.waiting -= len(out)
        return out

    def lag(self, lag_us: float) -> None:
        """The loop's own delay, told a few times a second: less is let in while it is high."""
        self._lag_us = lag_us
        if lag_us > LAG_HIGH_US:
            self.limit = max(INSIDE_LEAST, min(self.limit, self.inside + 1) * 0.85)
        elif lag_us < LAG_LOW_US:
            self.limit = min(INSIDE_MOST, self.limit + 4)
