"""Runs tasks of other sites at this site's core, and reports their outcomes to the source sites."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from weldhatch.core.messages import CAUSE_CANCELLED, CAUSE_FINISHED, GivenUp, Released
from weldhatch.core.request_lifecycle import Core
from weldhatch.sites import messages
from weldhatch.sites.background import BackgroundTasks, Lifecycle
from weldhatch.sites.effects import EffectRunner, TaskEffect
from weldhatch.sites.handoff_source import HandoffSource, TaskBusyError
from weldhatch.sites.handoff_target import AbandonTask, HandoffTarget, ReleaseTask, StartTask
from weldhatch.sites.messages import TransferId
from weldhatch.sites.storage import SiteStorage
from weldhatch.sites.task_translation import TaskTranslator

MAX_RESULT_CHARS = 12 * 1024  # longest task result that is sent to the source; longer ones are dropped
FAILED_CAUSE = 47  # the cause of the end of a task that failed and may have run


class IncomingTask:
    """A task of another site; the owner of its request at this site's core."""

    def __init__(self, tasks: IncomingTasks, offer: StartTask) -> None:
        """Hand the task to the core. Raises ValueError if the front end can't read it."""
        self._tasks = tasks
        self.site = offer.site
        self.id = offer.id
        self.work = offer.work
        self.is_placed = False
        self._result = ""
        self._lifecycle = tasks.core.arrive(
            tasks.translator.task_of(offer.site, offer.id, offer.work, offer.left_us, self._keep_result), self
        )

    def _keep_result(self, result: str) -> None:
        """Keep the result that the machine reported, until the task's end is handled."""
        if len(result) <= MAX_RESULT_CHARS:
            self._result = result
        else:
            self._tasks.log(f"site {self.site}: a result of {len(result)} characters is too long: dropped")

    def placed(self, description: str | None) -> None:
        """Handle the acceptance of the task by a machine."""
        self.is_placed = True
        effects = self._target.placed(self.id, description or "")
        self._tasks.effects.run_target(self.site, effects)

    def refused(self, wait_us: int) -> None:
        """Return the task to its source: the module has rejected it, and it did not run."""
        self._tasks.remove(self)
        self._tasks.effects.run_target(self.site, self._target.returned(self.id, wait_us))

    def failed(self) -> None:
        """Handle a failure: the task may have run and may still run, so its end is reported later."""
        self._tasks.spawn_settled(self._lifecycle, lambda: self._ended(FAILED_CAUSE))

    def released(self, cause: int) -> None:
        """Handle the end of the task at its machine."""
        self._ended(cause)

    def moved(self) -> None:
        """End the task: a migration within this site is not passed on to the source."""
        self._ended(CAUSE_CANCELLED)

    def abandon(self) -> None:
        """Abandon a recalled task. It may have run: its end is reported once it can't run any more."""
        self._lifecycle.deliver(GivenUp())
        self._tasks.spawn_settled(self._lifecycle, lambda: self._ended(CAUSE_FINISHED))

    def release(self, cause: int) -> None:
        """End the task. The core does not report an end that its owner requested, so this waits for it."""
        self._lifecycle.deliver(Released(cause))
        self._tasks.background.spawn_after(self._lifecycle, 0.0, lambda: self._ended(cause))

    @property
    def _target(self) -> HandoffTarget:
        return self._tasks.target(self.site)

    def _ended(self, cause: int) -> None:
        self._tasks.remove(self)
        self._tasks.effects.run_target(self.site, self._target.ended(self.id, cause, self._result))


class IncomingTasks:
    """All tasks of other sites at this site. `tasks`: by site and transfer id."""

    def __init__(
        self,
        core: Core,
        storage: SiteStorage,
        effects: EffectRunner,
        translator: TaskTranslator,
        background: BackgroundTasks,
        settle_s: float,
        log: Callable[[str], None],
    ) -> None:
        """`settle_s`: how long a task may still run after it was abandoned or its gateway died."""
        self.core = core
        self.effects = effects
        self.translator = translator
        self.background = background
        self.log = log
        self.tasks: dict[tuple[str, TransferId], IncomingTask] = {}
        self._storage = storage
        self._keys: HandoffSource = storage.source
        self._settle_s = settle_s

    @property
    def undecided(self) -> int:
        """Number of tasks that are neither placed nor ended."""
        return sum(not task.is_placed for task in self.tasks.values())

    def target(self, site: str) -> HandoffTarget:
        """Return the state machine of the hand-offs from a site."""
        return self._storage.target(site)

    def spawn_settled(self, lifecycle: Lifecycle, then: Callable[[], None]) -> None:
        """Call `then` once a task that was abandoned or failed can't run any more."""
        self.background.spawn_after(lifecycle, self._settle_s, then)

    def recover(self) -> None:
        """Schedule the end of a former gateway's transfers for when none of their tasks can run any more."""
        former_transfers = {site: list(target.transfers) for site, target in self._storage.targets.items()}
        asyncio.get_running_loop().call_later(self._settle_s, self._end_former_transfers, former_transfers)

    def _end_former_transfers(self, former_transfers: dict[str, list[TransferId]]) -> None:
        for site, ids in former_transfers.items():
            self.effects.run_target(site, self.target(site).recover(ids))

    def receive(self, site: str, message: messages.ToTarget, draining: bool) -> None:
        """Handle one message of a source. `draining`: this site accepts no new tasks."""
        if isinstance(message, messages.Offer) and self._storage.write_error:
            return  # the source repeats the offer
        self.effects.run_target(site, self.target(site).receive(message, draining))

    def run_effect(self, effect: TaskEffect) -> None:
        """Start, abandon or end a task."""
        match effect:
            case StartTask():
                self._start(effect)
            case AbandonTask(site, id):
                if task := self.tasks.get((site, id)):
                    task.abandon()
            case ReleaseTask(site, id, cause):
                if task := self.tasks.get((site, id)):
                    task.release(cause)

    def _start(self, offer: StartTask) -> None:
        """Hand a task of another site to this site's core, or return it if it can't start here."""
        reason = self._try_start(offer)
        if reason:
            epoch, serial = offer.id
            self.log(f"site {offer.site}: transfer {epoch}-{serial} is returned: {reason}")
            self.effects.run_target(offer.site, self.target(offer.site).returned(offer.id))

    def _try_start(self, offer: StartTask) -> str:
        """Hand a task to the core. Return why it can't start here; '' on success."""
        if reason := self.translator.why_not_admitted(offer.work):
            return reason
        try:
            self._keys.reserve_key(offer.work)
        except TaskBusyError as error:
            return str(error)
        try:
            self.tasks[offer.site, offer.id] = IncomingTask(self, offer)
        except ValueError as error:
            self._keys.release_key(offer.work)
            return str(error)
        return ""

    def remove(self, task: IncomingTask) -> None:
        """Remove a task that has ended here, and release its key."""
        if self.tasks.pop((task.site, task.id), None) is not None:
            self._keys.release_key(task.work)
