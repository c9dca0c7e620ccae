"""One request from its arrival to its release, in one coroutine: place it, then follow its task."""

from __future__ import annotations

import traceback
from collections.abc import Callable

from weldhatch.core.placement import place
from weldhatch.core.ports import Owner, Task
from weldhatch.core.request_state import CoreState, RequestState
from weldhatch.core.standing_task import StandingTask, adopt
from weldhatch.scheduling.events import RequestAbandoned


def _all_read() -> bool:
    return False


class Core(CoreState):
    """All requests under way. A front hands in what is asked, and keeps the lifecycle to send messages to."""

    def arrive(self, task: Task, owner: Owner, behind: Callable[[], bool] = _all_read) -> RequestLifecycle:
        """Take a new request up.

        `behind`: whether the owner has said something, or has left, and nobody has read that yet.
        """
        return RequestLifecycle(self, task, owner, None, behind=behind)

    def adopt(self, task: Task, machine: int, owner: Owner, answered: bool = True) -> RequestLifecycle:
        """Take a task into this dispatcher's care that runs on a machine already, or may.

        Not `answered`: its owner still waits for the one answer, which the machine's message brings, or the
        deadline does.
        """
        return RequestLifecycle(self, task, owner, machine, answered)


class RequestLifecycle(RequestState):
    """Exactly one final answer, one end an attempt, and never two attempts out.

    All three hold by the shape of the phases that `_run` goes through: only they answer, offer and end.
    """

    def __init__(
        self,
        core: Core,
        task: Task,
        owner: Owner,
        machine: int | None,
        answered: bool = True,
        behind: Callable[[], bool] = _all_read,
    ) -> None:
        """Start the coroutine; `machine` holds the task already, None for a request to be placed."""
        super().__init__(core, task, owner, machine is not None and answered, behind)
        self._running = self._loop.create_task(self._run(machine))

    async def _run(self, machine: int | None) -> None:
        try:
            attempt = await place(self) if machine is None else adopt(self, machine)
            if attempt is not None:
                await StandingTask(self, attempt).run()
        except Exception:
            # Guards the owner against a fault of ours: its request still gets its one final answer.
            self.core.log(f"request {self.id}: " + traceback.format_exc().replace("\n", " | "))
            if not self.answered:
                self.owner.failed()
            self.driver.post(RequestAbandoned(self.id))
        finally:
            self.driver.forget(self.id)
            self.core.requests.discard(self)
