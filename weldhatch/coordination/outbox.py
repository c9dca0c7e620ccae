"""What one process wants done, in order, and what it says to itself."""

from __future__ import annotations

from collections import deque

from weldhatch.coordination.effects import ConnectVoters, Effect, LogEvent, Send
from weldhatch.coordination.messages import GroupMessage


class Outbox:
    """Collects effects. Messages to this process itself wait in `to_self` for their turn."""

    def __init__(self, name: str) -> None:
        """Collect for the process of that name."""
        self.name = name
        self.effects: list[Effect] = []
        self.to_self: deque[GroupMessage] = deque()
        self._connected: dict[str, str] = {}

    def add(self, effect: Effect) -> None:
        """Want something done, after all that is wanted already."""
        self.effects.append(effect)

    def event(self, name: str, **fields: object) -> None:
        """Want an event logged."""
        self.effects.append(LogEvent(name, fields))

    def send(self, to: str, message: GroupMessage) -> None:
        """Send a message to a process, also to this one; '' is nobody."""
        if to == self.name:
            self.to_self.append(message)
        elif to:
            self.effects.append(Send(to, message))

    def connect(self, voters: dict[str, str]) -> None:
        """Want links to these voters, name to address."""
        if voters != self._connected:
            self._connected = voters
            self.effects.append(ConnectVoters(voters))
