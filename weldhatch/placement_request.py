"""The set-up form that both fronts share: read and checked here; a fault names its field."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from weldhatch.scheduling.types import Effect, Settings

LEFT_MOST = 10  # an owner that waits for more than so many times its class's limit is not believed
_HEX = re.compile(r"[0-9a-fA-F]{1,32}")


class FieldError(ValueError):
    """A set-up that can't be used; `field` says where."""

    def __init__(self, field: str, fault: str) -> None:
        super().__init__(f"{field}: {fault}")
        self.field, self.fault = field, fault


@dataclass(slots=True, frozen=True)
class Setup:
    """What an owner asks, as text for the wire and as figures for the module."""

    class_index: int
    class_name: str
    tenant: int
    left_us: int
    key: int
    name: str
    idem: str
    cores: float
    memory: float
    service: int
    at: str
    again: bool


class Form:
    """Reads set-ups under one deployment's classes and tenants."""

    def __init__(self, settings: Settings, strict: bool = False) -> None:
        """Strict: all machines are of the told kinds, and no set-up may leave out what they need."""
        self._settings, self._strict = settings, strict
        # Guards against figures that no machine can bear: servers answer those with an error.
        self._most = (
            (
                max(kind.cores for kind in settings.kinds) * settings.cores_booking,
                max(kind.memory for kind in settings.kinds) * settings.memory_booking,
            )
            if strict and settings.kinds
            else (1e9, 1e9)
        )
        self._classes = {cls.name: n for n, cls in enumerate(settings.classes)}
        self._tenants = {tenant.name: n for n, tenant in enumerate(settings.tenants)}

    def read(self, fields: Mapping[str, object]) -> Setup:
        name = _text(fields, "class")
        if name not in self._classes:
            raise FieldError("class", f"no class is named {name!r}")
        index = self._classes[name]
        extras = {}
        for part in filter(None, _text(fields, "extras").split(";")):
            word, sign, value = part.partition(":")
            if not sign:
                raise FieldError("extras", f"no ':' in {part!r}")
            extras[word] = value
        at = extras.get("at", "")
        left = 0.0 if at and not _text(fields, "left") else _figure("left", _text(fields, "left"))
        tenant = _text(fields, "tenant")
        if tenant and self._tenants and tenant not in self._tenants:
            raise FieldError("tenant", f"no tenant is named {tenant!r}")
        cls = self._settings.classes[index]
        keyed = cls.effect is Effect.KEYED
        if not at and left * 1000 > LEFT_MOST * cls.deadline_us:
            raise FieldError("left", f"the unusable value {left:.0f}")
        key, idem = _text(fields, "key"), _text(fields, "idem")
        if self._strict and not at and not (key and (not keyed or _HEX.fullmatch(idem))):
            raise FieldError("idem" if key else "key", "none, or not in hex digits")
        return Setup(
            class_index=index,
            class_name=name,
            tenant=self._tenants.get(tenant, 0),
            left_us=int(left * 1000),
            key=_hex("key", key),
            name=key,
            idem=idem if keyed else "",
            cores=_figure("extras.cores", extras.get("cores", ""), self._most[0]),
            memory=_figure("extras.memory", extras.get("memory", ""), self._most[1]),
            service=_hex("extras.service", extras.get("service", "")),
            at=at,
            again=bool(_text(fields, "retry").strip("0")),
        )


def _text(fields: Mapping[str, object], name: str) -> str:
    value = fields.get(name, "")
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise FieldError(name, f"the unusable value {value!r}")
    text = str(value)
    if not text.isascii():
        raise FieldError(name, f"the unusable value {value!r}")
    return text


def _figure(field: str, text: str, most: float = 1e9) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= most:  # also false for what is no number at all
        raise FieldError(field, f"the unusable value {text!r}")
    return value


def _hex(field: str, text: str) -> int:
    if text and not (len(text) <= 16 and _HEX.fullmatch(text)):
        raise FieldError(field, f"the unusable value {text!r}")
    return int(text or "0", 16)
