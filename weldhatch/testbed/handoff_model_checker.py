"""Every order of events of a few tasks between two sites: messages lost, doubled, overtaken; crashes; ends.

A model in the sense of model checking: from one state all events that could come next are tried, each state
once (breadth first), and the invariants are checked in each. The hand-off's own code runs in it; only the
network, the disk and the machines are modelled. A record that precedes a message is on the disk before the
message is out, and a crash may fall between any two effects.
"""

from __future__ import annotations

from collections import deque
from typing import NoReturn

from weldhatch.sites import handoff_target
from weldhatch.sites.messages import Work
from weldhatch.testbed.handoff_model import AWAY, HOME, Faults, World, successors


class InvariantError(AssertionError):
    """An invariant that does not hold, with the events that led there."""


def check(world: World) -> None:
    """Check what holds in every state. Raises InvariantError."""
    for request, answers in enumerate(world.answers):
        if len(answers) > 1:
            _fail(world, f"request {request} got {answers}")
    for request, count in enumerate(world.starts):
        if world.asks[request].effect != "SAFE" and count > 1:
            _fail(world, f"request {request}, which may not start twice, did")
    keys = [
        work.key
        for site, what in world.running
        if (work := world.asks[what if site == HOME else world.request(what)]).effect != "SAFE"
    ]
    if len(keys) != len(set(keys)):
        _fail(world, f"two copies of one key run: {sorted(map(str, world.running))}")


def settled(world: World) -> World:
    """Return the state after the link has healed: both sides repeat, and all that runs comes to its end."""
    after = world.copied("the link heals")
    after.asked = len(after.asks) if after.asked else 0
    after.starts += (0,) * (len(after.asks) - len(after.starts))
    after.answers += (("unasked",),) * (len(after.asks) - len(after.answers))
    for _ in range(8):
        after.carry(after.source.unconfirmed_messages(AWAY, {}))
        after.carry(after.target.unconfirmed_messages())
        while after.there or after.here or after.trying or after.mine:
            if after.there:
                after.carry(after.deliver_there(0, after.there[0]))
            elif after.here:
                after.carry(after.deliver_here(0, after.here[0]))
            elif after.trying:
                after.carry(after.reject(min(after.trying)))
            else:
                after.carry(after.decide_home(min(after.mine)))
            check(after)
        for site, what in sorted(after.running, key=str):
            after.carry(after.end_away(what) if site == AWAY else after.end_home(what))
    return after


def check_settled(world: World) -> None:
    """Check that nothing stays open and nobody without an answer. Raises InvariantError."""
    after = settled(world)
    if after.source.transfers or after.source.remote_keys:
        _fail(after, f"still lent after all has settled: {list(after.source.transfers.values())}")
    transfers = after.target.transfers.values()
    still_open = [transfer for transfer in transfers if transfer.phase in handoff_target.OPEN_PHASES]
    if still_open:
        _fail(after, f"still taken after all has settled: {still_open}")
    for request, answers in enumerate(after.answers):
        if len(answers) != 1 and request not in after.departed:
            _fail(after, f"request {request} got {answers or 'no answer'}")


def _fail(world: World, what: str) -> NoReturn:
    raise InvariantError(what + "\n  " + "\n  ".join(world.past))


def explore(asks: tuple[Work, ...], faults: Faults, most: int = 10_000_000) -> int:
    """Try every order of events; return how many states there are.

    Raises InvariantError, with the shortest way there; OverflowError past `most` states: then not every order
    was tried.
    """
    first = World(asks, faults)
    seen = {hash(first.key())}
    queue = deque([first])
    while queue:
        world = queue.popleft()
        check(world)
        if not (world.there or world.here or world.trying or world.mine):
            check_settled(world)  # all others lead to such states, by messages that arrive or are lost
        for after in successors(world):
            if (key := hash(after.key())) not in seen:
                seen.add(key)
                queue.append(after)
                if len(seen) > most:
                    raise OverflowError(f"more than {most} states")
    return len(seen)
