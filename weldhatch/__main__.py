"""`run`: wires the parts together, heeds signals, and serves until it is told to end."""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import random
import signal
import sys
import time
from collections.abc import Callable

from weldhatch import config
from weldhatch.core.driver import Driver
from weldhatch.core.life import Core
from weldhatch.net.budget import Budget, Share
from weldhatch.net.listener import Listener
from weldhatch.platform.bus import Bus
from weldhatch.platform.fleet import Fleet
from weldhatch.platform.owners import Owners
from weldhatch.platform.servers import Servers
from weldhatch.policy import Policy
from weldhatch.pullqueue.front import PullQueue

LISTEN_ON_S = 0.7  # after SIGTERM requests keep coming for so long, and are served
FLUSH_S = 0.5


def log(text: str) -> None:
    print(f"{time.time():.3f} {text}", file=sys.stderr, flush=True)


class Gateway:
    """The platform's front on the core, from the first byte to the last answer."""

    def __init__(self, told: config.Platform, log: Callable[[str], None]) -> None:
        settings = told.settings
        budget = self.budget = Budget(told.sockets)
        self.driver = Driver(Policy(settings, told.seed), log)
        self.servers = Servers(settings, Share(budget, budget.most), told.dial_s, told.probe_s, log)
        self.fleet = Fleet(settings, self.servers.changed, log)
        self.bus = Bus(told.bus, Share(budget, 2), lambda: self.fleet.offset, self._told, log)
        self.driver.site, self.driver.directory = self.servers, self.bus
        self.core = Core(self.driver, self.servers, log)
        for event in told.known:
            self._told(event)
        # Guards against a module that does not ask: its settings may say that changes come by
        # themselves, and here they come only to those who read the bus.
        self.bus.subscribe(True)
        # Owners keep at most a third of the descriptors; whatever they do, some are left for the servers.
        share = Share(budget, min(told.sockets // 2, budget.most - 8))
        self.owners = Owners(settings, self.core, share, log)
        self.listener = Listener(told.listen, share, self.owners.taken, self.owners.close_idle)

    def _told(self, event: dict) -> None:
        if changed := self.fleet.take(event):
            self.driver.post(changed)

    async def end(self) -> None:
        """A planned end: whatever was taken is answered, and what still comes is served for its span."""
        await asyncio.sleep(LISTEN_ON_S)
        self.listener.close()
        while self.core.unanswered:
            await asyncio.sleep(0.01)
        await self.owners.finish_all(FLUSH_S)
        self.abort()

    def abort(self) -> None:
        """Give back every socket at once."""
        self.listener.close()
        self.owners.close()
        self.bus.close()
        self.servers.close()


async def serve(pull_file: str) -> None:
    """The platform's front where its environment is there, and the pull queue where its file says so."""
    pull = config.pull_queue(config.toml_file(pull_file)) if os.path.exists(pull_file) else None
    alone = pull is not None and pull.enabled and "PROXY_CONFIG" not in os.environ
    told = None if alone else config.platform(os.environ)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    fronts = []
    if told is not None:
        fronts.append(Gateway(told, log))
        log(f"{told.name} listens on {told.listen[0]}:{told.listen[1]}")
    if pull is not None and pull.enabled:
        fronts.append(PullQueue(pull, Policy(pull.settings, random.getrandbits(64)), log))
        log(f"pull queue listens on {pull.listen[0]}:{pull.listen[1]}")
    gc.collect()
    gc.freeze()
    await stop.wait()
    log("told to end")
    await asyncio.gather(*(front.end() for front in fronts))
    log("ended")


def main() -> int:
    parser = argparse.ArgumentParser(prog="weldhatch", description="A dispatcher for long-lived tasks.")
    parser.add_argument("--pullqueue", metavar="FILE", default="deploy/pullqueue.toml",
                        help="the file of the pull queue (default: %(default)s)")
    options = parser.parse_args()
    try:
        asyncio.run(serve(options.pullqueue))
    except config.ConfigError as fault:
        print(f"weldhatch: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
