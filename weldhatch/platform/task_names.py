"""The fields that identify a platform task on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from typing import cast

from weldhatch.core import ports


@dataclass(slots=True)
class TaskNames:
    """The wire fields of a platform task, forwarded to the server unchanged."""

    tag: bytes
    class_name: str
    name: str
    idem: str
    description: str


def names_of(task: ports.Task) -> TaskNames:
    """Return the wire fields that the client front has attached to the task."""
    return cast(TaskNames, task.passed_on)
