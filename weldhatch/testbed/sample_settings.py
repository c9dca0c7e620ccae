"""Settings of a made-up deployment, for simulation runs and for clusters of real processes."""

from __future__ import annotations

from typing import Any

PLAIN: dict[str, Any] = {  # settings of three classes, one of each effect
    "kinds": ["build"],
    "zones": ["hall-a", "hall-b"],
    "registryMode": "automatic",
    "resolutionUs": 1000,
    "groupSize": 3,
    "limits": {
        "mostTries": 4,
        "probes": True,
        "mayCancel": True,
        "retryAfter": True,
        "maxRetryAfterUs": 200_000,
    },
    "rules": {"drainGraceUs": 2_000_000, "answerSlackUs": 8000},
    "stats": {"how": "pull", "fields": ["x0", "x1"]},
    "extra": {
        "sizeCores": [400],
        "memOfKind": [400.0],
        "cpuBooking": 1.0,
        "memBooking": 1.0,
        "measuredBy": "asked",
        "confirms": "running",
        "spreadOver": ["machine", "silent", "silent"],
        "spreadMost": [50, 0, 0],
    },
    "classes": [
        {"name": "lookup", "effect": "read_like", "aimUs": 1_000_000, "hardLimitUs": 3_000_000, "worth": 1.0},
        {
            "name": "import",
            "effect": "idempotency_key",
            "group": "zone",
            "dedupWindowUs": 8_000_000,
            "aimUs": 700_000,
            "hardLimitUs": 3_000_000,
            "worth": 2.0,
        },
        {
            "name": "writer",
            "effect": "non_idempotent",
            "aimUs": 600_000,
            "hardLimitUs": 3_000_000,
            "worth": 5.0,
        },
    ],
}
