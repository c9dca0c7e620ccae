"""Sessions of build machines: the bot sessions of the Remote Workers API, with updates as long polls."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any

from weldhatch.config import PullQueueTiming
from weldhatch.core import ports
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.bot_leases import BotLeases
from weldhatch.pullqueue.bot_registry import BotRegistry, NameSource
from weldhatch.pullqueue.deadlines import Deadlines
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Request
from weldhatch.pullqueue.lease_dispatch import LeaseDispatcher, lease_json, rfc3339
from weldhatch.pullqueue.leases import KeyLedger, LeasePhase
from weldhatch.pullqueue.machines import Bot
from weldhatch.pullqueue.operator_states import OperatorDirectives
from weldhatch.pullqueue.reports import ReportedLease, apply_update_mask, read_reported_leases, read_status
from weldhatch.pullqueue.storage import NoStorage, QueueStorage
from weldhatch.pullqueue.workers import Worker, read_worker
from weldhatch.scheduling.events import MachinesChanged
from weldhatch.scheduling.types import MachineState, Settings

SWEEP_INTERVAL_S = 0.05
MAX_BOT_ID_LENGTH = 200
STALE_STORE_RETRY_S = 30.0
_HELD_BY_PULLER = (LeasePhase.PENDING, LeasePhase.ACTIVE, LeasePhase.CANCELLED)


class BotSessions:
    """The sessions of all build machines, with their registry and their leases."""

    def __init__(
        self,
        settings: Settings,
        timing: PullQueueTiming,
        ledger: KeyLedger,
        operators: OperatorDirectives,
        storage: QueueStorage | NoStorage,
        on_change: Callable[[MachinesChanged], None],
        log: Callable[[str], None],
        now: Callable[[], float],
    ) -> None:
        """Start the periodic sweep. Needs an event loop. `now`: Unix seconds of a clock without jumps."""
        self.now = now
        self._storage = storage
        self._log = log
        self._names = NameSource(storage.epoch_name)
        self._deadlines: Deadlines[tuple[str, str]] = Deadlines()
        self.registry = BotRegistry(settings, operators, on_change)
        self.leases = BotLeases(
            settings, timing, self.registry, self._names, ledger, storage, self._deadlines, log, now
        )
        self._dispatcher = LeaseDispatcher(settings, ledger, storage, self._deadlines, self.leases, log, now)
        self.stale_reason = ""  # set if the store is an older copy, so that nothing may be handed out
        self._sweeper = asyncio.get_running_loop().create_task(self._sweep())

    @property
    def timing(self) -> PullQueueTiming:
        """The durations of sessions, leases and offers."""
        return self.leases.timing

    def close(self) -> None:
        """Stop the sweep."""
        self._sweeper.cancel()

    def reconfigure(self, settings: Settings, rules: ports.Rules) -> None:
        """Replace the settings and rules; zones and classes keep their numbers."""
        self.leases.settings = settings
        self._dispatcher.settings = settings
        self._dispatcher.rules = rules
        self.registry.reconfigure(settings)

    def apply_operator_state(self, bot_id: str) -> None:
        """Apply a new operator's state of a machine: report it, and withdraw offers if it is not READY."""
        bot = self.registry.bots.get(bot_id)
        if bot is None:
            return
        self.registry.report(bot)
        if self.registry.effective_state(bot) is not MachineState.READY:
            self.leases.end_offers(bot)

    def name_of(self, machine: int) -> str:
        """Return the bot id of a machine; '' if the machine is unknown."""
        bot = self.registry.by_machine.get(machine)
        return bot.id if bot is not None else ""

    def machines_json(self) -> dict[str, dict[str, Any]]:
        """Return the known machines in the JSON form of the control address."""
        return {
            bot.id: {"own": bot.state.label, "leases": len(bot.leases)} for bot in self.registry.bots.values()
        }

    async def create(self, request: Request) -> dict[str, Any]:
        """Open a session of a build machine; an earlier session of the same machine becomes stale.

        Raises HttpError.
        """
        tree = request.json()
        bot_id = tree.get("botId")
        if not isinstance(bot_id, str) or not 0 < len(bot_id) <= MAX_BOT_ID_LENGTH:
            raise HttpError(400, "botId: a text of 1 to 200 characters is needed", "botId")
        caller = _caller_name(request)
        if caller is not None and caller != bot_id:
            raise HttpError(403, "botId: a machine opens sessions under its own name only", "botId")
        worker = read_worker(tree.get("worker"), "worker")
        place = self.registry.place_of(worker)
        state = read_status(tree)
        reported = read_reported_leases(tree)
        self._check_epochs(entry.id for entry in reported)
        bot = self.registry.get_or_add(bot_id)
        bot.cores, bot.memory, bot.zone, bot.rack = place
        self.registry.set_worker(bot, worker)
        bot.owner = caller if caller is not None else ""
        self.registry.by_session.pop(bot.session, None)
        bot.session = self._names.next("botSessions")
        self.registry.by_session[bot.session] = bot
        self._log(f"bot {bot_id}: session {bot.session} opened, {len(reported)} leases listed")
        bot.state = MachineState.REMOVED  # makes `_update` report the machine to the policy again
        return await self._update(bot, state, reported, request)

    async def update(self, name: str, request: Request) -> dict[str, Any]:
        """Apply an update of a session; answer when there is a lease to report, or after the wait.

        Raises HttpError.
        """
        bot = self.registry.by_session.get(name)
        if bot is None:
            self._check_epochs([name])
            raise HttpError(404, "name: no such session, or it is stale: open a new one", "name")
        caller = _caller_name(request)
        if caller is not None and bot.owner != caller:
            raise HttpError(403, "name: the session of another machine", "name")
        tree = request.json()
        if mask := request.query.get("updateMask"):
            tree = apply_update_mask(tree, mask)
        if tree.get("name", name) != name:
            raise HttpError(400, "name: not the session that is updated", "name")
        if tree.get("botId", bot.id) != bot.id:
            raise HttpError(400, "botId: not the one that opened the session", "botId")
        if tree.get("worker"):
            self._update_worker(bot, read_worker(tree["worker"], "worker"))
        return await self._update(bot, read_status(tree), read_reported_leases(tree), request)

    def _update_worker(self, bot: Bot, worker: Worker) -> None:
        """Set the properties of a machine. Its capacity and location can't change within a session."""
        if self.registry.place_of(worker) != (bot.cores, bot.memory, bot.zone, bot.rack):
            raise HttpError(
                400, "worker: cores, memory, hall and rack change with a new session only", "worker"
            )
        self.registry.set_worker(bot, worker)

    def _check_epochs(self, names: Iterable[str]) -> None:
        """Raise HttpError if a name shows that the store is an older copy.

        Such a store lacks leases whose tasks machines may still run.
        """
        state = self._storage.state
        if (
            state.epoch
            and not self.stale_reason
            and (name := durable_state.find_later_name(names, state.epoch, state.token))
        ):
            self.stale_reason = (
                f"{name} is of a later gateway than this store knows of: it is an older copy, and "
                "nothing is given out from it"
            )
            self._log(f"store: {self.stale_reason}")
        if self.stale_reason:
            raise HttpError(503, f"store: {self.stale_reason}", "store", STALE_STORE_RETRY_S)

    async def _update(
        self, bot: Bot, state: MachineState, reported: list[ReportedLease], request: Request
    ) -> dict[str, Any]:
        """Apply the report of a machine, wait for leases to report, and return the answer."""
        wait_s = request.seconds("x-server-timeout", self.timing.poll)
        self._begin_update(bot)
        session = bot.session
        update_number = bot.update_number
        if state != bot.state:
            bot.state = state
            self.registry.report(bot)
        to_end = self.leases.apply_report(bot, reported)
        if state != MachineState.READY or to_end:
            wait_s = 0.0
        known = {entry.id for entry in reported}
        await self.leases.wait_until_stored(known)
        await self._wait_for_change(bot, known, wait_s)
        if bot.session != session or bot.update_number != update_number:
            # A lease must not be handed out in the answer to a poll that its machine has abandoned.
            raise HttpError(409, "name: a later update of this machine has come", "name")
        leases = [{"id": id, "state": "CANCELLED"} for id in to_end]
        leases += [
            lease_json(lease)
            for lease in bot.leases.values()
            if lease.id in known and lease.phase in _HELD_BY_PULLER
        ]
        ready = self.registry.effective_state(bot) is MachineState.READY
        if not to_end and not self.stale_reason and ready and not request.closed():
            leases += await self._dispatcher.hand_out(bot, session, update_number, request)
        return {
            "name": bot.session,
            "botId": bot.id,
            "status": "OK",
            "leases": leases,
            "expireTime": rfc3339(bot.expires),
        }

    def _begin_update(self, bot: Bot) -> None:
        """Extend the session; an older update of it that still waits is woken up and rejected."""
        bot.last_update = self.now()
        bot.update_number += 1
        bot.expires = bot.last_update + self.timing.session
        self._deadlines.set(("session", bot.id), bot.expires)
        bot.changed.set()
        bot.changed = asyncio.Event()

    async def _wait_for_change(self, bot: Bot, known: set[str], wait_s: float) -> None:
        """Wait until a lease can be handed out, a reported lease must stop, or a later update arrives."""
        update_number = bot.update_number
        end = time.monotonic() + wait_s
        while not bot.offered and known.isdisjoint(bot.stopping) and (left_s := end - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(bot.changed.wait(), left_s)
            except TimeoutError:
                return
            if bot.update_number != update_number:
                return
            bot.changed.clear()

    async def _sweep(self) -> None:
        """Check the sessions, leases and offers whose deadline has passed, at a fixed interval."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self.now()
            for kind, name in list(self._deadlines.due(now)):
                if kind == "lease" and name in self.leases.by_id:
                    self.leases.check_deadline(self.leases.by_id[name], now)
                elif kind == "session" and name in self.registry.bots:
                    self._check_session(self.registry.bots[name], now)

    def _check_session(self, bot: Bot, now: float) -> None:
        """End a session that has expired, or set its deadline again."""
        if bot.session and now >= bot.expires:
            self._log(f"bot {bot.id}: session {bot.session} has run out")
            self.registry.by_session.pop(bot.session, None)
            bot.session = ""
            bot.state = MachineState.REMOVED
            self.registry.report(bot)
        elif bot.session:
            self._deadlines.set(("session", bot.id), bot.expires)
        self.registry.forget_if_idle(bot)


def _caller_name(request: Request) -> str | None:
    """Return the name in the caller's token; None if callers are not authenticated."""
    return None if request.caller is None else str(getattr(request.caller, "name"))  # noqa: B009
