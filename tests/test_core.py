"""One request beside scripted decisions and a scripted machines: no socket, no policy."""

import asyncio
import time
import unittest

from weldhatch.core.messages import Ended, GiveUpResult
from weldhatch.core.policy_driver import Driver, unix_us
from weldhatch.core.ports import Task
from weldhatch.core.request_lifecycle import Core
from weldhatch.scheduling.actions import Fail, Offer, Reject
from weldhatch.scheduling.events import AttemptEnded, RequestArrived
from weldhatch.scheduling.types import Outcome


class Offers:
    """Offers each request once, and refuses it once the attempt has ended with proof that nothing ran."""

    def handle(self, now, events):
        out = []
        for e in events:
            if isinstance(e, RequestArrived):
                out.append(Offer(e.request, 1))
            elif isinstance(e, AttemptEnded):
                proof = e.outcome is Outcome.CONNECT_FAILED
                out.append(Reject(e.request, 0) if proof else Fail(e.request))
        return out


class Unreachable:
    """A machine to which nothing ever leaves."""

    def offer(self, machine, task, attempt, wait_us, receiver, start_by_us=0):
        pass

    def give_up(self, machine, task):
        return GiveUpResult.WITHDRAWN


class Withdrawn(Unreachable):
    """Takes each offer back by itself, at the moment at which its time is up."""

    def offer(self, machine, task, attempt, wait_us, receiver, start_by_us=0):
        asyncio.get_running_loop().call_later(
            wait_us / 1e6, receiver.deliver, Ended(attempt, Outcome.CONNECT_FAILED)
        )

    def give_up(self, machine, task):
        return GiveUpResult.GIVEN_UP


class Asker:
    def __init__(self):
        self.answers, self.answered = [], asyncio.Event()

    def refused(self, wait_us):
        self.answers.append("refused")
        self.answered.set()

    def failed(self):
        self.answers.append("failed")
        self.answered.set()


class HeldUp(unittest.IsolatedAsyncioTestCase):
    async def held_up(self, site):
        """What a request is answered whose process gets no processor until all its times have passed."""
        asyncio.get_running_loop().set_debug(False)
        logged, owner = [], Asker()
        driver = Driver(Offers(), logged.append)
        driver.site = site
        Core(driver, site, logged.append).arrive(Task("t1", 0, 1, 1.0, 1.0, unix_us() + 30_000), owner)
        for _ in range(3):  # the arrival is decided and its offer made
            await asyncio.sleep(0)
        time.sleep(0.1)
        await asyncio.wait_for(owner.answered.wait(), 20)
        await asyncio.sleep(0)
        return owner.answers

    async def test_an_event_in_the_moment_of_the_deadline_still_decides(self):
        """Seen in CI: the attempt's time and the request's passed in one moment, and the proof was lost."""
        self.assertEqual(["refused"], await self.held_up(Unreachable()))

    async def test_an_end_in_the_moment_that_the_attempts_time_is_up_counts(self):
        """Seen under load: the offer was withdrawn in time, and was taken for one that may have run."""
        self.assertEqual(["refused"], await self.held_up(Withdrawn()))
