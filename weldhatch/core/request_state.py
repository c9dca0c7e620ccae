"""What the phases of one request share: its mailbox, its owner, and the count of its attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from weldhatch.core.mailbox import Mailbox
from weldhatch.core.messages import GivenUp
from weldhatch.core.policy_driver import Driver
from weldhatch.core.ports import Owner, Rules, Site, Task

LOOP_PASSES_TO_READ = 4  # passes of the event loop in which what an owner has sent is read and delivered


class CoreState:
    """What all requests of one dispatcher share."""

    def __init__(self, driver: Driver, site: Site, log: Callable[[str], None]) -> None:
        """Decide by this driver's policy, and send to these machines."""
        self.driver = driver
        self.site = site
        self.log = log
        self.rules: Rules | None = None  # where dispatchers agree on them
        self.unanswered = 0  # requests whose final answer is owed
        self.requests: set[RequestState] = set()


class RequestState(Mailbox):
    """A request while it is under way; the modules of the phases act on it."""

    def __init__(
        self, core: CoreState, task: Task, owner: Owner, answered: bool, unread: Callable[[], bool]
    ) -> None:
        """Register with the driver, which delivers the policy's actions here.

        `answered`: no final answer is owed. `unread` tells whether the owner has sent something, or has
        left, and nobody has read that yet.
        """
        super().__init__()
        self.core = core
        self.driver = core.driver
        self.site = core.site
        self.task = task
        self.owner = owner
        self.answered = answered
        self.attempts = 0
        self._unread = unread
        self.id = self.driver.register(self.deliver)
        core.requests.add(self)
        core.unanswered += not answered

    @property
    def over(self) -> bool:
        """Whether nothing is left to be received by it."""
        return self not in self.core.requests

    def put_back(self, message: object) -> None:
        """Have a message received again, after all that wait."""
        self._messages.append(message)

    def pending(self) -> tuple[object, ...]:
        """The messages that wait to be received, the oldest first."""
        return tuple(self._messages)

    def is_given_up(self) -> bool:
        """Whether the message that the owner waits no more is to be received."""
        return any(isinstance(message, GivenUp) for message in self._messages)

    async def is_given_up_by_now(self) -> bool:
        """Whether the owner waits no more, once all that it has sent so far is read.

        Guards against a start for an owner that has left while the loop was busy: its close is read only
        passes after what was decided before.
        """
        for _ in range(LOOP_PASSES_TO_READ):
            if not self._unread():
                break
            await asyncio.sleep(0)
        return self.is_given_up()

    def deliver_after(self, wait_us: float, message: object) -> asyncio.TimerHandle:
        """Deliver a message to the request itself after a wait."""
        return self._loop.call_later(wait_us / 1e6, self.deliver, message)
