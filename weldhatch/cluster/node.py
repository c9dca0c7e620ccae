"""One process of the group: links, store and clock for what `coordination.node` decides.

No decisions here.
"""

from __future__ import annotations

import asyncio
import itertools
import ssl
import time
from collections.abc import Callable
from random import Random

from weldhatch.cluster.codec import Message
from weldhatch.cluster.peers import PeerLinks, PeerListener
from weldhatch.cluster.storage import ClusterStore
from weldhatch.config import AgreementFile, ConfigError
from weldhatch.coordination import effects
from weldhatch.coordination.commands import RequestKind
from weldhatch.coordination.incarnation import Incarnation
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.node import CoordinationNode
from weldhatch.coordination.node_setup import NodeSetup
from weldhatch.coordination.timing import LeaseTiming
from weldhatch.scheduling.types import Settings
from weldhatch.zones.failover_rules import FailoverTiming

TICK = 0.0375  # of the consistency bound: half of the heartbeat of voters
POLL_INTERVAL_S = 0.02  # how often it is looked whether a state is held
TRANSFER_S = 0.3
FLUSH_S = 0.05


def boot_clock() -> float:
    """Return seconds that go on while the machine sleeps: a lease must not outlast a suspended process."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GroupUnreachableError(Exception):
    """No leader took a command in time: it may still be carried out."""


class ClusterNode:
    """Owns the store, the links and the timer of one process."""

    def __init__(
        self,
        config: AgreementFile,
        read: Callable[[JsonObject], Settings],
        fits: Callable[[Settings], str],
        first_settings: JsonObject,
        on_change: Callable[[], None],
        log: Callable[[str], None],
        log_event: Callable[..., None],
        tls: tuple[ssl.SSLContext | None, ssl.SSLContext | None] = (None, None),
        clock: Callable[[], float] = boot_clock,
        zone_times: FailoverTiming | None = None,
        on_quota: Callable[[str, float], None] = lambda quotas, asked_at: None,
    ) -> None:
        """Open the store, listen and dial. Raises ConfigError for a store that can't be used.

        `read`, `fits`, `first_settings`, `zone_times`: as in `NodeSetup`. `on_change` is called when what is
        held has changed, `on_quota` when starts on machines that return were received.
        """
        self.config = config
        self._log_event = log_event
        self._clock = clock
        self._on_change = on_change
        self._on_quota = on_quota
        self.store = ClusterStore(config.store, time.time(), log)
        incarnation = Incarnation(config.name, self.store.epoch, self.store.token)
        timing = LeaseTiming(config.stated, config.drift)
        setup = NodeSetup(incarnation, timing, read, fits, first_settings, zone_times)
        self.coordination = self._make_coordination(setup)
        self.lease_holder = self.coordination.lease_holder
        self._restore()
        self._results: dict[str, asyncio.Future[JsonObject]] = {}  # of commands given here, by id
        self._serial = itertools.count(1)
        self._closed = False
        listener = PeerListener(self._peer_up, self._peer_down, self._receive)
        self.peers = PeerLinks(config, self.store, listener, log, tls)
        raft = self.coordination.raft
        self.peers.dial(dict(raft.voters) if raft is not None and raft.voters else dict(config.voters))
        self._timer: asyncio.Handle = asyncio.get_running_loop().call_soon(self._tick)

    def _make_coordination(self, setup: NodeSetup) -> CoordinationNode:
        persistent = self.store.persistent if self.config.listen is not None else None
        return CoordinationNode(setup, Random(), self._clock(), persistent, self._first_voters())

    def _first_voters(self) -> dict[str, str] | None:
        """Return the voters to begin a new group with; None where this process goes on, or never votes."""
        config = self.config
        if self.store.is_fresh and config.name in config.voters and config.listen is not None:
            return _addresses(config)
        return None

    def _restore(self) -> None:
        if self.store.state:
            try:
                self.lease_holder.restore(self.store.state, self.store.lineage)
            except (ValueError, KeyError, TypeError) as error:
                raise ConfigError(f"agreement.store: the state held can't be read: {error}") from None

    # ---- what comes in ---------------------------------------------------------------------------------

    def _tick(self) -> None:
        """Act on the time: a timer and no task, as each turn of the loop is paid by the front beside it."""
        self._timer = asyncio.get_running_loop().call_later(TICK * self.config.stated, self._tick)
        self.coordination.tick(self._clock())
        self._carry_out()

    def _peer_up(self, name: str) -> None:
        self.coordination.peer_up(self._clock(), name)
        self._carry_out()

    def _peer_down(self, name: str) -> None:
        self.coordination.peer_down(name)

    def _receive(self, name: str, message: Message) -> None:
        self.coordination.receive(self._clock(), name, message)
        self._carry_out()

    def _records_written(self, done: asyncio.Future[None]) -> None:
        if not self._closed and not done.cancelled():
            self.coordination.records_written(self._clock())
            self._carry_out()

    # ---- what goes out ---------------------------------------------------------------------------------

    def _carry_out(self) -> None:
        """Carry out what the node wants, in order."""
        wanted = self.coordination.take_effects()
        if not self._closed:
            for effect in wanted:
                self._carry_out_one(effect)

    def _carry_out_one(self, effect: effects.Effect) -> None:
        match effect:
            case effects.WriteRecords(records):
                self.store.write(records).add_done_callback(self._records_written)
            case effects.Send(to, message):
                self.peers.send(to, message)
            case effects.SaveState(lineage, state):
                self.store.save_state(lineage, state)
                self._on_change()
            case effects.ConnectVoters(voters):
                self.peers.dial(dict(voters))
            case effects.CommandCompleted(command_id, result):
                waiting = self._results.get(command_id)
                if waiting is not None and not waiting.done():
                    waiting.set_result(result)
            case effects.QuotaReceived(quotas, asked_at):
                self._on_quota(quotas, asked_at)
            case effects.LogEvent(name, fields):
                self._log_event(name, **fields)
                if name == "footing":
                    self._on_change()

    def request_lease(self) -> None:
        """Ask now: what is observed of the zones has changed."""
        self.coordination.request_lease(self._clock())
        self._carry_out()

    # ---- operators -------------------------------------------------------------------------------------

    async def submit(self, command: JsonObject, within: float = 5.0) -> JsonObject:
        """Have one command decided; its result.

        Raises GroupUnreachableError where no leader took it `within` seconds.
        """
        command_id = f"{self.config.name}-{self.store.epoch}-{self.store.token}-{next(self._serial)}"
        result = self._results[command_id] = asyncio.get_running_loop().create_future()
        self.coordination.submit(self._clock(), command_id, command)
        self._carry_out()
        try:
            return await asyncio.wait_for(result, within)
        except TimeoutError:
            raise GroupUnreachableError(
                f"no leader took it within {within:.0f} s; it may still be carried out"
            ) from None
        finally:
            del self._results[command_id]
            self.coordination.forget_command(command_id)

    async def wait_for_index(self, index: int, within: float = 5.0) -> None:
        """Wait until this process holds the state at `index`.

        Raises GroupUnreachableError after `within` seconds.
        """
        end = asyncio.get_running_loop().time() + within
        while self.lease_holder.state_machine.index < index:
            if asyncio.get_running_loop().time() > end:
                raise GroupUnreachableError(f"what was decided is not held here within {within:.0f} s")
            await asyncio.sleep(POLL_INTERVAL_S)

    def recover(self, by: str, reason: str) -> JsonObject:
        """Go on alone: the majority of the voters is lost for good, an operator says."""
        host, port = self.config.listen or ("", 0)
        result = self.coordination.recover(self._clock(), f"{host}:{port}", by, reason, time.time())
        self._carry_out()
        return result

    def status(self) -> JsonObject:
        """Return what this process holds and may act on. Names of keys are fixed."""
        raft = self.coordination.raft
        voters = dict(raft.voters) if raft is not None and raft.voters else _addresses(self.config)
        return {
            **self.coordination.status(self._clock()),
            "voters": voters,
            "full": self.store.write_error,
            "peers": self.peers.status(),
            "bytes_sent": self.peers.bytes_sent,
        }

    # ---- the end ---------------------------------------------------------------------------------------

    async def end(self) -> None:
        """Leave, so that nobody waits for our lease; then close."""
        raft = self.coordination.raft
        if raft is not None and raft.is_leader and len(raft.voters) > 1:
            others = [name for name in raft.voters if name != self.config.name]
            try:
                await self.submit({"do": RequestKind.TRANSFER_LEADERSHIP, "to": others[0]}, TRANSFER_S)
                await asyncio.sleep(TRANSFER_S)
            except GroupUnreachableError:
                pass
        self.coordination.request_lease(self._clock(), leaving=True)
        self._carry_out()
        await asyncio.sleep(FLUSH_S)
        await self.store.flush()
        self.close()

    def close(self) -> None:
        """Give back every socket and task at once."""
        if not self._closed:
            self._closed = True
            self._timer.cancel()
            self.peers.close()
            self.store.close()


def _addresses(config: AgreementFile) -> dict[str, str]:
    return {name: f"{host}:{port}" for name, (host, port) in config.voters.items()}
