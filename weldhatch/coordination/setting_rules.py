"""How two values of each setting may overlap while dispatchers move from one version to the next. No I/O.

There is one row for each field of `scheduling.types.Settings` and of its classes, kinds and tenants. A field
without a row raises an error at import, so that each new setting gets a rule.
"""

from __future__ import annotations

from collections.abc import Callable, Set
from dataclasses import fields
from enum import Enum
from typing import Any, NamedTuple

from weldhatch.scheduling.types import MachineKind, RequestClass, Settings, Tenant

LARGE_GROUP = 8  # dispatchers; from this size on, the policy starts a service at its first home


class Overlap(Enum):
    """How dispatchers may act on a change of a value."""

    FREE = "free"  # dispatchers may differ: the value affects preferences, not permissions
    TIGHTENS = "tightens"  # each dispatcher applies the new value as soon as it receives it
    WIDENS = "widens"  # applied only once every dispatcher has it
    SWITCHES = "switches"  # neither value is applied until every dispatcher has the new one


OverlapRule = Callable[[Any, Any], Overlap]


class SettingRule(NamedTuple):
    """Rule of one setting: its `key` in files, and the overlap of an old and a new value."""

    key: str
    overlap: OverlapRule


def always_free(old: Any, new: Any) -> Overlap:
    """Dispatchers may use different values."""
    return Overlap.FREE


def always_switches(old: Any, new: Any) -> Overlap:
    """Neither value allows less than the other."""
    return Overlap.SWITCHES


def lower_is_stricter(old: Any, new: Any) -> Overlap:
    """The lower value allows less."""
    return Overlap.TIGHTENS if new < old else Overlap.WIDENS


def higher_is_stricter(old: Any, new: Any) -> Overlap:
    """The higher value allows less."""
    return Overlap.TIGHTENS if new > old else Overlap.WIDENS


def lower_bound_is_stricter(old: int, new: int) -> Overlap:
    """The lower value allows less; 0 means no bound."""
    return lower_is_stricter(old or float("inf"), new or float("inf"))


def specific_kind_is_stricter(old: int, new: int) -> Overlap:
    """A specific kind of machine allows less than -1, which means any kind."""
    if -1 in (old, new):
        return Overlap.TIGHTENS if old == -1 else Overlap.WIDENS
    return Overlap.SWITCHES


def group_size_overlap(old: int, new: int) -> Overlap:
    """A larger group gives each member a smaller quota on a cold machine; homes change at LARGE_GROUP."""
    return Overlap.SWITCHES if (old >= LARGE_GROUP) != (new >= LARGE_GROUP) else higher_is_stricter(old, new)


def dispatcher_local(old: Any, new: Any) -> Overlap:
    """Each dispatcher uses the value in its own file, not the one of the version."""
    return Overlap.FREE


SETTINGS: dict[str, SettingRule] = {  # by field name
    "zone": SettingRule("locality", dispatcher_local),
    "me": SettingRule("me", dispatcher_local),
    "tick_us": SettingRule("resolutionUs", dispatcher_local),
    "group_size": SettingRule("groupSize", group_size_overlap),
    "max_attempts": SettingRule("limits.mostTries", lower_is_stricter),
    "may_probe": SettingRule("limits.probes", always_free),
    "may_cancel": SettingRule("limits.mayCancel", lower_is_stricter),
    "hedged_requests": SettingRule("limits.secondCopies", lower_is_stricter),
    "retry_after": SettingRule("limits.retryAfter", always_free),
    "max_retry_after_us": SettingRule("limits.maxRetryAfterUs", always_free),
    "subscribe": SettingRule("registryMode", always_free),
    "drain_grace_us": SettingRule("rules.drainGraceUs", lower_is_stricter),
    "answer_slack_us": SettingRule("rules.answerSlackUs", always_free),
    "poll_within_us": SettingRule("rules.mustAskInUs", always_free),
    "warm_up_us": SettingRule("rules.coldUs", higher_is_stricter),
    "warm_up_offers": SettingRule("extra.coldSends", lower_is_stricter),
    "start_capacity": SettingRule("rules.startCapacity", lower_is_stricter),
    "tip_multiple": SettingRule("rules.tipMultiple", lower_is_stricter),
    "fall_us": SettingRule("rules.fallUs", higher_is_stricter),
    "cores_booking": SettingRule("extra.cpuBooking", lower_is_stricter),
    "memory_booking": SettingRule("extra.memBooking", lower_is_stricter),
    "lists_free": SettingRule("extra.listsFree", always_free),
    "reports_asked": SettingRule("extra.measuredBy", always_switches),
    "report_fields": SettingRule("stats.fields", always_free),
    "by_service": SettingRule("extra.byService", always_switches),
    "confirms_running": SettingRule("extra.confirms", always_switches),
    "preempts_tasks": SettingRule("extra.makesRoom", always_free),
    "reports_usage": SettingRule("extra.tellsUse", always_free),
    "pressure_notes": SettingRule("extra.pressureNotes", always_free),
    "owner_wait_us": SettingRule("extra.ownerWaitUs", always_free),
    "usual_cores": SettingRule("extra.usualCores", always_free),
    "usual_memory": SettingRule("extra.usualMemory", always_free),
    "over_quota_priority_weight": SettingRule("overShareWorth", always_free),
    "prices": SettingRule("prices", always_free),
}
CLASSES: dict[str, SettingRule] = {
    "name": SettingRule("name", always_switches),
    "latency_objective_us": SettingRule("aimUs", always_free),
    "deadline_us": SettingRule("hardLimitUs", lower_is_stricter),
    "effect": SettingRule("effect", always_switches),
    "group": SettingRule("group", always_switches),
    "window_us": SettingRule("dedupWindowUs", always_switches),
    "priority_weight": SettingRule("worth", always_free),
    "late_priority_weight": SettingRule("lateWorth", always_free),
    "start_priority_weight_s": SettingRule("extra.promptStartS", always_free),
    "calm": SettingRule("extra.calmLevel", always_free),
    "fade": SettingRule("extra.fadeSpan", always_free),
    "kind": SettingRule("extra.kindByClass", specific_kind_is_stricter),
    "priority": SettingRule("extra.priorityByClass", always_free),
    "spread_over": SettingRule("extra.spreadOver", always_switches),
    "spread_most": SettingRule("extra.spreadMost", lower_bound_is_stricter),
}
KINDS: dict[str, SettingRule] = {
    "name": SettingRule("kinds", always_switches),
    "cores": SettingRule("extra.sizeCores", lower_is_stricter),
    "memory": SettingRule("extra.memOfKind", lower_is_stricter),
}
TENANTS: dict[str, SettingRule] = {
    "name": SettingRule("name", always_free),
    "quota_per_s": SettingRule("quotaPerS", always_free),
    "portion": SettingRule("portion", always_free),
    "cores": SettingRule("extra.shareCores", always_free),
}
LISTS = {"classes", "kinds", "zones", "tenants"}  # compared item by item in `compatibility`


def check_complete(kind: type, rows: dict[str, SettingRule], exempt: Set[str] = frozenset()) -> None:
    """Raise AssertionError unless each field of `kind` has a row in `rows` or is `exempt`.

    Guards against a new setting without a rule.
    """
    known = {field.name for field in fields(kind)}
    if known != rows.keys() | exempt:
        raise AssertionError(
            f"setting_rules: {kind.__name__}: unmatched fields {sorted(known ^ (rows.keys() | exempt))}"
        )


check_complete(Settings, SETTINGS, LISTS)
check_complete(RequestClass, CLASSES)
check_complete(MachineKind, KINDS)
check_complete(Tenant, TENANTS)
