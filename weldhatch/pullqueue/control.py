"""The control address of a running gateway: shows its configuration and applies plans."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from weldhatch import config
from weldhatch.pullqueue import reconfiguration
from weldhatch.pullqueue.control_listener import ControlServer
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.front import PullQueue
from weldhatch.pullqueue.http import Request
from weldhatch.pullqueue.operator_states import WordError, read_directive

if TYPE_CHECKING:  # its libraries are imported only if other sites are configured
    from weldhatch.sites.forwarding import SiteForwarder


class Refused(HttpError):
    """A refused directive, in the form of the node-control protocol."""

    def __init__(self, fault: WordError) -> None:
        """Create the answer to a directive that is refused with this error."""
        super().__init__(400 if fault.code == "FIELD" else 409, str(fault), fault.field)
        self._fault = fault

    def body(self) -> dict:
        """Return the JSON body of the answer."""
        error = {"code": self._fault.code, "message": str(self._fault)}
        return {"error": {**error, "fence": self._fault.fence} if self._fault.fence else error}


class GroupControl(Protocol):
    """The decisions of a group of gateways on directives and settings."""

    async def set_machine_state(self, machine: str, body: dict, /) -> dict:
        """Have the group decide an operator's directive for a machine; return the answer."""
        ...

    async def propose_and_wait(self, tree: dict, reason: str, /) -> int:
        """Propose settings and wait until they are in force; return their version."""


class GroupSettings(Protocol):
    """The agreed settings of a group, as known to this gateway."""

    @property
    def control_api(self) -> GroupControl:
        """The interface for decisions of the group."""
        ...

    @property
    def tree(self) -> dict:
        """The agreed settings."""
        ...


class Control(ControlServer):
    """The control address. Holds the applied configuration of the gateway."""

    def __init__(
        self,
        tree: dict,
        address: tuple[str, int],
        front: PullQueue,
        restart: Callable[[dict], None],
        log: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        """Listen on the address. Raises OSError.

        `tree`: the applied configuration. `restart` is called with a configuration that needs a restart.
        `clock`: Unix seconds.
        """
        self._tree, self._front, self._restart, self._clock = tree, front, restart, clock
        self.front_controller: GroupSettings | None = None  # set if the gateway is in a group
        super().__init__(address, log)

    async def _route(self, request: Request) -> tuple[dict, dict[str, str]]:
        match request.method, request.path:
            case "GET", "/v1/applied":
                self._use_agreed_settings()
                return {"tree": self._tree, "fingerprint": reconfiguration.fingerprint(self._tree)}, {}
            case "POST", "/v1/apply":
                return await self._apply_with_group(request.json()), {}
            case "GET", "/v1/machines":
                return {"machines": self._machines()}, {}
            case "GET", "/v1/sites":
                return self._forwarder().status(), {}
            case "POST", "/v1/sites":
                return self._sites_command(request.json()), {}
            case "PUT", path if path.startswith("/v1/machines/"):
                machine = path.removeprefix("/v1/machines/")
                if self.front_controller is not None:
                    return await self.front_controller.control_api.set_machine_state(
                        machine, request.json()
                    ), {}
                return self._set_machine_state(machine, request.json()), {}
        raise HttpError(404, "path: nothing is there", "path")

    def _use_agreed_settings(self) -> None:
        """Copy the agreed settings of the group, if there is one, into the applied configuration."""
        if self.front_controller is not None:
            self._tree = {**self._tree, "settings": self.front_controller.tree}

    async def _apply_with_group(self, plan: dict) -> dict:
        """Apply a plan. In a group, a change of settings is proposed to the group; other keys are local."""
        self._use_agreed_settings()
        target = plan.get("target")
        if (
            self.front_controller is None
            or not isinstance(target, dict)
            or plan.get("base") != reconfiguration.fingerprint(self._tree)
        ):
            return self._apply(plan)
        changes = reconfiguration.changes(self._tree, target)
        settings_changes = [change for change in changes if change["key"].startswith("settings.")]
        if not settings_changes:
            return self._apply(plan)
        if len(settings_changes) < len(changes):
            raise HttpError(
                409, "settings: they are the group's; plan them apart from the other keys", "settings"
            )
        try:
            config.pull_queue_config(target)
        except config.ConfigError as fault:
            raise HttpError(400, str(fault), str(fault).split(" ")[0]) from None
        version = await self.front_controller.control_api.propose_and_wait(
            target["settings"], "a plan of settings was applied"
        )
        self._tree = target
        return {"applied": len(settings_changes), "restarting": False, "version": version}

    def _apply(self, plan: dict) -> dict:
        """Apply a plan to this gateway, completely or not at all."""
        target = plan.get("target")
        if not isinstance(target, dict):
            raise HttpError(400, "target: a configuration is needed", "target")
        if plan.get("base") != reconfiguration.fingerprint(self._tree):
            raise HttpError(409, "base: the applied configuration has moved on; make a new plan", "base")
        try:
            new_config = config.pull_queue_config(target)
        except config.ConfigError as fault:
            raise HttpError(400, str(fault), str(fault).split(" ")[0]) from None
        if not new_config.enabled:
            raise HttpError(400, "enabled: a gateway is ended by SIGTERM, not by a plan", "enabled")
        changes = reconfiguration.changes(self._tree, target)
        try:
            if any(change["restart"] for change in changes):
                self._check_addresses(new_config)
                self._restart(target)
            else:
                self._front.reconfigure(new_config)
        except OSError as fault:
            raise HttpError(409, f"listen: {fault}; nothing was changed", "listen") from None
        self._tree = target
        self._log(f"applied a plan of {len(changes)} changes")
        return {"applied": len(changes), "restarting": any(change["restart"] for change in changes)}

    def _forwarder(self) -> SiteForwarder:
        if self._front.sites is None:
            raise HttpError(404, "sites: this gateway knows of no other site", "sites")
        return self._front.sites

    def _sites_command(self, tree: dict) -> dict:
        """Carry out an operator's command on the work shared with other sites: drain, or forget a site."""
        sites = self._forwarder()
        match tree:
            case {"draining": bool(draining)}:
                sites.draining = draining
                self._log(f"operator: {'takes nothing new' if draining else 'takes new work again'}")
                return {"draining": draining}
            case {"forget": str(site)} if site in sites.links:
                forgotten = sites.forget(site)
                self._log(f"operator: {forgotten} transfers to site {site} are over")
                return {"forgotten": forgotten}
            case {"forget": site}:
                raise HttpError(400, f"forget: no site is named {site!r}", "forget")
        raise HttpError(400, "draining: true or false, or forget: a site's name, is needed", "draining")

    def _machines(self) -> dict[str, dict]:
        """Return the machines that are known here or have an operator's directive."""
        known = self._front.bots.machines_json()
        directives = {
            name: {
                "state": directive.state,
                "fence": directive.fence,
                "op": directive.op,
                "since": directive.at,
            }
            for name, directive in self._front.operators.directives.items()
        }
        return {
            name: {"state": "ready", **known.get(name, {}), **directives.get(name, {})}
            for name in sorted(known.keys() | directives.keys())
        }

    def _set_machine_state(self, machine: str, tree: dict) -> dict:
        try:
            directive = read_directive(machine, tree, self._clock())
            self._front.set_directive(directive)
        except WordError as fault:
            raise Refused(fault) from None
        except OSError as fault:  # the directive is not on the disk, so it is not in force
            raise HttpError(503, f"states: {fault}") from None
        return {"machine": machine, "state": directive.state, "fence": directive.fence}

    def _check_addresses(self, new_config: config.PullQueueConfig) -> None:
        """Try to bind the new addresses, since a gateway that can't listen after a restart would be down.

        Raises OSError.
        """
        current = config.pull_queue_config(self._tree)
        for address, old_address in (
            (new_config.listen, current.listen),
            (new_config.control, current.control),
        ):
            if (
                address is not None
                and address not in (current.listen, current.control)
                and address != old_address
            ):
                with socket.socket() as trial:
                    trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    trial.bind(address)
