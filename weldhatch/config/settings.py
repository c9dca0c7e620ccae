"""The policy's settings: parsed from text or nested JSON, validated, and completed with defaults.

The platform defines the names of the settings; this module maps them to the fields of `Settings`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple, TypeVar

from weldhatch.config.errors import ConfigError
from weldhatch.scheduling.types import Effect, MachineKind, Prices, RequestClass, Scope, Settings, Tenant

Value = TypeVar("Value")
Convert = Callable[[str], Value]

_EFFECTS = {
    "read_like": Effect.SAFE,
    "idempotency_key": Effect.KEYED,
    "non_idempotent": Effect.UNSAFE,
}
_SCOPES = {
    "silent": Scope.NONE,
    "machine": Scope.MACHINE,
    "cell": Scope.CELL,
    "zone": Scope.ZONE,
    "all": Scope.ALL,
}
_BOOLEANS = {"true": True, "false": False, "1": True, "0": False}
_SUBSCRIBES = {"automatic": False, "subscribe": True}
_REPORTS_ASKED = {"asked": True, "used": False}
_CONFIRMS_RUNNING = {"running": True, "accepted": False}


class _Values:
    """Settings as texts by path, converted on access; the ConfigError of an unusable one names its key."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        """Wrap `pairs` of path and text."""
        self._pairs = pairs

    def required(self, key: str, convert: Convert[Value]) -> Value:
        """Return the converted value. Raises ConfigError if it is missing or can't be converted."""
        if key not in self._pairs:
            raise ConfigError(f"settings: {key} is missing")
        return self._converted(key, self._pairs[key], convert)

    def get(self, key: str, convert: Convert[Value], default: Value) -> Value:
        """Return the converted value, or `default` if it is missing. Raises ConfigError."""
        if key not in self._pairs:
            return default
        return self._converted(key, self._pairs[key], convert)

    def list(self, key: str, convert: Convert[Value], default: list[Value] | None = None) -> list[Value]:
        """Return the values of a comma-separated list. Raises ConfigError if it is missing and required."""
        if key not in self._pairs and default is not None:
            return default
        text = self.required(key, str)
        return [self._converted(key, part, convert) for part in text.split(",")] if text else []

    def item(self, key: str, index: int, convert: Convert[Value], default: Value) -> Value:
        """Return the value of the class `index` in a list by class, whose last value serves further ones."""
        values = self.list(key, convert, [])
        return values[min(index, len(values) - 1)] if values else default

    def _converted(self, key: str, text: str, convert: Convert[Value]) -> Value:
        try:
            return convert(text)
        except (ValueError, KeyError):
            raise ConfigError(f"settings: {key} has the unusable value {text!r}") from None


def _number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def _count(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError(text)
    return value


def _positive(text: str) -> float:
    value = _number(text)
    if value <= 0:
        raise ValueError(text)
    return value


_boolean = _BOOLEANS.__getitem__


class _Field(NamedTuple):
    """The key, conversion and default of one field of `Settings` or `Prices`."""

    name: str
    key: str
    convert: Convert[Any]
    default: Any = ...  # `...`: the key is required


# The keys are read in this order, and the error names the first unusable one.
_FIELDS = (
    _Field("zone", "locality", _count, 0),
    _Field("me", "me", _count, 0),
    _Field("group_size", "groupSize", _count, 1),
    _Field("max_attempts", "limits.mostTries", _count),
    _Field("may_probe", "limits.probes", _boolean, False),
    _Field("may_cancel", "limits.mayCancel", _boolean, False),
    _Field("hedged_requests", "limits.secondCopies", _boolean, False),
    _Field("retry_after", "limits.retryAfter", _boolean, False),
    _Field("max_retry_after_us", "limits.maxRetryAfterUs", _count, 0),
    _Field("subscribe", "registryMode", _SUBSCRIBES.__getitem__),
    _Field("tick_us", "resolutionUs", _count, 1000),
    _Field("drain_grace_us", "rules.drainGraceUs", _count, 0),
    _Field("answer_slack_us", "rules.answerSlackUs", _count, 0),
    _Field("poll_within_us", "rules.mustAskInUs", _count, 0),
    _Field("warm_up_us", "rules.coldUs", _count, 0),
    _Field("warm_up_offers", "extra.coldSends", _number, 1.0),
    _Field("start_capacity", "rules.startCapacity", _number, 1.0),
    _Field("tip_multiple", "rules.tipMultiple", _number, 1.0),
    _Field("fall_us", "rules.fallUs", _count, 1_000_000),
    _Field("cores_booking", "extra.cpuBooking", _positive, 1.0),
    _Field("memory_booking", "extra.memBooking", _positive, 1.0),
    _Field("lists_free", "extra.listsFree", _boolean, False),
    _Field("reports_asked", "extra.measuredBy", _REPORTS_ASKED.__getitem__, True),
    _Field("by_service", "extra.byService", _boolean, False),
    _Field("confirms_running", "extra.confirms", _CONFIRMS_RUNNING.__getitem__, True),
    _Field("preempts_tasks", "extra.makesRoom", _boolean, False),
    _Field("reports_usage", "extra.tellsUse", _boolean, False),
    _Field("pressure_notes", "extra.pressureNotes", _boolean, False),
    _Field("owner_wait_us", "extra.ownerWaitUs", _count, 0),
    _Field("usual_cores", "extra.usualCores", _positive, 1.0),
    _Field("usual_memory", "extra.usualMemory", _positive, 1.0),
    _Field("over_quota_priority_weight", "overShareWorth", _number, 1.0),
)
_PRICES = (
    _Field("cross_zone", "prices.crossZone", _number, 0.0),
    _Field("fleet", "prices.fleet", _number, 0.0),
    _Field("moves", "prices.moves", _number, 0.0),
    _Field("probe", "prices.probe", _number, 0.0),
    _Field("discovery", "prices.registryMode", _number, 0.0),
    _Field("waste", "prices.waste", _number, 0.0),
    _Field("refusal", "extra.refusalFee", _number, 0.0),
)


def settings_from_text(data: bytes) -> Settings:
    """Parse the settings of the simulator's start message: UTF-8 lines of path=value.

    Raises:
        ConfigError: a line or a value can't be used.
    """
    try:
        text = data.decode()
    except UnicodeDecodeError:
        raise ConfigError("settings: the text is not UTF-8") from None
    pairs = {}
    for line in text.splitlines():
        if line:
            path, separator, value = line.partition("=")
            if not separator:
                raise ConfigError(f"settings: no '=' in {line!r}")
            pairs[path] = value
    return settings_from_pairs(pairs)


def settings_from_json(tree: object) -> Settings:
    """Parse settings as nested JSON, the form in which the platform passes them to a dispatcher.

    Raises:
        ConfigError: the tree is no object, or a value can't be used.
    """
    if not isinstance(tree, dict):
        raise ConfigError("settings: not an object")
    return settings_from_pairs(dict(flatten("", tree)))


def flatten(path: str, value: object) -> Iterator[tuple[str, str]]:
    """Yield nested JSON as (path, value) pairs; the length of a list of objects is yielded under `.count`."""
    if isinstance(value, dict):
        for key, part in value.items():
            yield from flatten(f"{path}.{key}" if path else key, part)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        yield f"{path}.count", str(len(value))
        for index, part in enumerate(value):
            yield from flatten(f"{path}.{index}", part)
    elif isinstance(value, list):
        yield path, ",".join(map(_to_text, value))
    elif value is not None:
        yield path, _to_text(value)


def _to_text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(",", "_")


def settings_from_pairs(pairs: Mapping[str, str]) -> Settings:
    """Build the settings from texts by path; unknown keys are ignored.

    Raises:
        ConfigError: names the key that is missing or can't be used.
    """
    values = _Values(pairs)
    kinds = _machine_kinds(values)
    classes = _request_classes(values)
    tenants = _tenants(values)
    fields = _read_fields(values, _FIELDS)
    fields["group_size"] = max(1, fields["group_size"])
    return Settings(
        classes=classes,
        kinds=kinds,
        zones=tuple(values.list("zones", str, [""])),
        report_fields=_report_fields(values),
        tenants=tenants,
        prices=Prices(**_read_fields(values, _PRICES)),
        **fields,
    )


def _read_fields(values: _Values, fields: tuple[_Field, ...]) -> dict[str, Any]:
    return {
        field.name: values.required(field.key, field.convert)
        if field.default is ...
        else values.get(field.key, field.convert, field.default)
        for field in fields
    }


def _machine_kinds(values: _Values) -> tuple[MachineKind, ...]:
    names = values.list("kinds", str)
    cores = values.list("extra.sizeCores", _positive)
    memory = values.list("extra.memOfKind", _positive)
    for key, sizes in (("extra.sizeCores", cores), ("extra.memOfKind", memory)):
        if len(sizes) < len(names):
            raise ConfigError(f"settings: {key} has {len(sizes)} values for {len(names)} kinds")
    return tuple(map(MachineKind, names, cores, memory))


def _request_classes(values: _Values) -> tuple[RequestClass, ...]:
    count = values.required("classes.count", _count)
    if not count:
        raise ConfigError("settings: classes.count has the unusable value '0'")
    return tuple(_request_class(values, index) for index in range(count))


def _request_class(values: _Values, index: int) -> RequestClass:
    path = f"classes.{index}."
    return RequestClass(
        name=values.get(path + "name", str, ""),
        latency_objective_us=values.required(path + "aimUs", _count),
        deadline_us=values.required(path + "hardLimitUs", _count),
        effect=values.required(path + "effect", _EFFECTS.__getitem__),
        group=values.get(path + "group", _SCOPES.__getitem__, Scope.ALL),
        window_us=values.get(path + "dedupWindowUs", _count, 0),
        priority_weight=values.get(path + "worth", _number, 1.0),
        late_priority_weight=values.get(path + "lateWorth", _number, 0.0),
        start_priority_weight_s=values.item("extra.promptStartS", index, _number, 0.0),
        calm=values.item("extra.calmLevel", index, _number, 1.0),
        fade=values.item("extra.fadeSpan", index, _number, 1.0),
        kind=values.item("extra.kindByClass", index, int, -1),
        priority=values.item("extra.priorityByClass", index, int, 0),
        spread_over=values.item("extra.spreadOver", index, _SCOPES.__getitem__, Scope.NONE),
        spread_most=values.item("extra.spreadMost", index, _count, 0),
    )


def _tenants(values: _Values) -> tuple[Tenant, ...]:
    quotas = values.list("extra.shareCores", _number, [])
    return tuple(
        Tenant(
            values.get(f"tenants.{index}.name", str, ""),
            values.get(f"tenants.{index}.quotaPerS", _number, 0.0),
            values.get(f"tenants.{index}.portion", _number, 0.0),
            quotas[index] if index < len(quotas) else 0.0,
        )
        for index in range(values.get("tenants.count", _count, 0))
    )


def _report_fields(values: _Values) -> tuple[str, ...]:
    if values.get("stats.how", str, "silent") == "silent":
        return ()
    return tuple(values.list("stats.fields", str, []))
