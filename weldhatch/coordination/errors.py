"""Why something can't be agreed on."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base of all errors of this package."""


class UnknownCommandError(CoordinationError, ValueError):
    """A command of a kind that this version does not know."""

    def __init__(self, kind: str) -> None:
        """Carry the `kind` of the command."""
        super().__init__(f"the unknown command {kind!r}")
        self.kind = kind


class IncompatibleChangeError(CoordinationError, ValueError):
    """A version of the settings that no running dispatcher can move to."""

    def __init__(self, key: str, reason: str) -> None:
        """Carry the `key` that is at fault, and the `reason`."""
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason
