"""Commands for the group's log: what each is called there, and those that the leader makes by itself.

A command is a JSON object; its key "do" says which it is, and its "id" that it is carried out once.
"""

from __future__ import annotations

from enum import StrEnum

from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.messages import LeaseRequest


class CommandKind(StrEnum):
    """What a command does, as it is encoded."""

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
    """What is asked of the leader alone, and never stands in the log."""

    CHANGE_VOTERS = "voters"
    STATUS = "status"
    OPERATE_ZONE = "zone_word"
    TRANSFER_LEADERSHIP = "hand"


def join(request: LeaseRequest) -> JsonObject:
    """Take a dispatcher into the group."""
    return {
        "do": CommandKind.JOIN,
        "id": f"join-{request.name}-{request.epoch}-{request.token}",
        "name": request.name,
        "epoch": request.epoch,
        "token": request.token,
    }


def leave(request: LeaseRequest) -> JsonObject:
    """Let a dispatcher leave the group."""
    return {
        "do": CommandKind.LEAVE,
        "id": f"leave-{request.name}-{request.token}",
        "name": request.name,
        "token": request.token,
    }


def propose_first(tree: JsonObject, by: str) -> JsonObject:
    """Propose the settings of the first leader's file where a group has none yet."""
    return {
        "do": CommandKind.PROPOSE,
        "id": "first",
        "base": 0,
        "tree": tree,
        "why": "the settings of the first leader's file",
        "by": by,
    }


def activate(number: int) -> JsonObject:
    """Bring the prepared version into force."""
    return {"do": CommandKind.ACTIVATE, "number": number}


def drop(number: int, reason: str) -> JsonObject:
    """Give the prepared version up."""
    return {"do": CommandKind.DROP, "number": number, "why": reason}


def settle_directives(revision: int) -> JsonObject:
    """Let directives up to this revision act as they are: everybody holds them."""
    return {"do": CommandKind.SETTLE_DIRECTIVES, "rev": revision}


def recovered(lineage: int, by: str, reason: str, at: float) -> JsonObject:
    """Note a recovery by hand. `at`: Unix seconds, for people to read."""
    return {
        "do": CommandKind.RECOVERED,
        "id": f"recovered-{lineage}",
        "by": by,
        "why": reason,
        "at": at,
    }
