"""HTTP API for operators of the group: each process serves it at its own control address, on loopback.

Paths, and the names of keys in bodies and answers, are part of the interface and must not change.
"""

from __future__ import annotations

from collections.abc import Callable

from weldhatch import config
from weldhatch.cluster.calls import GroupCalls, author_of, reason_of
from weldhatch.cluster.node import ClusterNode, boot_clock
from weldhatch.cluster.version_calls import VersionCalls, tree_of
from weldhatch.coordination.commands import CommandKind, RequestKind
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.results import is_error
from weldhatch.pullqueue.control_listener import ControlServer
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Request
from weldhatch.pullqueue.operator_states import WordError, read_directive
from weldhatch.scheduling.types import Settings

ZONE_OPERATIONS = ("leave", "return", "hold", "release")
NO_HEADERS: dict[str, str] = {}


class ControlApi(ControlServer):
    """Parses and checks each call, then submits it to the group as a command."""

    def __init__(
        self,
        node: ClusterNode,
        read: Callable[[JsonObject], Settings],
        log: Callable[[str], None],
        unix_clock: Callable[[], float],
    ) -> None:
        """Listen at the control address of the node's configuration.

        `read` parses the settings of a version; its ConfigError names an unusable key. `unix_clock` returns
        Unix seconds; they serve only as a timestamp for operators.
        """
        self._node = node
        self._group = GroupCalls(node)
        self._versions = VersionCalls(self._group, read)
        self._unix_clock = unix_clock
        super().__init__(node.config.control, log)

    async def _route(self, request: Request) -> tuple[JsonObject, dict[str, str]]:
        if request.path.startswith("/v1/rules"):
            answer = await self._route_rules(request)
        elif request.path.startswith("/v1/machines"):
            answer = await self._route_machines(request)
        else:
            answer = await self._route_group(request)
        if answer is None:
            raise HttpError(404, "path: nothing is there", "path")
        return answer, NO_HEADERS

    async def _route_rules(self, request: Request) -> JsonObject | None:
        versions = self._versions
        match request.method, request.path:
            case "GET", "/v1/rules":
                return {**self._node.status(), "seen_by_leader": await self._group.leader_status()}
            case "GET", "/v1/rules/held":  # local status of this process: available without a leader too
                return self._node.status()
            case "GET", "/v1/rules/history":
                machine = self._group.state_machine
                return {"history": machine.versions.history, "recoveries": machine.recoveries}
            case "GET", path if path.startswith("/v1/rules/versions/"):
                return versions.version(path.rpartition("/")[2])
            case "POST", "/v1/rules/diff":
                return {"changes": versions.changes(tree_of(request.json()))}
            case "POST", "/v1/rules/propose":
                return await versions.propose(request.json())
            case "POST", "/v1/rules/drop":
                return await versions.drop(request.json())
            case "POST", "/v1/rules/recover":
                return self._recover(request.json())
        return None

    async def _route_machines(self, request: Request) -> JsonObject | None:
        match request.method, request.path:
            case "GET", "/v1/machines":
                return self._machines()
            case "PUT", path if path.startswith("/v1/machines/"):
                return await self.set_machine_state(path.removeprefix("/v1/machines/"), request.json())
        return None

    async def _route_group(self, request: Request) -> JsonObject | None:
        match request.method, request.path:
            case "GET", "/v1/zones":
                return await self._zones()
            case "POST", "/v1/zones":
                return await self._operate_zone(request.json())
            case "POST", "/v1/peers":
                return await self._change_peers(request.json())
        return None

    def _recover(self, body: JsonObject) -> JsonObject:
        result = self._node.recover(author_of(body), reason_of(body))
        if is_error(result):
            raise HttpError(409, result["text"], "recover")
        return result

    async def propose_and_wait(self, tree: JsonObject, reason: str) -> int:
        """Propose settings, wait until they are in force here, and return their version. Raises HttpError."""
        return await self._versions.propose_and_wait(tree, reason)

    # ---- zones -----------------------------------------------------------------------------------------

    async def _zones(self) -> JsonObject:
        """Return the replicated state of the zones, and the leader's status of them."""
        zones = self._group.state_machine.zones.to_tree()
        leader = await self._group.leader_status()
        return {
            **zones,
            "fenced": len(zones["fenced"]),
            "name": self._node.config.name,
            "footing": self._node.lease_holder.lease_status(boot_clock()).value,
            "seen_by_leader": leader.get("zones") if leader else None,
        }

    async def _operate_zone(self, body: JsonObject) -> JsonObject:
        operation = body.get("word")
        place = body.get("place")
        if operation not in ZONE_OPERATIONS:
            raise HttpError(400, f"word: leave, return, hold or release is needed, not {operation!r}", "word")
        if not isinstance(place, str) or not place:
            raise HttpError(400, "place: the name of a zone, or of a rack as ZONE/RACK, is needed", "place")
        command = {
            "do": RequestKind.OPERATE_ZONE,
            "word": operation,
            "place": place,
            "why": reason_of(body),
            "by": author_of(body),
            "despite": body.get("despite") is True,
            "at": self._unix_clock(),
        }
        return await self._group.decide(command)

    # ---- machines --------------------------------------------------------------------------------------

    def _machines(self) -> JsonObject:
        directives = self._group.state_machine.directives
        machines = {
            name: {
                "state": directive.state,
                "acts": directive.effective_state,
                "fence": directive.fence,
                "op": directive.operation,
                "rev": directive.revision,
            }
            for name, directive in directives.entries.items()
        }
        return {"machines": machines, "rev": directives.revision}

    async def set_machine_state(self, machine: str, body: JsonObject) -> JsonObject:
        """Submit an operator's directive for a machine, which binds every dispatcher. Raises HttpError."""
        try:
            directive = read_directive(machine, body, self._unix_clock())
        except WordError as error:
            raise HttpError(400, str(error), error.field) from None
        command = {
            "do": CommandKind.DIRECT_MACHINE,
            "machine": machine,
            "state": directive.state,
            "fence": directive.fence,
            "op": directive.op,
        }
        result = await self._group.decide(command)
        return {
            "machine": machine,
            "state": directive.state,
            "fence": directive.fence,
            "rev": result["rev"],
        }

    # ---- peers -----------------------------------------------------------------------------------------

    async def _change_peers(self, body: JsonObject) -> JsonObject:
        match body:
            case {"add": dict(added)} if added and all(isinstance(at, str) for at in added.values()):
                _check_addresses(added)
                command = {"do": RequestKind.CHANGE_VOTERS, "add": added}
            case {"remove": str(name)} if name:
                if name in self._node.status()["voters"]:
                    command = {"do": RequestKind.CHANGE_VOTERS, "remove": [name]}
                else:
                    command = {"do": CommandKind.LEAVE, "name": name}
            case {"hand": str(name)}:
                command = {"do": RequestKind.TRANSFER_LEADERSHIP, "to": name}
            case _:
                raise HttpError(400, "add: a name and its address, remove or hand: a name, is needed", "add")
        return await self._group.decide(command)


def _check_addresses(added: dict[str, str]) -> None:
    for name, address in added.items():
        try:
            config.parse_endpoint(f"add.{name}", address)
        except config.ConfigError as error:
            raise HttpError(400, str(error), "add") from None
