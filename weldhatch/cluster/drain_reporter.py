"""Drains and ends of our own list of machines, reported to the group."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from weldhatch.cluster.endpoint_list import LocalEndpointList
from weldhatch.cluster.node import ClusterNode, GroupUnreachableError, boot_clock
from weldhatch.coordination.commands import CommandKind
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.lease_holder import LeaseStatus


class DrainReporter:
    """Reports once at a time, and again once the group is heard. Owns the task that does."""

    def __init__(
        self, node: ClusterNode, endpoint_list: LocalEndpointList, log: Callable[[str], None]
    ) -> None:
        """Report what is news in `endpoint_list`."""
        self._node = node
        self._list = endpoint_list
        self._log = log
        self._reporting: asyncio.Task[None] | None = None

    def report_soon(self) -> None:
        """Report where our own list has news for the group."""
        holder = self._node.lease_holder
        if (
            self._reporting is None
            and holder.lease_status(boot_clock()) is LeaseStatus.VALID
            and self._list.unreported(holder)
        ):
            self._reporting = asyncio.get_running_loop().create_task(self._report())

    async def _report(self) -> None:
        try:
            while entries := self._list.unreported(self._node.lease_holder):
                command: JsonObject = {
                    "do": CommandKind.REPORT_DRAINS,
                    "rev": self._list.rev,
                    "entries": entries,
                    "by": self._node.config.name,
                }
                result = await self._node.submit(command)
                for text in result.get("conflicts", ()):
                    self._log(f"agreement: two lists differ: {text}")
                await self._node.wait_for_index(result["index"])
        except GroupUnreachableError:
            pass  # no leader: what is held next, or a lease, brings us here again
        finally:
            self._reporting = None

    def close(self) -> None:
        """Give back the task at once."""
        if self._reporting is not None:
            self._reporting.cancel()
