"""Helpers of the pin tests: values in a stable written form, digests by block, and the recorded data.

A pin test compares what the code does with what was recorded from an earlier version. Each such test file
can be run as a module (`PYTHONPATH=tests:. python -m tests.test_pins_policy`) to record anew; that is only
right where a change of behaviour is meant. A field or class that is renamed on purpose is entered in
`RECORDED_NAMES`, so that the record keeps its old name and the test still compares values.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Iterable, Iterator, Mapping
from enum import Enum
from pathlib import Path

DATA = Path(__file__).parent / "data"

# (class, field) or class of today: the name that the record uses for it.
RECORDED_NAMES: dict[tuple[str, str] | str, str] = {
    "RequestAbandoned": "RequestGone",
    "Reject": "Refuse",
    "Migrate": "Move",
    "FailoverTiming": "Times",
    "PlatformConfig": "Platform",
    "PullQueueConfig": "PullQueueFile",
    "PullQueueTiming": "Timing",
    "SecurityConfig": "SecurityFile",
    "SitesConfig": "SitesFile",
    "ClusterConfig": "AgreementFile",
    "ZonesConfig": "ZonesFile",
    "FleetConfig": "FleetFile",
    ("ZonesConfig", "standalone"): "alone",
    ("RequestClass", "latency_objective_us"): "aim_us",
    ("RequestClass", "priority_weight"): "worth",
    ("RequestClass", "late_priority_weight"): "late_worth",
    ("RequestClass", "start_priority_weight_s"): "start_worth_s",
    ("Settings", "hedged_requests"): "second_copies",
    ("Settings", "poll_within_us"): "must_ask_us",
    ("Settings", "warm_up_us"): "cold_us",
    ("Settings", "warm_up_offers"): "cold_sends",
    ("Settings", "preempts_tasks"): "makes_room",
    ("Settings", "reports_usage"): "tells_use",
    ("Settings", "over_quota_priority_weight"): "over_share_worth",
}


def recorded_class(value: object) -> str:
    """The recorded name of the value's class."""
    name = type(value).__name__
    return RECORDED_NAMES.get(name, name)


def field_names(value: object) -> Iterable[str] | None:
    """The fields of a dataclass, a msgspec struct or a fleet; None for all else."""
    if dataclasses.is_dataclass(value):
        return [field.name for field in dataclasses.fields(value)]
    if hasattr(value, "__struct_fields__"):
        return value.__struct_fields__
    if type(value).__name__ == "Fleet":
        return sorted(vars(value))
    return None


def pairs(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """A value as pairs of path and text: records by field name, mappings by key, sequences by index."""
    names = field_names(value)
    if names is not None:
        yield path or ".", recorded_class(value)
        for field in names:
            name = RECORDED_NAMES.get((type(value).__name__, field), field)
            yield from pairs(getattr(value, field), f"{path}.{name}")
    elif isinstance(value, Enum):
        yield path, f"{recorded_class(value)} {value.value}"
    elif isinstance(value, Mapping):
        yield path, f"{len(value)} keys"
        for key in value:
            yield from pairs(value[key], f"{path}[{key}]")
    elif isinstance(value, list | tuple):
        yield path, f"{len(value)} items"
        for index, part in enumerate(value):
            yield from pairs(part, f"{path}[{index}]")
    else:
        yield path, f"{type(value).__name__} {value!r}"


def lines(value: object) -> list[str]:
    """The same as one line a pair, in order of paths, so that the order of fields does not count."""
    return sorted(f"{path} = {text}" for path, text in pairs(value))


def digest(texts: Iterable[str]) -> str:
    """A short digest of lines in their order."""
    return hashlib.sha256("\n".join(texts).encode()).hexdigest()[:16]


class BlockDigests:
    """Digests over blocks of lines, so that a comparison finds the block of the first difference."""

    def __init__(self, block_size: int) -> None:
        self._block_size = block_size
        self._open: list[str] = []
        self._blocks: list[str] = []
        self.history: list[list[str]] = []  # the lines of each block, for a look at the first difference

    def add(self, line: str) -> None:
        self._open.append(line)
        if len(self._open) == self._block_size:
            self._close()

    def _close(self) -> None:
        self._blocks.append(digest(self._open))
        self.history.append(self._open)
        self._open = []

    def finish(self) -> list[str]:
        if self._open:
            self._close()
        return self._blocks


def load(name: str) -> dict:
    """The recorded data of one pin test."""
    return json.loads((DATA / name).read_text())


def save(name: str, data: object) -> None:
    """Record anew; only by hand."""
    DATA.mkdir(exist_ok=True)
    (DATA / name).write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")
