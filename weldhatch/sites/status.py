"""What operators are told of one other site."""

from __future__ import annotations

import time

from weldhatch.sites import handoff_source, handoff_target
from weldhatch.sites.handoff_source import HandoffSource
from weldhatch.sites.link import Link
from weldhatch.sites.routing import RemoteSite
from weldhatch.sites.storage import SiteStorage

DOUBTS_MOST = 100


def site_status(site: str, link: Link, known: RemoteSite, source: HandoffSource, book: SiteStorage) -> dict:
    """Its link and epoch, what is out there and taken from it, its room as told, and what is in doubt."""
    now = time.monotonic()
    lent = [one for one in source.transfers.values() if one.site == site]
    phases = [one.phase for one in lent]
    why = "its link is down" if not link.up else "its end is awaited"
    return {
        "up": link.up,
        "doubt": link.stale_reason,
        "breaks": link.break_count,
        "delay_ms": round(link.session.delay_s * 1000, 1),
        "epoch": book.known_epoch(site)[0],
        "lent": {
            phase.value: phases.count(phase) for phase in handoff_source.OutgoingPhase if phase in phases
        },
        "taken": sum(one.phase in handoff_target.OPEN_PHASES for one in book.target(site).transfers.values()),
        "left_out_s": round(max(0.0, known.excluded_until - now), 1),
        "told": None
        if known.summary is None
        else {
            "age_s": round(now - known.summary_at, 1),
            "free": dict(known.summary.free),
            "size": known.summary.size,
            "waiting": known.summary.waiting,
            "draining": known.summary.draining,
        },
        "in_doubt": [
            {
                "id": f"{one.id[0]}-{one.id[1]}",
                "class": one.work.class_name,
                "key": f"{one.work.key:x}",
                "phase": one.phase.value,
                "why": why,
            }
            for one in lent
            if one.phase is handoff_source.OutgoingPhase.RECALLED
        ][:DOUBTS_MOST],
    }
