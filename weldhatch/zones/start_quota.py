"""Starts on machines that return, in quotas for a span of time: spent or expired, never used twice. Pure.

A machine just back bears a number of starts within a window from all dispatchers together. The leader hands
each dispatcher one of `holders` positions in an epoch; a position may start on a machine as often as it is
among the machine's tokens of that epoch. Everybody computes that alike from the machine's name, so no list
has to be the same for all. A quota is spent within its span, by its holder's clock, counted from when it was
asked for: a lease on a part of a shared counter (escrow, O'Neil 1986).

An epoch lasts for the window, the time in which its quotas are handed out, and the span: so no window holds
what two epochs allow, whoever is late, stopped or dead. What dead ones held simply expires.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

MAX_ROUNDS = 64  # tokens of a machine in one epoch


@dataclass(slots=True, frozen=True)
class StartQuota:
    """One dispatcher's part of one epoch. `span_s`: seconds from when it was asked for."""

    place: str
    epoch: str  # a name that no other epoch has, also under another leader
    epoch_number: int  # decides who is first at which machine
    position: int
    holders: int
    tokens: int  # of each machine, over all holders
    span_s: float

    def to_tree(self) -> list[Any]:
        """Return the encoded form: the fields in their order."""
        return [
            self.place,
            self.epoch,
            self.epoch_number,
            self.position,
            self.holders,
            self.tokens,
            self.span_s,
        ]

    @classmethod
    def from_tree(cls, tree: Any) -> StartQuota:
        """Read the encoded form. Raises TypeError for what has not as many fields."""
        return cls(*tree)


def token_offset(uid: str) -> int:
    """Return where a machine's tokens begin: the same for all who know its name."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=4).digest(), "big")


def starts_allowed(quota: StartQuota, uid: str) -> int:
    """Return how many starts on that machine the quota holds. Over all quotas of an epoch: `tokens`."""
    first = (token_offset(uid) + quota.epoch_number * quota.tokens) % quota.holders
    whole, rest = divmod(min(quota.tokens, MAX_ROUNDS), quota.holders)
    return whole + ((quota.position - first) % quota.holders < rest)


class QuotaLease:
    """A dispatcher's quotas: `accept` what the leader has handed out, `spend` at the moment of a start."""

    def __init__(self, drift: float) -> None:
        """Take `drift`, the part by which clocks may differ in rate."""
        self._drift = drift
        self._held: dict[str, tuple[StartQuota, float]] = {}  # by place: the quota and when it expires
        self._spent: dict[str, dict[str, int]] = {}  # by place: by machine
        self._last: dict[
            str, tuple[str, float]
        ] = {}  # by place: the last epoch taken, and when it was asked for

    def accept(self, quota: StartQuota, asked_at: float) -> bool:
        """Take a quota; True where it is new.

        Guards against a quota that is spent twice: one that is repeated, or overtaken by a later one, adds
        nothing.
        """
        epoch, last_asked_at = self._last.get(quota.place, ("", float("-inf")))
        if epoch == quota.epoch or asked_at <= last_asked_at:
            return False
        self._last[quota.place] = quota.epoch, asked_at
        self._held[quota.place] = quota, asked_at + quota.span_s * (1 - self._drift)
        self._spent[quota.place] = {}
        return True

    def remaining(self, now: float, place: str, uid: str) -> int:
        """Return the starts that may still go to a machine.

        Asked at the send, too: a span ends while the process is stopped.
        """
        quota, expires_at = self._held.get(place, (None, 0.0))
        if quota is None or now >= expires_at:
            return 0
        return starts_allowed(quota, uid) - self._spent[place].get(uid, 0)

    def spend(self, now: float, place: str, uid: str) -> bool:
        """Spend one start; False where it may not leave."""
        if self.remaining(now, place, uid) <= 0:
            return False
        spent = self._spent[place]
        spent[uid] = spent.get(uid, 0) + 1
        return True

    def next_expiry(self, now: float) -> float:
        """Return when the first quota that is held expires; inf for none."""
        return min(
            (expires_at for _, expires_at in self._held.values() if expires_at > now), default=float("inf")
        )

    def revoke(self, place: str) -> None:
        """Drop what is held of a place that returns no more: it must not be spent."""
        self._held.pop(place, None)


@dataclass(slots=True)
class QuotaEpoch:
    """One epoch of a place: `holders` quotas of `tokens` starts on each machine."""

    name: str
    number: int
    began: float
    holders: int
    tokens: int
    length_s: float
    positions: dict[str, int] = field(default_factory=dict)  # by incarnation


class QuotaLedger:
    """The leader's side for all places that return. Made anew with each leader."""

    def __init__(self, now: float, name: str, window_s: float, span_s: float, drift: float) -> None:
        """Begin at `now`, under a `name` that no other leader has.

        `window_s`: in which a machine bears its starts; `span_s`: for which a quota holds.
        """
        self._name = name
        self._window_s = window_s
        self._span_s = span_s
        self._drift = drift
        self._handout_s = span_s  # quotas of an epoch are handed out for so long after its beginning
        # Guards against quotas that the leader before has handed out and that are not known here: by then
        # all of them have expired, and a window has passed since.
        self._starts_at = now + (span_s + window_s) * (1 + drift)
        self._epochs: dict[str, QuotaEpoch] = {}
        self._last_numbers: dict[str, int] = {}

    def set_window(self, window_s: float) -> None:
        """Take another window, of another version of the settings, from the next epoch on."""
        self._window_s = window_s

    @property
    def epoch_length_s(self) -> float:
        """Of an epoch in which a machine's whole number of tokens is handed out."""
        return (self._window_s + self._handout_s + self._span_s) * (1 + self._drift)

    def allocate(
        self, now: float, place: str, incarnation: str, pace: float, present: Iterable[str]
    ) -> StartQuota | None:
        """Return one dispatcher's quota; None where it has none now.

        `pace`: starts that each machine bears in a window, over all dispatchers; under 1, epochs are longer.
        `present`: the incarnations that may ask in an epoch that begins now; a later one has no part of it.
        """
        if now < self._starts_at or pace <= 0:
            return None
        epoch = self._epochs.get(place)
        if epoch is None or now >= epoch.began + epoch.length_s:
            epoch = self._begin_epoch(now, place, pace, len(set(present) | {incarnation}))
        if now > epoch.began + self._handout_s:
            return None
        if incarnation not in epoch.positions:
            if len(epoch.positions) >= epoch.holders:
                return None
            epoch.positions[incarnation] = len(epoch.positions)
        return StartQuota(
            place,
            epoch.name,
            epoch.number,
            epoch.positions[incarnation],
            epoch.holders,
            epoch.tokens,
            self._span_s,
        )

    def _begin_epoch(self, now: float, place: str, pace: float, holders: int) -> QuotaEpoch:
        number = self._last_numbers.get(place, -1) + 1
        self._last_numbers[place] = number
        epoch = self._epochs[place] = QuotaEpoch(
            name=f"{self._name}.{number}",
            number=number,
            began=now,
            holders=holders,
            tokens=max(1, int(pace)),
            length_s=self.epoch_length_s / min(1.0, pace),
        )
        return epoch

    def status(self, now: float) -> dict[str, dict[str, Any]]:
        """Return the quotas that are out, by place, under the names that operators see."""
        return {
            place: {
                "turn": epoch.number,
                "shares": len(epoch.positions),
                "of": epoch.holders,
                "tokens": epoch.tokens,
                "age_s": round(now - epoch.began, 2),
            }
            for place, epoch in self._epochs.items()
            if now < epoch.began + epoch.length_s
        }
