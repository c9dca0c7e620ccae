"""One process of the cluster: links, store and clock for `coordination.node`, which takes all decisions."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from random import Random

from weldhatch.cluster.peers import PeerLinks
from weldhatch.cluster.storage import ClusterStore
from weldhatch.config import AgreementFile, ConfigError
from weldhatch.consensus.messages import Message
from weldhatch.coordination import node
from weldhatch.coordination.leader import LeaseTiming
from weldhatch.coordination.messages import GroupMessage
from weldhatch.scheduling.types import Settings
from weldhatch.zones.failover_rules import FailoverTiming

TICK = 0.0375  # of the stated time: half of the beat of voters
HOLDS_S = 0.02  # how often it is looked whether something is held
LEAVE_S = 0.3


def boot_clock() -> float:
    """Seconds that go on while the machine sleeps: a lease must not outlast a suspended process."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GroupUnreachableError(Exception):
    """No leader took a command in time: it may still be carried out."""


class ClusterNode:
    """`changed` hears when what is held has changed; `first` is proposed where nothing is in force yet."""

    def __init__(
        self,
        told: AgreementFile,
        read: Callable[[dict], Settings],
        fits: Callable[[Settings], str],
        first: dict,
        changed: Callable[[], None],
        log: Callable[[str], None],
        event: Callable[..., None],
        tls: tuple = (None, None),
        now: Callable[[], float] = boot_clock,
        zones: FailoverTiming | None = None,
        shared: Callable[[str, float], None] = lambda shares, asked: None,
    ) -> None:
        """`zones`: where the group leaves zones that fail; `shared` hears of starts on those that return."""
        self.told, self._event, self._now, self._changed = told, event, now, changed
        self._shared = shared
        self.book = ClusterStore(told.store, time.time(), log)
        begin = None
        if self.book.fresh and told.name in told.voters and told.listen is not None:
            begin = {name: f"{host}:{port}" for name, (host, port) in told.voters.items()}
        self.member = node.CoordinationNode(
            told.name,
            self.book.epoch,
            self.book.token,
            LeaseTiming(told.stated, told.drift),
            read,
            fits,
            first,
            Random(),
            now(),
            self.book.saved if told.listen is not None else None,
            begin,
            zones,
        )
        self.lease_holder = self.member.lease_holder
        if self.book.state:
            try:
                self.lease_holder.restore(self.book.state, self.book.lineage)
            except (ValueError, KeyError, TypeError) as fault:
                raise ConfigError(f"agreement.store: the state held can't be read: {fault}") from None
        self._waiting: dict[str, asyncio.Future] = {}
        self._serial = itertools.count(1)
        self._closed = False
        self.peers = PeerLinks(told, self.book, self._up, self._down, self._heard, log, tls)
        voter = self.member.raft
        self.peers.dial(dict(voter.voters) if voter is not None and voter.voters else dict(told.voters))
        self._ticking = asyncio.get_running_loop().call_soon(self._tick)

    # ---- what comes in ---------------------------------------------------------------------------------

    def _tick(self) -> None:
        """A timer and no task: it comes often, and each turn of the loop is paid by the front beside it."""
        self._ticking = asyncio.get_running_loop().call_later(TICK * self.told.stated, self._tick)
        self.member.tick(self._now())
        self._carry()

    def _up(self, name: str) -> None:
        self.member.peer_up(self._now(), name)
        self._carry()

    def _down(self, name: str) -> None:
        self.member.peer_down(name)

    def _heard(self, name: str, word: Message | GroupMessage) -> None:
        self.member.receive(self._now(), name, word)
        self._carry()

    def _wrote(self, done: asyncio.Future) -> None:
        if not self._closed and not done.cancelled():
            self.member.records_written(self._now())
            self._carry()

    # ---- what goes out ---------------------------------------------------------------------------------

    def _carry(self) -> None:
        """Carry out what the member wants, in order."""
        if self._closed:
            self.member.effects.clear()
            return
        out, self.member.effects = self.member.effects, []
        for effect in out:
            match effect:
                case node.WriteRecords(words):
                    self.book.write(list(words)).add_done_callback(self._wrote)
                case node.Send(to, word):
                    self.peers.say(to, word)
                case node.SaveState(lineage, state):
                    self.book.hold(lineage, state)
                    self._changed()
                case node.ConnectVoters(voters):
                    self.peers.dial(voters)
                case node.CommandCompleted(id, result):
                    waiting = self._waiting.get(id)
                    if waiting is not None and not waiting.done():
                        waiting.set_result(result)
                case node.QuotaReceived(shares, asked):
                    self._shared(shares, asked)
                case node.LogEvent(name, fields):
                    self._event(name, **fields)
                    if name == "footing":
                        self._changed()

    def ask(self) -> None:
        """Ask now: what is seen of the zones has changed."""
        self.member.request_lease(self._now())
        self._carry()

    # ---- operators -------------------------------------------------------------------------------------

    async def command(self, command: dict, within: float = 5.0) -> dict:
        """Have one command decided; its result.

        Raises GroupUnreachableError where no leader took it in time.
        """
        id = f"{self.told.name}-{self.book.epoch}-{self.book.token}-{next(self._serial)}"
        done = self._waiting[id] = asyncio.get_running_loop().create_future()
        self.member.submit(self._now(), id, command)
        self._carry()
        try:
            return await asyncio.wait_for(done, within)
        except TimeoutError:
            raise GroupUnreachableError(
                f"no leader took it within {within:.0f} s; it may still be carried out"
            ) from None
        finally:
            del self._waiting[id]
            self.member.forget_command(id)

    async def holds(self, index: int, within: float = 5.0) -> None:
        """Wait until this process holds the state at `index`. Raises GroupUnreachableError."""
        end = asyncio.get_running_loop().time() + within
        while self.lease_holder.state_machine.index < index:
            if asyncio.get_running_loop().time() > end:
                raise GroupUnreachableError(f"what was decided is not held here within {within:.0f} s")
            await asyncio.sleep(HOLDS_S)

    def recover(self, by: str, why: str) -> dict:
        """The majority of the voters is lost for good, an operator says: this one goes on alone."""
        host, port = self.told.listen or ("", 0)
        result = self.member.recover(self._now(), f"{host}:{port}", by, why, time.time())
        self._carry()
        return result

    def status(self) -> dict:
        """What this process holds and may act on."""
        voter = self.member.raft
        voters = (
            dict(voter.voters)
            if voter is not None and voter.voters
            else {name: f"{host}:{port}" for name, (host, port) in self.told.voters.items()}
        )
        return {
            **self.member.status(self._now()),
            "voters": voters,
            "full": self.book.write_error,
            "peers": self.peers.reached(),
            "bytes_sent": self.peers.sent,
        }

    # ---- the end ---------------------------------------------------------------------------------------

    async def end(self) -> None:
        """Leave, so that nobody waits for our lease; then close."""
        if self.member.is_leader and len(self.member.raft.voters) > 1:
            others = [name for name in self.member.raft.voters if name != self.told.name]
            try:
                await self.command({"do": "hand", "to": others[0]}, LEAVE_S)
                await asyncio.sleep(LEAVE_S)
            except GroupUnreachableError:
                pass
        self.member.request_lease(self._now(), leaves=True)
        self._carry()
        await asyncio.sleep(0.05)
        await self.book.flush()
        self.close()

    def close(self) -> None:
        """Give back every socket and task at once."""
        if not self._closed:
            self._closed = True
            self._ticking.cancel()
            self.peers.close()
            self.book.close()
