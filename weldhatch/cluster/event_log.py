"""Structured log lines of the group, one JSON object each."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TextIO

import structlog


def event_logger(stream: TextIO | None = None) -> Callable[..., None]:
    """Return a function that logs an event and its fields to `stream`, by default to standard error."""
    logger = structlog.wrap_logger(
        structlog.PrintLogger(stream or sys.stderr),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
    )

    def log_event(event: str, **fields: object) -> None:
        logger.info(f"agreement.{event}", **fields)

    return log_event
