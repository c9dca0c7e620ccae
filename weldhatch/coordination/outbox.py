"""Pending effects of one process, and messages that it sends to itself."""

from __future__ import annotations

from collections import deque

from weldhatch.coordination.effects import ConnectVoters, Effect, LogEvent, Send
from weldhatch.coordination.messages import GroupMessage


class Outbox:
    """Collects effects. Messages to this process itself are queued in `to_self`."""

    def __init__(self, name: str) -> None:
        """Create the outbox of the process of that name."""
        self.name = name
        self.effects: list[Effect] = []
        self.to_self: deque[GroupMessage] = deque()
        self._connected: dict[str, str] = {}

    def add(self, effect: Effect) -> None:
        """Append an effect."""
        self.effects.append(effect)

    def event(self, name: str, **fields: object) -> None:
        """Append an effect that logs an event."""
        self.effects.append(LogEvent(name, fields))

    def send(self, to: str, message: GroupMessage) -> None:
        """Send a message to a process, possibly this one; a message to '' is discarded."""
        if to == self.name:
            self.to_self.append(message)
        elif to:
            self.effects.append(Send(to, message))

    def connect(self, voters: dict[str, str]) -> None:
        """Append an effect that maintains links to these voters, name to address, if they have changed."""
        if voters != self._connected:
            self._connected = voters
            self.effects.append(ConnectVoters(voters))
