"""Serves the simulator on standard input and output. No decisions.

Each instance has its own policy and receives only its own events; instances share no state.
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
    """The policies of one process, by instance number."""

    def __init__(self) -> None:
        """Start without policies."""
        self._decoder = Decoder()
        self._policies: dict[int, Policy] = {}

    def reply(self, now: int, body: bytes, count: int) -> bytes:
        """Return the reply frame to a batch of `count` records; raises WireError for a malformed batch."""
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
    """Read `size` bytes; returns fewer only at the end of the input."""
    parts = []
    while size > 0:
        part = stream.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def _reply_or_fault(host: PolicyHost, now: int, body: bytes, count: int) -> tuple[bytes, int]:
    """Return the reply frame to a batch and the exit status; a status other than 0 ends the session."""
    try:
        return host.reply(now, body, count), 0
    except WireError as error:
        print(f"weldhatch: malformed batch: {error}", file=sys.stderr)
        return encode_fault(f"malformed batch: {error}"), 1
    except Exception as error:  # the simulator displays the exception of the policy
        traceback.print_exc()
        return encode_fault(f"{type(error).__name__}: {error}"), 1


def serve(input_stream: BinaryIO, output: BinaryIO) -> int:
    """Answer batches until the input ends; return the exit status."""
    host = PolicyHost()
    while True:
        header = _read(input_stream, BATCH_HEADER.size)
        if not header:
            return 0
        if len(header) < BATCH_HEADER.size:
            print("weldhatch: the input ended inside a batch header", file=sys.stderr)
            return 1
        now, length, count = BATCH_HEADER.unpack(header)
        body = _read(input_stream, length)
        if len(body) < length:
            print(f"weldhatch: the input ended inside a batch of {length} bytes", file=sys.stderr)
            return 1
        frame, status = _reply_or_fault(host, now, body, count)
        output.write(frame)
        output.flush()
        if status:
            return status


def main() -> None:
    """Serve the simulator on standard input and output, and exit with the status of `serve`."""
    gc.freeze()
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
