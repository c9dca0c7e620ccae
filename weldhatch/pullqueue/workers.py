"""Properties of build machines and requirements of leases: parsing and matching. No I/O.

A worker of the Remote Workers API has devices with properties (the first device is the machine itself, the
others belong to it), and properties and configs of the whole worker. A requirement has the same form; it only
restricts the choice of machines.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from weldhatch.pullqueue.errors import HttpError

MAX_PAIRS, MAX_DEVICES, MAX_TEXT_LENGTH = 64, 32, 200
Pairs = frozenset[tuple[str, str]]


@dataclass(slots=True, frozen=True)
class Worker:
    """Properties and configs of a worker, and the properties of each of its devices, in order."""

    properties: Pairs = frozenset()
    devices: tuple[Pairs, ...] = ()
    configs: Pairs = frozenset()

    def first(self, key: str) -> str | None:
        """Return the first value of a property, in sorted order; None if the worker lacks it."""
        return next((value for name, value in sorted(self.properties) if name == key), None)


EMPTY_WORKER = Worker()


def _field_error(field: str, text: str) -> HttpError:
    return HttpError(400, f"{field}: {text}", field)


def _pairs(tree: object, field: str) -> Pairs:
    if tree is None:
        return frozenset()
    if not isinstance(tree, list):
        raise _field_error(field, "a list of key and value is needed")
    if len(tree) > MAX_PAIRS:
        raise _field_error(field, f"at most {MAX_PAIRS} are taken")
    out = set()
    for n, one in enumerate(tree):
        pair = (one.get("key"), one.get("value")) if isinstance(one, dict) else (None, None)
        for name, text in zip(("key", "value"), pair, strict=True):
            if not isinstance(text, str) or len(text) > MAX_TEXT_LENGTH or (name == "key" and not text):
                raise _field_error(
                    f"{field}[{n}].{name}", f"a text of at most {MAX_TEXT_LENGTH} characters is needed"
                )
        out.add(pair)
    return frozenset(out)


def read_worker(tree: object, field: str) -> Worker:
    """Read a worker from the body of a call. Raises HttpError naming the field."""
    if tree is None:
        return EMPTY_WORKER
    if not isinstance(tree, dict):
        raise _field_error(field, "an object is needed")
    devices = tree.get("devices")
    if devices is not None and (not isinstance(devices, list) or len(devices) > MAX_DEVICES):
        raise _field_error(f"{field}.devices", f"a list of at most {MAX_DEVICES} is needed")
    read = []
    for n, device in enumerate(devices or ()):
        if not isinstance(device, dict):
            raise _field_error(f"{field}.devices[{n}]", "an object is needed")
        handle = device.get("handle")
        if handle is not None and (not isinstance(handle, str) or len(handle) > MAX_TEXT_LENGTH):
            raise _field_error(
                f"{field}.devices[{n}].handle", f"a text of at most {MAX_TEXT_LENGTH} characters is needed"
            )
        read.append(_pairs(device.get("properties"), f"{field}.devices[{n}].properties"))
    return Worker(
        _pairs(tree.get("properties"), f"{field}.properties"),
        tuple(read),
        _pairs(tree.get("configs"), f"{field}.configs"),
    )


def matches(worker: Worker, required: Worker) -> bool:
    """Return whether a machine meets a requirement.

    The machine must have every required property and config with the required value. The first required
    device must match the first device, the machine itself; each other required device must match a different
    device of the machine.
    """
    if not (required.properties <= worker.properties and required.configs <= worker.configs):
        return False
    if not required.devices:
        return True
    if not worker.devices or not required.devices[0] <= worker.devices[0]:
        return False
    return _can_match_devices(required.devices[1:], worker.devices[1:])


def _can_match_devices(required: tuple[Pairs, ...], available: tuple[Pairs, ...]) -> bool:
    """Return whether each required device can be matched to a different available device.

    Uses augmenting paths: greedy matching could give a device to a requirement that others meet too, and
    leave none for a more specific requirement.
    """
    assigned: dict[int, int] = {}

    def assign(index: int, visited: set[int]) -> bool:
        for n, device in enumerate(available):
            if n not in visited and required[index] <= device:
                visited.add(n)
                if n not in assigned or assign(assigned[n], visited):
                    assigned[n] = index
                    return True
        return False

    return all(assign(index, set()) for index in range(len(required)))


class MatchingMachines(Container[int]):
    """The set of machines that meet a requirement; the policy tests machines for membership one by one."""

    def __init__(self, required: Worker, workers: dict[int, Worker]) -> None:
        """Match these workers, which are given by machine number."""
        self._required, self._workers = required, workers

    def __contains__(self, machine: object) -> bool:
        """Return whether a machine is known and meets the requirement."""
        worker = self._workers.get(machine)
        return worker is not None and matches(worker, self._required)
