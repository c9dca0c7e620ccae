"""The voter of a process: carries out Raft effects in order and feeds the state machine. No I/O.

Effects after a record are held back here until the record is on the disk.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import takewhile

from weldhatch.consensus import effects as voter_effects
from weldhatch.consensus.messages import EntryKind, LogEntry, Message
from weldhatch.consensus.raft import Raft
from weldhatch.consensus.records import Record, VoteRecord
from weldhatch.coordination.effects import Send, WriteRecords
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.outbox import Outbox
from weldhatch.coordination.state_machine import StateMachine

SNAPSHOT_INTERVAL_ENTRIES = 400
MAX_PENDING_EFFECTS = 2000  # with this many waiting for the disk, the voter ignores time and messages

CommitListener = Callable[[int, LogEntry, JsonObject], None]


class Voter:
    """Owns a `Raft` and the state machine that applies its committed entries."""

    def __init__(self, raft: Raft, outbox: Outbox, on_commit: CommitListener) -> None:
        """Create the voter. `on_commit` is called with index, entry and result of each applied entry."""
        self.raft = raft
        self.state_machine = StateMachine()
        self._outbox = outbox
        self._on_commit = on_commit
        self._pending: deque[voter_effects.Effect] = deque()
        self._is_writing = False
        if raft.persistent.snapshot_state:
            self.state_machine.load(raft.persistent.snapshot_state)

    @property
    def accepts_input(self) -> bool:
        """Whether the voter may handle time and messages: the disk is not too far behind."""
        return len(self._pending) < MAX_PENDING_EFFECTS

    def tick(self, now: float) -> None:
        """Handle timeouts."""
        self.raft.tick(now)
        self.carry_out_effects()

    def receive(self, now: float, name: str, message: Message) -> None:
        """Handle one message from another voter."""
        before = self.raft.lost_reason
        self.raft.receive(now, name, message)
        if self.raft.lost_reason and not before:
            self._outbox.event("lost", why=self.raft.lost_reason)
        self.carry_out_effects()

    def records_written(self) -> None:
        """Continue after the `WriteRecords` in progress has reached the disk."""
        self._is_writing = False
        self.carry_out_effects()

    def carry_out_effects(self) -> None:
        """Carry out the voter's effects in order, up to the first record that is not yet on the disk.

        Guards against sending a vote or a response that would be forgotten in a restart.
        """
        self._collect()
        while self._pending and not self._is_writing:
            records = self._next_records()
            if records:
                self._write(records)
                return
            self._carry_out_effect(self._pending.popleft())
            self._collect()

    def _collect(self) -> None:
        self._pending += self.raft.effects
        self.raft.effects.clear()
        if self.raft.name in self.raft.voters:  # voters in the log apply before they are committed
            self._outbox.connect(dict(self.raft.voters))

    def _next_records(self) -> tuple[Record, ...]:
        """Remove and return the records at the front of the queue, which are written together."""
        writes = takewhile(lambda effect: isinstance(effect, voter_effects.WriteRecord), self._pending)
        records = tuple(effect.record for effect in writes if isinstance(effect, voter_effects.WriteRecord))
        for _ in records:
            self._pending.popleft()
        return records

    def _write(self, records: tuple[Record, ...]) -> None:
        for record in records:
            if isinstance(record, VoteRecord) and record.voted_for:
                self._outbox.event("votes", lineage=record.lineage, term=record.term, for_=record.voted_for)
        self._is_writing = True
        self._outbox.add(WriteRecords(records))

    def _carry_out_effect(self, effect: voter_effects.Effect) -> None:
        match effect:
            case voter_effects.Send(to, message):
                self._outbox.add(Send(to, message))
            case voter_effects.EntryPersisted():
                self.raft.entry_persisted(effect)
            case voter_effects.Commit(index, entry):
                self._commit(index, entry)
            case voter_effects.LoadSnapshot(_, state):
                self.state_machine = StateMachine()
                if state:
                    self.state_machine.load(state)

    def _commit(self, index: int, entry: LogEntry) -> None:
        data = entry.data if entry.kind == EntryKind.COMMAND else ""
        result = self.state_machine.apply(index, data)
        self._on_commit(index, entry, result)
        if index - self.raft.persistent.snapshot_index >= SNAPSHOT_INTERVAL_ENTRIES:
            self.raft.compact(self.state_machine.snapshot(), index)
