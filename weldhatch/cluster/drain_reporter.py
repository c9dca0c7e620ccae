"""Reports to the group the machines that this dispatcher's own endpoint list drains or has removed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from weldhatch.cluster.endpoint_list import LocalEndpointList
from weldhatch.cluster.node import ClusterNode, GroupUnreachableError, boot_clock
from weldhatch.coordination.commands import CommandKind
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.lease_holder import LeaseStatus


class DrainReporter:
    """Sends one report at a time; after a failure, the next call tries again. Owns the report task."""

    def __init__(
        self, node: ClusterNode, endpoint_list: LocalEndpointList, log: Callable[[str], None]
    ) -> None:
        """Report the changes of `endpoint_list` that the group does not know yet."""
        self._node = node
        self._list = endpoint_list
        self._log = log
        self._reporting: asyncio.Task[None] | None = None

    def report_soon(self) -> None:
        """Start a report if the own list has changes for the group, the lease is valid and no report runs."""
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
            pass  # no leader: the next change of the replicated state or of the lease starts a new report
        finally:
            self._reporting = None

    def close(self) -> None:
        """Cancel the report task at once."""
        if self._reporting is not None:
            self._reporting.cancel()
