"""Converts tasks between the core's form and the form sent to sites: classes and tenants go by name."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.core import ports
from weldhatch.core.policy_driver import unix_us
from weldhatch.scheduling.types import Settings
from weldhatch.sites.local_site import SiteFrontEnd
from weldhatch.sites.messages import TransferId, Work


class TaskTranslator:
    """Converts tasks according to the current settings."""

    def __init__(self, settings: Settings, front: SiteFrontEnd) -> None:
        """Use these settings; `front` encodes and decodes the data that only it understands."""
        self._front = front
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self._settings = settings
        self._class_indexes = {cls.name: index for index, cls in enumerate(settings.classes)}

    def work_of(self, task: ports.Task) -> Work:
        """Return a task of this site in the form sent to other sites."""
        cls = self._settings.classes[task.class_index]
        tenants = self._settings.tenants
        return Work(
            class_name=cls.name,
            effect=cls.effect.name,
            key=task.key,
            service=task.service,
            cores=task.cores,
            memory=task.memory,
            tenant=tenants[task.tenant].name if tenants else "",
            names=self._front.encode_passed_on(task),
        )

    def task_of(
        self, site: str, id: TransferId, work: Work, left_us: int, on_result: Callable[[str], None]
    ) -> ports.Task:
        """Return a task of another site for this site's core. Raises ValueError if it can't be decoded.

        `left_us`: time until the owner's deadline. `on_result` receives the result that its machine reports.
        """
        tenants = [tenant.name for tenant in self._settings.tenants]
        label, passed_on = self._front.decode_passed_on(site, id, work, on_result)
        return ports.Task(
            label,
            self._class_indexes[work.class_name],
            work.service,
            work.cores,
            work.memory,
            unix_us() + left_us,
            work.key,
            tenants.index(work.tenant) if work.tenant in tenants else 0,
            passed_on=passed_on,
        )

    def why_not_admitted(self, work: Work) -> str:
        """Return why a task of another site may not start here; '' if it may."""
        index = self._class_indexes.get(work.class_name)
        if index is None:
            return f"no class is named {work.class_name!r} here"
        if self._settings.classes[index].effect.name != work.effect:
            return f"class {work.class_name!r} has another effect here"
        return self._front.why_not_admitted(work)
