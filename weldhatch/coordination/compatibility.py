"""What contradicts what: how two versions of each setting may overlap while dispatchers move between them.

One row for each field of `interface.Settings` and of its classes, kinds and tenants. A field without a row is
a fault at import, so that nobody adds a setting without saying what two values of it come to. Pure.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields, replace
from enum import Enum

from weldhatch.scheduling.types import Effect, MachineKind, RequestClass, Scope, Settings, Tenant

MANY = 8  # dispatchers from which on a service starts at its first home, as the module has it


class Overlap(Enum):
    """How a change of a value may be acted on."""

    FREE = "free"  # dispatchers may differ: it changes what is preferred, not what is allowed
    TIGHTENS = "tightens"  # whoever hears of it acts on it at once
    WIDENS = "widens"  # acted on only once everybody holds it
    SWITCHES = "switches"  # neither the old nor the new is acted on until everybody holds it


OverlapRule = Callable[[object, object], Overlap]


def _free(old: object, new: object) -> Overlap:
    return Overlap.FREE


def _switch(old: object, new: object) -> Overlap:
    return Overlap.SWITCHES


def _less(old: object, new: object) -> Overlap:
    """The lower value allows less."""
    return Overlap.TIGHTENS if new < old else Overlap.WIDENS


def _more(old: object, new: object) -> Overlap:
    """The higher value allows less."""
    return Overlap.TIGHTENS if new > old else Overlap.WIDENS


def _bounded(old: int, new: int) -> Overlap:
    """The lower value allows less, and 0 is no bound at all."""
    return _less(old or float("inf"), new or float("inf"))


def _one_kind(old: int, new: int) -> Overlap:
    """-1 is any kind of machine."""
    if -1 in (old, new):
        return Overlap.TIGHTENS if old == -1 else Overlap.WIDENS
    return Overlap.SWITCHES


def _group_size(old: int, new: int) -> Overlap:
    """A larger group gives each a smaller share of a cold machine; homes change where it becomes many."""
    return Overlap.SWITCHES if (old >= MANY) != (new >= MANY) else _more(old, new)


def _local(old: object, new: object) -> Overlap:
    """Each dispatcher's own: it is taken from its own file, whatever a version says."""
    return Overlap.FREE


SETTINGS: dict[str, tuple[str, OverlapRule]] = {  # field: its key in files, and how its values overlap
    "zone": ("locality", _local),
    "me": ("me", _local),
    "tick_us": ("resolutionUs", _local),
    "group_size": ("groupSize", _group_size),
    "max_attempts": ("limits.mostTries", _less),
    "may_probe": ("limits.probes", _free),
    "may_cancel": ("limits.mayCancel", _less),
    "hedged_requests": ("limits.secondCopies", _less),
    "retry_after": ("limits.retryAfter", _free),
    "max_retry_after_us": ("limits.maxRetryAfterUs", _free),
    "subscribe": ("registryMode", _free),
    "drain_grace_us": ("rules.drainGraceUs", _less),
    "answer_slack_us": ("rules.answerSlackUs", _free),
    "poll_within_us": ("rules.mustAskInUs", _free),
    "warm_up_us": ("rules.coldUs", _more),
    "warm_up_offers": ("extra.coldSends", _less),
    "start_capacity": ("rules.startCapacity", _less),
    "tip_multiple": ("rules.tipMultiple", _less),
    "fall_us": ("rules.fallUs", _more),
    "cores_booking": ("extra.cpuBooking", _less),
    "memory_booking": ("extra.memBooking", _less),
    "lists_free": ("extra.listsFree", _free),
    "reports_asked": ("extra.measuredBy", _switch),
    "report_fields": ("stats.fields", _free),
    "by_service": ("extra.byService", _switch),
    "confirms_running": ("extra.confirms", _switch),
    "preempts_tasks": ("extra.makesRoom", _free),
    "reports_usage": ("extra.tellsUse", _free),
    "pressure_notes": ("extra.pressureNotes", _free),
    "owner_wait_us": ("extra.ownerWaitUs", _free),
    "usual_cores": ("extra.usualCores", _free),
    "usual_memory": ("extra.usualMemory", _free),
    "over_quota_priority_weight": ("overShareWorth", _free),
    "prices": ("prices", _free),
}
CLASSES: dict[str, tuple[str, OverlapRule]] = {
    "name": ("name", _switch),
    "latency_objective_us": ("aimUs", _free),
    "deadline_us": ("hardLimitUs", _less),
    "effect": ("effect", _switch),
    "group": ("group", _switch),
    "window_us": ("dedupWindowUs", _switch),
    "priority_weight": ("worth", _free),
    "late_priority_weight": ("lateWorth", _free),
    "start_priority_weight_s": ("extra.promptStartS", _free),
    "calm": ("extra.calmLevel", _free),
    "fade": ("extra.fadeSpan", _free),
    "kind": ("extra.kindByClass", _one_kind),
    "priority": ("extra.priorityByClass", _free),
    "spread_over": ("extra.spreadOver", _switch),
    "spread_most": ("extra.spreadMost", _bounded),
}
KINDS: dict[str, tuple[str, OverlapRule]] = {
    "name": ("kinds", _switch),
    "cores": ("extra.sizeCores", _less),
    "memory": ("extra.memOfKind", _less),
}
TENANTS: dict[str, tuple[str, OverlapRule]] = {
    "name": ("name", _free),
    "quota_per_s": ("quotaPerS", _free),
    "portion": ("portion", _free),
    "cores": ("extra.shareCores", _free),
}
LISTS = {"classes", "kinds", "zones", "tenants"}  # handled item by item, below


def check_complete(kind: type, rows: dict, besides: frozenset | set = frozenset()) -> None:
    """Guards against a setting that nobody said anything of."""
    known = {one.name for one in fields(kind)}
    if known != rows.keys() | besides:
        raise AssertionError(f"rules.table: {kind.__name__}: {sorted(known ^ (rows.keys() | besides))}")


check_complete(Settings, SETTINGS, LISTS)
check_complete(RequestClass, CLASSES)
check_complete(MachineKind, KINDS)
check_complete(Tenant, TENANTS)


@dataclass(slots=True, frozen=True)
class Change:
    """One value that differs. `of`: the class whose tasks it touches; '' for those of all."""

    key: str
    old: object
    new: object
    overlap: Overlap
    of: str = ""


class IncompatibleChangeError(ValueError):
    """A version that no running dispatcher can move to; `key` is at fault."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key, self.reason = key, reason


def find_changes(old: Settings, new: Settings) -> list[Change]:
    """All values that differ.

    Raises IncompatibleChangeError where the change takes a restart of the whole group.
    """
    out = [
        change
        for field, (key, judge) in SETTINGS.items()
        if (change := _change(key, judge, getattr(old, field), getattr(new, field))) and judge is not _local
    ]
    out += compare_items("classes", CLASSES, old.classes, new.classes, of_class=True)
    out += compare_items("kinds", KINDS, old.kinds, new.kinds)
    out += compare_items("tenants", TENANTS, old.tenants, new.tenants)
    if old.zones != new.zones:
        if new.zones[: len(old.zones)] != old.zones:
            raise IncompatibleChangeError(
                "zones", "halls may be added at the end; the others keep their places"
            )
        out.append(Change("zones", old.zones, new.zones, Overlap.WIDENS))
    return out


def _change(key: str, judge: OverlapRule, old: object, new: object, of: str = "") -> Change | None:
    return None if old == new else Change(key, _told(old), _told(new), judge(old, new), of)


def _told(value: object) -> object:
    return value.value if isinstance(value, Effect | Scope) else value


def compare_items(
    list_key: str, rows: dict, old: tuple, new: tuple, of_class: bool = False
) -> Iterator[Change]:
    names = [one.name for one in new]
    if names[: len(old)] != [one.name for one in old]:
        # Guards requests under way: they name their class and kind by its place.
        raise IncompatibleChangeError(
            list_key, "items may be added at the end; the others keep their places and names"
        )
    if len(set(names)) != len(names):
        raise IncompatibleChangeError(list_key, "two items have one name")
    for was, now in zip(old, new, strict=False):
        for field, (key, judge) in rows.items():
            change = _change(
                f"{list_key}.{now.name}.{key}",
                judge,
                getattr(was, field),
                getattr(now, field),
                now.name if of_class else "",
            )
            if change is not None:
                yield change
    for now in new[len(old) :]:
        yield Change(f"{list_key}.{now.name}", None, "added", Overlap.WIDENS, now.name if of_class else "")


@dataclass(slots=True, frozen=True)
class RestrictedSettings:
    """What may be acted on while either of two versions may be in force elsewhere.

    `blocked`: classes of which nothing new starts; `all_blocked`: of none of them.
    """

    settings: Settings
    blocked: frozenset[str] = frozenset()
    all_blocked: bool = False

    def allows(self, name: str) -> bool:
        return not self.all_blocked and name not in self.blocked


def intersect(old: Settings, new: Settings) -> RestrictedSettings:
    """The narrower of two versions, value by value. It has the places of `old`: what is added waits."""
    blocked, everything = set(), False
    for change in find_changes(old, new):
        if change.overlap is Overlap.SWITCHES:
            everything = everything or not change.of
            blocked.add(change.of)
    told = {
        field: getattr(new, field)
        for field, (_, judge) in SETTINGS.items()
        if _tightens(judge, getattr(old, field), getattr(new, field))
    }
    return RestrictedSettings(
        replace(
            old,
            **told,
            classes=_narrowed(CLASSES, old.classes, new.classes),
            kinds=_narrowed(KINDS, old.kinds, new.kinds),
        ),
        frozenset(blocked - {""}),
        everything,
    )


def _tightens(judge: OverlapRule, old: object, new: object) -> bool:
    return old != new and judge(old, new) is Overlap.TIGHTENS


def _narrowed(rows: dict, old: tuple, new: tuple) -> tuple:
    return tuple(
        replace(
            was,
            **{
                field: getattr(now, field)
                for field, (_, judge) in rows.items()
                if _tightens(judge, getattr(was, field), getattr(now, field))
            },
        )
        for was, now in zip(old, new, strict=False)
    )


def needs_all_members(found: list[Change]) -> bool:
    """Whether a version with these changes comes into force only once everybody holds it."""
    return any(change.overlap in (Overlap.WIDENS, Overlap.SWITCHES) for change in found)


def affects_safe_work(found: list[Change], old: Settings, new: Settings) -> bool:
    """Whether a dispatcher without a lease, which goes on with safe work, could contradict them."""
    safe = {cls.name for one in (old, new) for cls in one.classes if cls.effect is Effect.SAFE}
    return any(
        change.overlap is not Overlap.FREE and (not change.of or change.of in safe) for change in found
    )
