"""Tests of one request with a scripted policy and scripted machines, without sockets."""

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


class OfferOncePolicy:
    """Offers each request once; rejects it if the outcome proves that the task did not run, else fails it."""

    def handle(self, now, events):
        actions = []
        for event in events:
            if isinstance(event, RequestArrived):
                actions.append(Offer(event.request, 1))
            elif isinstance(event, AttemptEnded):
                nothing_ran = event.outcome is Outcome.CONNECT_FAILED
                actions.append(Reject(event.request, 0) if nothing_ran else Fail(event.request))
        return actions


class UnreachableMachine:
    """A machine to which no offer is ever sent."""

    def offer(self, machine, task, attempt, wait_us, receiver, start_by_us=0):
        pass

    def give_up(self, machine, task):
        return GiveUpResult.WITHDRAWN


class SelfWithdrawingMachine(UnreachableMachine):
    """Ends each offer as not connected at the moment of its time-out."""

    def offer(self, machine, task, attempt, wait_us, receiver, start_by_us=0):
        asyncio.get_running_loop().call_later(
            wait_us / 1e6, receiver.deliver, Ended(attempt, Outcome.CONNECT_FAILED)
        )

    def give_up(self, machine, task):
        return GiveUpResult.GIVEN_UP


class RecordingOwner:
    """Records the final answers of a request."""

    def __init__(self):
        self.answers, self.answered = [], asyncio.Event()

    def refused(self, wait_us):
        self.answers.append("refused")
        self.answered.set()

    def failed(self):
        self.answers.append("failed")
        self.answered.set()


class BlockedProcess(unittest.IsolatedAsyncioTestCase):
    async def answers_after_block(self, site):
        """Return the answers to a request whose process is blocked until all its timers are due."""
        asyncio.get_running_loop().set_debug(False)
        logged, owner = [], RecordingOwner()
        driver = Driver(OfferOncePolicy(), logged.append)
        driver.site = site
        Core(driver, site, logged.append).arrive(Task("t1", 0, 1, 1.0, 1.0, unix_us() + 30_000), owner)
        for _ in range(3):  # the arrival is handled and the offer made
            await asyncio.sleep(0)
        time.sleep(0.1)
        await asyncio.wait_for(owner.answered.wait(), 20)
        await asyncio.sleep(0)
        return owner.answers

    async def test_a_time_out_due_together_with_the_deadline_still_leads_to_a_rejection(self):
        """Guards against lost proof that the task did not run.

        Seen in CI: the timers of the attempt and of the request were due in the same loop pass.
        """
        self.assertEqual(["refused"], await self.answers_after_block(UnreachableMachine()))

    async def test_an_outcome_due_together_with_the_time_out_of_the_attempt_takes_precedence(self):
        """Guards against a withdrawn offer that counts as one that may have run, as seen under load."""
        self.assertEqual(["refused"], await self.answers_after_block(SelfWithdrawingMachine()))
