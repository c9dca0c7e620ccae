"""Structured logs of the commands on structlog: text for people, JSON by a switch, to standard error."""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import Any, TextIO

import structlog

SECRET = ("token", "secret", "password", "private", "authorization")


def no_secrets(_logger: object, _method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Guards against a key or a token that finds its way into a log line."""
    for name in event:
        if any(mark in name.lower() for mark in SECRET):
            event[name] = "(not shown)"
    return event


def configure(*, as_json: bool = False, level: str = "info", stream: TextIO | None = None) -> None:
    """Set up all loggers of this process. `level` is one of debug, info, warning, error."""
    shown = stream or sys.stderr
    processors: list[Any] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        no_secrets,
    ]
    if as_json:
        processors += [structlog.processors.dict_tracebacks, structlog.processors.JSONRenderer()]
    else:
        processors += [structlog.dev.ConsoleRenderer(colors=shown.isatty(), pad_event_to=18)]
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(shown),
        cache_logger_on_first_use=False,
    )


def logger(name: str) -> Any:
    """Return the structured logger of the part `name`."""
    return structlog.get_logger(part=name)
