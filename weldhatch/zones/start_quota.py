"""Starts on machines that return, in shares for a span: spent, or lapsed, and never used twice. Pure.

A machine just back bears `bears` starts within a window from all dispatchers together. The leader hands each
dispatcher one of `count` places in an epoch; place p may start on a machine as often as p is among the
machine's tokens of that epoch. Everybody works that out alike from the machine's name, so no list has to be
the same for all. A share is spent within its span, by its holder's clock, counted from when it was asked for.

An epoch lasts for the window, the time in which its shares are handed out, and the span: so no window holds
what two epochs allow, whoever is late, stopped or dead. What dead ones held simply lapses.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

ROUNDS_MOST = 64  # tokens of a machine in one epoch


@dataclass(slots=True, frozen=True)
class Share:
    """One dispatcher's part of one epoch. `span`: seconds from when it was asked for."""

    place: str
    epoch: str  # a name that no other epoch has, also under another leader
    turn: int  # of the epoch, for who is first at which machine
    mine: int
    count: int
    tokens: int  # of each machine, over all
    span: float

    def to_tree(self) -> list:
        return [self.place, self.epoch, self.turn, self.mine, self.count, self.tokens, self.span]


def rank(uid: str) -> int:
    """Where a machine's tokens begin: the same for all who know its name."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=4).digest(), "big")


def allowed(share: Share, uid: str) -> int:
    """How many starts on that machine the share holds. Over all shares of an epoch: `tokens`."""
    first = (rank(uid) + share.turn * share.tokens) % share.count
    whole, rest = divmod(min(share.tokens, ROUNDS_MOST), share.count)
    return whole + ((share.mine - first) % share.count < rest)


class Purse:
    """A dispatcher's shares: `take` what the leader has handed out, `spend` at the moment of a start."""

    def __init__(self, drift: float) -> None:
        self._drift = drift
        self._held: dict[str, tuple[Share, float]] = {}  # by place: the share and when it lapses
        self._spent: dict[str, dict[str, int]] = {}  # by place: by machine
        self._done: dict[str, tuple[str, float]] = {}  # by place: the last epoch taken, and when it was asked

    def take(self, share: Share, asked: float) -> bool:
        """Whether it is new. Guards against a share that is spent twice: one told again, or an older one
        that was overtaken, adds nothing."""
        epoch, last = self._done.get(share.place, ("", float("-inf")))
        if epoch == share.epoch or asked <= last:
            return False
        self._done[share.place] = share.epoch, asked
        self._held[share.place] = share, asked + share.span * (1 - self._drift)
        self._spent[share.place] = {}
        return True

    def left(self, now: float, place: str, uid: str) -> int:
        """Starts that may still go to a machine; asked at the send too: a span ends while we are stopped."""
        share, ends = self._held.get(place, (None, 0.0))
        if share is None or now >= ends:
            return 0
        return allowed(share, uid) - self._spent[place].get(uid, 0)

    def spend(self, now: float, place: str, uid: str) -> bool:
        """One start; whether it may leave."""
        if self.left(now, place, uid) <= 0:
            return False
        spent = self._spent[place]
        spent[uid] = spent.get(uid, 0) + 1
        return True

    def ends(self, now: float) -> float:
        """When the first share that is held lapses; inf for none."""
        return min((ends for _, ends in self._held.values() if ends > now), default=float("inf"))

    def drop(self, place: str) -> None:
        """The place returns no more: what is held of it must not be spent."""
        self._held.pop(place, None)


@dataclass(slots=True)
class Epoch:
    name: str
    turn: int
    began: float
    count: int
    tokens: int
    lasts: float
    given: dict[str, int] = field(default_factory=dict)  # dispatcher's life: its place


class Ledger:
    """The leader's side for all places that return. Made anew with each leader, at `now`."""

    def __init__(self, now: float, name: str, window: float, span: float, drift: float) -> None:
        """`window`: seconds in which a machine bears its starts; `span`: for which a share holds."""
        self._name, self._window, self._span, self._drift = name, window, span, drift
        self._hand_s = span  # shares of an epoch are handed out for so long after its beginning
        # Guards against shares that the leader before has handed out and that are not known here: by then
        # all of them have lapsed, and a window has passed since.
        self._from = now + (span + window) * (1 + drift)
        self._epochs: dict[str, Epoch] = {}
        self._turns: dict[str, int] = {}

    def bound(self, window: float) -> None:
        """Another window, of another version of the settings, from the next epoch on."""
        self._window = window

    @property
    def lasts(self) -> float:
        """Of an epoch in which a machine's whole number of tokens is handed out."""
        return (self._window + self._hand_s + self._span) * (1 + self._drift)

    def ask(self, now: float, place: str, life: str, pace: float, present: Iterable[str]) -> Share | None:
        """One dispatcher's share; None where it has none now.

        `pace`: starts that each machine bears in a window, over all dispatchers; under 1, epochs are longer.
        `present`: the lives that may ask in an epoch that begins now. One that comes later has none in it.
        """
        if now < self._from or pace <= 0:
            return None
        epoch = self._epochs.get(place)
        if epoch is None or now >= epoch.began + epoch.lasts:
            lives = sorted(set(present) | {life})
            tokens = max(1, int(pace))
            self._turns[place] = self._turns.get(place, -1) + 1
            epoch = self._epochs[place] = Epoch(
                f"{self._name}.{self._turns[place]}",
                self._turns[place],
                now,
                len(lives),
                tokens,
                self.lasts / min(1.0, pace),
            )
        if now > epoch.began + self._hand_s:
            return None
        if life not in epoch.given:
            if len(epoch.given) >= epoch.count:
                return None
            epoch.given[life] = len(epoch.given)
        return Share(place, epoch.name, epoch.turn, epoch.given[life], epoch.count, epoch.tokens, self._span)

    def out(self, now: float) -> dict[str, dict]:
        """For operators: shares that are out, by place."""
        return {
            place: {
                "turn": one.turn,
                "shares": len(one.given),
                "of": one.count,
                "tokens": one.tokens,
                "age_s": round(now - one.began, 2),
            }
            for place, one in self._epochs.items()
            if now < one.began + one.lasts
        }
