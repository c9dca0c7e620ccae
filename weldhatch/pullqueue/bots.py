"""Build machines: bot sessions of the Remote Workers API, and the leases they hold. The pull side of `Site`.

A lease goes WAITING, PENDING, ACTIVE, and ends in `_end`, the one place where it is given back. What was
handed out is never taken for stopped on a guess: only its puller's word, or expiry and grace, end it.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime

from weldhatch import interface as i
from weldhatch.config import Timing
from weldhatch.core import ports
from weldhatch.core.ports import LetGo
from weldhatch.pullqueue.http import HttpError, Request
from weldhatch.pullqueue.leases import Lease, Ledger, Phase
from weldhatch.pullqueue.operators import Operators
from weldhatch.setups import Setup

REPLY_MOST = 48 * 1024  # what one answer hands out at the most; the rest waits for the next
SWEEP_S = 0.1
STATUSES = {"OK": i.MachineState.READY, "INITIALIZING": i.MachineState.DRAINING,
            "UNHEALTHY": i.MachineState.DRAINING, "HOST_REBOOTING": i.MachineState.DRAINING,
            "BOT_TERMINATING": i.MachineState.DRAINING}
STATES = ("PENDING", "ACTIVE", "COMPLETED", "CANCELLED")
# What a puller that declines a lease before it runs says of it, by google.rpc.Code: proof that nothing ran.
DECLINED = {8: i.Reason.NOT_TOLD, 9: i.Reason.NOT_HERE}
RAN_WELL = 0


@dataclass(slots=True)
class Listed:
    """One lease as a puller lists it."""

    id: str
    state: str
    code: int


@dataclass(slots=True, eq=False)
class Bot:
    """A build machine, by its bot id. Sessions come and go; leases are the machine's."""

    id: str
    machine: int
    cores: float
    memory: float
    hall: int
    rack: int
    session: str = ""
    expires: float = 0.0
    heard: float = 0.0
    state: i.MachineState = i.MachineState.GONE
    leases: dict[str, Lease] = field(default_factory=dict)
    news: asyncio.Event = field(default_factory=asyncio.Event)
    poll: int = 0  # the number of the last update; an older one that still waits is void


class Bots:
    """All build machines of this gateway."""

    def __init__(self, settings: i.Settings, timing: Timing, ledger: Ledger, operators: Operators,
                 changed: Callable[[i.MachinesChanged], None], log: Callable[[str], None]) -> None:
        self._settings, self.timing, self._ledger = settings, timing, ledger
        self._changed, self._log, self._operators = changed, log, operators
        self._halls = {name: n for n, name in enumerate(settings.zones)}
        self._racks: dict[str, int] = {}
        self._bots: dict[str, Bot] = {}
        self._machines: dict[int, Bot] = {}
        self._sessions: dict[str, Bot] = {}
        self._serial = 0
        # A gateway that starts anew makes names that no former one gave.
        self._epoch = f"{time.time_ns():x}"
        self._sweeper = asyncio.get_running_loop().create_task(self._sweep())

    def close(self) -> None:
        self._sweeper.cancel()

    # ---- sessions ------------------------------------------------------------------------------------------

    async def create(self, request: Request) -> dict:
        """A build machine opens a session. An earlier one of the same machine is stale from now on."""
        tree = request.json()
        bot_id = tree.get("botId")
        if not isinstance(bot_id, str) or not 0 < len(bot_id) <= 200:
            raise HttpError(400, "botId: a text of 1 to 200 characters is needed", "botId")
        cores, memory, hall, rack = self._worker(tree)
        state, listed = self._status(tree), self._listed(tree)
        bot = self._bots.get(bot_id)
        if bot is None:
            machine = int.from_bytes(hashlib.blake2b(bot_id.encode(), digest_size=6).digest(), "big")
            bot = self._bots[bot_id] = self._machines[machine] = Bot(bot_id, machine, 0.0, 0.0, 0, 0)
        bot.cores, bot.memory, bot.hall, bot.rack = cores, memory, hall, rack
        self._sessions.pop(bot.session, None)
        bot.session = self._name("botSessions")
        self._sessions[bot.session] = bot
        self._log(f"bot {bot_id}: session {bot.session} opened, {len(listed)} leases listed")
        bot.state = i.MachineState.GONE  # tells the module of the machine anew
        return await self._update(bot, state, listed, request)

    async def update(self, name: str, request: Request) -> dict:
        bot = self._sessions.get(name)
        if bot is None:
            raise HttpError(404, "name: no such session, or it is stale: open a new one", "name")
        tree = request.json()
        if tree.get("name", name) != name:
            raise HttpError(400, "name: not the session that is updated", "name")
        if tree.get("botId", bot.id) != bot.id:
            raise HttpError(400, "botId: not the one that opened the session", "botId")
        if tree.get("worker"):
            self._worker(tree)
        return await self._update(bot, self._status(tree), self._listed(tree), request)

    async def _update(self, bot: Bot, state: i.MachineState, listed: list[Listed], request: Request) -> dict:
        """Take the report, wait for something to say, and say it."""
        wait = request.seconds("x-server-timeout", self.timing.poll)
        bot.heard, bot.poll = time.time(), bot.poll + 1
        bot.expires = bot.heard + self.timing.session
        session, poll = bot.session, bot.poll
        bot.news.set()  # an older update of this session that still waits is answered, and gets nothing
        bot.news = asyncio.Event()
        if state != bot.state:
            bot.state = state
            self._tell(bot)
        to_end = self._report(bot, listed)
        if state != i.MachineState.READY or to_end:
            wait = 0.0
        end = time.monotonic() + wait
        known = {one.id for one in listed}
        while not self._has_news(bot, known) and (left := end - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(bot.news.wait(), left)
            except TimeoutError:
                break
            if bot.poll != poll:
                break
            bot.news.clear()
        if bot.session != session or bot.poll != poll:
            # Guards against handing a lease to a poll that its machine has given up.
            raise HttpError(409, "name: a later update of this machine has come", "name")
        leases = [{"id": id, "state": "CANCELLED"} for id in to_end]
        leases += [self._shown(lease) for lease in bot.leases.values()
                   if lease.id in known and lease.phase in (Phase.PENDING, Phase.ACTIVE, Phase.CANCELLED)]
        if not to_end and self._stands(bot) is i.MachineState.READY and not request.closed():
            leases += self._hand_out(bot)
        return {"name": bot.session, "botId": bot.id, "status": "OK", "leases": leases,
                "expireTime": _rfc3339(bot.expires)}

    def _has_news(self, bot: Bot, known: set[str]) -> bool:
        """A lease to hand out, or one to stop that the puller holds."""
        return any(lease.phase is Phase.WAITING or (lease.phase is Phase.CANCELLED and lease.id in known)
                   for lease in bot.leases.values())

    def _hand_out(self, bot: Bot) -> list[dict]:
        """The leases that wait for this machine leave the gateway here, and only here."""
        out, size = [], 0
        for lease in bot.leases.values():
            if lease.phase is not Phase.WAITING:
                continue
            size += 512 + 2 * len(lease.task.passed_on[1])
            if out and size > REPLY_MOST:
                break
            lease.phase, lease.expires = Phase.PENDING, time.time() + self.timing.lease
            self._ledger.handed(lease, self._settings.classes[lease.task.class_index])
            out.append({**self._shown(lease), "payload": self._payload(lease)})
        return out

    def _shown(self, lease: Lease) -> dict:
        return {"id": lease.id, "state": lease.phase.value, "expireTime": _rfc3339(lease.expires)}

    def _payload(self, lease: Lease) -> dict:
        setup: Setup
        setup, blob = lease.task.passed_on
        return {"@type": "type.googleapis.com/weldhatch.Task", "class": setup.class_name, "key": setup.name,
                "idem": setup.idem, "cores": setup.cores, "memory": setup.memory,
                "service": f"{setup.service:016x}", "blob": blob}

    # ---- what a puller reports -----------------------------------------------------------------------------

    def _report(self, bot: Bot, listed: list[Listed]) -> list[str]:
        """Take each listed lease; the ids of those that its puller has to end before it gets more."""
        to_end, now = [], time.time()
        for one in listed:
            lease = bot.leases.get(one.id)
            running = one.state in ("PENDING", "ACTIVE")
            if lease is None or lease.phase is Phase.WAITING:
                if running:
                    to_end.append(one.id)
            elif not running:
                self._done(lease, one)
            elif lease.phase is Phase.CANCELLED or now >= lease.expires:
                # Guards against a renewal that comes too late: the puller had to stop, and the task may
                # be on its way elsewhere as soon as the grace is over.
                lease.phase = Phase.CANCELLED
            elif one.state == "ACTIVE":
                lease.expires = now + self.timing.lease
                if lease.phase is Phase.PENDING:
                    lease.phase = Phase.ACTIVE
                    lease.teller.tell(ports.Answered(lease.attempt, bot.id))
        return to_end

    def _done(self, lease: Lease, one: Listed) -> None:
        """The puller holds it no longer."""
        if lease.phase is Phase.CANCELLED:
            self._end(lease, i.Outcome.CANCELLED, cause=ports.CALLED_OFF)
        elif lease.phase is Phase.ACTIVE:
            well = one.state == "COMPLETED" and one.code == RAN_WELL
            self._end(lease, i.Outcome.OK if well else i.Outcome.RESET,
                      cause=ports.GIVEN_UP if well else ports.CUT)
        elif one.state == "COMPLETED" and one.code == RAN_WELL:  # a short task: begun and ended in one report
            lease.teller.tell(ports.Answered(lease.attempt, self._machines[lease.machine].id))
            self._end(lease, i.Outcome.OK, cause=ports.GIVEN_UP)
        elif one.state == "COMPLETED" and one.code in DECLINED:
            self._end(lease, i.Outcome.FULL, DECLINED[one.code])
        else:
            self._end(lease, i.Outcome.ERROR)

    def _end(self, lease: Lease, outcome: i.Outcome, reason: int = 0, cause: int = ports.CUT) -> None:
        """The one end of an attempt."""
        lease.phase = Phase.OVER
        self._machines[lease.machine].leases.pop(lease.id, None)
        self._ledger.over(lease)
        lease.teller.tell(ports.Ended(lease.attempt, outcome, reason, (), cause))

    async def _sweep(self) -> None:
        """Sessions and leases that have run out, and offers that nobody picked up."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.time()
            for bot in list(self._bots.values()):
                for lease in list(bot.leases.values()):
                    if lease.phase is Phase.WAITING:
                        if now >= lease.expires:
                            self._end(lease, i.Outcome.CONNECT_FAILED)
                    elif now >= lease.expires + self.timing.grace:
                        self._log(f"bot {bot.id}: lease {lease.id} has run out, {lease.phase.value}")
                        self._end(lease, i.Outcome.RESET)
                if bot.session and now >= bot.expires:
                    self._log(f"bot {bot.id}: session {bot.session} has run out")
                    self._sessions.pop(bot.session, None)
                    bot.session, bot.state = "", i.MachineState.GONE
                    self._tell(bot)
                if not bot.session and not bot.leases:
                    del self._bots[bot.id], self._machines[bot.machine]

    def _tell(self, bot: Bot) -> None:
        self._changed(i.MachinesChanged(i.ListForm.DELTA, (i.Machine(
            bot.machine, bot.hall, 0, bot.rack, self._stands(bot), cores=bot.cores, memory=bot.memory),)))

    def _stands(self, bot: Bot) -> i.MachineState:
        """A machine's own word and the operator's together; it gets new work only where both say ready."""
        return self._operators.merged(bot.id, bot.state)

    def operated(self, bot_id: str) -> None:
        """An operator's word on this machine has changed. What waits for it has never run, and goes
        elsewhere."""
        bot = self._bots.get(bot_id)
        if bot is None:
            return
        self._tell(bot)
        if self._stands(bot) is not i.MachineState.READY:
            for lease in [lease for lease in bot.leases.values() if lease.phase is Phase.WAITING]:
                self._end(lease, i.Outcome.NOT_SENT)

    def machines(self) -> dict[str, dict]:
        """Each machine that is known, for the control address."""
        return {bot.id: {"own": bot.state.name.lower(), "leases": len(bot.leases)}
                for bot in self._bots.values()}

    # ---- what the core asks for ----------------------------------------------------------------------------

    def offer(self, machine: int, task: ports.Task, attempt: int, wait_us: int, teller: ports.Teller) -> None:
        bot = self._machines.get(machine)
        if bot is None or not bot.session or self._stands(bot) is not i.MachineState.READY:
            teller.tell(ports.Ended(attempt, i.Outcome.NOT_SENT))
            return
        lease = Lease(self._name("leases"), machine, task, attempt, teller)
        lease.expires = time.time() + min(self.timing.pickup, wait_us / 1e6)
        bot.leases[lease.id] = lease
        bot.news.set()

    def adopt(self, machine: int, task: ports.Task, teller: ports.Teller) -> None:
        """No submitter names a machine: a lease is recognised by its puller alone."""
        teller.tell(ports.Ended(0, i.Outcome.RESET))

    def give_up(self, machine: int, task: ports.Task) -> LetGo:
        lease = self._lease(machine, task)
        if lease is None:
            return LetGo.GIVEN_UP
        if lease.phase is Phase.WAITING:
            lease.phase = Phase.OVER
            self._machines[machine].leases.pop(lease.id, None)
            return LetGo.WITHDRAWN
        self._cancel(lease)
        return LetGo.STILL_OUT

    def release(self, machine: int, task: ports.Task, cause: int) -> None:
        if lease := self._lease(machine, task):
            self._cancel(lease)

    def move(self, machine: int, task: ports.Task) -> None:
        self.release(machine, task, ports.CALLED_OFF)

    def probe(self, machine: int, done: Callable[[i.Outcome, tuple[float, ...]], None]) -> None:
        """Answered from the machine's last update; one that owes an update is silent."""
        bot = self._machines.get(machine)
        if bot is None or not bot.session:
            done(i.Outcome.CONNECT_FAILED, ())
        elif time.time() - bot.heard > self.timing.poll + self.timing.pickup:
            done(i.Outcome.TIMEOUT, ())
        else:
            free = {"x0": bot.cores - sum(lease.task.cores for lease in bot.leases.values()),
                    "x1": bot.memory - sum(lease.task.memory for lease in bot.leases.values())}
            done(i.Outcome.OK, tuple(free.get(name, 0.0) for name in self._settings.report_fields))

    def _lease(self, machine: int, task: ports.Task) -> Lease | None:
        bot = self._machines.get(machine)
        return next((lease for lease in bot.leases.values() if lease.task is task), None) if bot else None

    def _cancel(self, lease: Lease) -> None:
        """Its puller is told at its next update; until it confirms, the lease stays out."""
        lease.phase = Phase.CANCELLED
        self._machines[lease.machine].news.set()

    # ---- reading a session ---------------------------------------------------------------------------------

    def _worker(self, tree: dict) -> tuple[float, float, int, int]:
        """Cores, memory, hall and rack, from the worker's properties."""
        worker = tree.get("worker")
        properties = worker.get("properties") if isinstance(worker, dict) else None
        if not isinstance(properties, list):
            raise HttpError(400, "worker.properties: a list of key and value is needed", "worker.properties")
        values = {one.get("key"): one.get("value") for one in properties if isinstance(one, dict)}
        sizes = []
        for name in ("cores", "memory"):
            try:
                size = float(values.get(name))
            except (TypeError, ValueError):
                size = 0.0
            if not 0 < size < 1e9:
                field = f"worker.properties.{name}"
                raise HttpError(400, f"{field}: the unusable value {values.get(name)!r}", field)
            sizes.append(size)
        hall, rack = values.get("hall"), values.get("rack")
        if hall not in self._halls:
            field = "worker.properties.hall"
            raise HttpError(400, f"{field}: no hall is named {hall!r}", field)
        if not isinstance(rack, str) or not 0 < len(rack) <= 100:
            raise HttpError(400, "worker.properties.rack: a name is needed", "worker.properties.rack")
        return *sizes, self._halls[hall], self._racks.setdefault(rack, len(self._racks))

    @staticmethod
    def _status(tree: dict) -> i.MachineState:
        status = tree.get("status", "OK")
        if not isinstance(status, str) or status not in STATUSES:
            raise HttpError(400, f"status: the unusable value {status!r}", "status")
        return STATUSES[status]

    @staticmethod
    def _listed(tree: dict) -> list[Listed]:
        entries = tree.get("leases") or []
        if not isinstance(entries, list):
            raise HttpError(400, "leases: a list is needed", "leases")
        listed = []
        for n, entry in enumerate(entries):
            field = f"leases[{n}]"
            if not isinstance(entry, dict) or not isinstance(entry.get("id"), str):
                raise HttpError(400, f"{field}.id: a text is needed", f"{field}.id")
            if entry.get("state") not in STATES:
                raise HttpError(400, f"{field}.state: the unusable value {entry.get('state')!r}",
                                f"{field}.state")
            status = entry.get("status") or {}
            code = status.get("code", 0) if isinstance(status, dict) else None
            if not isinstance(code, int) or isinstance(code, bool):
                raise HttpError(400, f"{field}.status.code: a whole number is needed", f"{field}.status.code")
            listed.append(Listed(entry["id"], entry["state"], code))
        return listed

    def _name(self, kind: str) -> str:
        self._serial += 1
        return f"{kind}/{self._epoch}-{self._serial}"


def _rfc3339(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
