"""Status of one other site for operators: the JSON of `weldhatch sites status`, whose keys are fixed."""

from __future__ import annotations

import time
from typing import Any, TypedDict

from weldhatch.sites.handoff_source import OutgoingPhase, OutgoingTransfer
from weldhatch.sites.handoff_target import OPEN_PHASES
from weldhatch.sites.link import Link
from weldhatch.sites.routing import RemoteSite
from weldhatch.sites.storage import SiteStorage

MAX_IN_DOUBT = 100  # transfers in doubt that are listed per site


class SitesStatus(TypedDict):
    """Status of a gateway's own site, and of the other sites by name."""

    site: str
    epoch: int
    draining: bool
    sites: dict[str, dict[str, Any]]


def site_status(site: str, link: Link, remote: RemoteSite, storage: SiteStorage) -> dict[str, Any]:
    """Return a site's link and epoch, open transfers both ways, last summary, and transfers in doubt."""
    now = time.monotonic()
    transfers = [transfer for transfer in storage.source.transfers.values() if transfer.site == site]
    phases = [transfer.phase for transfer in transfers]
    in_doubt = [transfer for transfer in transfers if transfer.phase is OutgoingPhase.RECALLED]
    why = "its link is down" if not link.up else "its end is awaited"
    return {
        "up": link.up,
        "doubt": link.stale_reason,
        "breaks": link.break_count,
        "delay_ms": round(link.session.delay_s * 1000, 1),
        "epoch": storage.known_epoch(site)[0],
        "lent": {phase.value: phases.count(phase) for phase in OutgoingPhase if phase in phases},
        "taken": sum(transfer.phase in OPEN_PHASES for transfer in storage.target(site).transfers.values()),
        "left_out_s": round(max(0.0, remote.excluded_until - now), 1),
        "told": _summary_status(now, remote),
        "in_doubt": [_transfer_status(transfer, why) for transfer in in_doubt][:MAX_IN_DOUBT],
    }


def _summary_status(now: float, remote: RemoteSite) -> dict[str, Any] | None:
    if remote.summary is None:
        return None
    return {
        "age_s": round(now - remote.summary_at, 1),
        "free": dict(remote.summary.free),
        "size": remote.summary.size,
        "waiting": remote.summary.waiting,
        "draining": remote.summary.draining,
    }


def _transfer_status(transfer: OutgoingTransfer, why: str) -> dict[str, str]:
    epoch, serial = transfer.id
    return {
        "id": f"{epoch}-{serial}",
        "class": transfer.work.class_name,
        "key": f"{transfer.work.key:x}",
        "phase": transfer.phase.value,
        "why": why,
    }
