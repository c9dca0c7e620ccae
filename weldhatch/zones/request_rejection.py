"""The rejection of a request because of the state of the zones."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_RETRY_AFTER_S = 1.0


@dataclass(slots=True, frozen=True)
class Rejection:
    """Why a request is rejected, and after how many seconds its owner may retry."""

    retry_after_s: float
    reason: str
