"""An event loop on real sockets whose clock moves on only while no socket has anything to say.

Guards tests of spans against a loaded machine: work takes no time on this clock, so what is decided, sent and
received between two steps has one and the same time however slowly it runs.
"""

import asyncio
import contextlib
import selectors
import time
from unittest import mock

QUIET_S = 0.0003  # real seconds for which no socket may be ready before the clock moves
STEP_S = 0.004  # the clock's step at most
LEAST_S = 1e-6  # and at least: less is lost in the rounding of a time since 1970, and the clock would stand


class SteppedSelector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.began = time.time()
        self.now = 0.0  # small, so that the smallest wait still moves it

    def select(self, timeout=None):
        events = super().select(0)
        if events or (timeout is not None and timeout <= 0):
            return events
        if events := super().select(QUIET_S):
            return events
        self.now += STEP_S if timeout is None else max(LEAST_S, min(STEP_S, timeout))
        return []


def _loop(selector):
    loop = asyncio.SelectorEventLoop(selector)
    loop._clock_resolution = 1e-6
    return loop


def run(main):
    """Run one coroutine with every clock of the process on the steps of its loop."""
    selector = SteppedSelector()
    clocks = {
        "time": lambda: selector.began + selector.now,
        "monotonic": lambda: 1000.0 + selector.now,
        "time_ns": lambda: int((selector.began + selector.now) * 1e9),
    }
    with contextlib.ExitStack() as patches:
        for name, clock in clocks.items():
            patches.enter_context(mock.patch.object(time, name, clock))
        with asyncio.Runner(loop_factory=lambda: _loop(selector)) as runner:
            return runner.run(main)
