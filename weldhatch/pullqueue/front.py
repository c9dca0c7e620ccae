"""The pull queue as a front: listener, connections, routes, and a core of its own on the policy."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
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
from weldhatch.pullqueue.http import Answer, EventStream, HttpConnection, Request, encode_error
from weldhatch.pullqueue.leases import KeyLedger
from weldhatch.pullqueue.monotonic_unix_time import steady
from weldhatch.pullqueue.operations import Operations
from weldhatch.pullqueue.operator_states import Directive, OperatorDirectives
from weldhatch.pullqueue.quotas import CallQuotas
from weldhatch.pullqueue.security import Security
from weldhatch.pullqueue.storage import NoStorage, QueueStorage
from weldhatch.pullqueue.tasks import Tasks
from weldhatch.scheduling.types import Settings
from weldhatch.store.log import Log

PATH_PREFIX = "/v1test2/"
FLUSH_TIMEOUT_S = 0.5
QUIET_S = 0.1  # a graceful shutdown goes on once no submission has been open for this time
SHUTDOWN_CHECK_INTERVAL_S = 0.01
RESTART_RETRY_S = 1.0  # Retry-After of a submission that is received during the shutdown
IDLE_CHECK_INTERVAL_S = 0.5
INCOMPLETE_REQUEST_TIMEOUT_S = 10.0


class NoDirectory:
    """The directory of a pull queue: build machines register themselves, so no list is subscribed to."""

    def subscribe(self, on: bool) -> None:
        """Do nothing."""
        pass


class PullQueue:
    """Serves the HTTP interface of the pull queue. Owns its connections."""

    def __init__(self, config: PullQueueConfig, policy: SchedulingPolicy, log: Callable[[str], None]) -> None:
        """Restore the stored state and listen. Needs a running event loop.

        Raises ConfigError, or OSError if the address can't be listened on.
        """
        self._log, self._config, settings = log, config, config.settings
        self.settings = settings  # the current settings
        self.endpoint_list = None  # build machines register themselves
        self.driver = Driver(policy, log)
        settle_s = config.timing.settle
        self.storage = (
            QueueStorage(config.store, time.time(), log, settle_s)
            if config.store
            else NoStorage(time.time_ns(), settle_s)
        )
        ledger = self._ledger = KeyLedger(config.remember, "" if config.store else config.ledger)
        ledger.open()
        self.operators = OperatorDirectives()
        self._directive_log = self._open_directives(config.states)
        self.bots = BotSessions(
            settings, config.timing, ledger, self.operators, self.storage, self.driver.post, log, steady()
        )
        self.driver.site = self.bots.leases
        self.driver.directory = NoDirectory()
        self.core = Core(self.driver, self.bots.leases, log)
        self.sites = self._site_storage = self._site_listener = None
        if config.sites is not None:
            from weldhatch.pullqueue import remote_sites  # imports its codec library, so only when needed

            self.sites, self._site_storage, self._site_listener = remote_sites.build(
                config, settings, self.driver, self.core, ledger, self.storage, Random(config.listen[1]), log
            )
        self.tasks = Tasks(
            settings,
            self.sites or self.core,
            self.bots,
            ledger,
            self.storage,
            config.queue,
            Random(config.listen[1]),
            log,
        )
        self.operations = Operations(self.tasks)
        if config.store:
            leases, resubmitted = self.tasks.restore()
            epoch = self.storage.epoch_name
            log(f"store: epoch {epoch}, {leases} leases go on, {resubmitted} submissions are asked for anew")
        self._share = DescriptorShare(DescriptorBudget(config.sockets), config.connections)
        self._links: dict[Connection, HttpConnection] = {}
        self._serving: set[asyncio.Task] = set()
        self._open_submissions = 0  # calls that submit tasks and are not answered yet
        self._refuses_submissions = False
        self.security = Security(config.security)
        self._quotas = CallQuotas(config.security.calls)
        self.listener = Listener(config.listen, self._share, self._accept)
        self._idle_check = asyncio.get_running_loop().create_task(self._close_idle_connections())

    def _open_directives(self, path: str) -> Log | None:
        """Open the file that keeps operators' directives, if `states` is set, and restore them.

        Raises ConfigError.
        """
        if not path:
            return None
        try:
            stored = Log(path)
            if stored.torn_tail is not None:
                self._log(
                    f"states: {path}: the last {stored.torn_tail.length} bytes were no whole record: dropped"
                )
            self.operators.restore(stored.recovered_records())
            if stored.count > 2 * len(self.operators.directives) + 100:
                stored.rewrite(directive.encode() for directive in self.operators.directives.values())
        except (OSError, ValueError) as error:
            raise ConfigError(f"states: {error}") from None
        return stored

    def apply_rules(self, settings: Settings, rules: Rules) -> None:
        """Use settings that a group of gateways has agreed on, and start only what `rules` permits."""
        self.settings = settings
        self.core.rules = rules
        self.driver.reconfigure(settings)
        self.bots.reconfigure(settings, rules)
        self.tasks.reconfigure(settings)
        if self.sites is not None:
            self.sites.reconfigure(settings)

    def set_directive(self, directive: Directive) -> None:
        """Store an operator's directive on disk, then put it into force.

        Raises WordError for a refused directive, or OSError for a disk fault.
        """
        if self.operators.check(directive):
            if self._directive_log is not None:
                self._directive_log.append([directive.encode()])
            self.operators.set(directive)
            self._log(f"operator: {directive.machine} {directive.state}, fence {directive.fence}")
            self.bots.apply_operator_state(directive.machine)

    def name_of(self, machine: int) -> str:
        """Return the bot id of a machine; '' if the machine is unknown."""
        return self.bots.name_of(machine)

    def on_connection_lost(self, callback: Callable[[int], None]) -> None:
        """Do nothing: the gateway has no permanent connections to build machines that could break."""

    def apply_directive(self, machine: str, state: str, fence: int, op: str) -> None:
        """Put an operator's directive into force that a group of gateways has agreed on."""
        current = self.operators.directives.get(machine)
        if current is None or (current.state, current.fence) != (state, fence):
            self.operators.set(Directive(machine, state, fence, op, time.time()))
            self.bots.apply_operator_state(machine)

    def _accept(self, stream: IOStream, host: str) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(stream, host))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(self, stream: IOStream, host: str) -> None:
        """Serve one client's connection, from its TLS handshake to its end."""
        try:
            stream, certificate = await self.security.accept_tls(stream)
        except OSError as fault:
            self._log(f"pull queue client {host}: closed: {fault}")
            self._share.give_back()
            return
        connection = Connection(stream, self._share, f"pull queue client {host}", self._log)
        link = self._links[connection] = HttpConnection(connection, self._route, self._log, host, certificate)
        try:
            await link.run()
        finally:
            self._links.pop(connection, None)

    async def _close_idle_connections(self) -> None:
        """Close connections that are idle or stop within a request, so that they hold no descriptors."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            now = time.monotonic()
            for connection, link in list(self._links.items()):
                if not link.idle:
                    continue
                if link.incomplete_since and now - link.incomplete_since > INCOMPLETE_REQUEST_TIMEOUT_S:
                    self._log(f"{connection.name}: closed: a request was not received completely in time")
                    connection.send(
                        encode_error(
                            HttpError(408, "the rest of the request did not come", closes_connection=True)
                        )
                    )
                    await connection.finish(0.1)
                elif now - max(connection.last_received, link.last_answered) > self._config.idle:
                    connection.close()

    async def _route(self, request: Request) -> tuple[dict, dict[str, str]] | EventStream:
        path = request.path.removeprefix(PATH_PREFIX)
        if path == request.path:
            raise HttpError(404, f"path: it begins with {PATH_PREFIX}", "path")
        head, _, rest = path.partition("/")
        name, colon, verb = rest.partition(":")
        if not self.security.requires_authentication:
            return await self._call(request, path, head, rest, name, colon, verb)
        request.caller = self.security.identify(request, head.partition(":")[0])
        caller_id = f"{request.caller.role} {request.caller.tenant} {request.caller.name}"
        if not self._quotas.try_acquire(caller_id):
            raise HttpError(
                429,
                f"more than {self._quotas.max_per_caller} calls of one caller at a time",
                "authorization",
                1.0,
            )
        try:
            return await self._call(request, path, head, rest, name, colon, verb)
        finally:
            self._quotas.release(caller_id)

    async def _call(
        self, request: Request, path: str, head: str, rest: str, name: str, colon: str, verb: str
    ) -> tuple[dict, dict[str, str]] | EventStream:
        match request.method, head, bool(rest), verb:
            case "POST", "botSessions", False, _:
                return await self.bots.create(request), {}
            case "PATCH", "botSessions", True, _:
                return await self.bots.update(path, request), {}
            case "POST", "tasks", False, _:
                return await self._take_submissions(self.tasks.submit, request)
            case "GET", "tasks", True, _:
                return await self.tasks.get(path, request), {}
            case "DELETE", "tasks", True, _:
                return await self.tasks.delete(path, request.caller), {}
            case "POST", "operations:batchSubmit", _, _:
                return await self._take_submissions(self.operations.batch_submit, request)
            case "POST", "operations:batchCancel", _, _:
                return await self.operations.batch_cancel(request), {}
            case "POST", "operations", False, _:
                return await self._take_submissions(self.operations.submit, request)
            case "GET", "operations", False, _:
                return self.operations.list(request), {}
            case "GET", "operations", True, "watch":
                return self.operations.watch(f"operations/{name}", request)
            case "GET", "operations", True, "" if not colon:
                return self.operations.get(path, request), {}
            case "POST", "operations", True, "wait":
                return await self.operations.wait(f"operations/{name}", request), {}
            case "POST", "operations", True, "cancel":
                return await self.operations.cancel(f"operations/{name}", request), {}
            case "DELETE", "operations", True, "" if not colon:
                return self.operations.delete(path, request), {}
            case _, "botSessions" | "tasks" | "operations", _, _:
                raise HttpError(405, f"method: {request.method} is not known here", "method")
        raise HttpError(404, "path: nothing is there", "path")

    async def end(self) -> None:
        """Shut down gracefully: take in waiting connections, then answer all pending submissions."""
        self.listener.finish()
        if self.sites is not None:
            self.sites.draining = True  # accept no new tasks of other sites; pending ones are answered
        await self._answer_submissions()
        await asyncio.gather(*(connection.finish(FLUSH_TIMEOUT_S) for connection in list(self._links)))
        await self.storage.flush()
        if self._site_storage is not None:
            await self._site_storage.flush()
        self.abort()

    async def _answer_submissions(self) -> None:
        """Return once all submissions are answered that were received before the shutdown began.

        What clients had sent by then is read within QUIET_S; what they send later is refused.
        """
        started = quiet_since = time.monotonic()
        while (now := time.monotonic()) - quiet_since < QUIET_S:
            self._refuses_submissions = now - started >= QUIET_S
            await asyncio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
            if self._open_submissions or self.tasks.waiting or (self.sites or self.core).unanswered:
                quiet_since = time.monotonic()

    async def _take_submissions(
        self, take: Callable[[Request], Awaitable[Answer]], request: Request
    ) -> Answer:
        """Handle a call that submits tasks; a graceful shutdown waits for its end. Raises HttpError."""
        if self._refuses_submissions:
            raise HttpError(503, "the gateway is shutting down", "", RESTART_RETRY_S, closes_connection=True)
        self._open_submissions += 1
        try:
            return await take(request)
        finally:
            self._open_submissions -= 1

    def abort(self) -> None:
        """Close all sockets and files at once."""
        self.listener.close()
        for connection in list(self._links):
            connection.close()
        self._idle_check.cancel()
        if self.sites is not None:
            self.sites.close()
            self._site_listener.close()
            self._site_storage.close()
        self.bots.close()
        self.tasks.close()
        self._ledger.close()
        self.storage.close()
        if self._directive_log is not None:
            self._directive_log.close()

    def reload(self) -> None:
        """Load certificates and keys again, for new connections and calls.

        Raises ConfigError; the old certificates and keys stay in use then.
        """
        self.security.load()

    def reconfigure(self, config: PullQueueConfig) -> None:
        """Apply all settings that can change without a restart, completely or not at all.

        The only step that can fail, listening on a new address, is done first. Raises OSError.
        """
        listener = self.listener
        if config.listen != self._config.listen:
            listener = Listener(config.listen, self._share, self._accept)
            self.listener.close()
        self.listener, self._config = listener, config
        self.bots.leases.reconfigure(config.timing)
        self._ledger.capacity = config.remember
        self._share.limit = config.connections
