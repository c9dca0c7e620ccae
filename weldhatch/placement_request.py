"""Parsing and validation of placement requests, shared by both fronts. Errors name the invalid field."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from weldhatch.scheduling.types import Effect, Settings

# Longest accepted wait of a client, in multiples of the deadline of its class.
MAX_WAIT_DEADLINES = 10
MAX_NUMBER = 1e9
MAX_KEY_DIGITS = 16
_HEX = re.compile(r"[0-9a-fA-F]{1,32}")


class FieldError(ValueError):
    """A field of a request is invalid; `field` names it and `fault` describes the error."""

    def __init__(self, field: str, fault: str) -> None:
        """Build the message from the field name and the description."""
        super().__init__(f"{field}: {fault}")
        self.field = field
        self.fault = fault


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """A request of a client, as text for protocols and as numbers for the policy.

    The field names are encoded on links between sites and in stores, so they must not change.
    """

    class_index: int
    class_name: str
    tenant: int  # index into `Settings.tenants`
    left_us: int  # time for which the client waits
    key: int
    name: str  # `key` as text
    idem: str  # idempotency key; '' if the class has none
    cores: float
    memory: float
    service: int
    at: str  # machine that already runs the task; '' for a new task
    again: bool  # whether the request is a retry


class PlacementForm:
    """Parses requests according to the classes and tenants of a deployment."""

    def __init__(self, settings: Settings, strict: bool = False) -> None:
        """`strict`: sizes are limited by the known kinds of machines, and required keys must be present."""
        self._settings = settings
        self._strict = strict
        self._max_cores = MAX_NUMBER
        self._max_memory = MAX_NUMBER
        if strict and settings.kinds:
            # Servers answer sizes that exceed every machine with an error.
            self._max_cores = max(kind.cores for kind in settings.kinds) * settings.cores_booking
            self._max_memory = max(kind.memory for kind in settings.kinds) * settings.memory_booking
        self._classes = {cls.name: index for index, cls in enumerate(settings.classes)}
        self._tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}

    def read(self, fields: Mapping[str, object]) -> PlacementRequest:
        """Parse the fields of a request.

        Raises:
            FieldError: names the first invalid field.
        """
        name = _text(fields, "class")
        if name not in self._classes:
            raise FieldError("class", f"no class is named {name!r}")
        index = self._classes[name]
        request_class = self._settings.classes[index]
        has_key = request_class.effect is Effect.KEYED
        extras = _extras(fields)
        holding_machine = extras.get("at", "")
        left_ms = (
            0.0 if holding_machine and not _text(fields, "left") else _number("left", _text(fields, "left"))
        )
        tenant = self._tenant(fields)
        if not holding_machine and left_ms * 1000 > MAX_WAIT_DEADLINES * request_class.deadline_us:
            raise FieldError("left", f"the unusable value {left_ms:.0f}")
        key = _text(fields, "key")
        idempotency_key = _text(fields, "idem")
        if (
            self._strict
            and not holding_machine
            and not (key and (not has_key or _HEX.fullmatch(idempotency_key)))
        ):
            raise FieldError("idem" if key else "key", "none, or not in hex digits")
        return PlacementRequest(
            class_index=index,
            class_name=name,
            tenant=tenant,
            left_us=int(left_ms * 1000),
            key=_hex("key", key),
            name=key,
            idem=idempotency_key if has_key else "",
            cores=_number("extras.cores", extras.get("cores", ""), self._max_cores),
            memory=_number("extras.memory", extras.get("memory", ""), self._max_memory),
            service=_hex("extras.service", extras.get("service", "")),
            at=holding_machine,
            again=bool(_text(fields, "retry").strip("0")),
        )

    def _tenant(self, fields: Mapping[str, object]) -> int:
        name = _text(fields, "tenant")
        if name and self._tenants and name not in self._tenants:
            raise FieldError("tenant", f"no tenant is named {name!r}")
        return self._tenants.get(name, 0)


def _extras(fields: Mapping[str, object]) -> dict[str, str]:
    """Parse the field `extras`: `name:value` pairs separated by semicolons."""
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


def _number(field: str, text: str, maximum: float = MAX_NUMBER) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= maximum:  # also rejects NaN
        raise FieldError(field, f"the unusable value {text!r}")
    return value


def _hex(field: str, text: str) -> int:
    if text and not (len(text) <= MAX_KEY_DIGITS and _HEX.fullmatch(text)):
        raise FieldError(field, f"the unusable value {text!r}")
    return int(text or "0", 16)
