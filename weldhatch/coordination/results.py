"""Results of commands. They are part of the replicated state."""

from __future__ import annotations

from weldhatch.coordination.json_types import JsonObject


def error_result(code: str, text: str) -> JsonObject:
    """Return the result of a command that was not carried out. `text` is human-readable."""
    return {"error": code, "text": text}


def ok_result(**values: object) -> JsonObject:
    """Return the result of a command that was carried out."""
    return {"ok": True, **values}


def is_error(result: JsonObject) -> bool:
    """Whether a command was not carried out."""
    return "error" in result
