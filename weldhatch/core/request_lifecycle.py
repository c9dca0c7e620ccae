"""The lifecycle of a request in one coroutine: place the request, then follow its task to the end."""

from __future__ import annotations

import traceback
from collections.abc import Callable

from weldhatch.core.placement import place
from weldhatch.core.ports import Owner, Task
from weldhatch.core.request_state import CoreState, RequestState
from weldhatch.core.running_task import RunningTask, adopt
from weldhatch.scheduling.events import RequestAbandoned


def _nothing_unread() -> bool:
    return False


class Core(CoreState):
    """All open requests. A front submits tasks and sends further messages to the returned lifecycle."""

    def arrive(
        self, task: Task, owner: Owner, has_unread: Callable[[], bool] = _nothing_unread
    ) -> RequestLifecycle:
        """Start the lifecycle of a new request.

        `has_unread` returns whether the owner has sent data or has disconnected, and that is still unread.
        """
        return RequestLifecycle(self, task, owner, None, has_unread=has_unread)

    def adopt(self, task: Task, machine: int, owner: Owner, answered: bool = True) -> RequestLifecycle:
        """Start the lifecycle of a task that already runs, or may run, on a machine.

        If not `answered`, the owner still waits for the final answer, which follows from a message of the
        machine or from the deadline.
        """
        return RequestLifecycle(self, task, owner, machine, answered)


class RequestLifecycle(RequestState):
    """Guarantees one final answer, one outcome for each attempt, and at most one open attempt.

    These hold because only the sequential phases of `_run` answer, offer and end.
    """

    def __init__(
        self,
        core: Core,
        task: Task,
        owner: Owner,
        machine: int | None,
        answered: bool = True,
        has_unread: Callable[[], bool] = _nothing_unread,
    ) -> None:
        """Start the coroutine; `machine` already runs the task, or is None for a request to be placed."""
        super().__init__(core, task, owner, machine is not None and answered, has_unread)
        self._running = self._loop.create_task(self._run(machine))

    async def _run(self, machine: int | None) -> None:
        try:
            attempt = await place(self) if machine is None else adopt(self, machine)
            if attempt is not None:
                await RunningTask(self, attempt).run()
        except Exception:
            # After an internal error the owner must still get its final answer.
            self.core.log(f"request {self.id}: " + traceback.format_exc().replace("\n", " | "))
            if not self.answered:
                self.owner.failed()
            self.driver.post(RequestAbandoned(self.id))
        finally:
            self.driver.forget(self.id)
            self.core.requests.discard(self)
