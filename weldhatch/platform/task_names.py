"""What a platform task is called on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from typing import cast

from weldhatch.core import ports


@dataclass(slots=True)
class TaskNames:
    """What a platform task is called on the wire, passed on as it came."""

    tag: bytes
    class_name: str
    name: str
    idem: str
    description: str


def names_of(task: ports.Task) -> TaskNames:
    """Return what the client front has passed on with the task."""
    return cast(TaskNames, task.passed_on)
