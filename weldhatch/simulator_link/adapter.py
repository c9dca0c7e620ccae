"""The loop on standard input and output between the simulator and the policies. No decisions.

Instances share nothing: each has a policy of its own and sees its own events only.
"""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from weldhatch.scheduling.events import Event
from weldhatch.scheduling.policy import Policy
from weldhatch.simulator_link.codec import (
    BATCH_HEADER,
    Decoder,
    Retire,
    Spawn,
    WireError,
    encode_fault,
    encode_reply,
)


class PolicyHost:
    """The policies of one process, by the number of their instance."""

    def __init__(self) -> None:
        """Start with none."""
        self._decoder = Decoder()
        self._policies: dict[int, Policy] = {}

    def reply(self, now: int, body: bytes, count: int) -> bytes:
        """The frame that answers one batch of `count` records; raise WireError if it is malformed."""
        pending: dict[int, list[Event]] = {}
        for instance, event in self._decoder.events(body, count):
            if isinstance(event, Spawn):
                self._policies[instance] = Policy(event.settings, event.seed)
                pending[instance] = []
            elif isinstance(event, Retire):
                self._policies.pop(instance, None)
                pending.pop(instance, None)
            elif instance not in self._policies:
                raise WireError(f"an event for instance {instance}, which has not started")
            else:
                pending.setdefault(instance, []).append(event)
        return encode_reply(
            (instance, self._policies[instance].handle(now, events)) for instance, events in pending.items()
        )


def _read(stream: BinaryIO, size: int) -> bytes:
    """Up to `size` bytes: fewer only where the input ends."""
    parts = []
    while size > 0:
        part = stream.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def _answer(host: PolicyHost, now: int, body: bytes, count: int) -> tuple[bytes, int]:
    """The frame that answers a batch, and the exit status if it ends the session."""
    try:
        return host.reply(now, body, count), 0
    except WireError as error:
        print(f"weldhatch: malformed batch: {error}", file=sys.stderr)
        return encode_fault(f"malformed batch: {error}"), 1
    except Exception as error:  # the simulator shows what a policy died of
        traceback.print_exc()
        return encode_fault(f"{type(error).__name__}: {error}"), 1


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends; the exit status."""
    host = PolicyHost()
    while True:
        header = _read(source, BATCH_HEADER.size)
        if not header:
            return 0
        if len(header) < BATCH_HEADER.size:
            print("weldhatch: the input ended inside a batch header", file=sys.stderr)
            return 1
        now, length, count = BATCH_HEADER.unpack(header)
        body = _read(source, length)
        if len(body) < length:
            print(f"weldhatch: the input ended inside a batch of {length} bytes", file=sys.stderr)
            return 1
        frame, status = _answer(host, now, body, count)
        sink.write(frame)
        sink.flush()
        if status:
            return status


def main() -> None:
    """Serve the simulator on standard input and output; exits with the status of `serve`."""
    gc.freeze()
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
