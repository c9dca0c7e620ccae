"""The second front as a whole: routes, connections, and its own core on the same policy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream

from weldhatch.config import ConfigError, PullQueueFile
from weldhatch.core.driver import Driver
from weldhatch.core.life import Core
from weldhatch.core.ports import Decider
from weldhatch.net.budget import Budget, Share
from weldhatch.net.connection import Connection
from weldhatch.net.listener import Listener
from weldhatch.pullqueue.bots import Bots
from weldhatch.pullqueue.http import HttpError, HttpLink, Request
from weldhatch.pullqueue.leases import Ledger
from weldhatch.pullqueue.operators import Operators, Word
from weldhatch.pullqueue.tasks import Tasks
from weldhatch.store.log import Log

PREFIX = "/v1test2/"
FINISH_S = 0.5


class NoDirectory:
    """Build machines make themselves known; there is no list to ask for."""

    def subscribe(self, on: bool) -> None:
        pass


class PullQueue:
    """Listens, routes, and ends in an orderly way. Owns its connections."""

    def __init__(self, told: PullQueueFile, policy: Decider, log: Callable[[str], None]) -> None:
        self._log, self._told, settings = log, told, told.settings
        self.driver = Driver(policy, log)
        ledger = self._ledger = Ledger(told.remember, told.ledger)
        ledger.open()
        self.operators = Operators()
        self._words = self._open_words(told.states)
        self.bots = Bots(settings, told.timing, ledger, self.operators, self.driver.post, log)
        self.driver.site, self.driver.directory = self.bots, NoDirectory()
        self.core = Core(self.driver, self.bots, log)
        self.tasks = Tasks(settings, self.core, self.bots, ledger, log)
        self._share = Share(Budget(told.sockets), told.connections)
        self._links: dict[Connection, asyncio.Task] = {}
        self.listener = Listener(told.listen, self._share, self._taken)

    def _open_words(self, path: str) -> Log | None:
        """Operators' words outlast the gateway where `states` names a file for them."""
        if not path:
            return None
        try:
            words = Log(path)
            if words.torn is not None:
                self._log(f"states: {path}: the last {words.torn.length} bytes were no whole record: dropped")
            self.operators.restore(words.records())
            if words.count > 2 * len(self.operators.words) + 100:
                words.rewrite(word.encode() for word in self.operators.words.values())
        except (OSError, ValueError) as fault:
            raise ConfigError(f"states: {fault}") from None
        return words

    def operate(self, word: Word) -> None:
        """Take an operator's word: on the disk first, then in force. Raises WordError, or OSError for the
        disk."""
        if self.operators.check(word):
            if self._words is not None:
                self._words.append([word.encode()])
            self.operators.take(word)
            self._log(f"operator: {word.machine} {word.state}, fence {word.fence}")
            self.bots.operated(word.machine)

    def _taken(self, stream: IOStream, host: str) -> None:
        connection = Connection(stream, self._share, f"pull queue client {host}", self._log)
        link = HttpLink(connection, self._route, self._log)
        task = self._links[connection] = asyncio.get_running_loop().create_task(link.run())
        task.add_done_callback(lambda _: self._links.pop(connection, None))

    async def _route(self, request: Request) -> tuple[dict, dict[str, str]]:
        path = request.path.removeprefix(PREFIX)
        if path == request.path:
            raise HttpError(404, f"path: it begins with {PREFIX}", "path")
        match request.method, path.split("/"):
            case "POST", ["botSessions"]:
                return await self.bots.create(request), {}
            case "PATCH", ["botSessions", _]:
                return await self.bots.update(path, request), {}
            case "POST", ["tasks"]:
                return await self.tasks.submit(request)
            case "GET", ["tasks", _]:
                return await self.tasks.get(path, request), {}
            case "DELETE", ["tasks", _]:
                return self.tasks.delete(path), {}
            case _, ["botSessions" | "tasks"] | ["botSessions" | "tasks", _]:
                raise HttpError(405, f"method: {request.method} is not known here", "method")
        raise HttpError(404, "path: nothing is there", "path")

    async def end(self) -> None:
        """No more connections; whatever was submitted gets its answer before the end."""
        self.listener.close()
        while self.core.unanswered:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)  # the answers' own turns of the loop
        await asyncio.gather(*(connection.finish(FINISH_S) for connection in list(self._links)))
        self.abort()

    def abort(self) -> None:
        """Give back every socket at once."""
        self.listener.close()
        for connection in list(self._links):
            connection.close()
        self.bots.close()
        self._ledger.close()
        if self._words is not None:
            self._words.close()

    def reconfigure(self, told: PullQueueFile) -> None:
        """Take over all that can change while it runs. What can fail comes first: wholly or not at all."""
        listener = self.listener
        if told.listen != self._told.listen:
            listener = Listener(told.listen, self._share, self._taken)
            self.listener.close()
        self.listener, self._told = listener, told
        self.bots.timing, self._ledger.remember, self._share.most = (
            told.timing, told.remember, told.connections)
