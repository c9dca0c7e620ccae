"""The module's settings from text or nested JSON: read, checked, given defaults. A fault names its key."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from weldhatch.scheduling.types import Effect, MachineKind, Prices, RequestClass, Scope, Settings, Tenant

_EFFECTS = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
_SCOPES = {
    "silent": Scope.NONE,
    "machine": Scope.MACHINE,
    "cell": Scope.CELL,
    "zone": Scope.ZONE,
    "all": Scope.ALL,
}
_BOOLS = {"true": True, "false": False, "1": True, "0": False}


class ConfigError(ValueError):
    """A configuration that can't be used; the text names the faulty key."""


class _Values:
    """The path=value pairs of a start message; a fault names its key."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self._pairs = pairs

    def get(self, key: str, convert: Callable[[str], object], default: object = ...) -> object:
        if key not in self._pairs:
            if default is ...:
                raise ConfigError(f"settings: {key} is missing")
            return default
        return self._converted(key, self._pairs[key], convert)

    def list(self, key: str, convert: Callable[[str], object], default: object = ...) -> list:
        if key not in self._pairs and default is not ...:
            return default
        text = self.get(key, str)
        return [self._converted(key, part, convert) for part in text.split(",")] if text else []

    def item(self, key: str, index: int, convert: Callable[[str], object], default: object) -> object:
        """The value of one class in a list that has one for each; the last serves for the rest."""
        values = self.list(key, convert, [])
        return values[min(index, len(values) - 1)] if values else default

    def _converted(self, key: str, text: str, convert: Callable[[str], object]) -> object:
        try:
            return convert(text)
        except (ValueError, KeyError):
            raise ConfigError(f"settings: {key} has the unusable value {text!r}") from None


def _number(text: str) -> float:
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
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


def settings_of_text(data: bytes) -> Settings:
    """The settings of the simulator's start message: path=value lines."""
    try:
        text = data.decode()
    except UnicodeDecodeError:
        raise ConfigError("settings: the text is not UTF-8") from None
    pairs = {}
    for line in text.splitlines():
        if line:
            path, sign, value = line.partition("=")
            if not sign:
                raise ConfigError(f"settings: no '=' in {line!r}")
            pairs[path] = value
    return settings_of(pairs)


def settings_of_json(tree: object) -> Settings:
    """The same settings as nested JSON, as a real dispatcher gets them."""
    if not isinstance(tree, dict):
        raise ConfigError("settings: not an object")
    return settings_of(dict(flat("", tree)))


def flat(path: str, value: object) -> Iterator[tuple[str, str]]:
    """Nested JSON as path=value pairs; a list of objects also has its length, under .count."""
    if isinstance(value, dict):
        for key, part in value.items():
            yield from flat(f"{path}.{key}" if path else key, part)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        yield f"{path}.count", str(len(value))
        for n, part in enumerate(value):
            yield from flat(f"{path}.{n}", part)
    elif isinstance(value, list):
        yield path, ",".join(map(_plain, value))
    elif value is not None:
        yield path, _plain(value)


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(",", "_")


def settings_of(pairs: Mapping[str, str]) -> Settings:
    """Settings by path. Unknown keys are ignored; a fault is a ConfigError naming the key."""
    values = _Values(pairs)
    get = values.get
    yes = _BOOLS.__getitem__
    kinds = values.list("kinds", str)
    cores = values.list("extra.sizeCores", _positive)
    memory = values.list("extra.memOfKind", _positive)
    for key, sizes in (("extra.sizeCores", cores), ("extra.memOfKind", memory)):
        if len(sizes) < len(kinds):
            raise ConfigError(f"settings: {key} has {len(sizes)} values for {len(kinds)} kinds")
    classes = tuple(_class(values, index) for index in range(get("classes.count", _count)))
    if not classes:
        raise ConfigError("settings: classes.count has the unusable value '0'")
    quota = values.list("extra.shareCores", _number, [])
    tenants = tuple(
        Tenant(
            get(f"tenants.{n}.name", str, ""),
            get(f"tenants.{n}.quotaPerS", _number, 0.0),
            get(f"tenants.{n}.portion", _number, 0.0),
            quota[n] if n < len(quota) else 0.0,
        )
        for n in range(get("tenants.count", _count, 0))
    )
    return Settings(
        classes=classes,
        kinds=tuple(map(MachineKind, kinds, cores, memory)),
        zone=get("locality", _count, 0),
        zones=tuple(values.list("zones", str, [""])),
        me=get("me", _count, 0),
        group_size=max(1, get("groupSize", _count, 1)),
        max_attempts=get("limits.mostTries", _count),
        may_probe=get("limits.probes", yes, False),
        may_cancel=get("limits.mayCancel", yes, False),
        hedged_requests=get("limits.secondCopies", yes, False),
        retry_after=get("limits.retryAfter", yes, False),
        max_retry_after_us=get("limits.maxRetryAfterUs", _count, 0),
        subscribe=get("registryMode", {"automatic": False, "subscribe": True}.__getitem__),
        tick_us=get("resolutionUs", _count, 1000),
        drain_grace_us=get("rules.drainGraceUs", _count, 0),
        answer_slack_us=get("rules.answerSlackUs", _count, 0),
        poll_within_us=get("rules.mustAskInUs", _count, 0),
        warm_up_us=get("rules.coldUs", _count, 0),
        warm_up_offers=get("extra.coldSends", _number, 1.0),
        start_capacity=get("rules.startCapacity", _number, 1.0),
        tip_multiple=get("rules.tipMultiple", _number, 1.0),
        fall_us=get("rules.fallUs", _count, 1_000_000),
        cores_booking=get("extra.cpuBooking", _positive, 1.0),
        memory_booking=get("extra.memBooking", _positive, 1.0),
        lists_free=get("extra.listsFree", yes, False),
        reports_asked=get("extra.measuredBy", {"asked": True, "used": False}.__getitem__, True),
        report_fields=()
        if get("stats.how", str, "silent") == "silent"
        else tuple(values.list("stats.fields", str, [])),
        by_service=get("extra.byService", yes, False),
        confirms_running=get("extra.confirms", {"running": True, "accepted": False}.__getitem__, True),
        preempts_tasks=get("extra.makesRoom", yes, False),
        reports_usage=get("extra.tellsUse", yes, False),
        pressure_notes=get("extra.pressureNotes", yes, False),
        owner_wait_us=get("extra.ownerWaitUs", _count, 0),
        usual_cores=get("extra.usualCores", _positive, 1.0),
        usual_memory=get("extra.usualMemory", _positive, 1.0),
        over_quota_priority_weight=get("overShareWorth", _number, 1.0),
        tenants=tenants,
        prices=Prices(
            cross_zone=get("prices.crossZone", _number, 0.0),
            fleet=get("prices.fleet", _number, 0.0),
            moves=get("prices.moves", _number, 0.0),
            probe=get("prices.probe", _number, 0.0),
            discovery=get("prices.registryMode", _number, 0.0),
            waste=get("prices.waste", _number, 0.0),
            refusal=get("extra.refusalFee", _number, 0.0),
        ),
    )


def _class(values: _Values, index: int) -> RequestClass:
    at = f"classes.{index}."
    get, item = values.get, values.item
    return RequestClass(
        name=get(at + "name", str, ""),
        latency_objective_us=get(at + "aimUs", _count),
        deadline_us=get(at + "hardLimitUs", _count),
        effect=get(at + "effect", _EFFECTS.__getitem__),
        group=get(at + "group", _SCOPES.__getitem__, Scope.ALL),
        window_us=get(at + "dedupWindowUs", _count, 0),
        priority_weight=get(at + "worth", _number, 1.0),
        late_priority_weight=get(at + "lateWorth", _number, 0.0),
        start_priority_weight_s=item("extra.promptStartS", index, _number, 0.0),
        calm=item("extra.calmLevel", index, _number, 1.0),
        fade=item("extra.fadeSpan", index, _number, 1.0),
        kind=item("extra.kindByClass", index, int, -1),
        priority=item("extra.priorityByClass", index, int, 0),
        spread_over=item("extra.spreadOver", index, _SCOPES.__getitem__, Scope.NONE),
        spread_most=item("extra.spreadMost", index, _count, 0),
    )
