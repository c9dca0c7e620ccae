"""One request from its arrival to its release, in one coroutine that reads from top to bottom."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable

from weldhatch.core.mailbox import Mailbox
from weldhatch.core.policy_driver import Driver, unix_us
from weldhatch.core.ports import (
    CALLED_OFF,
    GIVEN_UP,
    Answered,
    Ended,
    GivenUp,
    LetGo,
    Noted,
    Overdue,
    Owner,
    Released,
    Rules,
    Site,
    Task,
    TimeUp,
)
from weldhatch.scheduling.actions import Cancel, Fail, Migrate, Offer, Reject
from weldhatch.scheduling.events import (
    AttemptEnded,
    Note,
    Placed,
    RequestAbandoned,
    RequestArrived,
    TaskAdopted,
)
from weldhatch.scheduling.types import Outcome

HEARD_OUT_TURNS = 4  # turns of the event loop in which what has come from an owner is read and told
OVERDUE_US = 20_000  # the module answers before the deadline; so long after it, the core does


class Core:
    """All requests under way. A front hands in what is asked and keeps the `Life` to pass words to."""

    def __init__(self, driver: Driver, site: Site, log: Callable[[str], None]) -> None:
        self.driver, self.site, self.log = driver, site, log
        self.rules: Rules | None = None  # where dispatchers agree on them
        self.unanswered = 0
        self.lives: set[Life] = set()

    def arrive(self, task: Task, owner: Owner, behind: Callable[[], bool] = lambda: False) -> Life:
        """`behind`: whether the owner has said something, or has left, and nobody has read that yet."""
        return Life(self, task, owner, None, behind=behind)

    def adopt(self, task: Task, machine: int, owner: Owner, answered: bool = True) -> Life:
        """A task that runs on a machine already, or may, comes into this dispatcher's care.

        Not `answered`: its owner still waits for the one answer, which the machine's word brings, or the
        deadline does.
        """
        return Life(self, task, owner, machine, answered)


class Life(Mailbox):
    """Exactly one final answer, one end an attempt, and never two attempts out: all three hold by the
    shape of `_run`, which is the only place that answers, offers and ends."""

    def __init__(
        self,
        core: Core,
        task: Task,
        owner: Owner,
        machine: int | None,
        answered: bool = True,
        behind: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__()
        self._behind = behind
        self._core, self._driver, self._site = core, core.driver, core.site
        self.task, self._owner = task, owner
        self._attempts = 0
        self._answered = machine is not None and answered
        self.id = self._driver.register(self.tell)
        core.lives.add(self)
        core.unanswered += not self._answered
        self._running = self._loop.create_task(self._run(machine))

    @property
    def over(self) -> bool:
        """Whether nothing is left to be heard of it."""
        return self not in self._core.lives

    async def _run(self, machine: int | None) -> None:
        try:
            if machine is None:
                placed = await self._place()
            else:
                placed = self._adopted(machine)
            if placed is not None:
                await self._stand(*placed)
        except Exception:
            # Guards the owner against a fault of ours: its request still gets its one final answer.
            self._core.log(f"request {self.id}: " + traceback.format_exc().replace("\n", " | "))
            if not self._answered:
                self._owner.failed()
            self._driver.post(RequestAbandoned(self.id))
        finally:
            self._driver.forget(self.id)
            self._core.lives.discard(self)

    # ---- from the arrival to the final answer --------------------------------------------------------------

    async def _place(self) -> tuple[int, int, int] | None:
        """Ask the module, offer where it says, answer what it decides; where and when the task stands."""
        task = self.task
        if any(isinstance(word, GivenUp) for word in self._words):
            self._answered = True  # taken back in the moment it came: the module has nothing to decide
            self._core.unanswered -= 1
            return None
        if (rules := self._core.rules) and (away := rules.away_us(task)) is not None:
            self._answered = True  # no rules that are sure let it start: nothing for the module to decide
            self._core.unanswered -= 1
            self._owner.refused(away)
            return None
        self._driver.post(
            RequestArrived(
                self.id,
                task.class_index,
                task.deadline_us,
                task.service,
                task.cores,
                task.memory,
                task.key,
                task.tenant,
                None,
                task.again,
                task.only,
            )
        )
        left = max(0, task.deadline_us - unix_us()) + OVERDUE_US
        overdue = self._loop.call_later(left / 1e6, self.tell, Overdue())
        heard_out = False
        try:
            while True:
                match await self._next():
                    case Offer() as offer:
                        if await self._given_up_by_now():
                            self._words.append(offer)  # `_withdraw` ends it: it never left
                            continue
                        over, placed = await self._attempt(offer)
                        if over:
                            return placed
                    case Reject(_, wait):
                        self._answered = True
                        self._owner.refused(wait)
                        return None
                    case Fail():
                        self._answered = True
                        self._owner.failed()
                        return None
                    case Overdue() if not heard_out:
                        # Guards against a process that was held up past the deadline: what the module was
                        # told in the same moment it decides first, so proof that nothing ran still counts.
                        heard_out = True
                        await self._driver.settled()
                        self.tell(Overdue())
                    case Overdue():
                        # Guards against a module that never decides: the owner is owed an answer in time.
                        self._core.log(f"request {self.id}: no decision by the deadline")
                        self._answered = True
                        self._owner.failed()
                        await self._withdraw()
                        return None
                    case GivenUp():
                        self._answered = True  # none is owed any more
                        await self._withdraw()
                        return None
        finally:
            overdue.cancel()
            self._core.unanswered -= 1

    async def _given_up_by_now(self) -> bool:
        """Whether the owner waits no more, all that it has sent so far heard out.

        Guards against a start for an owner that has left while the loop was busy: its close is read only
        turns after what was decided before.
        """
        for _ in range(HEARD_OUT_TURNS):
            if not self._behind():
                break
            await asyncio.sleep(0)
        return any(isinstance(word, GivenUp) for word in self._words)

    async def _withdraw(self) -> None:
        """The request is over without the module's word.

        Guards against an offer decided in the batch that also told of the end: unless it gets its end
        too, the module counts it as out for ever.
        """
        await self._driver.settled(RequestAbandoned(self.id))
        for word in self._words:
            if isinstance(word, Offer):
                self._ended(word.machine, self._attempts, unix_us(), Outcome.NOT_SENT, closed=True)
                self._attempts += 1

    async def _attempt(self, offer: Offer) -> tuple[bool, tuple[int, int, int] | None]:
        """One attempt from its offer to its one end; whether the request is over, and where it stands."""
        machine, number, sent = offer.machine, self._attempts, unix_us()
        self._attempts += 1
        wait = max(0, self.task.deadline_us - sent)
        if offer.give_up_us:
            wait = min(wait, offer.give_up_us)
        if (rules := self._core.rules) and rules.stops(self.task.class_index, machine, number):
            # Guards against rules that moved on between the decision and the send.
            self._ended(machine, number, sent, Outcome.NOT_SENT)
            return False, None
        timer = self._loop.call_later(wait / 1e6, self.tell, TimeUp(number))
        self._site.offer(machine, self.task, number, wait, self, offer.start_by_us)
        try:
            while True:
                match await self._next():
                    case Answered(attempt, description) if attempt == number:
                        self._answered = True
                        self._owner.placed(description)
                        self._driver.post(Placed(self.id, number, machine, unix_us() - sent))
                        return True, (machine, number, sent)
                    case Ended(attempt, outcome, reason, report) if attempt == number:
                        self._ended(machine, number, sent, outcome, reason, report)
                        return False, None
                    case TimeUp() | Cancel() if self._told(number):
                        pass  # its answer or its end was told in the same moment, and says more
                    case TimeUp(attempt) if attempt == number:
                        if self._let_go(machine, number, sent, Outcome.TIMEOUT):
                            return False, None
                    case Cancel(_, attempt) if attempt == number:
                        if self._let_go(machine, number, sent, Outcome.CANCELLED):
                            return False, None
                    case GivenUp():
                        self._answered = True
                        self._driver.post(RequestAbandoned(self.id))
                        self._let_go(machine, number, sent, Outcome.CANCELLED, closed=True)
                        return True, None
                    case Noted(attempt, topic, value) if attempt == number:
                        self._driver.post(Note(self.id, number, machine, topic, value))
        finally:
            timer.cancel()

    def _told(self, number: int) -> bool:
        """Whether the attempt's answer or its end waits to be heard.

        Guards proof that nothing ran against a process that was held up past the attempt's time, and a task
        that stands against a second attempt beside it.
        """
        return any(isinstance(word, Ended | Answered) and word.attempt == number for word in self._words)

    def _let_go(self, machine: int, number: int, sent: int, outcome: Outcome, closed: bool = False) -> bool:
        """Give the attempt up; whether that ends it.

        One that stays out at its machine still ends here at the owner's deadline, since the owner is owed
        its answer then, and the module offers nothing after it.
        """
        let_go = self._site.give_up(machine, self.task)
        if let_go is LetGo.STILL_OUT and not closed and unix_us() < self.task.deadline_us:
            return False
        if let_go is LetGo.WITHDRAWN:
            outcome = Outcome.CONNECT_FAILED
        self._ended(machine, number, sent, outcome, closed=closed)
        return True

    def _ended(
        self,
        machine: int,
        number: int,
        sent: int,
        outcome: Outcome,
        reason: int = 0,
        report: tuple[float, ...] = (),
        closed: bool = False,
    ) -> None:
        self._driver.post(
            AttemptEnded(self.id, number, machine, outcome, max(0, unix_us() - sent), reason, closed, report)
        )

    # ---- while the task stands -----------------------------------------------------------------------------

    def _adopted(self, machine: int) -> tuple[int, int, int]:
        task = self.task
        self._driver.post(
            TaskAdopted(
                self.id,
                task.class_index,
                task.service,
                task.cores,
                task.memory,
                machine,
                task.key,
                task.tenant,
            )
        )
        self._site.adopt(machine, task, self)
        return machine, 0, unix_us()

    async def _stand(self, machine: int, number: int, sent: int) -> None:
        """Until the machine tells of the end, which goes to the owner unless the owner brought it about."""
        owner_knows = False
        overdue = None
        if not self._answered:
            left = max(0, self.task.deadline_us - unix_us())
            overdue = self._loop.call_later(left / 1e6, self.tell, Overdue())
        while True:
            match await self._next():
                case Answered(attempt, description) if attempt == number and not self._answered:
                    self._answer(overdue)
                    self._owner.placed(description)
                case Overdue() if not self._answered:
                    # It may run, and nobody waits for it any more: it is called off, and its end awaited.
                    self._answer(overdue)
                    self._owner.failed()
                    owner_knows = True
                    self._site.release(machine, self.task, CALLED_OFF)
                case Noted(attempt, topic, value) if attempt == number:
                    self._driver.post(Note(self.id, number, machine, topic, value))
                case GivenUp() if not owner_knows:
                    # The answer crossed the end of its owner's interest: nobody else would end the task.
                    owner_knows = True
                    self._site.release(machine, self.task, GIVEN_UP)
                case Released(cause) if not owner_knows:
                    owner_knows = True
                    self._site.release(machine, self.task, cause)
                case Migrate() if not owner_knows:
                    owner_knows = True
                    self._owner.moved()
                    self._site.move(machine, self.task)
                case Ended(attempt, outcome, reason, report, cause) if attempt == number:
                    self._ended(machine, number, sent, outcome, reason, report, closed=True)
                    if not self._answered:
                        self._answer(overdue)
                        never_ran = outcome in (Outcome.FULL, Outcome.NOT_SENT, Outcome.CONNECT_FAILED)
                        self._owner.refused(0) if never_ran else self._owner.failed()
                    elif not owner_knows and cause != CALLED_OFF:
                        self._owner.released(cause or GIVEN_UP)
                    return

    def _answer(self, overdue: asyncio.TimerHandle | None) -> None:
        """The one answer of a request that was adopted without it."""
        self._answered = True
        self._core.unanswered -= 1
        if overdue is not None:
            overdue.cancel()
