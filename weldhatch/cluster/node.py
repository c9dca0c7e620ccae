"""The I/O of one process of the group: links, store and clock round the pure `coordination.node`.

All decisions are made there; this module feeds it inputs and carries out its effects.
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
from weldhatch.config import ClusterConfig, ConfigError
from weldhatch.coordination import effects
from weldhatch.coordination.commands import RequestKind
from weldhatch.coordination.incarnation import Incarnation
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.node import CoordinationNode
from weldhatch.coordination.node_setup import NodeSetup
from weldhatch.coordination.timing import LeaseTiming
from weldhatch.scheduling.types import Settings
from weldhatch.zones.failover_rules import FailoverTiming

TICK_FRACTION = 0.0375  # of the consistency bound: half of the voters' heartbeat interval
POLL_INTERVAL_S = 0.02  # between two checks whether the state machine has reached an index
LEADERSHIP_TRANSFER_S = 0.3
FLUSH_WAIT_S = 0.05


def boot_clock() -> float:
    """Return seconds since boot, time in suspend included: a lease must expire while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GroupUnreachableError(Exception):
    """A command, or the replication of its result, was not completed in time; it may still be carried out."""


class ClusterNode:
    """Owns the store, the links and the timer of one process."""

    def __init__(
        self,
        config: ClusterConfig,
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

        `read`, `fits`, `first_settings`, `zone_times`: as in `NodeSetup`. `on_change` is called when the
        replicated state or the status of the lease has changed, `on_quota` when start quotas for machines of
        a zone that is being restored have been received.
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
        self._results: dict[str, asyncio.Future[JsonObject]] = {}  # of commands submitted here, by id
        self._serial = itertools.count(1)
        self._closed = False
        listener = PeerListener(self._peer_up, self._peer_down, self._receive)
        self.peers = PeerLinks(config, self.store, listener, log, tls)
        raft = self.coordination.raft
        self.peers.dial(dict(raft.voters) if raft is not None and raft.voters else dict(config.voters))
        self._timer: asyncio.Handle = asyncio.get_running_loop().call_soon(self._tick)

    def _make_coordination(self, setup: NodeSetup) -> CoordinationNode:
        persistent = self.store.persistent if self.config.listen is not None else None
        return CoordinationNode(setup, Random(), self._clock(), persistent, self._initial_voters())

    def _initial_voters(self) -> dict[str, str] | None:
        """Return the voters of a new group; None if the store is of an earlier run, or this is no voter."""
        config = self.config
        if self.store.is_fresh and config.name in config.voters and config.listen is not None:
            return _addresses(config)
        return None

    def _restore(self) -> None:
        if self.store.state:
            try:
                self.lease_holder.restore(self.store.state, self.store.lineage)
            except (ValueError, KeyError, TypeError) as error:
                raise ConfigError(f"agreement.store: the stored state can't be read: {error}") from None

    # ---- inputs ----------------------------------------------------------------------------------------

    def _tick(self) -> None:
        """Pass the time to the node. A timer costs the loop, which the front shares, less than a task."""
        self._timer = asyncio.get_running_loop().call_later(TICK_FRACTION * self.config.stated, self._tick)
        self.coordination.tick(self._clock())
        self._carry_out_effects()

    def _peer_up(self, name: str) -> None:
        self.coordination.peer_up(self._clock(), name)
        self._carry_out_effects()

    def _peer_down(self, name: str) -> None:
        self.coordination.peer_down(name)

    def _receive(self, name: str, message: Message) -> None:
        self.coordination.receive(self._clock(), name, message)
        self._carry_out_effects()

    def _records_written(self, done: asyncio.Future[None]) -> None:
        if not self._closed and not done.cancelled():
            self.coordination.records_written(self._clock())
            self._carry_out_effects()

    # ---- effects ---------------------------------------------------------------------------------------

    def _carry_out_effects(self) -> None:
        """Carry out the node's pending effects, in order."""
        effect_list = self.coordination.take_effects()
        if not self._closed:
            for effect in effect_list:
                self._carry_out_effect(effect)

    def _carry_out_effect(self, effect: effects.Effect) -> None:
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
                waiter = self._results.get(command_id)
                if waiter is not None and not waiter.done():
                    waiter.set_result(result)
            case effects.QuotaReceived(quotas, asked_at):
                self._on_quota(quotas, asked_at)
            case effects.LogEvent(name, fields):
                self._log_event(name, **fields)
                if name == "footing":
                    self._on_change()

    def request_lease(self) -> None:
        """Request the lease now, with a zone report: the observed health of the zones has changed."""
        self.coordination.request_lease(self._clock())
        self._carry_out_effects()

    # ---- operators -------------------------------------------------------------------------------------

    async def submit(self, command: JsonObject, timeout_s: float = 5.0) -> JsonObject:
        """Submit one command, wait until the group has decided it, and return its result.

        Raises GroupUnreachableError if no leader completes it within `timeout_s`.
        """
        command_id = f"{self.config.name}-{self.store.epoch}-{self.store.token}-{next(self._serial)}"
        result = self._results[command_id] = asyncio.get_running_loop().create_future()
        self.coordination.submit(self._clock(), command_id, command)
        self._carry_out_effects()
        try:
            return await asyncio.wait_for(result, timeout_s)
        except TimeoutError:
            raise GroupUnreachableError(
                f"no leader took it within {timeout_s:.0f} s; it may still be carried out"
            ) from None
        finally:
            del self._results[command_id]
            self.coordination.forget_command(command_id)

    async def wait_for_index(self, index: int, timeout_s: float = 5.0) -> None:
        """Wait until this process's state machine has reached `index`.

        Raises GroupUnreachableError after `timeout_s`.
        """
        end = asyncio.get_running_loop().time() + timeout_s
        while self.lease_holder.state_machine.index < index:
            if asyncio.get_running_loop().time() > end:
                raise GroupUnreachableError(f"the result did not reach this process within {timeout_s:.0f} s")
            await asyncio.sleep(POLL_INTERVAL_S)

    def recover(self, by: str, reason: str) -> JsonObject:
        """Continue as the only voter: an operator states that the majority is lost permanently."""
        host, port = self.config.listen or ("", 0)
        result = self.coordination.recover(self._clock(), f"{host}:{port}", by, reason, time.time())
        self._carry_out_effects()
        return result

    def status(self) -> JsonObject:
        """Return this process's copy of the state and its lease. The names of the keys must not change."""
        raft = self.coordination.raft
        voters = dict(raft.voters) if raft is not None and raft.voters else _addresses(self.config)
        return {
            **self.coordination.status(self._clock()),
            "voters": voters,
            "full": self.store.write_error,
            "peers": self.peers.status(),
            "bytes_sent": self.peers.bytes_sent,
        }

    # ---- shutdown --------------------------------------------------------------------------------------

    async def end(self) -> None:
        """Hand leadership over, leave, so that no dispatcher waits for our lease to expire; then close."""
        raft = self.coordination.raft
        if raft is not None and raft.is_leader and len(raft.voters) > 1:
            others = [name for name in raft.voters if name != self.config.name]
            try:
                await self.submit(
                    {"do": RequestKind.TRANSFER_LEADERSHIP, "to": others[0]}, LEADERSHIP_TRANSFER_S
                )
                await asyncio.sleep(LEADERSHIP_TRANSFER_S)
            except GroupUnreachableError:
                pass
        self.coordination.request_lease(self._clock(), leaving=True)
        self._carry_out_effects()
        await asyncio.sleep(FLUSH_WAIT_S)
        await self.store.flush()
        self.close()

    def close(self) -> None:
        """Close all sockets and files, and cancel all tasks, at once."""
        if not self._closed:
            self._closed = True
            self._timer.cancel()
            self.peers.close()
            self.store.close()


def _addresses(config: ClusterConfig) -> dict[str, str]:
    return {name: f"{host}:{port}" for name, (host, port) in config.voters.items()}
