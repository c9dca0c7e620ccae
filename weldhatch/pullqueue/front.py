"""The second front as a whole: routes, connections, and its own core on the same policy."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random

from tornado.iostream import IOStream

from weldhatch.config import ConfigError, PullQueueConfig
from weldhatch.core.policy_driver import Driver
from weldhatch.core.ports import Rules, SchedulingPolicy
from weldhatch.core.request_lifecycle import Core
from weldhatch.net.connection import Connection
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.net.listener import Listener
from weldhatch.pullqueue.bot_sessions import BotSessions
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Events, HttpLink, Request, encode_error
from weldhatch.pullqueue.leases import KeyLedger
from weldhatch.pullqueue.monotonic_unix_time import steady
from weldhatch.pullqueue.operations import Operations
from weldhatch.pullqueue.operator_states import Operators, Word
from weldhatch.pullqueue.quotas import CallQuotas
from weldhatch.pullqueue.security import Security
from weldhatch.pullqueue.storage import NoStorage, QueueStorage
from weldhatch.pullqueue.tasks import Tasks
from weldhatch.scheduling.types import Settings
from weldhatch.store.log import Log

PREFIX = "/v1test2/"
FINISH_S = 0.5
WATCH_S = 0.5
HALF_S = 10.0  # for the rest of a request that has begun


class NoDirectory:
    """Build machines make themselves known; there is no list to ask for."""

    def subscribe(self, on: bool) -> None:
        pass


class PullQueue:
    """Listens, routes, and ends in an orderly way. Owns its connections."""

    def __init__(self, told: PullQueueConfig, policy: SchedulingPolicy, log: Callable[[str], None]) -> None:
        self._log, self._told, settings = log, told, told.settings
        self.settings = settings  # those that are in force
        self.endpoint_list = None  # machines make themselves known here
        self.driver = Driver(policy, log)
        self.book = QueueStorage(told.store, time.time(), log) if told.store else NoStorage(time.time_ns())
        ledger = self._ledger = KeyLedger(told.remember, "" if told.store else told.ledger)
        ledger.open()
        self.operators = Operators()
        self._words = self._open_words(told.states)
        self.bots = BotSessions(
            settings, told.timing, ledger, self.operators, self.book, self.driver.post, log, steady()
        )
        self.driver.site = self.bots.leases
        self.driver.directory = NoDirectory()
        self.core = Core(self.driver, self.bots.leases, log)
        self.sites = self._sites_book = self._door = None
        if told.sites is not None:
            from weldhatch.pullqueue import remote_sites  # its codec is imported only where there are sites

            self.sites, self._sites_book, self._door = remote_sites.build(
                told, settings, self.driver, self.core, ledger, self.book, Random(told.listen[1]), log
            )
        self.tasks = Tasks(
            settings,
            self.sites or self.core,
            self.bots,
            ledger,
            self.book,
            told.queue,
            Random(told.listen[1]),
            log,
        )
        self.operations = Operations(self.tasks)
        if told.store:
            out, anew = self.tasks.restore()
            epoch = self.book.epoch_name
            log(f"store: epoch {epoch}, {out} leases go on, {anew} submissions are asked for anew")
        self._share = DescriptorShare(DescriptorBudget(told.sockets), told.connections)
        self._links: dict[Connection, HttpLink] = {}
        self._serving: set[asyncio.Task] = set()
        self.security = Security(told.security)
        self._quotas = CallQuotas(told.security.calls)
        self.listener = Listener(told.listen, self._share, self._taken)
        self._watching = asyncio.get_running_loop().create_task(self._watch())

    def _open_words(self, path: str) -> Log | None:
        """Operators' words outlast the gateway where `states` names a file for them."""
        if not path:
            return None
        try:
            words = Log(path)
            if words.torn_tail is not None:
                self._log(
                    f"states: {path}: the last {words.torn_tail.length} bytes were no whole record: dropped"
                )
            self.operators.restore(words.recovered_records())
            if words.count > 2 * len(self.operators.words) + 100:
                words.rewrite(word.encode() for word in self.operators.words.values())
        except (OSError, ValueError) as fault:
            raise ConfigError(f"states: {fault}") from None
        return words

    def apply_rules(self, settings: Settings, rules: Rules) -> None:
        """Decide by settings that a group of gateways has agreed on, as far as `rules` lets anything
        start."""
        self.settings = settings
        self.core.rules = rules
        self.driver.reconfigure(settings)
        self.bots.reconfigure(settings, rules)
        self.tasks.rule(settings)
        if self.sites is not None:
            self.sites.reconfigure(settings)

    def operate(self, word: Word) -> None:
        """Take an operator's word: on the disk first, then in force. Raises WordError, or OSError for the
        disk."""
        if self.operators.check(word):
            if self._words is not None:
                self._words.append([word.encode()])
            self.operators.take(word)
            self._log(f"operator: {word.machine} {word.state}, fence {word.fence}")
            self.bots.apply_operator_state(word.machine)

    def name_of(self, machine: int) -> str:
        return self.bots.name_of(machine)

    def on_connection_lost(self, callback: Callable[[int], None]) -> None:
        """Machines come by themselves: none has a connection of its own that could end."""

    def apply_directive(self, machine: str, state: str, fence: int, op: str) -> None:
        """What a group of gateways acts on for a machine, by its operators' words."""
        last = self.operators.words.get(machine)
        if last is None or (last.state, last.fence) != (state, fence):
            self.operators.take(Word(machine, state, fence, op, time.time()))
            self.bots.apply_operator_state(machine)

    def _taken(self, stream: IOStream, host: str) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(stream, host))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(self, stream: IOStream, host: str) -> None:
        """One client's connection, from its handshake to its end."""
        try:
            stream, certificate = await self.security.accept_tls(stream)
        except OSError as fault:
            self._log(f"pull queue client {host}: closed: {fault}")
            self._share.give_back()
            return
        connection = Connection(stream, self._share, f"pull queue client {host}", self._log)
        link = self._links[connection] = HttpLink(connection, self._route, self._log, host, certificate)
        try:
            await link.run()
        finally:
            self._links.pop(connection, None)

    async def _watch(self) -> None:
        """Guards descriptors against clients that connect and say nothing, or stop in the middle."""
        while True:
            await asyncio.sleep(WATCH_S)
            now = time.monotonic()
            for connection, link in list(self._links.items()):
                if not link.idle:
                    continue
                if link.incomplete_since and now - link.incomplete_since > HALF_S:
                    self._log(f"{connection.name}: closed: the rest of a request did not come")
                    connection.send(
                        encode_error(HttpError(408, "the rest of the request did not come", last=True))
                    )
                    await connection.finish(0.1)
                elif now - max(connection.last_received, link.answered) > self._told.idle:
                    connection.close()

    async def _route(self, request: Request) -> tuple[dict, dict[str, str]] | Events:
        path = request.path.removeprefix(PREFIX)
        if path == request.path:
            raise HttpError(404, f"path: it begins with {PREFIX}", "path")
        head, _, rest = path.partition("/")
        name, colon, verb = rest.partition(":")
        if not self.security.asks:
            return await self._called(request, path, head, rest, name, colon, verb)
        request.who = self.security.who(request, head.partition(":")[0])
        caller = f"{request.who.role} {request.who.tenant} {request.who.name}"
        if not self._quotas.try_acquire(caller):
            raise HttpError(
                429,
                f"more than {self._quotas.most_per_caller} calls of one caller at a time",
                "authorization",
                1.0,
            )
        try:
            return await self._called(request, path, head, rest, name, colon, verb)
        finally:
            self._quotas.release(caller)

    async def _called(
        self, request: Request, path: str, head: str, rest: str, name: str, colon: str, verb: str
    ) -> tuple[dict, dict[str, str]] | Events:
        match request.method, head, bool(rest), verb:
            case "POST", "botSessions", False, _:
                return await self.bots.create(request), {}
            case "PATCH", "botSessions", True, _:
                return await self.bots.update(path, request), {}
            case "POST", "tasks", False, _:
                return await self.tasks.submit(request)
            case "GET", "tasks", True, _:
                return await self.tasks.get(path, request), {}
            case "DELETE", "tasks", True, _:
                return self.tasks.delete(path, request.who), {}
            case "POST", "operations:batchSubmit", _, _:
                return await self.operations.batch_submit(request), {}
            case "POST", "operations:batchCancel", _, _:
                return self.operations.batch_cancel(request), {}
            case "POST", "operations", False, _:
                return await self.operations.submit(request), {}
            case "GET", "operations", False, _:
                return self.operations.list(request), {}
            case "GET", "operations", True, "watch":
                return self.operations.watch(f"operations/{name}", request)
            case "GET", "operations", True, "" if not colon:
                return self.operations.get(path, request), {}
            case "POST", "operations", True, "wait":
                return await self.operations.wait(f"operations/{name}", request), {}
            case "POST", "operations", True, "cancel":
                return self.operations.cancel(f"operations/{name}", request), {}
            case "DELETE", "operations", True, "" if not colon:
                return self.operations.delete(path, request), {}
            case _, "botSessions" | "tasks" | "operations", _, _:
                raise HttpError(405, f"method: {request.method} is not known here", "method")
        raise HttpError(404, "path: nothing is there", "path")

    async def end(self) -> None:
        """No more connections; whatever was submitted gets its answer before the end."""
        self.listener.close()
        if self.sites is not None:
            self.sites.draining = True  # nothing new of other sites'; what they wait for is answered
        while (self.sites or self.core).unanswered:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)  # the answers' own turns of the loop
        await asyncio.gather(*(connection.finish(FINISH_S) for connection in list(self._links)))
        await self.book.flush()
        if self._sites_book is not None:
            await self._sites_book.flush()
        self.abort()

    def abort(self) -> None:
        """Give back every socket at once."""
        self.listener.close()
        for connection in list(self._links):
            connection.close()
        self._watching.cancel()
        if self.sites is not None:
            self.sites.close()
            self._door.close()
            self._sites_book.close()
        self.bots.close()
        self.tasks.close()
        self._ledger.close()
        self.book.close()
        if self._words is not None:
            self._words.close()

    def reload(self) -> None:
        """Certificates and keys anew, for connections and calls from now on. ConfigError: the old ones
        stay."""
        self.security.load()

    def reconfigure(self, told: PullQueueConfig) -> None:
        """Take over all that can change while it runs. What can fail comes first: wholly or not at all."""
        listener = self.listener
        if told.listen != self._told.listen:
            listener = Listener(told.listen, self._share, self._taken)
            self.listener.close()
        self.listener, self._told = listener, told
        self.bots.leases.timing, self._ledger.capacity, self._share.limit = (
            told.timing,
            told.remember,
            told.connections,
        )
