"""What a build machine says that it is, and what a lease requires: read and matched here, no I/O.

The worker of the Remote Workers API: devices with properties (the first is the machine itself, the others are
those it owns), and properties and configs of the whole. A requirement is a worker too, and filters only.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from weldhatch.pullqueue.errors import HttpError

PAIRS_MOST, DEVICES_MOST, TEXT_MOST = 64, 32, 200
Pairs = frozenset[tuple[str, str]]


@dataclass(slots=True, frozen=True)
class Worker:
    """Devices in their order, each by its properties; properties and configs of the whole."""

    properties: Pairs = frozenset()
    devices: tuple[Pairs, ...] = ()
    configs: Pairs = frozenset()

    def first(self, key: str) -> str | None:
        return next((value for name, value in sorted(self.properties) if name == key), None)


NOTHING = Worker()


def _bad(field: str, text: str) -> HttpError:
    return HttpError(400, f"{field}: {text}", field)


def _pairs(tree: object, field: str) -> Pairs:
    if tree is None:
        return frozenset()
    if not isinstance(tree, list):
        raise _bad(field, "a list of key and value is needed")
    if len(tree) > PAIRS_MOST:
        raise _bad(field, f"at most {PAIRS_MOST} are taken")
    out = set()
    for n, one in enumerate(tree):
        pair = (one.get("key"), one.get("value")) if isinstance(one, dict) else (None, None)
        for name, text in zip(("key", "value"), pair, strict=True):
            if not isinstance(text, str) or len(text) > TEXT_MOST or (name == "key" and not text):
                raise _bad(f"{field}[{n}].{name}", f"a text of at most {TEXT_MOST} characters is needed")
        out.add(pair)
    return frozenset(out)


def read_worker(tree: object, field: str) -> Worker:
    """A worker of a call. Raises HttpError naming the field."""
    if tree is None:
        return NOTHING
    if not isinstance(tree, dict):
        raise _bad(field, "an object is needed")
    devices = tree.get("devices")
    if devices is not None and (not isinstance(devices, list) or len(devices) > DEVICES_MOST):
        raise _bad(f"{field}.devices", f"a list of at most {DEVICES_MOST} is needed")
    read = []
    for n, device in enumerate(devices or ()):
        if not isinstance(device, dict):
            raise _bad(f"{field}.devices[{n}]", "an object is needed")
        handle = device.get("handle")
        if handle is not None and (not isinstance(handle, str) or len(handle) > TEXT_MOST):
            raise _bad(f"{field}.devices[{n}].handle", f"a text of at most {TEXT_MOST} characters is needed")
        read.append(_pairs(device.get("properties"), f"{field}.devices[{n}].properties"))
    return Worker(
        _pairs(tree.get("properties"), f"{field}.properties"),
        tuple(read),
        _pairs(tree.get("configs"), f"{field}.configs"),
    )


def matches(worker: Worker, wanted: Worker) -> bool:
    """Does a machine have all that is required?

    Every required property and config has to be there with its value. Required devices are matched each to
    one device of its own, the first to the first, which is the machine itself.
    """
    if not (wanted.properties <= worker.properties and wanted.configs <= worker.configs):
        return False
    if not wanted.devices:
        return True
    if not worker.devices or not wanted.devices[0] <= worker.devices[0]:
        return False
    return _each_its_own(wanted.devices[1:], worker.devices[1:])


def _each_its_own(wanted: tuple[Pairs, ...], there: tuple[Pairs, ...]) -> bool:
    """Augmenting paths: greedy would give a plain device to the wish that only a special one could fill."""
    taken: dict[int, int] = {}

    def place(at: int, tried: set[int]) -> bool:
        for n, device in enumerate(there):
            if n not in tried and wanted[at] <= device:
                tried.add(n)
                if n not in taken or place(taken[n], tried):
                    taken[n] = at
                    return True
        return False

    return all(place(at, set()) for at in range(len(wanted)))


class Matching(Container[int]):
    """The machines that a requirement lets through, as the decision module asks for them: one by one."""

    def __init__(self, wanted: Worker, workers: dict[int, Worker]) -> None:
        self._wanted, self._workers = wanted, workers

    def __contains__(self, machine: object) -> bool:
        worker = self._workers.get(machine)
        return worker is not None and matches(worker, self._wanted)
