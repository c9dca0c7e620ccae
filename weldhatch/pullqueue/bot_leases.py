"""The leases of all build machines: operations of the core on them, and reports of their pullers.

A lease goes through OFFERED, PENDING and ACTIVE, and ends in `end_lease`, the only place that frees its
capacity after a hand-out. A lease that was handed out ends only by a report of its puller, or when its expiry
and the grace period have passed: until then its task may still run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from weldhatch.config import PullQueueTiming
from weldhatch.core import ports
from weldhatch.core.messages import CAUSE_CANCELLED, CAUSE_FINISHED, CAUSE_LOST, Answered, Ended, GiveUpResult
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.bot_registry import BotRegistry, NameSource
from weldhatch.pullqueue.deadlines import Deadlines
from weldhatch.pullqueue.durable_state import LeaseEnd
from weldhatch.pullqueue.leases import KeyLedger, Lease, LeasePhase
from weldhatch.pullqueue.machines import Bot, NullReceiver, payload_of
from weldhatch.pullqueue.reports import ReportedLease
from weldhatch.pullqueue.storage import MAX_WRITE_WAIT_S, NoStorage, QueueStorage
from weldhatch.scheduling.types import MachineState, Outcome, Reason, Settings

# google.rpc.Code with which a puller declines a lease before it starts the task: proof that nothing ran.
DECLINE_REASONS = {8: Reason.UNSPECIFIED, 9: Reason.NOT_ACCEPTING}
CODE_OK = 0


class BotLeases:
    """All leases of this gateway. Implements the core's `ports.Site` for build machines."""

    def __init__(
        self,
        settings: Settings,
        timing: PullQueueTiming,
        registry: BotRegistry,
        names: NameSource,
        ledger: KeyLedger,
        storage: QueueStorage | NoStorage,
        deadlines: Deadlines[tuple[str, str]],
        log: Callable[[str], None],
        now: Callable[[], float],
    ) -> None:
        """Keep the deadlines of leases under ("lease", id). `now`: Unix seconds of a clock without jumps."""
        self.settings = settings
        self.timing = timing
        self._lease_s = timing.lease  # what machines are promised; a longer one counts once it is stored
        self._registry = registry
        self._names = names
        self._ledger = ledger
        self._storage = storage
        self._deadlines = deadlines
        self._log = log
        self._now = now
        self.by_id: dict[str, Lease] = {}
        self._unconfirmed: set[str] = set()  # restored leases whose first renewal is not stored yet
        self._report_writes: dict[str, asyncio.Future[None]] = {}  # by lease: what its machine has reported

    def reconfigure(self, timing: PullQueueTiming) -> None:
        """Replace the durations. Leases that machines were promised for longer keep their expiry."""
        self.timing = timing
        self._lease_s = min(self._lease_s, timing.lease)
        self.store_lease_time().add_done_callback(lambda _: self._use_lease_time(timing))

    def store_lease_time(self) -> asyncio.Future[None]:
        """Store for how long leases are promised from now on: the next run counts them as leased so long."""
        return self._storage.append_with_retry(durable_state.encode("lease", self.timing.lease))

    def _use_lease_time(self, timing: PullQueueTiming) -> None:
        if self.timing is timing:
            self._lease_s = timing.lease

    # ---- implements `lease_dispatch.LeaseOwner` ------------------------------------------------------------

    def extend_lease(self, lease: Lease) -> None:
        """Extend a lease to a full lease time from now; it stays leased for the grace period after that.

        It is never shortened: its machine may have been told the later expiry.
        """
        lease.expires = max(lease.expires, self._now() + self._lease_s)
        self._deadlines.set(("lease", lease.id), lease.expires + self.timing.grace)

    def end_lease(self, lease: Lease, end: LeaseEnd, reason: int = 0) -> asyncio.Future[None]:
        """End an attempt and its lease, free its capacity and notify the receiver.

        Return the write of the end, which never fails.
        """
        lease.phase = LeasePhase.ENDED
        self._registry.by_machine[lease.machine].remove(lease)
        self.by_id.pop(lease.id, None)
        self._unconfirmed.discard(lease.id)
        self._deadlines.drop(("lease", lease.id))
        self._ledger.end(lease)
        written = self._storage.append_with_retry(end.encode(lease.id))
        lease.receiver.deliver(Ended(lease.attempt, end.outcome, reason, (), end.cause))
        return written

    def pickup_s(self) -> float:
        """Return how long an offer waits for its machine."""
        return self.timing.pickup

    def zone_and_rack(self, bot: Bot) -> tuple[str, str]:
        """Return the names of a machine's zone and rack."""
        return self._registry.zone_and_rack(bot)

    # ---- reports of pullers --------------------------------------------------------------------------------

    def apply_report(self, bot: Bot, reported: list[ReportedLease]) -> list[str]:
        """Apply the reported leases; return the ids of those that the puller must end to get new ones."""
        to_end = []
        now = self._now()
        for entry in reported:
            lease = bot.leases.get(entry.id)
            running = entry.state in ("PENDING", "ACTIVE")
            if lease is None or lease.phase is LeasePhase.OFFERED:
                if running:
                    to_end.append(entry.id)
            elif not running:
                self._finish(lease, entry)
            elif lease.phase is LeasePhase.CANCELLED or now >= lease.expires:
                # A renewal after the expiry is rejected: the puller had to stop the task at the expiry, and
                # the task may be placed elsewhere as soon as the grace period is over.
                self._cancel(lease, CAUSE_LOST)
            elif entry.state == "ACTIVE":
                self._renew(bot, lease)
        return to_end

    def _renew(self, bot: Bot, lease: Lease) -> None:
        if lease.id in self._unconfirmed:
            self._confirm(lease)
        else:
            self.extend_lease(lease)
        if lease.phase is LeasePhase.PENDING:
            lease.phase = LeasePhase.ACTIVE
            self._storage.append_with_retry(durable_state.encode("running", lease.id))
            lease.receiver.deliver(Answered(lease.attempt, bot.id))

    def _confirm(self, lease: Lease) -> None:
        """Extend a restored lease once its first renewal is stored, since the next run goes by that."""
        if lease.id not in self._report_writes:
            written = self._storage.append_with_retry(durable_state.encode("seen", lease.id))
            written.add_done_callback(lambda _: self._on_confirmed(lease))
            self._keep_write(lease, written)

    def _on_confirmed(self, lease: Lease) -> None:
        self._unconfirmed.discard(lease.id)
        if lease.phase in (LeasePhase.PENDING, LeasePhase.ACTIVE):
            self.extend_lease(lease)

    def _keep_write(self, lease: Lease, written: asyncio.Future[None]) -> None:
        self._report_writes[lease.id] = written
        written.add_done_callback(lambda _: self._report_writes.pop(lease.id, None))

    async def wait_until_stored(self, ids: Iterable[str]) -> None:
        """Wait until what was reported of these leases is on the disk, but not long.

        A machine says an end again until it is answered. An answer before the write would lose it in a kill.
        """
        writes = [self._report_writes[id] for id in ids if id in self._report_writes]
        if writes:
            await asyncio.wait(writes, timeout=MAX_WRITE_WAIT_S)

    def _finish(self, lease: Lease, entry: ReportedLease) -> None:
        """End a lease that its puller reports as completed or cancelled."""
        payload_of(lease.task).on_result(entry.result, entry.message)

        def end(outcome: Outcome, cause: int = CAUSE_LOST, reason: int = 0) -> None:
            lease_end = LeaseEnd(outcome, cause, entry.result, entry.message)
            self._keep_write(lease, self.end_lease(lease, lease_end, reason))

        succeeded = entry.state == "COMPLETED" and entry.code == CODE_OK
        if lease.phase is LeasePhase.CANCELLED:
            end(Outcome.CANCELLED, lease.stop_cause)
        elif lease.phase is LeasePhase.ACTIVE:
            end(Outcome.OK, CAUSE_FINISHED) if succeeded else end(Outcome.RESET)
        elif succeeded:  # a short task whose start and end are in the same report
            lease.receiver.deliver(Answered(lease.attempt, self._registry.by_machine[lease.machine].id))
            end(Outcome.OK, CAUSE_FINISHED)
        elif entry.state == "COMPLETED" and entry.code in DECLINE_REASONS:
            end(Outcome.FULL, reason=DECLINE_REASONS[entry.code])
        else:
            end(Outcome.ERROR)

    # ---- deadlines, operators, restarts --------------------------------------------------------------------

    def check_deadline(self, lease: Lease, now: float) -> None:
        """End a lease whose deadline has passed, or set its deadline again.

        The machine is forgotten if it then has neither a session nor leases.
        """
        bot = self._registry.by_machine[lease.machine]
        if lease.phase is LeasePhase.OFFERED:
            if now >= lease.expires:
                self.end_lease(lease, LeaseEnd(Outcome.CONNECT_FAILED))
            else:
                self._deadlines.set(("lease", lease.id), lease.expires)
        elif now >= lease.expires + self.timing.grace:
            self._log(f"bot {bot.id}: lease {lease.id} has run out, {lease.phase.value}")
            self.end_lease(lease, LeaseEnd(Outcome.RESET))
        else:
            self._deadlines.set(("lease", lease.id), lease.expires + self.timing.grace)
        self._registry.forget_if_idle(bot)

    def end_offers(self, bot: Bot) -> None:
        """End the offers to a machine as not sent: their tasks have never run and are placed elsewhere."""
        for lease in list(bot.offered.values()):
            self.end_lease(lease, LeaseEnd(Outcome.NOT_SENT))

    def restore(self, record: durable_state.LeaseRecord, task: ports.Task) -> int:
        """Restore a lease that was handed out by a former run of the gateway; return its machine's number."""
        bot = self._registry.restore(record.bot, record.place)
        phase = LeasePhase.ACTIVE if record.running else LeasePhase.PENDING
        lease = Lease(record.id, bot.machine, task, 0, NullReceiver(), phase)
        self.by_id[lease.id] = lease
        bot.add(lease)
        if record.stop_cause:
            lease.phase = LeasePhase.CANCELLED
            lease.stop_cause = record.stop_cause
            bot.stopping[lease.id] = lease
        lease.expires = self._now() + max(self.timing.lease, self._storage.state.lease_s)
        if not record.seen and record.until:
            lease.expires = min(lease.expires, record.until)
        self._deadlines.set(("lease", lease.id), lease.expires + self.timing.grace)
        self._storage.append_with_retry(durable_state.encode("until", lease.id, lease.expires))
        self._unconfirmed.add(lease.id)
        return bot.machine

    def handed_out(self) -> list[Lease]:
        """Return the leases that machines hold or may hold."""
        return [lease for lease in self.by_id.values() if lease.phase is not LeasePhase.OFFERED]

    # ---- implements `ports.Site` ---------------------------------------------------------------------------

    def offer(
        self,
        machine: int,
        task: ports.Task,
        attempt: int,
        wait_us: int,
        receiver: ports.Receiver,
        start_by_us: int = 0,
    ) -> None:
        """Offer a task to a machine. The offer waits for the machine's next update, for at most `wait_us`."""
        bot = self._registry.by_machine.get(machine)
        if bot is None or not bot.session or self._registry.effective_state(bot) is not MachineState.READY:
            receiver.deliver(Ended(attempt, Outcome.NOT_SENT))
            return
        lease = Lease(self._names.next("leases"), machine, task, attempt, receiver)
        self.by_id[lease.id] = lease
        lease.expires = self._now() + min(self.timing.pickup, wait_us / 1e6)
        self._deadlines.set(("lease", lease.id), lease.expires)
        bot.add(lease)
        bot.changed.set()

    def adopt(self, machine: int, task: ports.Task, receiver: ports.Receiver) -> None:
        """Deliver the messages of a restored lease to this receiver from now on."""
        lease = self._lease_of(machine, task)
        if lease is None:  # a submission of the pull queue cannot name the machine that runs its task
            receiver.deliver(Ended(0, Outcome.RESET))
        else:
            lease.receiver = receiver

    def give_up(self, machine: int, task: ports.Task) -> GiveUpResult:
        """Withdraw an offer. A lease that was handed out is cancelled, and ends when its puller confirms."""
        lease = self._lease_of(machine, task)
        if lease is None:
            return GiveUpResult.GIVEN_UP
        if lease.phase is LeasePhase.OFFERED:
            lease.phase = LeasePhase.ENDED
            self._registry.by_machine[machine].remove(lease)
            self.by_id.pop(lease.id, None)
            self._deadlines.drop(("lease", lease.id))
            return GiveUpResult.WITHDRAWN
        self._cancel(lease, CAUSE_CANCELLED)
        return GiveUpResult.STILL_OPEN

    def release(self, machine: int, task: ports.Task, cause: int) -> None:
        """Cancel a running task; its end is still delivered."""
        if lease := self._lease_of(machine, task):
            self._cancel(lease, CAUSE_CANCELLED)

    def move(self, machine: int, task: ports.Task) -> None:
        """Cancel a running task that is to be placed elsewhere."""
        self.release(machine, task, CAUSE_CANCELLED)

    def probe(self, machine: int, done: Callable[[Outcome, tuple[float, ...]], None]) -> None:
        """Answer a probe from the machine's last update; an overdue update counts as a time-out."""
        bot = self._registry.by_machine.get(machine)
        if bot is None or not bot.session:
            done(Outcome.CONNECT_FAILED, ())
        elif self._now() - bot.last_update > self.timing.poll + self.timing.pickup:
            done(Outcome.TIMEOUT, ())
        else:
            free = {"x0": bot.cores - bot.reserved[0], "x1": bot.memory - bot.reserved[1]}
            done(Outcome.OK, tuple(free.get(name, 0.0) for name in self.settings.report_fields))

    def _lease_of(self, machine: int, task: ports.Task) -> Lease | None:
        bot = self._registry.by_machine.get(machine)
        return bot.by_task.get(id(task)) if bot else None

    def _cancel(self, lease: Lease, cause: int) -> None:
        """Cancel a lease at its puller's next update; the lease ends when the puller confirms that.

        `cause`: that of its end. If the lease is cancelled twice, an end by its owner counts.
        """
        if lease.stop_cause not in (cause, CAUSE_CANCELLED):
            lease.stop_cause = cause
            self._storage.append_with_retry(durable_state.encode("stop", lease.id, cause))
        lease.phase = LeasePhase.CANCELLED
        bot = self._registry.by_machine[lease.machine]
        bot.stopping[lease.id] = lease
        bot.changed.set()
