"""The server process: creates the fronts by the configuration, handles signals, and serves until shutdown.

Parts that only some configurations need (pull queue, cluster, standalone zones) are imported when they start,
so that a dispatcher of the platform starts fast and with little memory.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import random
import signal
import sys
import tempfile
import time
from typing import TYPE_CHECKING, Any

from weldhatch import config
from weldhatch.gateway import Gateway, ListObserver
from weldhatch.scheduling.policy import Policy

if TYPE_CHECKING:
    from weldhatch.cluster.front_controller import FrontController
    from weldhatch.pullqueue.control import Control
    from weldhatch.pullqueue.front import PullQueue
    from weldhatch.standalone_zones import StandaloneZones

RESTART_DELAY_S = 0.2  # for the answer to the call that applies the plan


def log(text: str) -> None:
    """Write one line to standard error, with the time."""
    print(f"{time.time():.3f} {text}", file=sys.stderr, flush=True)


class Process:
    """The fronts of this process, from their start to their graceful shutdown."""

    def __init__(self, pull_queue_path: str) -> None:
        """Start the fronts that the configuration enables; needs a running event loop.

        Raises:
            ConfigError: the configuration can't be used.
            OSError: an address can't be listened on.
        """
        tree = config.read_pull_queue_file(pull_queue_path) if os.path.exists(pull_queue_path) else {}
        pull_queue = config.pull_queue_config(tree) if tree else None
        self.stop = asyncio.Event()
        self.next_tree: dict[str, Any] | None = None  # the configuration to restart with
        self._gateway: Gateway | None = None
        self._pull_queue: PullQueue | None = None
        self._control: Control | None = None
        self._front_controller: FrontController | None = None
        self._handle_signals()
        if "PROXY_CONFIG" in os.environ or pull_queue is None or not pull_queue.enabled:
            self._start_gateway(pull_queue)
        if pull_queue is not None and pull_queue.enabled:
            self._start_pull_queue(tree, pull_queue)
        if pull_queue is not None and pull_queue.agreement is not None:
            self._join_cluster(tree, pull_queue)

    def _handle_signals(self) -> None:
        """Install the signal handlers before any front logs that it listens.

        A signal sent on that log line would otherwise end the process at once, and lose the requests that it
        has just accepted.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    def _start_gateway(self, pull_queue: config.PullQueueConfig | None) -> None:
        platform = config.platform_config(os.environ)
        observer: ListObserver | None = None
        standalone: StandaloneZones | None = None
        if pull_queue is not None and pull_queue.agreement is not None:
            from weldhatch.cluster.endpoint_list import LocalEndpointList

            observer = LocalEndpointList()
        elif pull_queue is not None and pull_queue.zones is not None:
            from weldhatch.standalone_zones import StandaloneZones

            observer = standalone = StandaloneZones(pull_queue.zones.times, log)
        self._gateway = Gateway(platform, log, observer, standalone)
        log(f"{platform.name} listens on {platform.listen[0]}:{platform.listen[1]}")

    def _start_pull_queue(self, tree: dict[str, Any], pull_queue: config.PullQueueConfig) -> None:
        from weldhatch.pullqueue.control import Control
        from weldhatch.pullqueue.front import PullQueue

        policy = Policy(pull_queue.settings, random.getrandbits(64))
        self._pull_queue = PullQueue(pull_queue, policy, log)
        log(f"pull queue listens on {pull_queue.listen[0]}:{pull_queue.listen[1]}")
        if pull_queue.control is not None:
            self._control = Control(tree, pull_queue.control, self._pull_queue, self.restart, log, time.time)

    def _join_cluster(self, tree: dict[str, Any], pull_queue: config.PullQueueConfig) -> None:
        from weldhatch.cluster.front_controller import FrontController

        assert pull_queue.agreement is not None
        front: Any = self._gateway if self._gateway is not None else self._pull_queue
        settings = tree["settings"]
        if self._gateway is not None:
            settings = config.read_json_file(os.environ["PROXY_CONFIG"])["settings"]
        zones = pull_queue.zones
        if zones is not None and zones.standalone:
            zones = None
        self._front_controller = FrontController(pull_queue.agreement, settings, front, log, time.time, zones)
        if self._control is not None:
            self._control.front_controller = self._front_controller

    def restart(self, tree: dict[str, Any]) -> None:
        """Shut down, then restart with this configuration tree of a pull queue's file."""
        self.next_tree = tree
        asyncio.get_running_loop().call_later(RESTART_DELAY_S, self.stop.set)

    def reload(self) -> None:
        """Reload the keys and the platform's file (SIGHUP). If one is unusable, log that and keep the old."""
        if self._pull_queue is not None:
            try:
                self._pull_queue.reload()
            except config.ConfigError as error:
                log(f"keys not taken over, the old ones stay: {error}")
            else:
                log("pull queue: keys read again; its settings are changed by plan and apply")
        if self._gateway is None:
            return
        try:
            self._gateway.reconfigure(config.platform_config(os.environ))
        except ValueError as error:  # a ConfigError, or an event under `known` that can't be read
            log(f"configuration not taken over, the old one stays: {error}")
        else:
            log("configuration read again")

    async def end(self) -> None:
        """Shut all fronts down gracefully, then leave the cluster: open requests still need its lease."""
        fronts = (self._gateway, self._pull_queue, self._control)
        await asyncio.gather(*(front.end() for front in fronts if front is not None))
        if self._front_controller is not None:
            await self._front_controller.end()


async def serve(pull_queue_path: str) -> dict[str, Any] | None:
    """Serve until shutdown; return the configuration to restart with if a plan requires that, else None."""
    process = Process(pull_queue_path)
    gc.collect()
    gc.freeze()
    await process.stop.wait()
    log("told to end")
    await process.end()
    log("ended")
    return process.next_tree


def run(pull_queue_path: str) -> None:
    """Serve; if a plan requires a restart, replace the process by one with the new configuration.

    Raises:
        ConfigError: the configuration can't be used.
        OSError: an address can't be listened on.
    """
    tree = asyncio.run(serve(pull_queue_path))
    if tree is not None:
        folder = tempfile.mkdtemp(prefix="weldhatch-")
        path = os.path.join(folder, "applied.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(tree, file)
        os.execv(sys.executable, [sys.executable, "-m", "weldhatch", "--pullqueue", path])
