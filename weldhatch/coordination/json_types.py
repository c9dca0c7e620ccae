"""Types of what comes from, or goes to, JSON."""

from __future__ import annotations

from typing import Any

JsonObject = dict[str, Any]
