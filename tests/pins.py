"""Helpers of the pin tests: a stable text form of values, digests of blocks, and the recorded data.

A pin test compares the behaviour of the code with a recording of an earlier version. Each pin test file can
be run as a module (`PYTHONPATH=tests:. python -m tests.test_pins_policy`) to make a new recording, which is
only right for an intended change of behaviour. Renamed classes and fields are entered in `RECORDED_NAMES`, so
that the recording keeps the old name and the test still compares values.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Iterable, Iterator, Mapping
from enum import Enum
from pathlib import Path

DATA = Path(__file__).parent / "data"

# Current (class, field) or class, and its name in the recordings.
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

# Fields that are newer than the recordings, which are left out as long as they have this default.
NEWER_FIELDS: dict[tuple[str, str], object] = {("RequestArrived", "uncertain_attempt"): None}


def recorded_class(value: object) -> str:
    """Return the name of the value's class in the recordings."""
    name = type(value).__name__
    return RECORDED_NAMES.get(name, name)


def field_names(value: object) -> Iterable[str] | None:
    """Return the fields of a dataclass, a msgspec struct or a `Fleet`; None for other values."""
    if dataclasses.is_dataclass(value):
        return [field.name for field in dataclasses.fields(value)]
    if hasattr(value, "__struct_fields__"):
        return value.__struct_fields__
    if type(value).__name__ == "Fleet":
        return sorted(vars(value))
    return None


def pairs(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield a value as pairs of path and text: objects by field, mappings by key, sequences by index."""
    names = field_names(value)
    if names is not None:
        yield path or ".", recorded_class(value)
        for field in names:
            newer = (type(value).__name__, field)
            if newer in NEWER_FIELDS and getattr(value, field) == NEWER_FIELDS[newer]:
                continue
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
        for index, item in enumerate(value):
            yield from pairs(item, f"{path}[{index}]")
    else:
        yield path, f"{type(value).__name__} {value!r}"


def lines(value: object) -> list[str]:
    """Return one line for each pair, sorted by path, so that the order of fields does not matter."""
    return sorted(f"{path} = {text}" for path, text in pairs(value))


def digest(texts: Iterable[str]) -> str:
    """Return a short digest of lines in order."""
    return hashlib.sha256("\n".join(texts).encode()).hexdigest()[:16]


class BlockDigests:
    """Computes digests of blocks of lines, so that a comparison finds the first block that differs."""

    def __init__(self, block_size: int) -> None:
        self._block_size = block_size
        self._current_block: list[str] = []
        self._blocks: list[str] = []
        self.history: list[list[str]] = []  # the lines of each block, to show a difference

    def add(self, line: str) -> None:
        self._current_block.append(line)
        if len(self._current_block) == self._block_size:
            self._finish_block()

    def _finish_block(self) -> None:
        self._blocks.append(digest(self._current_block))
        self.history.append(self._current_block)
        self._current_block = []

    def finish(self) -> list[str]:
        if self._current_block:
            self._finish_block()
        return self._blocks


def load(name: str) -> dict:
    """Return the recorded data of a pin test."""
    return json.loads((DATA / name).read_text())


def save(name: str, data: object) -> None:
    """Write a new recording; called only when a pin test file is run as a module."""
    DATA.mkdir(exist_ok=True)
    (DATA / name).write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")
