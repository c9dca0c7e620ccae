"""Operators' words on the group at one of its processes: a control address of its own, on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from weldhatch import config
from weldhatch.cluster.node import ClusterNode, GroupUnreachableError, boot_clock
from weldhatch.coordination import compatibility
from weldhatch.pullqueue.control_listener import Counter
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Request
from weldhatch.pullqueue.operator_states import WordError, read_word

WHY_MOST = 500
ACTIVE_S = 20.0  # a plan that has become a proposal is waited for so long
LOOK_S = 0.02


class ControlApi(Counter):
    """Reads what is asked, checks it, has it decided. `clock`: Unix seconds, for people to read."""

    def __init__(
        self,
        agreement: ClusterNode,
        read: Callable[[dict], object],
        log: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        """`read`: a version's settings; ConfigError names the key of those that can't be used."""
        self.agreement, self._read, self._clock = agreement, read, clock
        super().__init__(agreement.told.control, log)

    async def _route(self, request: Request) -> tuple[dict, dict[str, str]]:
        group = self.agreement.lease_holder.state_machine
        match request.method, request.path:
            case "GET", "/v1/rules":
                return {**self.agreement.status(), "seen_by_leader": await self._leader_status()}, {}
            case "GET", "/v1/rules/held":  # of this process alone: answers where no leader does
                return self.agreement.status(), {}
            case "GET", "/v1/rules/history":
                return {"history": group.history, "recoveries": group.recoveries}, {}
            case "GET", path if path.startswith("/v1/rules/versions/"):
                return self._version(path.rpartition("/")[2]), {}
            case "POST", "/v1/rules/diff":
                return {"changes": self.changes(_tree(request.json()))}, {}
            case "POST", "/v1/rules/propose":
                return await self.propose(request.json()), {}
            case "POST", "/v1/rules/drop":
                return await self._drop(request.json()), {}
            case "POST", "/v1/rules/recover":
                return self._recover(request.json()), {}
            case "GET", "/v1/machines":
                return {
                    "machines": {
                        name: {
                            "state": word.state,
                            "acts": word.acts,
                            "fence": word.fence,
                            "op": word.op,
                            "rev": word.rev,
                        }
                        for name, word in group.words.items()
                    },
                    "rev": group.rev,
                }, {}
            case "PUT", path if path.startswith("/v1/machines/"):
                return await self.set_machine_state(path.removeprefix("/v1/machines/"), request.json()), {}
            case "GET", "/v1/zones":
                return await self._zones(), {}
            case "POST", "/v1/zones":
                return await self._zone_word(request.json()), {}
            case "POST", "/v1/peers":
                return await self._peers(request.json()), {}
        raise HttpError(404, "path: nothing is there", "path")

    async def _decide(self, command: dict) -> dict:
        try:
            result = await self.agreement.command(command)
        except GroupUnreachableError as fault:
            raise HttpError(503, f"group: {fault}", "group", 1.0) from None
        if "error" in result:
            raise HttpError(409, self._moved(result), result["error"])
        return result

    async def _leader_status(self) -> dict | None:
        try:
            return await self.agreement.command({"do": "status"}, 1.0)
        except GroupUnreachableError:
            return None

    # ---- versions --------------------------------------------------------------------------------------

    def changes(self, tree: dict) -> list[dict]:
        """What a version would change, each key with how the two may overlap. Raises HttpError 400."""
        active = self.agreement.lease_holder.state_machine.active
        try:
            new = self._read(tree)
            old = self._read(active.tree) if active is not None else new
            return [
                {"key": one.key, "from": one.old, "to": one.new, "overlap": one.overlap.value}
                for one in compatibility.find_changes(old, new)
            ]
        except ValueError as fault:
            raise HttpError(400, str(fault), str(fault).partition(":")[0]) from None

    async def propose(self, told: dict) -> dict:
        """Propose a version. Its `base` has to be the one in force: else the answer says what moved."""
        tree, base = _tree(told), told.get("base")
        despite = told.get("despite", [])
        if isinstance(base, bool) or not isinstance(base, int):
            raise HttpError(400, f"base: the number of a version is needed, not {base!r}", "base")
        if not isinstance(despite, list) or not all(isinstance(name, str) for name in despite):
            raise HttpError(400, "despite: a list of names is needed", "despite")
        unknown = set(despite) - self.agreement.lease_holder.state_machine.members.keys()
        if unknown:
            raise HttpError(400, f"despite: no dispatcher is named {sorted(unknown)[0]!r}", "despite")
        found = self.changes(tree)
        result = await self._decide(
            {
                "do": "propose",
                "base": base,
                "tree": tree,
                "why": _why(told),
                "by": _by(told),
                "despite": despite,
            }
        )
        return {"number": result["number"], "changes": found}

    def _moved(self, result: dict) -> str:
        """The loser of two proposals hears what moved, key by key."""
        text = result["text"]
        if result.get("then") and result.get("now"):
            try:
                moved = compatibility.find_changes(self._read(result["then"]), self._read(result["now"]))
            except ValueError:
                return text
            text += "".join(f"\n  {one.key}: {one.old!r} then, {one.new!r} now" for one in moved)
        return text

    async def propose_and_wait(self, tree: dict, why: str) -> int:
        """Propose and wait until it is in force here; its number. For plans of settings."""
        group = self.agreement.lease_holder.state_machine
        told = await self.propose(
            {
                "tree": tree,
                "base": group.active.number if group.active else 0,
                "why": why,
                "by": self.agreement.told.name,
            }
        )
        number, end = told["number"], asyncio.get_running_loop().time() + ACTIVE_S
        while asyncio.get_running_loop().time() < end:
            if group.active is not None and group.active.number >= number:
                return number
            for one in group.history:
                if one["number"] == number and one["came"] == "dropped":
                    raise HttpError(409, f"version {number} was dropped: {one['why']}", "settings")
            await asyncio.sleep(LOOK_S)
        raise HttpError(
            504, f"version {number} is not in force yet: see `weldhatch rules status`", "settings"
        )

    def _version(self, text: str) -> dict:
        trees = self.agreement.lease_holder.state_machine.trees
        if not text.isdigit() or int(text) not in trees:
            raise HttpError(404, f"version: the settings of version {text!r} are not kept", "version")
        return {"number": int(text), "tree": trees[int(text)]}

    async def _drop(self, told: dict) -> dict:
        if not isinstance(told.get("number"), int):
            raise HttpError(400, "number: the number of a version is needed", "number")
        return await self._decide({"do": "drop", "number": told["number"], "why": _why(told)})

    def _recover(self, told: dict) -> dict:
        result = self.agreement.recover(_by(told), _why(told))
        if "error" in result:
            raise HttpError(409, result["text"], "recover")
        return result

    # ---- zones -----------------------------------------------------------------------------------------

    async def _zones(self) -> dict:
        """What was agreed on zones, and what the leader knows of them."""
        zones = self.agreement.lease_holder.state_machine.zones.to_tree()
        leader = await self._leader_status()
        return {
            **zones,
            "fenced": len(zones["fenced"]),
            "name": self.agreement.told.name,
            "footing": self.agreement.lease_holder.lease_status(boot_clock()).value,
            "seen_by_leader": leader.get("zones") if leader else None,
        }

    async def _zone_word(self, told: dict) -> dict:
        word, place = told.get("word"), told.get("place")
        if word not in ("leave", "return", "hold", "release"):
            raise HttpError(400, f"word: leave, return, hold or release is needed, not {word!r}", "word")
        if not isinstance(place, str) or not place:
            raise HttpError(400, "place: the name of a zone, or of a rack as ZONE/RACK, is needed", "place")
        return await self._decide(
            {
                "do": "zone_word",
                "word": word,
                "place": place,
                "why": _why(told),
                "by": _by(told),
                "despite": told.get("despite") is True,
                "at": self._clock(),
            }
        )

    # ---- machines and peers ----------------------------------------------------------------------------

    async def set_machine_state(self, machine: str, told: dict) -> dict:
        """An operator's word on a machine, for every dispatcher."""
        try:
            word = read_word(machine, told, self._clock())
        except WordError as fault:
            raise HttpError(400, str(fault), fault.field) from None
        result = await self._decide(
            {"do": "word", "machine": machine, "state": word.state, "fence": word.fence, "op": word.op}
        )
        return {"machine": machine, "state": word.state, "fence": word.fence, "rev": result["rev"]}

    async def _peers(self, told: dict) -> dict:
        match told:
            case {"add": dict(add)} if add and all(isinstance(at, str) for at in add.values()):
                for name, address in add.items():
                    try:
                        config.endpoint(f"add.{name}", address)
                    except config.ConfigError as fault:
                        raise HttpError(400, str(fault), "add") from None
                return await self._decide({"do": "voters", "add": add})
            case {"remove": str(name)} if name:
                if name not in self.agreement.status()["voters"]:
                    return await self._decide({"do": "leave", "name": name})
                return await self._decide({"do": "voters", "remove": [name]})
            case {"hand": str(name)}:
                return await self._decide({"do": "hand", "to": name})
        raise HttpError(400, "add: a name and its address, remove or hand: a name, is needed", "add")


def _tree(told: dict) -> dict:
    if not isinstance(told.get("tree"), dict):
        raise HttpError(400, "tree: settings are needed", "tree")
    return told["tree"]


def _why(told: dict) -> str:
    why = told.get("why", "")
    if not isinstance(why, str) or not 0 < len(why) <= WHY_MOST:
        raise HttpError(400, f"why: a text of 1 to {WHY_MOST} characters is needed", "why")
    return why


def _by(told: dict) -> str:
    by = told.get("by", "")
    return by if isinstance(by, str) else ""
