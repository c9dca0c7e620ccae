"""Build machines: bot sessions of the Remote Workers API, and the leases they hold. The pull side of `Site`.

A lease goes WAITING, PENDING, ACTIVE, and ends in `end_lease`, the one place where it is given back. What was
handed out is never taken for stopped on a guess: only its puller's word, or expiry and grace, end it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable

from weldhatch.config import PullQueueTiming
from weldhatch.core import ports
from weldhatch.core.messages import CALLED_OFF, CUT, GIVEN_UP, Answered, Ended, GiveUpResult
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.deadlines import Deadlines
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Request
from weldhatch.pullqueue.lease_dispatch import LeaseDispatcher, lease_json, rfc3339
from weldhatch.pullqueue.leases import KeyLedger, Lease, LeasePhase
from weldhatch.pullqueue.machines import Bot, NullReceiver, machine_number, payload_of
from weldhatch.pullqueue.operator_states import Operators
from weldhatch.pullqueue.reports import Listed, masked, read_listed, read_status
from weldhatch.pullqueue.storage import NoStorage, QueueStorage
from weldhatch.pullqueue.workers import Worker, read_worker
from weldhatch.scheduling.events import MachinesChanged
from weldhatch.scheduling.types import ListForm, Machine, MachineState, Outcome, Reason, Settings

SWEEP_S = 0.05
# What a puller that declines a lease before it runs says of it, by google.rpc.Code: proof that nothing ran.
DECLINED = {8: Reason.UNSPECIFIED, 9: Reason.NOT_ACCEPTING}
RAN_WELL = 0


class Bots:
    """All build machines of this gateway."""

    def __init__(
        self,
        settings: Settings,
        timing: PullQueueTiming,
        ledger: KeyLedger,
        operators: Operators,
        book: QueueStorage | NoStorage,
        changed: Callable[[MachinesChanged], None],
        log: Callable[[str], None],
        now: Callable[[], float],
    ) -> None:
        """`now`: Unix seconds that do not leap (`clock.steady`)."""
        self.now = now
        self._settings, self.timing, self._ledger, self._book = settings, timing, ledger, book
        self._changed, self._log, self._operators = changed, log, operators
        self._halls = {name: n for n, name in enumerate(settings.zones)}
        self._racks: dict[str, int] = {}
        self._rack_names: list[str] = []
        self._bots: dict[str, Bot] = {}
        self._machines: dict[int, Bot] = {}
        self._sessions: dict[str, Bot] = {}
        self._serial = 0
        self.workers: dict[int, Worker] = {}  # by machine, for requirements
        self._leases: dict[str, Lease] = {}
        self._unseen: set[str] = set()  # restored ones that their machines have not renewed yet
        self._due = Deadlines()
        # A gateway that starts anew makes names that no former one gave.
        self._epoch = book.epoch_name
        self._dispatcher = LeaseDispatcher(settings, ledger, book, self._due, self, log, now)
        self.stale = ""  # why nothing may be given out: the store is older than what machines have seen
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
        if request.who is not None and request.who.name != bot_id:
            raise HttpError(403, "botId: a machine opens sessions under its own name only", "botId")
        worker = read_worker(tree.get("worker"), "worker")
        cores, memory, hall, rack = self._place(worker)
        state, listed = read_status(tree), read_listed(tree)
        self._check_epochs(one.id for one in listed)
        bot = self._bots.get(bot_id)
        if bot is None:
            machine = machine_number(bot_id)
            bot = self._bots[bot_id] = self._machines[machine] = Bot(bot_id, machine, 0.0, 0.0, 0, 0)
        bot.cores, bot.memory, bot.zone, bot.rack = cores, memory, hall, rack
        bot.worker = self.workers[bot.machine] = worker
        bot.owner = request.who.name if request.who is not None else ""
        self._sessions.pop(bot.session, None)
        bot.session = self._name("botSessions")
        self._sessions[bot.session] = bot
        self._log(f"bot {bot_id}: session {bot.session} opened, {len(listed)} leases listed")
        bot.state = MachineState.REMOVED  # tells the module of the machine anew
        return await self._update(bot, state, listed, request)

    async def update(self, name: str, request: Request) -> dict:
        bot = self._sessions.get(name)
        if bot is None:
            self._check_epochs([name])
            raise HttpError(404, "name: no such session, or it is stale: open a new one", "name")
        if request.who is not None and bot.owner != request.who.name:
            raise HttpError(403, "name: the session of another machine", "name")
        tree = request.json()
        if mask := request.query.get("updateMask"):
            tree = masked(tree, mask)
        if tree.get("name", name) != name:
            raise HttpError(400, "name: not the session that is updated", "name")
        if tree.get("botId", bot.id) != bot.id:
            raise HttpError(400, "botId: not the one that opened the session", "botId")
        if tree.get("worker"):
            self._grown(bot, read_worker(tree["worker"], "worker"))
        return await self._update(bot, read_status(tree), read_listed(tree), request)

    def _grown(self, bot: Bot, worker: Worker) -> None:
        """A machine may say anew what it is; its size and place are those of its session."""
        if self._place(worker) != (bot.cores, bot.memory, bot.zone, bot.rack):
            raise HttpError(
                400, "worker: cores, memory, hall and rack change with a new session only", "worker"
            )
        bot.worker = self.workers[bot.machine] = worker

    def _check_epochs(self, names: Iterable[str]) -> None:
        """Guards against an older copy of the store: machines may run what it knows nothing of."""
        if (
            self._book.state.epoch
            and not self.stale
            and (name := durable_state.from_later(names, self._book.state.epoch, self._book.state.token))
        ):
            self.stale = (
                f"{name} is of a later gateway than this store knows of: it is an older copy, and "
                "nothing is given out from it"
            )
            self._log(f"store: {self.stale}")
        if self.stale:
            raise HttpError(503, f"store: {self.stale}", "store", 30.0)

    async def _update(self, bot: Bot, state: MachineState, listed: list[Listed], request: Request) -> dict:
        """Take the report, wait for something to say, and say it."""
        wait = request.seconds("x-server-timeout", self.timing.poll)
        bot.last_update, bot.update_number = self.now(), bot.update_number + 1
        bot.expires = bot.last_update + self.timing.session
        self._due.set(("session", bot.id), bot.expires)
        session = bot.session
        update_number = bot.update_number
        bot.changed.set()  # an older update of this session that still waits is answered, and gets nothing
        bot.changed = asyncio.Event()
        if state != bot.state:
            bot.state = state
            self._tell(bot)
        to_end = self._report(bot, listed)
        if state != MachineState.READY or to_end:
            wait = 0.0
        end = time.monotonic() + wait
        known = {one.id for one in listed}
        while not self._has_news(bot, known) and (left := end - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(bot.changed.wait(), left)
            except TimeoutError:
                break
            if bot.update_number != update_number:
                break
            bot.changed.clear()
        if bot.session != session or bot.update_number != update_number:
            # Guards against handing a lease to a poll that its machine has given up.
            raise HttpError(409, "name: a later update of this machine has come", "name")
        leases = [{"id": id, "state": "CANCELLED"} for id in to_end]
        leases += [
            lease_json(lease)
            for lease in bot.leases.values()
            if lease.id in known
            and lease.phase in (LeasePhase.PENDING, LeasePhase.ACTIVE, LeasePhase.CANCELLED)
        ]
        if not to_end and not self.stale and self._stands(bot) is MachineState.READY and not request.closed():
            leases += await self._dispatcher.hand_out(bot, session, update_number, request)
        return {
            "name": bot.session,
            "botId": bot.id,
            "status": "OK",
            "leases": leases,
            "expireTime": rfc3339(bot.expires),
        }

    def _has_news(self, bot: Bot, known: set[str]) -> bool:
        """A lease to hand out, or one to stop that the puller holds."""
        return bool(bot.offered) or not known.isdisjoint(bot.stopping)

    def extend_lease(self, lease: Lease) -> None:
        """It may run for a lease's time from now, and counts as out for the grace after that."""
        lease.expires = self.now() + self.timing.lease
        self._due.set(("lease", lease.id), lease.expires + self.timing.grace)

    def pickup_s(self) -> float:
        """Return how long an offer waits for its machine."""
        return self.timing.pickup

    def zone_and_rack(self, bot: Bot) -> tuple[str, str]:
        """Return the names of a machine's zone and rack."""
        return self._settings.zones[bot.zone], self._rack_names[bot.rack]

    def rule(self, settings: Settings, rules: ports.Rules) -> None:
        """Other settings are in force from now on; halls and classes keep their places."""
        self._settings = self._dispatcher.settings = settings
        self._dispatcher.rules = rules
        self._halls = {name: n for n, name in enumerate(settings.zones)}

    # ---- what a puller reports -----------------------------------------------------------------------------

    def _report(self, bot: Bot, listed: list[Listed]) -> list[str]:
        """Take each listed lease; the ids of those that its puller has to end before it gets more."""
        to_end, now = [], self.now()
        for one in listed:
            lease = bot.leases.get(one.id)
            running = one.state in ("PENDING", "ACTIVE")
            if lease is None or lease.phase is LeasePhase.OFFERED:
                if running:
                    to_end.append(one.id)
            elif not running:
                self._done(lease, one)
            elif lease.phase is LeasePhase.CANCELLED or now >= lease.expires:
                # Guards against a renewal that comes too late: the puller had to stop, and the task may
                # be on its way elsewhere as soon as the grace is over.
                lease.phase = LeasePhase.CANCELLED
                bot.stopping[lease.id] = lease
            elif one.state == "ACTIVE":
                self.extend_lease(lease)
                if lease.id in self._unseen:
                    self._unseen.discard(lease.id)
                    self._book.append_with_retry(durable_state.encode("seen", lease.id))
                if lease.phase is LeasePhase.PENDING:
                    lease.phase = LeasePhase.ACTIVE
                    self._book.append_with_retry(durable_state.encode("running", lease.id))
                    lease.receiver.deliver(Answered(lease.attempt, bot.id))
        return to_end

    def _done(self, lease: Lease, one: Listed) -> None:
        """The puller holds it no longer."""
        payload_of(lease.task).on_result(one.result, one.message)
        if lease.phase is LeasePhase.CANCELLED:
            self.end_lease(lease, Outcome.CANCELLED, cause=CALLED_OFF)
        elif lease.phase is LeasePhase.ACTIVE:
            well = one.state == "COMPLETED" and one.code == RAN_WELL
            self.end_lease(lease, Outcome.OK if well else Outcome.RESET, cause=GIVEN_UP if well else CUT)
        elif one.state == "COMPLETED" and one.code == RAN_WELL:  # a short task: begun and ended in one report
            lease.receiver.deliver(Answered(lease.attempt, self._machines[lease.machine].id))
            self.end_lease(lease, Outcome.OK, cause=GIVEN_UP)
        elif one.state == "COMPLETED" and one.code in DECLINED:
            self.end_lease(lease, Outcome.FULL, DECLINED[one.code])
        else:
            self.end_lease(lease, Outcome.ERROR)

    def end_lease(self, lease: Lease, outcome: Outcome, reason: int = 0, cause: int = CUT) -> None:
        """The one end of an attempt."""
        lease.phase = LeasePhase.ENDED
        self._machines[lease.machine].remove(lease)
        self._leases.pop(lease.id, None)
        self._due.drop(("lease", lease.id))
        self._ledger.end(lease)
        self._book.append_with_retry(durable_state.encode("over", lease.id))
        lease.receiver.deliver(Ended(lease.attempt, outcome, reason, (), cause))

    async def _sweep(self) -> None:
        """Sessions and leases that have run out, and offers that nobody picked up: only those that are
        due."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = self.now()
            for kind, name in list(self._due.due(now)):
                if kind == "lease" and name in self._leases:
                    self._lease_due(self._leases[name], now)
                elif kind == "session" and name in self._bots:
                    self._session_due(self._bots[name], now)

    def _lease_due(self, lease: Lease, now: float) -> None:
        bot = self._machines[lease.machine]
        if lease.phase is LeasePhase.OFFERED:
            if now >= lease.expires:
                self.end_lease(lease, Outcome.CONNECT_FAILED)
            else:
                self._due.set(("lease", lease.id), lease.expires)
        elif now >= lease.expires + self.timing.grace:
            self._log(f"bot {bot.id}: lease {lease.id} has run out, {lease.phase.value}")
            self.end_lease(lease, Outcome.RESET)
        else:
            self._due.set(("lease", lease.id), lease.expires + self.timing.grace)
        self._forget(bot)

    def _session_due(self, bot: Bot, now: float) -> None:
        if bot.session and now >= bot.expires:
            self._log(f"bot {bot.id}: session {bot.session} has run out")
            self._sessions.pop(bot.session, None)
            bot.session, bot.state = "", MachineState.REMOVED
            self._tell(bot)
        elif bot.session:
            self._due.set(("session", bot.id), bot.expires)
        self._forget(bot)

    def _forget(self, bot: Bot) -> None:
        """A machine without a session and without leases is nobody's."""
        if not bot.session and not bot.leases:
            self._bots.pop(bot.id, None)
            self._machines.pop(bot.machine, None)
            self.workers.pop(bot.machine, None)

    def _tell(self, bot: Bot) -> None:
        self._changed(
            MachinesChanged(
                ListForm.DELTA,
                (
                    Machine(
                        bot.machine,
                        bot.zone,
                        0,
                        bot.rack,
                        self._stands(bot),
                        cores=bot.cores,
                        memory=bot.memory,
                    ),
                ),
            )
        )

    def _stands(self, bot: Bot) -> MachineState:
        """A machine's own word and the operator's together; it gets new work only where both say ready."""
        return self._operators.merged(bot.id, bot.state)

    def operated(self, bot_id: str) -> None:
        """An operator's word on this machine has changed. What waits for it has never run, and goes
        elsewhere."""
        bot = self._bots.get(bot_id)
        if bot is None:
            return
        self._tell(bot)
        if self._stands(bot) is not MachineState.READY:
            for lease in list(bot.offered.values()):
                self.end_lease(lease, Outcome.NOT_SENT)

    def name_of(self, machine: int) -> str:
        bot = self._machines.get(machine)
        return bot.id if bot is not None else ""

    def machines(self) -> dict[str, dict]:
        """Each machine that is known, for the control address."""
        return {bot.id: {"own": bot.state.label, "leases": len(bot.leases)} for bot in self._bots.values()}

    # ---- what the core asks for ----------------------------------------------------------------------------

    def offer(
        self,
        machine: int,
        task: ports.Task,
        attempt: int,
        wait_us: int,
        receiver: ports.Receiver,
        start_by_us: int = 0,
    ) -> None:
        bot = self._machines.get(machine)
        if bot is None or not bot.session or self._stands(bot) is not MachineState.READY:
            receiver.deliver(Ended(attempt, Outcome.NOT_SENT))
            return
        lease = Lease(self._name("leases"), machine, task, attempt, receiver)
        self._leases[lease.id] = lease
        lease.expires = self.now() + min(self.timing.pickup, wait_us / 1e6)
        self._due.set(("lease", lease.id), lease.expires)
        bot.add(lease)
        bot.changed.set()

    def adopt(self, machine: int, task: ports.Task, receiver: ports.Receiver) -> None:
        """A lease that a former gateway handed out, and the store kept: this life hears of it from now on."""
        lease = self._lease(machine, task)
        if lease is None:  # no submitter names a machine
            receiver.deliver(Ended(0, Outcome.RESET))
        else:
            lease.receiver = receiver

    def restore(self, record: durable_state.LeaseRecord, task: ports.Task) -> int:
        """A lease that was out when the gateway ended counts as out anew; the machine that it is out at."""
        bot = self._bots.get(record.bot)
        if bot is None:
            cores, memory, hall, rack = record.place
            bot = Bot(
                record.bot,
                machine_number(record.bot),
                cores,
                memory,
                self._halls.get(hall, 0),
                self._rack(rack),
            )
            self._bots[bot.id] = self._machines[bot.machine] = bot
        lease = Lease(
            record.id,
            bot.machine,
            task,
            0,
            NullReceiver(),
            LeasePhase.ACTIVE if record.running else LeasePhase.PENDING,
        )
        self._leases[lease.id] = lease
        bot.add(lease)
        self.extend_lease(lease)
        if not record.seen and record.until:
            lease.expires = min(lease.expires, record.until)
            self._due.set(("lease", lease.id), lease.expires + self.timing.grace)
        self._book.append_with_retry(durable_state.encode("until", lease.id, lease.expires))
        self._unseen.add(lease.id)
        return bot.machine

    def leases_out(self) -> list[Lease]:
        return [lease for lease in self._leases.values() if lease.phase is not LeasePhase.OFFERED]

    def give_up(self, machine: int, task: ports.Task) -> GiveUpResult:
        lease = self._lease(machine, task)
        if lease is None:
            return GiveUpResult.GIVEN_UP
        if lease.phase is LeasePhase.OFFERED:
            lease.phase = LeasePhase.ENDED
            self._machines[machine].remove(lease)
            self._leases.pop(lease.id, None)
            self._due.drop(("lease", lease.id))
            return GiveUpResult.WITHDRAWN
        self._cancel(lease)
        return GiveUpResult.STILL_OUT

    def release(self, machine: int, task: ports.Task, cause: int) -> None:
        if lease := self._lease(machine, task):
            self._cancel(lease)

    def move(self, machine: int, task: ports.Task) -> None:
        self.release(machine, task, CALLED_OFF)

    def probe(self, machine: int, done: Callable[[Outcome, tuple[float, ...]], None]) -> None:
        """Answered from the machine's last update; one that owes an update is silent."""
        bot = self._machines.get(machine)
        if bot is None or not bot.session:
            done(Outcome.CONNECT_FAILED, ())
        elif self.now() - bot.last_update > self.timing.poll + self.timing.pickup:
            done(Outcome.TIMEOUT, ())
        else:
            free = {"x0": bot.cores - bot.reserved[0], "x1": bot.memory - bot.reserved[1]}
            done(Outcome.OK, tuple(free.get(name, 0.0) for name in self._settings.report_fields))

    def _lease(self, machine: int, task: ports.Task) -> Lease | None:
        bot = self._machines.get(machine)
        return bot.by_task.get(id(task)) if bot else None

    def _cancel(self, lease: Lease) -> None:
        """Its puller is told at its next update; until it confirms, the lease stays out."""
        lease.phase = LeasePhase.CANCELLED
        bot = self._machines[lease.machine]
        bot.stopping[lease.id] = lease
        bot.changed.set()

    # ---- reading a session ---------------------------------------------------------------------------------

    def _place(self, worker: Worker) -> tuple[float, float, int, int]:
        """Cores, memory, hall and rack, from the worker's properties."""
        sizes = []
        for name in ("cores", "memory"):
            value = worker.first(name)
            try:
                size = float(value)
            except (TypeError, ValueError):
                size = 0.0
            if not 0 < size < 1e9:
                field = f"worker.properties.{name}"
                raise HttpError(400, f"{field}: the unusable value {value!r}", field)
            sizes.append(size)
        hall, rack = worker.first("hall"), worker.first("rack")
        if hall not in self._halls:
            field = "worker.properties.hall"
            raise HttpError(400, f"{field}: no hall is named {hall!r}", field)
        if not rack or len(rack) > 100:
            raise HttpError(400, "worker.properties.rack: a name is needed", "worker.properties.rack")
        return *sizes, self._halls[hall], self._rack(rack)

    def _rack(self, name: str) -> int:
        """Racks are numbered as they come; only their names outlast the gateway."""
        if name not in self._racks:
            self._racks[name] = len(self._rack_names)
            self._rack_names.append(name)
        return self._racks[name]

    def _name(self, kind: str) -> str:
        self._serial += 1
        return f"{kind}/{self._epoch}-{self._serial}"
