"""What a group of dispatchers has agreed on: members, versions, operators' words. A state machine; pure.

Commands are JSON objects, decided in one order by the voters; every dispatcher applies the same ones and
comes to the same state (its `digest` tells). A command that can't be carried out changes nothing and its
result says why.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict, dataclass, field

from weldhatch.coordination.drain_reports import PERMISSIVENESS, DrainReports, stricter
from weldhatch.zones.state import ZoneStates

HISTORY_MOST = 100
TREES_MOST = 20  # versions whose settings are kept, to tell what moved
RESULTS_MOST = 200  # commands whose results are kept: one that is said twice is carried out once
ENTRIES_MOST = 20_000


@dataclass(slots=True)
class GroupMember:
    """A dispatcher: `epoch` and `token` of its store tell one life of it from another."""

    epoch: int
    token: str


@dataclass(slots=True)
class SettingsVersion:
    number: int
    base: int
    tree: dict  # the `settings` of a file
    why: str
    by: str
    despite: list[str] = field(default_factory=list)  # members that may refuse it, and get no lease then


@dataclass(slots=True)
class MachineDirective:
    """What operators last said of a machine. Until `settled`, the stricter of `state` and `before` acts."""

    state: str
    fence: int
    op: str
    rev: int
    before: str = ""  # '' once settled

    @property
    def acts(self) -> str:
        return stricter(self.state, self.before) if self.before else self.state


class StateMachine:
    """Apply commands in order by `apply`; `index` is the place of the last one in the log."""

    def __init__(self) -> None:
        self.index = 0
        self.members: dict[str, GroupMember] = {}
        self.active: SettingsVersion | None = None
        self.prepared: SettingsVersion | None = None
        self.prepared_at = 0  # the index at which it was proposed
        self.number = 0  # the last version's, whatever became of it
        self.trees: dict[int, dict] = {}
        self.history: list[dict] = []
        self.words: dict[str, MachineDirective] = {}
        self.rev = 0  # of the list of words
        self.unsettled = 0  # the newest rev that widens and is not settled; 0 for none
        self.lists = DrainReports()  # what dispatchers' own lists of machines have told
        self.zones = ZoneStates()  # zones and racks that are left, or return
        self.recoveries: list[dict] = []
        self.results: dict[str, dict] = {}
        self._digest = ""

    # ---- commands --------------------------------------------------------------------------------------

    def apply(self, index: int, data: str) -> dict:
        """One command; its result: {"ok": True, ...} or {"error": code, "text": ...}."""
        self.index, self._digest = index, ""
        if not data:
            return {"ok": True}
        command = json.loads(data)
        id = command.get("id", "")
        if id and id in self.results:
            return self.results[id]  # said again by one that did not hear the result
        result = getattr(self, f"_do_{command['do']}")(command)
        if id:
            self.results[id] = result
            while len(self.results) > RESULTS_MOST:
                del self.results[next(iter(self.results))]
        return result

    def _do_join(self, it: dict) -> dict:
        known = self.members.get(it["name"])
        if known is not None and known.epoch > it["epoch"]:
            return _error("fenced", f"{it['name']}: a later life of it has joined, epoch {known.epoch}")
        self.members[it["name"]] = GroupMember(it["epoch"], it["token"])
        return {"ok": True}

    def _do_leave(self, it: dict) -> dict:
        known = self.members.get(it["name"])
        if known is None or (it.get("token") and known.token != it["token"]):
            return _error("unknown", f"{it['name']}: no such member")
        del self.members[it["name"]]
        return {"ok": True}

    def _do_propose(self, it: dict) -> dict:
        if self.prepared is not None:
            return _error("busy", f"version {self.prepared.number} is being prepared: wait, or drop it")
        base = self.active.number if self.active is not None else 0
        if it["base"] != base:
            return {
                **_error("moved", f"version {base} is in force, and the proposal is on {it['base']}"),
                "base": base,
                "then": self.trees.get(it["base"]),
                "now": self.trees.get(base),
            }
        self.number += 1
        self.prepared = SettingsVersion(
            self.number, base, it["tree"], it["why"], it["by"], it.get("despite", [])
        )
        self.prepared_at = self.index
        self._note(self.prepared, "proposed", it["why"])
        return {"ok": True, "number": self.number}

    def _do_activate(self, it: dict) -> dict:
        """By the leader, once all hold it."""
        if self.prepared is None or self.prepared.number != it["number"]:
            return _error("unknown", f"version {it['number']} is not being prepared")
        self.active, self.prepared = self.prepared, None
        self.trees[self.active.number] = self.active.tree
        for old in sorted(self.trees)[:-TREES_MOST]:
            del self.trees[old]
        self._note(self.active, "active", it.get("why", ""))
        return {"ok": True}

    def _do_drop(self, it: dict) -> dict:
        """By the leader where a dispatcher can't act on it, or by an operator."""
        if self.prepared is None or self.prepared.number != it["number"]:
            return _error("unknown", f"version {it['number']} is not being prepared")
        dropped, self.prepared = self.prepared, None
        self._note(dropped, "dropped", it["why"])
        return {"ok": True}

    def _do_word(self, it: dict) -> dict:
        machine, last = it["machine"], self.words.get(it["machine"])
        if last is not None and it["fence"] < last.fence:
            return {
                **_error("FENCE", f"{last.fence} has been heard, this is {it['fence']}"),
                "fence": last.fence,
            }
        if last is None and len(self.words) >= ENTRIES_MOST:
            return _error("REFUSED", f"words are kept of {ENTRIES_MOST} machines at the most")
        acts = last.acts if last is not None else "ready"
        widens = PERMISSIVENESS[it["state"]] > PERMISSIVENESS[acts]
        self.rev += 1
        self.words[machine] = MachineDirective(
            it["state"], it["fence"], it["op"], self.rev, acts if widens else ""
        )
        if widens:
            self.unsettled = self.rev
        return {"ok": True, "rev": self.rev}

    def _do_listed(self, it: dict) -> dict:
        """What one dispatcher's list says that narrows, or that ends what an older list said."""
        before = len(self.lists.conflicts)
        self.lists.take(it["rev"], it["entries"], it["by"])
        return {"ok": True, "index": self.index, "conflicts": self.lists.conflicts[before:]}

    def _do_zone(self, it: dict) -> dict:
        """By the leader on its witnesses' word, or by an operator through the leader."""
        return self.zones.apply(self.index, it, self.active.tree.get("zones", []) if self.active else [])

    def _do_zone_hold(self, it: dict) -> dict:
        return self.zones.apply_hold(self.index, it)

    def _do_fence(self, it: dict) -> dict:
        """By a dispatcher that has left a place: tasks of its own that may still run there."""
        return {**self.zones.apply_fence(it["place"], it["keys"], it["by"]), "index": self.index}

    def _do_settled(self, it: dict) -> dict:
        """By the leader: everybody holds the list up to this revision."""
        for word in self.words.values():
            if word.rev <= it["rev"]:
                word.before = ""
        if self.unsettled <= it["rev"]:
            self.unsettled = 0
        return {"ok": True}

    def _do_recovered(self, it: dict) -> dict:
        """An operator has had one voter go on alone: kept and shown for ever after."""
        self.recoveries.append({"by": it["by"], "why": it["why"], "at": it["at"], "index": self.index})
        return {"ok": True}

    def _note(self, version: SettingsVersion, came: str, why: str) -> None:
        self.history.append(
            {
                "number": version.number,
                "base": version.base,
                "came": came,
                "why": why,
                "by": version.by,
                "index": self.index,
            }
        )
        del self.history[:-HISTORY_MOST]

    # ---- the state as a whole --------------------------------------------------------------------------

    def state(self) -> str:
        """All of it, as JSON: what a snapshot holds."""
        return json.dumps(
            {
                "index": self.index,
                "members": {n: asdict(one) for n, one in self.members.items()},
                "active": asdict(self.active) if self.active else None,
                "prepared": asdict(self.prepared) if self.prepared else None,
                "prepared_at": self.prepared_at,
                "number": self.number,
                "trees": {str(n): tree for n, tree in self.trees.items()},
                "history": self.history,
                "words": {n: asdict(word) for n, word in self.words.items()},
                "rev": self.rev,
                "unsettled": self.unsettled,
                "recoveries": self.recoveries,
                "lists": asdict(self.lists),
                "zones": self.zones.to_tree(),
                "results": list(self.results.items()),
            },
            sort_keys=True,
            separators=(",", ":"),
        )

    def load(self, state: str) -> None:
        """Take what `state` gave. Raises ValueError, KeyError or TypeError for anything else."""
        told = json.loads(state)
        self.index, self.number, self.rev = told["index"], told["number"], told["rev"]
        self.members = {n: GroupMember(**one) for n, one in told["members"].items()}
        self.active = SettingsVersion(**told["active"]) if told["active"] else None
        self.prepared = SettingsVersion(**told["prepared"]) if told["prepared"] else None
        self.prepared_at, self.unsettled = told["prepared_at"], told["unsettled"]
        self.trees = {int(n): tree for n, tree in told["trees"].items()}
        self.history, self.recoveries = told["history"], told["recoveries"]
        self.results = dict(told["results"])  # pairs: their order says which are the oldest
        self.lists = DrainReports(**told["lists"])
        self.zones = (
            ZoneStates.from_tree(told["zones"]) if "zones" in told else ZoneStates()
        )  # of a version before them
        self.words = {n: MachineDirective(**word) for n, word in told["words"].items()}
        self._digest = ""

    @property
    def digest(self) -> str:
        """Two dispatchers at one index have the same, or something is wrong."""
        if not self._digest:
            self._digest = hashlib.blake2b(self.state().encode(), digest_size=8).hexdigest()
        return self._digest


def _error(code: str, text: str) -> dict:
    return {"error": code, "text": text}
