"""The form of a placement request that both fronts share: read and checked here; an error names its field."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from weldhatch.scheduling.types import Effect, Settings

# A client that waits for more than so many times its class's deadline is not believed.
DEADLINES_MOST = 10
FIGURE_MOST = 1e9
KEY_DIGITS_MOST = 16
_HEX = re.compile(r"[0-9a-fA-F]{1,32}")


class FieldError(ValueError):
    """A request can't be used; `field` says where and `fault` what is wrong."""

    def __init__(self, field: str, fault: str) -> None:
        """Both become the text of the error."""
        super().__init__(f"{field}: {fault}")
        self.field = field
        self.fault = fault


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """What a client asks, as text for the wire and as figures for the policy.

    The fields' names are encoded on links between sites and in stores: they stay.
    """

    class_index: int
    class_name: str
    tenant: int  # its index in the settings
    left_us: int  # the time that the client waits
    key: int
    name: str  # the key as text
    idem: str  # the idempotency key; '' where the class has none
    cores: float
    memory: float
    service: int
    at: str  # the machine that holds the task already; '' for a new task
    again: bool  # a retry


class PlacementForm:
    """Reads requests under one deployment's classes and tenants."""

    def __init__(self, settings: Settings, strict: bool = False) -> None:
        """Strict: all machines are of the known kinds, and no request may leave out what they need."""
        self._settings = settings
        self._strict = strict
        self._cores_most = FIGURE_MOST
        self._memory_most = FIGURE_MOST
        if strict and settings.kinds:
            # Servers answer figures that no machine can bear with an error.
            self._cores_most = max(kind.cores for kind in settings.kinds) * settings.cores_booking
            self._memory_most = max(kind.memory for kind in settings.kinds) * settings.memory_booking
        self._classes = {cls.name: index for index, cls in enumerate(settings.classes)}
        self._tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}

    def read(self, fields: Mapping[str, object]) -> PlacementRequest:
        """Read a request's fields.

        Raises:
            FieldError: names the first field that can't be used.
        """
        name = _text(fields, "class")
        if name not in self._classes:
            raise FieldError("class", f"no class is named {name!r}")
        index = self._classes[name]
        request_class = self._settings.classes[index]
        has_key = request_class.effect is Effect.KEYED
        extras = _extras(fields)
        holder = extras.get("at", "")
        left_ms = 0.0 if holder and not _text(fields, "left") else _figure("left", _text(fields, "left"))
        tenant = self._tenant(fields)
        if not holder and left_ms * 1000 > DEADLINES_MOST * request_class.deadline_us:
            raise FieldError("left", f"the unusable value {left_ms:.0f}")
        key = _text(fields, "key")
        idempotency_key = _text(fields, "idem")
        if self._strict and not holder and not (key and (not has_key or _HEX.fullmatch(idempotency_key))):
            raise FieldError("idem" if key else "key", "none, or not in hex digits")
        return PlacementRequest(
            class_index=index,
            class_name=name,
            tenant=tenant,
            left_us=int(left_ms * 1000),
            key=_hex("key", key),
            name=key,
            idem=idempotency_key if has_key else "",
            cores=_figure("extras.cores", extras.get("cores", ""), self._cores_most),
            memory=_figure("extras.memory", extras.get("memory", ""), self._memory_most),
            service=_hex("extras.service", extras.get("service", "")),
            at=holder,
            again=bool(_text(fields, "retry").strip("0")),
        )

    def _tenant(self, fields: Mapping[str, object]) -> int:
        name = _text(fields, "tenant")
        if name and self._tenants and name not in self._tenants:
            raise FieldError("tenant", f"no tenant is named {name!r}")
        return self._tenants.get(name, 0)


def _extras(fields: Mapping[str, object]) -> dict[str, str]:
    """Read the field `extras`: `name:value` pairs between semicolons."""
    extras = {}
    for part in filter(None, _text(fields, "extras").split(";")):
        name, separator, value = part.partition(":")
        if not separator:
            raise FieldError("extras", f"no ':' in {part!r}")
        extras[name] = value
    return extras


def _text(fields: Mapping[str, object], name: str) -> str:
    value = fields.get(name, "")
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise FieldError(name, f"the unusable value {value!r}")
    text = str(value)
    if not text.isascii():
        raise FieldError(name, f"the unusable value {value!r}")
    return text


def _figure(field: str, text: str, most: float = FIGURE_MOST) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= most:  # also false for what is no number at all
        raise FieldError(field, f"the unusable value {text!r}")
    return value


def _hex(field: str, text: str) -> int:
    if text and not (len(text) <= KEY_DIGITS_MOST and _HEX.fullmatch(text)):
        raise FieldError(field, f"the unusable value {text!r}")
    return int(text or "0", 16)
