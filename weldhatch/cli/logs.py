"""Structured logs of the commands, with structlog: text or JSON lines on standard error."""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import Any, TextIO

import structlog

SECRET_MARKERS = ("token", "secret", "password", "private", "authorization")


def redact_secrets(
    _logger: object, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Hide the values of fields whose names suggest a key, token or password."""
    for field in event:
        if any(marker in field.lower() for marker in SECRET_MARKERS):
            event[field] = "(not shown)"
    return event


def configure(*, as_json: bool = False, level: str = "info", stream: TextIO | None = None) -> None:
    """Configure all loggers of this process; `level` is one of debug, info, warning and error."""
    log_stream = stream or sys.stderr
    processors: list[Any] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        redact_secrets,
    ]
    if as_json:
        processors += [structlog.processors.dict_tracebacks, structlog.processors.JSONRenderer()]
    else:
        processors += [structlog.dev.ConsoleRenderer(colors=log_stream.isatty(), pad_event_to=18)]
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(log_stream),
        cache_logger_on_first_use=False,
    )


def logger(name: str) -> Any:
    """Return a structured logger whose lines carry `name` in the field `part`."""
    return structlog.get_logger(part=name)
