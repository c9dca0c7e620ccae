"""The life of a request beside scripted decisions and a scripted site: no socket, no module."""

import asyncio
import time
import unittest

from weldhatch import interface as i
from weldhatch.core.driver import Driver, unix_us
from weldhatch.core.life import Core
from weldhatch.core.ports import LetGo, Task


class Offers:
    """Offers each request once, and refuses it once the attempt has ended with proof that nothing ran."""

    def handle(self, now, events):
        out = []
        for e in events:
            if isinstance(e, i.RequestArrived):
                out.append(i.Offer(e.request, 1))
            elif isinstance(e, i.AttemptEnded):
                proof = e.outcome is i.Outcome.CONNECT_FAILED
                out.append(i.Refuse(e.request, 0) if proof else i.Fail(e.request))
        return out


class Unreachable:
    """A machine to which nothing ever leaves."""

    def offer(self, machine, task, attempt, wait_us, teller):
        pass

    def give_up(self, machine, task):
        return LetGo.WITHDRAWN


class Asker:
    def __init__(self):
        self.answers, self.answered = [], asyncio.Event()

    def refused(self, wait_us):
        self.answers.append("refused")
        self.answered.set()

    def failed(self):
        self.answers.append("failed")
        self.answered.set()


class Lives(unittest.IsolatedAsyncioTestCase):
    async def test_a_process_held_up_past_the_deadline_still_tells_what_the_module_decides(self):
        """Seen in CI: the attempt's time and the request's passed in one moment, and the proof was lost."""
        logged, owner = [], Asker()
        driver = Driver(Offers(), logged.append)
        site = driver.site = Unreachable()
        core = Core(driver, site, logged.append)
        core.arrive(Task("t1", 0, 1, 1.0, 1.0, unix_us() + 30_000), owner)
        for _ in range(3):  # the arrival is decided and its offer made
            await asyncio.sleep(0)
        time.sleep(0.1)  # the process gets no processor until all its times have passed
        await asyncio.wait_for(owner.answered.wait(), 20)
        await asyncio.sleep(0)
        self.assertEqual(["refused"], owner.answers, logged)
