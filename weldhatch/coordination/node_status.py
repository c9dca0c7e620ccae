"""Status of a process, as served on the control address. The names of the keys are fixed."""

from __future__ import annotations

from weldhatch.consensus.raft import Raft
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.lease_holder import LeaseHolder


def status_of(holder: LeaseHolder, raft: Raft | None, leader: str, now: float) -> JsonObject:
    """Return the status of one process as a JSON object."""
    state_machine = holder.state_machine
    zones = {
        name: {"phase": place.phase.value, "step": place.step, "held": place.held}
        for name, place in state_machine.zones.entries.items()
    }
    return {
        "name": holder.incarnation.name,
        "epoch": holder.incarnation.epoch,
        "lineage": holder.lineage,
        "footing": holder.lease_status(now).value,
        "why": holder.denial,
        "lease_s": round(max(0.0, holder.lease_ends - now), 3),
        "ground_s": round(max(0.0, holder.grace_ends - now), 3),
        "stated_s": holder.timing.consistency_bound,
        "number": state_machine.active.number if state_machine.active else 0,
        "prepared": state_machine.prepared.number if state_machine.prepared else 0,
        "index": state_machine.index,
        "digest": state_machine.digest,
        "rev": state_machine.directives.revision,
        "leader": leader,
        "term": raft.persistent.term if raft else 0,
        "role": raft.role if raft else "learner",
        "zones": zones,
        "lost": raft.lost_reason if raft else "",
        "members": sorted(state_machine.members),
        "narrowed": len(
            state_machine.drain_reports.entries
        ),  # machines that some dispatcher's list restricts
        "conflicts": [*holder.conflicts, *state_machine.drain_reports.conflicts],
        "recoveries": list(state_machine.recoveries),
    }
