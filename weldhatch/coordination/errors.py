"""Errors of the coordination package."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base of all errors of this package."""


class UnknownCommandError(CoordinationError, ValueError):
    """A command of a kind that this version of the program does not support."""

    def __init__(self, kind: str) -> None:
        """Create the error for a command of that `kind`."""
        super().__init__(f"unknown kind of command {kind!r}")
        self.kind = kind


class IncompatibleChangeError(CoordinationError, ValueError):
    """A version of the settings that no running dispatcher can adopt."""

    def __init__(self, key: str, reason: str) -> None:
        """Create the error. `key` is the setting that can't be changed that way."""
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason
