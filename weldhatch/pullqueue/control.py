"""The control address of a running gateway: what is applied, and the carrying out of plans."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from weldhatch import config
from weldhatch.pullqueue import reconfiguration
from weldhatch.pullqueue.control_listener import Counter
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.front import PullQueue
from weldhatch.pullqueue.http import Request
from weldhatch.pullqueue.operator_states import WordError, read_word

if TYPE_CHECKING:  # its libraries are imported only where there are sites
    from weldhatch.sites.forwarding import SiteForwarder


class Refused(HttpError):
    """A word that is not taken, as the node-control protocol says it."""

    def __init__(self, fault: WordError) -> None:
        super().__init__(400 if fault.code == "FIELD" else 409, str(fault), fault.field)
        self._fault = fault

    def body(self) -> dict:
        error = {"code": self._fault.code, "message": str(self._fault)}
        return {"error": {**error, "fence": self._fault.fence} if self._fault.fence else error}


class GroupControl(Protocol):
    """Where words and versions of a group of gateways are decided."""

    async def set_machine_state(self, machine: str, body: dict, /) -> dict: ...

    async def propose_and_wait(self, tree: dict, reason: str, /) -> int:
        """Propose settings and wait until they are in force; their version."""


class GroupSettings(Protocol):
    """What a group has agreed on, as this gateway holds it."""

    @property
    def control_api(self) -> GroupControl: ...

    @property
    def tree(self) -> dict: ...


class Control(Counter):
    """Holds the applied configuration. `restart` is called with a tree that only a new start can apply."""

    def __init__(
        self,
        tree: dict,
        address: tuple[str, int],
        front: PullQueue,
        restart: Callable[[dict], None],
        log: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self._tree, self._front, self._restart, self._clock = tree, front, restart, clock
        self.front_controller: GroupSettings | None = None  # where a group of gateways agrees on its rules
        super().__init__(address, log)

    async def _route(self, request: Request) -> tuple[dict, dict[str, str]]:
        match request.method, request.path:
            case "GET", "/v1/applied":
                self._agreed()
                return {"tree": self._tree, "fingerprint": reconfiguration.fingerprint(self._tree)}, {}
            case "POST", "/v1/apply":
                return await self._apply_in_group(request.json()), {}
            case "GET", "/v1/machines":
                return {"machines": self._machines()}, {}
            case "GET", "/v1/sites":
                return self._sites().status(), {}
            case "POST", "/v1/sites":
                return self._sites_word(request.json()), {}
            case "PUT", path if path.startswith("/v1/machines/"):
                machine = path.removeprefix("/v1/machines/")
                if self.front_controller is not None:
                    return await self.front_controller.control_api.set_machine_state(
                        machine, request.json()
                    ), {}
                return self._operate(machine, request.json()), {}
        raise HttpError(404, "path: nothing is there", "path")

    def _agreed(self) -> None:
        """In a group, the settings are those that the group has agreed on."""
        if self.front_controller is not None:
            self._tree = {**self._tree, "settings": self.front_controller.tree}

    async def _apply_in_group(self, plan: dict) -> dict:
        """Settings are the group's: a plan that changes them becomes a proposal. The rest is ours alone."""
        self._agreed()
        target = plan.get("target")
        if (
            self.front_controller is None
            or not isinstance(target, dict)
            or plan.get("base") != reconfiguration.fingerprint(self._tree)
        ):
            return self._apply(plan)
        todo = reconfiguration.changes(self._tree, target)
        agreed = [change for change in todo if change["key"].startswith("settings.")]
        if not agreed:
            return self._apply(plan)
        if len(agreed) < len(todo):
            raise HttpError(
                409, "settings: they are the group's; plan them apart from the other keys", "settings"
            )
        try:
            config.pull_queue_config(target)
        except config.ConfigError as fault:
            raise HttpError(400, str(fault), str(fault).split(" ")[0]) from None
        number = await self.front_controller.control_api.propose_and_wait(
            target["settings"], "a plan of settings was applied"
        )
        self._tree = target
        return {"applied": len(agreed), "restarting": False, "version": number}

    def _apply(self, plan: dict) -> dict:
        """One plan, wholly or not at all."""
        target = plan.get("target")
        if not isinstance(target, dict):
            raise HttpError(400, "target: a configuration is needed", "target")
        if plan.get("base") != reconfiguration.fingerprint(self._tree):
            raise HttpError(409, "base: the applied configuration has moved on; make a new plan", "base")
        try:
            told = config.pull_queue_config(target)
        except config.ConfigError as fault:
            raise HttpError(400, str(fault), str(fault).split(" ")[0]) from None
        if not told.enabled:
            raise HttpError(400, "enabled: a gateway is ended by SIGTERM, not by a plan", "enabled")
        todo = reconfiguration.changes(self._tree, target)
        try:
            if any(change["restart"] for change in todo):
                self._try_addresses(told)
                self._restart(target)
            else:
                self._front.reconfigure(told)
        except OSError as fault:
            raise HttpError(409, f"listen: {fault}; nothing was changed", "listen") from None
        self._tree = target
        self._log(f"applied a plan of {len(todo)} changes")
        return {"applied": len(todo), "restarting": any(change["restart"] for change in todo)}

    def _sites(self) -> SiteForwarder:
        if self._front.sites is None:
            raise HttpError(404, "sites: this gateway knows of no other site", "sites")
        return self._front.sites

    def _sites_word(self, tree: dict) -> dict:
        """An operator's word on what crosses: draining, or a site to be forgotten."""
        sites = self._sites()
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
        """All machines that are known here, or that an operator has said something of."""
        known = self._front.bots.machines_json()
        words = {
            name: {"state": word.state, "fence": word.fence, "op": word.op, "since": word.at}
            for name, word in self._front.operators.words.items()
        }
        return {
            name: {"state": "ready", **known.get(name, {}), **words.get(name, {})}
            for name in sorted(known.keys() | words.keys())
        }

    def _operate(self, machine: str, tree: dict) -> dict:
        try:
            word = read_word(machine, tree, self._clock())
            self._front.operate(word)
        except WordError as fault:
            raise Refused(fault) from None
        except OSError as fault:  # it is not on the disk, so it is not in force
            raise HttpError(503, f"states: {fault}") from None
        return {"machine": machine, "state": word.state, "fence": word.fence}

    def _try_addresses(self, told: config.PullQueueConfig) -> None:
        """A restart that could not listen again would leave nothing running: it is tried first."""
        now = config.pull_queue_config(self._tree)
        for address, held in ((told.listen, now.listen), (told.control, now.control)):
            if address is not None and address not in (now.listen, now.control) and address != held:
                with socket.socket() as trial:
                    trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    trial.bind(address)
