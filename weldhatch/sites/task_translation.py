"""A task as this site's core has it, and as it crosses: classes and tenants go by name, not by index."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.core import ports
from weldhatch.core.policy_driver import unix_us
from weldhatch.scheduling.types import Settings
from weldhatch.sites.local_site import SiteFrontEnd
from weldhatch.sites.messages import TransferId, Work


class TaskTranslator:
    """Translates by the settings in force."""

    def __init__(self, settings: Settings, front: SiteFrontEnd) -> None:
        """Translate by these settings; `front` knows what is passed on with a task."""
        self._front = front
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Translate by other settings from now on."""
        self._settings = settings
        self._class_indexes = {cls.name: index for index, cls in enumerate(settings.classes)}

    def work_of(self, task: ports.Task) -> Work:
        """Return a task of this site as it crosses."""
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
            names=self._front.names_of(task),
        )

    def task_of(
        self, site: str, id: TransferId, work: Work, left_us: int, on_result: Callable[[str], None]
    ) -> ports.Task:
        """Return a task of another site for this site's core. Raises ValueError where it can't be read.

        `left_us`: how long its owner waits from now on; `on_result` gets what its machine says of it.
        """
        tenants = [tenant.name for tenant in self._settings.tenants]
        label, passed_on = self._front.guest(site, id, work, on_result)
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
        """Return why a task of another site may not start here; '' where it may."""
        index = self._class_indexes.get(work.class_name)
        if index is None:
            return f"no class is named {work.class_name!r} here"
        if self._settings.classes[index].effect.name != work.effect:
            return f"class {work.class_name!r} has another effect here"
        return self._front.admits(work)
