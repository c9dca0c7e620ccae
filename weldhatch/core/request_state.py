"""State shared by the phases of a request: mailbox, owner and number of attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from weldhatch.core.mailbox import Mailbox
from weldhatch.core.messages import GivenUp
from weldhatch.core.policy_driver import Driver
from weldhatch.core.ports import Owner, Rules, Site, Task

LOOP_PASSES_TO_READ = 4  # event loop passes until data sent by an owner has been read and delivered


class CoreState:
    """State shared by all requests of one dispatcher."""

    def __init__(self, driver: Driver, site: Site, log: Callable[[str], None]) -> None:
        """Use the policy of `driver`, and send offers to the machines of `site`."""
        self.driver = driver
        self.site = site
        self.log = log
        self.rules: Rules | None = None  # set if the dispatcher belongs to a group
        self.unanswered = 0  # requests without a final answer
        self.requests: set[RequestState] = set()


class RequestState(Mailbox):
    """State of an open request, used by the modules of the phases."""

    def __init__(
        self, core: CoreState, task: Task, owner: Owner, answered: bool, has_unread: Callable[[], bool]
    ) -> None:
        """Register with the driver, which delivers the policy's actions here.

        `answered` means that the final answer was already given. `has_unread` returns whether the owner has
        sent data or has disconnected, and that is still unread.
        """
        super().__init__()
        self.core = core
        self.driver = core.driver
        self.site = core.site
        self.task = task
        self.owner = owner
        self.answered = answered
        self.attempts = 0
        self._has_unread = has_unread
        self.id = self.driver.register(self.deliver)
        core.requests.add(self)
        core.unanswered += not answered

    @property
    def over(self) -> bool:
        """Whether the request has ended and receives no more messages."""
        return self not in self.core.requests

    def requeue(self, message: object) -> None:
        """Append a received message again, after all queued messages."""
        self._messages.append(message)

    def pending(self) -> tuple[object, ...]:
        """Return the queued messages, oldest first."""
        return tuple(self._messages)

    def is_given_up(self) -> bool:
        """Whether a `GivenUp` of the owner is queued."""
        return any(isinstance(message, GivenUp) for message in self._messages)

    async def is_given_up_after_reading(self) -> bool:
        """Whether the owner has given up, after reading what it has sent so far.

        Guards against a start for an owner that disconnected while the event loop was busy: its disconnect is
        read some loop passes after earlier decisions are carried out.
        """
        for _ in range(LOOP_PASSES_TO_READ):
            if not self._has_unread():
                break
            await asyncio.sleep(0)
        return self.is_given_up()

    def deliver_after(self, wait_us: float, message: object) -> asyncio.TimerHandle:
        """Deliver a message to this request after a delay."""
        return self._loop.call_later(wait_us / 1e6, self.deliver, message)
