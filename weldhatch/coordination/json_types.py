"""Types of decoded JSON."""

from __future__ import annotations

from typing import Any

JsonObject = dict[str, Any]
