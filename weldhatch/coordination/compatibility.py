"""Compatibility of two versions of the settings, and the rules that apply during the transition. No I/O."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from weldhatch.coordination.errors import IncompatibleChangeError
from weldhatch.coordination.setting_rules import (
    CLASSES,
    KINDS,
    SETTINGS,
    TENANTS,
    Overlap,
    OverlapRule,
    SettingRule,
    dispatcher_local,
)
from weldhatch.scheduling.types import Effect, MachineKind, RequestClass, Scope, Settings, Tenant

Item = TypeVar("Item", RequestClass, MachineKind, Tenant)


@dataclass(slots=True, frozen=True)
class Change:
    """One value that differs. `class_name`: the class whose tasks it affects; '' for all classes."""

    key: str
    old: object
    new: object
    overlap: Overlap
    class_name: str = ""


def find_changes(old: Settings, new: Settings) -> list[Change]:
    """Return all values that differ.

    Raises IncompatibleChangeError for a change that requires a restart of the whole group.
    """
    changes = [
        change
        for field, rule in SETTINGS.items()
        if (change := _change(rule.key, rule.overlap, getattr(old, field), getattr(new, field)))
        and rule.overlap is not dispatcher_local
    ]
    changes += compare_items("classes", CLASSES, old.classes, new.classes, of_class=True)
    changes += compare_items("kinds", KINDS, old.kinds, new.kinds)
    changes += compare_items("tenants", TENANTS, old.tenants, new.tenants)
    if old.zones != new.zones:
        if new.zones[: len(old.zones)] != old.zones:
            raise IncompatibleChangeError(
                "zones", "halls may be added at the end; the others keep their places"
            )
        changes.append(Change("zones", old.zones, new.zones, Overlap.WIDENS))
    return changes


def _change(key: str, overlap: OverlapRule, old: object, new: object, class_name: str = "") -> Change | None:
    return (
        None
        if old == new
        else Change(key, _display_value(old), _display_value(new), overlap(old, new), class_name)
    )


def _display_value(value: object) -> object:
    return value.value if isinstance(value, Effect | Scope) else value


def compare_items(
    list_key: str,
    rules: dict[str, SettingRule],
    old: Sequence[Item],
    new: Sequence[Item],
    of_class: bool = False,
) -> Iterator[Change]:
    """Yield the values that differ in a list of named items. `of_class`: the items are request classes.

    Raises IncompatibleChangeError unless `new` keeps all items of `old` in place and only appends items.
    """
    _check_items(list_key, [item.name for item in old], [item.name for item in new])
    for before, after in zip(old, new, strict=False):
        for field, rule in rules.items():
            change = _change(
                f"{list_key}.{after.name}.{rule.key}",
                rule.overlap,
                getattr(before, field),
                getattr(after, field),
                after.name if of_class else "",
            )
            if change is not None:
                yield change
    for added in new[len(old) :]:
        class_name = added.name if of_class else ""
        yield Change(f"{list_key}.{added.name}", None, "added", Overlap.WIDENS, class_name)


def _check_items(list_key: str, old_names: list[str], new_names: list[str]) -> None:
    if new_names[: len(old_names)] != old_names:
        # Requests in flight refer to their class and kind by position in the list.
        raise IncompatibleChangeError(
            list_key, "items may be added at the end; the others keep their places and names"
        )
    if len(set(new_names)) != len(new_names):
        raise IncompatibleChangeError(list_key, "two items have one name")


@dataclass(slots=True, frozen=True)
class RestrictedSettings:
    """Settings that are safe while either of two versions may be in force at other dispatchers.

    `blocked`: classes of which no new task starts; `all_blocked`: no new task of any class starts.
    """

    settings: Settings
    blocked: frozenset[str] = frozenset()
    all_blocked: bool = False

    def allows(self, name: str) -> bool:
        """Whether new tasks of the class may start."""
        return not self.all_blocked and name not in self.blocked


def intersect(old: Settings, new: Settings) -> RestrictedSettings:
    """Return the stricter of two versions, value by value.

    The result has the items of `old` only: items that `new` adds are not usable until it is active. Raises
    IncompatibleChangeError.
    """
    switched = [change.class_name for change in find_changes(old, new) if change.overlap is Overlap.SWITCHES]
    settings = replace(
        old,
        **_tightened(SETTINGS, old, new),
        classes=_tightened_items(CLASSES, old.classes, new.classes),
        kinds=_tightened_items(KINDS, old.kinds, new.kinds),
    )
    blocked = frozenset(name for name in switched if name)
    return RestrictedSettings(settings, blocked, all_blocked="" in switched)


def _tightened(rules: dict[str, SettingRule], old: object, new: object) -> dict[str, Any]:
    """Return the values that the new version makes stricter, by field."""
    tightened = {}
    for field, rule in rules.items():
        before = getattr(old, field)
        after = getattr(new, field)
        if before != after and rule.overlap(before, after) is Overlap.TIGHTENS:
            tightened[field] = after
    return tightened


def _tightened_items(
    rules: dict[str, SettingRule], old: Sequence[Item], new: Sequence[Item]
) -> tuple[Item, ...]:
    return tuple(
        replace(before, **_tightened(rules, before, after)) for before, after in zip(old, new, strict=False)
    )


def needs_all_members(changes: list[Change]) -> bool:
    """Whether a version with these changes may be activated only once every member with a lease has it."""
    return any(change.overlap in (Overlap.WIDENS, Overlap.SWITCHES) for change in changes)


def affects_safe_work(changes: list[Change], old: Settings, new: Settings) -> bool:
    """Whether the changes affect safe work, which a dispatcher continues during its grace period."""
    safe = {
        request_class.name
        for settings in (old, new)
        for request_class in settings.classes
        if request_class.effect is Effect.SAFE
    }
    return any(
        change.overlap is not Overlap.FREE and (not change.class_name or change.class_name in safe)
        for change in changes
    )
