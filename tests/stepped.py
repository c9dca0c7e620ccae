"""An event loop on real sockets whose clock advances only while no socket is ready.

It makes tests of time spans independent of the machine's load: all work between two steps of the clock
happens at the same time, however slowly it runs.
"""

import asyncio
import contextlib
import selectors
import time
from unittest import mock

IDLE_S = 0.0003  # real time for which no socket may be ready before the clock advances
MAX_STEP_S = 0.004  # of the clock
MIN_STEP_S = 1e-6  # a smaller step is lost when rounded in Unix seconds, and the clock would not advance


class SteppedSelector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.started = time.time()
        self.now = 0.0  # starts at 0, so that the smallest wait is not lost in rounding

    def select(self, timeout=None):
        events = super().select(0)
        if events or (timeout is not None and timeout <= 0):
            return events
        if events := super().select(IDLE_S):
            return events
        self.now += MAX_STEP_S if timeout is None else max(MIN_STEP_S, min(MAX_STEP_S, timeout))
        return []


def _loop(selector):
    loop = asyncio.SelectorEventLoop(selector)
    loop._clock_resolution = 1e-6
    return loop


def run(main):
    """Run one coroutine with all clocks of the process replaced by the stepped clock of its loop."""
    selector = SteppedSelector()
    clocks = {
        "time": lambda: selector.started + selector.now,
        "monotonic": lambda: 1000.0 + selector.now,
        "time_ns": lambda: int((selector.started + selector.now) * 1e9),
    }
    with contextlib.ExitStack() as patches:
        for name, clock in clocks.items():
            patches.enter_context(mock.patch.object(time, name, clock))
        with asyncio.Runner(loop_factory=lambda: _loop(selector)) as runner:
            return runner.run(main)
