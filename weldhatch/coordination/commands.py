"""Kinds of commands in the replicated log, and constructors of commands that the leader creates.

A command is a JSON object. Its key "do" is the kind. A command with an "id" is carried out at most once.
"""

from __future__ import annotations

from enum import StrEnum

from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.messages import LeaseRequest


class CommandKind(StrEnum):
    """Kind of a command in the replicated log, as encoded."""

    JOIN = "join"
    LEAVE = "leave"
    PROPOSE = "propose"
    ACTIVATE = "activate"
    DROP = "drop"
    DIRECT_MACHINE = "word"
    SETTLE_DIRECTIVES = "settled"
    REPORT_DRAINS = "listed"
    CHANGE_ZONE = "zone"
    HOLD_ZONE = "zone_hold"
    FENCE = "fence"
    RECOVERED = "recovered"


class RequestKind(StrEnum):
    """Kind of a request that only the leader handles. The request itself is not appended to the log."""

    CHANGE_VOTERS = "voters"
    STATUS = "status"
    OPERATE_ZONE = "zone_word"
    TRANSFER_LEADERSHIP = "hand"


def join(request: LeaseRequest) -> JsonObject:
    """Add a dispatcher to the group."""
    return {
        "do": CommandKind.JOIN,
        "id": f"join-{request.name}-{request.epoch}-{request.token}",
        "name": request.name,
        "epoch": request.epoch,
        "token": request.token,
    }


def leave(request: LeaseRequest) -> JsonObject:
    """Remove a dispatcher from the group."""
    return {
        "do": CommandKind.LEAVE,
        "id": f"leave-{request.name}-{request.token}",
        "name": request.name,
        "token": request.token,
    }


def propose_first(tree: JsonObject, by: str) -> JsonObject:
    """Propose the settings in the first leader's file, for a group that has no version yet."""
    return {
        "do": CommandKind.PROPOSE,
        "id": "first",
        "base": 0,
        "tree": tree,
        "why": "the settings of the first leader's file",
        "by": by,
    }


def activate(number: int) -> JsonObject:
    """Activate the prepared version."""
    return {"do": CommandKind.ACTIVATE, "number": number}


def drop(number: int, reason: str) -> JsonObject:
    """Drop the prepared version."""
    return {"do": CommandKind.DROP, "number": number, "why": reason}


def settle_directives(revision: int) -> JsonObject:
    """Settle the directives up to this revision: every member has them."""
    return {"do": CommandKind.SETTLE_DIRECTIVES, "rev": revision}


def recovered(lineage: int, by: str, reason: str, at: float) -> JsonObject:
    """Record a manual recovery. `at`: Unix seconds, shown to operators."""
    return {
        "do": CommandKind.RECOVERED,
        "id": f"recovered-{lineage}",
        "by": by,
        "why": reason,
        "at": at,
    }
