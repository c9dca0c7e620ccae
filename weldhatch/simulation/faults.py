"""What is thrown at a group and when: plans from a seed, and how a plan that fails is cut down. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

KINDS = {  # how often each is drawn
    "kill": 5,
    "stop": 3,
    "cut": 2,
    "apart": 4,
    "deaf": 3,
    "mute": 3,
    "pair": 3,
    "slow disk": 2,
    "full disk": 2,
    "fast clock": 1,
    "slow clock": 1,
    "wall clock": 1,
    "older copy": 1,
}
HALL_KINDS = ("hall dead", "hall cut", "hall mute", "kill", "stop")  # of plays over halls
DRIFT = 0.01  # of a clock that runs wrong: under what the agreement allows
LEAP_S = 30.0  # of a wall clock that is set


@dataclass(slots=True, frozen=True)
class Fault:
    """From `at` on for `span` seconds at one process; of a `pair` only the way to the `other` is cut."""

    at: float
    kind: str
    who: str
    span: float
    other: str = ""

    def to_tree(self) -> list:
        return [round(self.at, 4), self.kind, self.who, round(self.span, 4), self.other]

    @classmethod
    def of(cls, tree: Sequence) -> Fault:
        """Raises ValueError naming what is wrong."""
        try:
            at, kind, who, span, other = tree
            fault = cls(float(at), str(kind), str(who), float(span), str(other))
        except (TypeError, ValueError):
            raise ValueError(f"a fault is [at, kind, who, span, other], not {tree!r}") from None
        if fault.kind not in (known := dict.fromkeys((*KINDS, *HALL_KINDS))):
            raise ValueError(f"{fault.kind!r} is no kind of fault: there are {', '.join(known)}")
        if not (fault.at >= 0 and fault.span >= 0):
            raise ValueError(f"a fault begins and lasts for no less than 0 seconds, not {tree!r}")
        return fault


def draw(
    random: Random,
    names: Sequence[str],
    begin: float,
    end: float,
    most: int = 6,
    of: Iterable[str] = tuple(KINDS),
) -> list[Fault]:
    """One to `most` faults, some of them near each other: rare orders of events are where faults overlap."""
    out: list[Fault] = []
    kinds = {
        kind: KINDS[kind] for kind in of if len(names) > 1 or kind not in ("pair", "apart", "older copy")
    }  # of peers that there are
    for _ in range(random.randint(1, most)):
        if out and random.random() < 0.5:
            at = min(end, out[-1].at + random.expovariate(4.0))
        else:
            at = random.uniform(begin, end)
        kind = random.choices(list(kinds), list(kinds.values()))[0]
        if kind == "older copy":  # one voter's store may come back older, and not a second one's
            del kinds[kind]
        who = random.choice(list(names))
        other = random.choice([name for name in names if name != who]) if kind == "pair" else ""
        out.append(
            Fault(
                round(at, 4),
                kind,
                who,
                round(random.choice((0.05, 0.4, 1.0, 3.0)) * (0.5 + random.random()), 4),
                other,
            )
        )
    return sorted(out, key=lambda one: one.at)


def ways(fault: Fault, names: Iterable[str]) -> set[tuple[str, str]]:
    """The ways that a fault cuts, each from one process to another."""
    others = [name for name in names if name != fault.who]
    match fault.kind:
        case "cut":
            return {way for other in others for way in ((fault.who, other), (other, fault.who))}
        case "apart":  # from its peers, by the letter of their names; machines and owners reach it
            return {
                way
                for other in others
                if other[0] == fault.who[0]
                for way in ((fault.who, other), (other, fault.who))
            }
        case "deaf":
            return {(other, fault.who) for other in others}
        case "mute":
            return {(fault.who, other) for other in others}
        case "pair":
            return {(fault.who, fault.other), (fault.other, fault.who)}
    return set()


def shrink(plan: list[Fault], fails: Callable[[list[Fault]], bool]) -> list[Fault]:
    """The fewest faults of a plan that still fail, as delta debugging finds them (Zeller and Hildebrandt
    2002): first halves and their rests, then ever smaller parts, at last one by one."""
    parts = 2
    while len(plan) > 1:
        size = max(1, len(plan) // parts)
        for at in range(0, len(plan), size):
            rest = plan[:at] + plan[at + size :]
            if rest and fails(rest):
                plan, parts = rest, max(2, parts - 1)
                break
        else:
            if size == 1:
                return plan
            parts = min(len(plan), 2 * parts)
    return plan
