"""Reports of dispatchers on zones, decoded: one that can't be read is of no use, and harms nobody."""

from __future__ import annotations

import json
import math

from weldhatch.coordination.json_types import JsonObject

MAX_PLACES = 100  # that one report may name
MAX_CLASSES = 16  # of which one report may give rates by tenant


def decode_zone_report(text: str) -> JsonObject | None:
    """Decode a report (JSON), with no more in it than may be; None for what can't be read."""
    try:
        report = json.loads(text)
        return {
            "zone": str(report["zone"]),
            "cut": str(report["cut"]),
            "looks": {
                str(place): [str(look[0]), *map(int, look[1:])]
                for place, look in list(report["looks"].items())[:MAX_PLACES]
            },
            "stands": _numbers(report.get("stands", {})),
            "rates": _numbers(report.get("rates", {})),
            "size": _numbers(report.get("size", {})),
            "starts": {
                str(name): [int(count) for count in counts][:3]
                for name, counts in report.get("starts", {}).items()
            },
            "tenants": {
                str(name): _numbers(rates)
                for name, rates in list(report.get("tenants", {}).items())[:MAX_CLASSES]
            },
            "refused": int(report.get("refused", 0)),
        }
    except (ValueError, KeyError, TypeError, AttributeError, IndexError, OverflowError):
        return None


def _numbers(values: JsonObject) -> dict[str, float]:
    return {str(name): _finite(value) for name, value in values.items()}


def _finite(value: float) -> float:
    """Raise ValueError for what is no finite number: one report would spoil the sums of all."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{number} is no figure")
    return number
