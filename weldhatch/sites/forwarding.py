"""One gateway among several sites: it stands where the core stands for a front, and passes on what crosses.

A request is one coroutine (`Crossing`): it stays where home has room or no other site has, goes to one other
site at a time where the routing says so, and home's own module decides on what comes back. A task that comes
from another site goes through this site's core as any other request does.
"""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable
from dataclasses import replace

from weldhatch.core import ports
from weldhatch.core.mailbox import Mailbox
from weldhatch.core.messages import CALLED_OFF, GIVEN_UP, GivenUp, Released
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_lifecycle import Core, RequestLifecycle
from weldhatch.scheduling.types import Settings
from weldhatch.sites import frames, handoff_source, handoff_target, messages
from weldhatch.sites import storage as records
from weldhatch.sites.capacity import CapacityTracker
from weldhatch.sites.handoff_source import HandoffSource, TaskBusyError
from weldhatch.sites.link import Link, LinkHandlers
from weldhatch.sites.local_site import LocalAnswer, LocalEnd, LocalOwner, SiteFrontEnd
from weldhatch.sites.messages import TransferId, Work
from weldhatch.sites.routing import CapacitySummary, KeepLocal, Router
from weldhatch.sites.session import ProtocolError
from weldhatch.sites.status import site_status
from weldhatch.sites.storage import SiteStorage
from weldhatch.store.log import LogError

WORDS, SUMMARIES = 0, 1  # streams of a link
HOME_SHARE = 0.4  # the part of the time left that home has before other sites are looked at again
LOOK_LEAST_US = 200_000  # with less time left than this home has it all
SPARE_US = 30_000  # an answer from another site has to be here so long before the deadline
TELL_S = 0.5  # between two summaries
REPEAT_S = 1.0  # between two looks at what another site has not confirmed
SILENT_S = 0.5  # safe work is taken back from a site whose link has been down for so long
LOOK_S = 0.01
RESULT_MOST = 12 * 1024  # characters of what a task has come to; a longer text stays where it ran
FAILED = 47  # the cause of a task that may have run
BUSY_WAIT_US = 1_000_000  # when to come back, for a task whose key is in doubt


class ForwardedRequest(Mailbox):
    """One request of an owner here. Exactly one final answer: `_decide` is the only place that gives it."""

    def __init__(self, sites: SiteForwarder, task: ports.Task, owner: ports.Owner) -> None:
        super().__init__()
        self._sites, self.task, self._owner = sites, task, owner
        self.work = sites.work_of(task)
        self.answered = False
        sites.requests.add(self)
        sites.undecided += 1
        self.running = self._loop.create_task(self._run())

    def _left_us(self) -> int:
        return self.task.deadline_us - unix_us()

    async def _run(self) -> None:
        try:
            stands = await self._decide()
            self._answer_done()
            if stands is not None:
                await stands
        except Exception:
            # Guards the owner against a fault of ours: its request still gets its one final answer.
            self._sites.log("a crossing: " + traceback.format_exc().replace("\n", " | "))
            if not self.answered:
                self._answer_done()
                self._owner.failed()
        finally:
            self._sites.requests.discard(self)

    def _answer_done(self) -> None:
        if not self.answered:
            self.answered = True
            self._sites.undecided -= 1

    # ---- from the arrival to the final answer ----------------------------------------------------------

    async def _decide(self) -> object | None:
        """Where the room is told to be, then home; what looks after the task where it stands, or None.

        Home, while no other site has room, for a share of the time that is left: then it is looked again.
        """
        # A task that may go to certain machines only stays with them.
        crossed = set() if self.task.only is None else set(self._sites.links)
        wait_us = 0
        while self._left_us() > SPARE_US:
            to = self._sites.choose(self.work, self._left_us(), frozenset(crossed))
            if isinstance(to, KeepLocal):
                if self._sites.draining:
                    break
                last = len(crossed) >= len(self._sites.links) or self._left_us() < LOOK_LEAST_US
                word = await self._at_home(int(self._left_us() * (1.0 if last else HOME_SHARE)))
            else:
                crossed.add(to)
                word = await self._lend(to)
            match word:
                case LocalAnswer("placed", description):
                    self._owner.placed(description)
                    return self._stand_at_home()
                case handoff_source.AnswerOwner(id, "placed", description):
                    self._owner.placed(description)
                    return self._stand_there(id)
                case LocalAnswer("refused", _, wait) | handoff_source.ReclaimTask(_, wait):
                    wait_us = max(wait_us, wait)
                    if isinstance(word, LocalAnswer) and last:
                        break
                case handoff_source.AnswerOwner(_, "refused", _, wait):
                    self._owner.refused(wait)
                    return None
                case LocalAnswer() | handoff_source.AnswerOwner():
                    self._owner.failed()
                    return None
                case TaskBusyError():
                    self._owner.refused(BUSY_WAIT_US)
                    return None
                case None:
                    return None  # given up
        self._owner.refused(wait_us)
        return None

    async def _at_home(self, share_us: int) -> LocalAnswer | TaskBusyError | None:
        """Home's module decides, within so much time; None where the owner gave up."""
        try:
            self._sites.source.reserve_key(self.work)
        except TaskBusyError as busy:
            return busy
        self._life: RequestLifecycle = self._sites.core.arrive(
            replace(self.task, deadline_us=unix_us() + share_us), LocalOwner(self.deliver)
        )
        while True:
            match await self.next_message():
                case LocalAnswer(answer) as here:
                    if answer == "refused":
                        self._sites.source.release_key(self.work)
                    elif answer == "failed":  # it may run: its key is not free before that is over
                        self._sites.settle(self._life, lambda: self._sites.source.release_key(self.work))
                    return here
                case GivenUp():
                    self._life.deliver(GivenUp())
                    self._sites.settle(self._life, lambda: self._sites.source.release_key(self.work))
                    return None

    async def _lend(
        self, site: str
    ) -> handoff_source.AnswerOwner | handoff_source.ReclaimTask | TaskBusyError | None:
        """Hand the task to another site and wait for its word; None where the owner gave up."""
        try:
            id = await self._sites.lend(site, self.work, self._left_us() - SPARE_US, self)
        except TaskBusyError as busy:
            return busy
        timer = self._loop.call_later(max(0, self._left_us() - SPARE_US) / 1e6, self._sites.time_up, id)
        try:
            while True:
                match await self.next_message():
                    case handoff_source.AnswerOwner() | handoff_source.ReclaimTask() as word if word.id == id:
                        return word
                    case GivenUp():
                        self._sites.leave(id)
                        self._sites.carry(self._sites.source.abandoned(id))
                        return None
        finally:
            timer.cancel()

    # ---- while the task stands -------------------------------------------------------------------------

    async def _stand_at_home(self) -> None:
        try:
            while True:
                match await self.next_message():
                    case LocalEnd(cause, moved):
                        self._owner.moved() if moved else self._owner.released(cause)
                        return
                    case Released(cause):
                        self._life.deliver(Released(cause))
                        await self._sites.after(self._life, 0.0, lambda: None)
                        return
        finally:
            self._sites.source.release_key(self.work)

    async def _stand_there(self, id: TransferId) -> None:
        while True:
            match await self.next_message():
                case handoff_source.ReportEnd(which, cause, result) if which == id:
                    if result:
                        self._sites.front.came_to(self.task, result)
                    self._owner.released(cause)
                    return
                case Released(cause):
                    self._sites.leave(id)
                    self._sites.carry(self._sites.source.released(id, cause))
                    return


class IncomingTask:
    """A task of another site, at this site's core: tells the hand-over what comes of it."""

    def __init__(self, sites: SiteForwarder, site: str, id: TransferId, work: Work, left_us: int) -> None:
        self._sites, self.site, self.id, self.work = sites, site, id, work
        self.standing = False
        self._result = ""
        self.life = sites.core.arrive(sites.task_of(site, id, work, left_us, self._came_to), self)

    def _came_to(self, result: str) -> None:
        """What its machine says that it has come to; its end follows."""
        if len(result) <= RESULT_MOST:
            self._result = result
        else:
            self._sites.log(f"site {self.site}: a result of {len(result)} characters does not cross")

    def placed(self, description: str | None) -> None:
        self.standing = True
        self._sites.carry(self._target.placed(self.id, description or ""), self.site)

    def refused(self, wait_us: int) -> None:
        self._over()
        self._sites.carry(self._target.returned(self.id, wait_us), self.site)

    def failed(self) -> None:
        """It may have run, and may still."""
        self._sites.settle(self.life, lambda: self._ended(FAILED))

    def released(self, cause: int) -> None:
        self._ended(cause)

    def moved(self) -> None:
        self._ended(CALLED_OFF)

    def give_up(self) -> None:
        """Nobody waits for it any more. It may have run: it ends once it can't, and is not returned."""
        self.life.deliver(GivenUp())
        self._sites.settle(self.life, lambda: self._ended(GIVEN_UP))

    def free(self, cause: int) -> None:
        """The core tells an owner nothing of an end that the owner asked for: it is waited for."""
        self.life.deliver(Released(cause))
        self._sites.spawn(self._sites.after(self.life, 0.0, lambda: self._ended(cause)))

    @property
    def _target(self) -> handoff_target.HandoffTarget:
        return self._sites.book.target(self.site)

    def _ended(self, cause: int) -> None:
        self._over()
        self._sites.carry(self._target.ended(self.id, cause, self._result), self.site)

    def _over(self) -> None:
        if self._sites.incoming.pop((self.site, self.id), None) is not None:
            self._sites.source.release_key(self.work)


class SiteForwarder:
    """All that crosses, both ways. A front may hold it in the place of its core."""

    def __init__(
        self,
        name: str,
        names: list[str],
        settings: Settings,
        core: Core,
        book: SiteStorage,
        router: Router,
        front: SiteFrontEnd,
        settle_s: float,
        log: Callable[[str], None],
    ) -> None:
        """`settle_s`: for how long a task that was given up, or whose gateway died, may still run."""
        self.name, self.settings, self.core, self.book, self.router = name, settings, core, book, router
        self.front, self._settle_s, self.log = front, settle_s, log
        self.source: HandoffSource = book.source
        self.room = CapacityTracker(settings)
        self.requests: set[ForwardedRequest] = set()
        self.undecided = 0
        self.incoming: dict[tuple[str, TransferId], IncomingTask] = {}
        self.draining = self._closed = False
        self._waiting: dict[
            TransferId, tuple[ForwardedRequest, int]
        ] = {}  # who waits for a transfer, and until when
        self._down: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        handlers = LinkHandlers(self._link_up, self._link_down, self._hear)
        self.links = {site: Link(name, site, book, handlers, log) for site in names}
        self._indexes = {cls.name: n for n, cls in enumerate(settings.classes)}
        self._restore()
        self.spawn(self._tick())

    def rule(self, settings: Settings) -> None:
        """Other settings are in force from now on; classes keep their places."""
        self.settings = self.room.settings = settings
        self._indexes = {cls.name: n for n, cls in enumerate(settings.classes)}

    def spawn(self, work: object) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def unanswered(self) -> int:
        """Requests that are owed an answer: owners' here, and those of other sites."""
        return self.undecided + sum(not incoming_task.standing for incoming_task in self.incoming.values())

    @property
    def lives(self) -> set:
        return self.core.requests

    def arrive(self, task: ports.Task, owner: ports.Owner) -> ForwardedRequest:
        return ForwardedRequest(self, task, owner)

    def adopt(
        self, task: ports.Task, machine: int, owner: ports.Owner, answered: bool = True
    ) -> RequestLifecycle:
        """A task that runs here already: its key is this site's until it is over."""
        work, life = self.work_of(task), self.core.adopt(task, machine, owner, answered)
        try:
            self.source.reserve_key(work)
        except TaskBusyError as busy:
            self.log(f"a task that runs here, of key {work.key:x}: {busy}")
        else:
            self.spawn(self.after(life, 0.0, lambda: self.source.release_key(work)))
        return life

    def _restore(self) -> None:
        """After a start: owners of what was out have gone; what was tried here may run for a while yet."""
        self.carry(self.source.recover())
        asyncio.get_running_loop().call_later(
            self._settle_s,
            self._settled,
            {site: list(target.transfers) for site, target in self.book.targets.items()},
        )

    def _settled(self, before: dict[str, list[TransferId]]) -> None:
        """Nothing that a former gateway started runs any more."""
        for site, ids in before.items():
            self.carry(self.book.target(site).recover(ids), site)

    def settle(self, life: RequestLifecycle, then: Callable[[], None]) -> None:
        """Call once a task that was given up, or failed, can't run any more."""
        self.spawn(self.after(life, self._settle_s, then))

    async def after(self, life: RequestLifecycle, seconds: float, then: Callable[[], None]) -> None:
        while not life.over:
            await asyncio.sleep(LOOK_S)
        await asyncio.sleep(seconds)
        then()

    def leave(self, id: TransferId) -> None:
        """Nobody here waits for a transfer any more."""
        self._waiting.pop(id, None)

    # ---- what crosses ----------------------------------------------------------------------------------

    def work_of(self, task: ports.Task) -> Work:
        cls = self.settings.classes[task.class_index]
        tenants = self.settings.tenants
        return Work(
            cls.name,
            cls.effect.name,
            task.key,
            task.service,
            task.cores,
            task.memory,
            tenants[task.tenant].name if tenants else "",
            self.front.names_of(task),
            0,
        )

    def task_of(
        self, site: str, id: TransferId, work: Work, left_us: int, came_to: Callable[[str], None]
    ) -> ports.Task:
        tenants = [tenant.name for tenant in self.settings.tenants]
        label, passed_on = self.front.guest(site, id, work, came_to)
        return ports.Task(
            label,
            self._indexes[work.class_name],
            work.service,
            work.cores,
            work.memory,
            unix_us() + left_us,
            work.key,
            tenants.index(work.tenant) if work.tenant in tenants else 0,
            passed_on=passed_on,
        )

    def summary(self) -> CapacitySummary:
        return self.room.summary(
            time.monotonic(), self.core.unanswered, len(self.core.requests), self.draining
        )

    def choose(self, work: Work, left_us: int, crossed: frozenset[str]) -> str | KeepLocal:
        if self.book.write_error:
            return KeepLocal("the store takes nothing")
        return self.router.choose(time.monotonic(), work, self.summary(), left_us / 1e6, crossed)

    async def lend(self, site: str, work: Work, left_us: int, request: ForwardedRequest) -> TransferId:
        """Hand a task over: written down first. Raises Busy where that can't be done now."""
        work = replace(work, hops=work.hops + 1)
        id, effects = self.source.offer(site, work, left_us)
        self._waiting[id] = (request, unix_us() + left_us)
        write, *rest = effects
        try:
            await self.book.append([records.encode_source_record(write.record)])
        except LogError as fault:
            self.source.cancel_unwritten(id)
            del self._waiting[id]
            raise TaskBusyError(f"the store takes nothing: {fault}") from None
        self.router.transfer_sent(time.monotonic(), site, work)
        self.carry(rest)
        return id

    def time_up(self, id: TransferId) -> None:
        one = self.source.transfers.get(id)
        if one is not None and one.phase is handoff_source.OutgoingPhase.OFFERED:
            self.router.transfer_failed(time.monotonic(), one.site)
            self.carry(self.source.deadline_passed(id))

    # ---- carrying effects out --------------------------------------------------------------------------

    def carry(self, effects: list, site: str = "") -> None:
        """Carry effects out in order: what follows a record waits until it is on the disk.

        Guards against a start by a gateway that was closed while its record was being written.
        """
        if self._closed:
            return
        for n, effect in enumerate(effects):
            if isinstance(effect, handoff_source.WriteRecord | handoff_target.WriteRecord):
                record = (
                    records.encode_source_record(effect.record)
                    if isinstance(effect, handoff_source.WriteRecord)
                    else records.encode_target_record(site, effect.record)
                )
                self.book.append_with_retry([record]).add_done_callback(
                    lambda done, rest=effects[n + 1 :]: done.cancelled() or self.carry(rest, site)
                )
                return
            self._carry(effect)

    def _carry(self, effect: object) -> None:
        match effect:
            case handoff_source.SendMessage(site, word) | handoff_target.SendMessage(site, word):
                self.links[site].send(WORDS, frames.encode_message(word))
            case handoff_source.AnswerOwner(id) | handoff_source.ReclaimTask(id):
                if waiting := self._waiting.get(id):
                    if not (isinstance(effect, handoff_source.AnswerOwner) and effect.answer == "placed"):
                        del self._waiting[id]
                    waiting[0].deliver(effect)
            case handoff_source.ReportEnd(id):
                if waiting := self._waiting.pop(id, None):
                    waiting[0].deliver(effect)
            case handoff_target.StartTask(site, id, work, left_us):
                self._welcome(site, id, work, left_us)
            case handoff_target.AbandonTask(site, id):
                if incoming_task := self.incoming.get((site, id)):
                    incoming_task.give_up()
            case handoff_target.ReleaseTask(site, id, cause):
                if incoming_task := self.incoming.get((site, id)):
                    incoming_task.free(cause)

    def _welcome(self, site: str, id: TransferId, work: Work, left_us: int) -> None:
        """A task of another site comes to this site's core, or is returned where it can't start here."""
        cls = self._indexes.get(work.class_name)
        why = "" if cls is not None else f"no class is named {work.class_name!r} here"
        if not why and self.settings.classes[cls].effect.name != work.effect:
            why = f"class {work.class_name!r} has another effect here"
        try:
            why = why or self.front.admits(work)
            self.source.reserve_key(work) if not why else None
        except TaskBusyError as busy:
            why = str(busy)
        if not why:
            try:
                self.incoming[site, id] = IncomingTask(self, site, id, work, left_us)
                return
            except ValueError as fault:
                self.source.release_key(work)
                why = str(fault)
        self.log(f"site {site}: transfer {id[0]}-{id[1]} is returned: {why}")
        self.carry(self.book.target(site).returned(id), site)

    # ---- links -----------------------------------------------------------------------------------------

    def _link_up(self, site: str) -> None:
        self._down.pop(site, None)
        self.router.link_changed(time.monotonic(), site, True)
        self._say_again(site)
        self._tell(site)

    def _link_down(self, site: str) -> None:
        self._down[site] = time.monotonic()
        self.router.link_changed(time.monotonic(), site, False)

    def _hear(self, site: str, stream: int, payload: bytes) -> None:
        if stream == SUMMARIES:
            self.router.receive_summary(
                time.monotonic(), site, frames.decode_summary(payload), self.links[site].session.delay_s
            )
            return
        if stream != WORDS:
            raise ProtocolError(f"stream {stream} is not spoken here")
        word = frames.decode_message(payload)
        if isinstance(word, messages.ToTarget):
            if isinstance(word, messages.Offer) and self.book.write_error:
                return  # it will be said again
            self.carry(self.book.target(site).receive(word, self.draining), site)
            return
        one, now = self.source.transfers.get(word.id), time.monotonic()
        if one is not None and one.site == site:
            if isinstance(word, messages.Placed | messages.Ended):
                self.front.ran(one.work)
            match word:
                case messages.Placed() if one.phase is handoff_source.OutgoingPhase.OFFERED:
                    self.router.transfer_placed(now, site)
                case messages.Returned():
                    self.router.transfer_returned(now, site, one.work)
                    self.router.transfer_over(site)
                case messages.Ended():
                    self.router.transfer_over(site)
        self.carry(self.source.receive(site, word))

    def _say_again(self, site: str) -> None:
        now = unix_us()
        left = {id: deadline - now for id, (_, deadline) in self._waiting.items()}
        for say in self.source.unconfirmed_messages(site, left):
            self._carry(say)
        for say in self.book.target(site).unconfirmed_messages():
            self._carry(say)

    def _tell(self, site: str) -> None:
        self.links[site].send(SUMMARIES, frames.encode_summary(self.summary()))

    async def _tick(self) -> None:
        """Summaries, repeats, and safe work taken back from sites that say nothing."""
        repeated = time.monotonic()
        while True:
            await asyncio.sleep(TELL_S / 2)
            now = time.monotonic()
            for site, link in self.links.items():
                if link.up:
                    self._tell(site)
                    if now - repeated >= REPEAT_S:
                        self._say_again(site)
                elif now - self._down.get(site, 0.0) > SILENT_S:
                    for id in [id for id, one in self.source.transfers.items() if one.site == site]:
                        self.carry(self.source.link_silent(id))
            if now - repeated >= REPEAT_S:
                repeated = now

    # ---- for operators ---------------------------------------------------------------------------------

    def status(self) -> dict:
        """Links, epochs, what is out where, and what is in doubt and why."""
        return {
            "site": self.name,
            "epoch": self.book.epoch,
            "draining": self.draining,
            "sites": {
                site: site_status(site, link, self.router.sites[site], self.source, self.book)
                for site, link in self.links.items()
            },
        }

    def forget(self, site: str) -> int:
        """An operator vouches that nothing of ours runs there; how many transfers are over with it."""
        out = self.source.count_open(site)
        self.carry(self.source.forget_site(site))
        return out

    def close(self) -> None:
        """Give back every socket and task at once; what was taken gets no more answers."""
        self._closed = True
        for task in [*self._tasks, *(request.running for request in self.requests)]:
            task.cancel()
        for link in self.links.values():
            link.close()
