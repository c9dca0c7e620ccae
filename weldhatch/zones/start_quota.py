"""Start quotas for returning machines: valid for a limited span, and never used twice. Pure.

A machine that has just come back accepts a limited number of starts within a window from all dispatchers
together. In each epoch the leader assigns each dispatcher one of `holders` positions, and the tokens of each
machine are distributed over the positions. Every dispatcher computes the distribution from the machine's
name, so endpoint lists may differ. A quota is valid for its span, by the holder's clock, counted from when it
was requested: a lease on a part of a shared counter (escrow, O'Neil 1986).

An epoch lasts for the window, the time in which its quotas are assigned, and the span. No window therefore
contains starts of two epochs, even if dispatchers are late, stopped or dead. The quotas of dead dispatchers
expire unused.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

MAX_TOKENS = 64  # of a machine in one epoch


@dataclass(slots=True, frozen=True)
class StartQuota:
    """One dispatcher's quota in one epoch. `span_s`: its validity, counted from the request."""

    place: str
    epoch: str  # unique, also among the epochs of other leaders
    epoch_number: int  # rotates the distribution of tokens over positions
    position: int
    holders: int
    tokens: int  # of each machine, for all holders together
    span_s: float

    def to_tree(self) -> list[Any]:
        """Return the encoded form: the fields in order."""
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
        """Read the encoded form. Raises TypeError if the number of fields is wrong."""
        return cls(*tree)


def token_offset(uid: str) -> int:
    """Return the offset of a machine's first token, derived from its name alone."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=4).digest(), "big")


def starts_allowed(quota: StartQuota, uid: str) -> int:
    """Return the number of starts on a machine that a quota allows; over all quotas of an epoch, `tokens`."""
    first = (token_offset(uid) + quota.epoch_number * quota.tokens) % quota.holders
    per_holder, remainder = divmod(min(quota.tokens, MAX_TOKENS), quota.holders)
    return per_holder + ((quota.position - first) % quota.holders < remainder)


class QuotaLease:
    """The quotas of one dispatcher: accepted from the leader, spent when a start is sent."""

    def __init__(self, drift: float) -> None:
        """`drift`: the maximum relative difference between clock rates."""
        self._drift = drift
        self._held: dict[str, tuple[StartQuota, float]] = {}  # by place: quota, expiry
        self._spent: dict[str, dict[str, int]] = {}  # by place, by machine
        self._last_accepted: dict[str, tuple[str, float]] = {}  # by place: epoch, time of the request

    def accept(self, quota: StartQuota, asked_at: float) -> bool:
        """Accept a quota; return True if it is new.

        A repeated quota, or one requested before the last accepted one, is ignored so that none is spent
        twice.
        """
        epoch, last_asked_at = self._last_accepted.get(quota.place, ("", float("-inf")))
        if epoch == quota.epoch or asked_at <= last_asked_at:
            return False
        self._last_accepted[quota.place] = quota.epoch, asked_at
        self._held[quota.place] = quota, asked_at + quota.span_s * (1 - self._drift)
        self._spent[quota.place] = {}
        return True

    def remaining(self, now: float, place: str, uid: str) -> int:
        """Return the remaining number of starts on a machine.

        Also checked when a start is sent: the span may have ended while the process was stopped.
        """
        quota, expires_at = self._held.get(place, (None, 0.0))
        if quota is None or now >= expires_at:
            return 0
        return starts_allowed(quota, uid) - self._spent[place].get(uid, 0)

    def spend(self, now: float, place: str, uid: str) -> bool:
        """Spend one start; return False if none remains."""
        if self.remaining(now, place, uid) <= 0:
            return False
        spent = self._spent[place]
        spent[uid] = spent.get(uid, 0) + 1
        return True

    def next_expiry(self, now: float) -> float:
        """Return the earliest expiry of a valid quota, or inf if there is none."""
        return min(
            (expires_at for _, expires_at in self._held.values() if expires_at > now), default=float("inf")
        )

    def revoke(self, place: str) -> None:
        """Drop the quota of a place that is no longer returning: it must not be spent."""
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
    """The leader's record of start quotas for all returning places. Each leader creates its own."""

    def __init__(self, now: float, name: str, window_s: float, span_s: float, drift: float) -> None:
        """Start at `now`, under a `name` that no other leader has.

        `window_s`: the window in which a machine accepts a limited number of starts; `span_s`: the validity
        of a quota; `drift`: the maximum relative difference between clock rates.
        """
        self._name = name
        self._window_s = window_s
        self._span_s = span_s
        self._drift = drift
        self._handout_s = span_s  # quotas are assigned for this time from the beginning of an epoch
        # The quotas that the previous leader assigned are unknown here. After this time all of them have
        # expired and another window has passed.
        self._first_epoch_at = now + (span_s + window_s) * (1 + drift)
        self._epochs: dict[str, QuotaEpoch] = {}
        self._last_numbers: dict[str, int] = {}

    def set_window(self, window_s: float) -> None:
        """Set the window of a new version of the settings, effective from the next epoch."""
        self._window_s = window_s

    @property
    def epoch_length_s(self) -> float:
        """Length of an epoch if each machine accepts at least one start per window."""
        return (self._window_s + self._handout_s + self._span_s) * (1 + self._drift)

    def allocate(
        self, now: float, place: str, incarnation: str, starts_per_window: float, eligible: Iterable[str]
    ) -> StartQuota | None:
        """Return one dispatcher's quota, or None if it has none now.

        `starts_per_window`: on each machine, by all dispatchers together; epochs are longer if it is below 1.
        `eligible`: the incarnations that share an epoch that begins now; incarnations beyond their number get
        no quota in it.
        """
        if now < self._first_epoch_at or starts_per_window <= 0:
            return None
        epoch = self._epochs.get(place)
        if epoch is None or now >= epoch.began + epoch.length_s:
            epoch = self._begin_epoch(now, place, starts_per_window, len(set(eligible) | {incarnation}))
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

    def _begin_epoch(self, now: float, place: str, starts_per_window: float, holders: int) -> QuotaEpoch:
        number = self._last_numbers.get(place, -1) + 1
        self._last_numbers[place] = number
        epoch = self._epochs[place] = QuotaEpoch(
            name=f"{self._name}.{number}",
            number=number,
            began=now,
            holders=holders,
            tokens=max(1, int(starts_per_window)),
            length_s=self.epoch_length_s / min(1.0, starts_per_window),
        )
        return epoch

    def status(self, now: float) -> dict[str, dict[str, Any]]:
        """Return the assigned quotas by place, under the keys that operators see."""
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
