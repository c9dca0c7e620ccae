"""What operators are told of one other site."""

from __future__ import annotations

import time

from weldhatch.sites import handoff_source, handoff_target
from weldhatch.sites.handoff_source import Lender
from weldhatch.sites.link import Link
from weldhatch.sites.routing import Site
from weldhatch.sites.storage import SitesBook

DOUBTS_MOST = 100


def site_status(site: str, link: Link, known: Site, lender: Lender, book: SitesBook) -> dict:
    """Its link and epoch, what is out there and taken from it, its room as told, and what is in doubt."""
    now = time.monotonic()
    lent = [one for one in lender.lent.values() if one.site == site]
    phases = [one.phase for one in lent]
    why = "its link is down" if not link.up else "its end is awaited"
    return {
        "up": link.up,
        "doubt": link.doubt,
        "breaks": link.breaks,
        "delay_ms": round(link.session.delay_s * 1000, 1),
        "epoch": book.known(site)[0],
        "lent": {phase.value: phases.count(phase) for phase in handoff_source.Lending if phase in phases},
        "taken": sum(one.phase in handoff_target.OPEN for one in book.taker(site).taken.values()),
        "left_out_s": round(max(0.0, known.left_out - now), 1),
        "told": None
        if known.told is None
        else {
            "age_s": round(now - known.told_at, 1),
            "free": dict(known.told.free),
            "size": known.told.size,
            "waiting": known.told.waiting,
            "draining": known.told.draining,
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
            if one.phase is handoff_source.Lending.CALLED_BACK
        ][:DOUBTS_MOST],
    }
