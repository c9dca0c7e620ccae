"""The known build machines, indexed by bot id, by the policy's machine number and by session."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.machines import Bot, machine_number
from weldhatch.pullqueue.operator_states import OperatorDirectives
from weldhatch.pullqueue.workers import Worker
from weldhatch.scheduling.events import MachinesChanged
from weldhatch.scheduling.types import ListForm, Machine, MachineState, Settings

MAX_CAPACITY = 1e9  # cores or units of memory that a machine may report
RACK_NAME_LIMIT = 100


class NameSource:
    """Generates names of sessions and leases, with one counter for both, that no former run has used."""

    def __init__(self, epoch_name: str) -> None:
        """Generate names of this epoch."""
        self._epoch_name = epoch_name
        self._serial = 0

    def next(self, kind: str) -> str:
        """Return a new name."""
        self._serial += 1
        return f"{kind}/{self._epoch_name}-{self._serial}"


class Place(NamedTuple):
    """Capacity of a machine, and the numbers of its zone and rack."""

    cores: float
    memory: float
    zone: int
    rack: int


class BotRegistry:
    """All build machines of this gateway."""

    def __init__(
        self, settings: Settings, operators: OperatorDirectives, on_change: Callable[[MachinesChanged], None]
    ) -> None:
        """Start without machines. `on_change` passes each change of a machine to the policy."""
        self._operators = operators
        self._on_change = on_change
        self.bots: dict[str, Bot] = {}
        self.by_machine: dict[int, Bot] = {}
        self.by_session: dict[str, Bot] = {}
        self.workers: dict[int, Worker] = {}  # by machine number; requirements are matched against them
        self._racks: dict[str, int] = {}
        self._rack_names: list[str] = []
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Replace the settings; zones keep their numbers."""
        self._zone_names = settings.zones
        self._zones = {name: number for number, name in enumerate(settings.zones)}

    def get_or_add(self, bot_id: str) -> Bot:
        """Return a machine; an unknown machine is added without capacity and location."""
        return self.bots.get(bot_id) or self._add(bot_id, Place(0.0, 0.0, 0, 0))

    def restore(self, bot_id: str, place: list[float | str]) -> Bot:
        """Return a machine; an unknown one is added. `place`: cores, memory, names of zone and rack."""
        return self.bots.get(bot_id) or self._add(bot_id, self._stored_place(place, unknown_zone=0))

    def stored_machine(self, bot_id: str, place: list[float | str]) -> Machine:
        """Return the list entry that a machine had in a former run; a zone of no known name is no other's."""
        cores, memory, zone, rack = self._stored_place(place, unknown_zone=len(self._zone_names))
        return Machine(
            machine_number(bot_id), zone, 0, rack, MachineState.REMOVED, cores=cores, memory=memory
        )

    def _stored_place(self, place: list[float | str], unknown_zone: int) -> Place:
        cores, memory, zone, rack = place
        zone_number = self._zones.get(str(zone), unknown_zone)
        return Place(float(cores), float(memory), zone_number, self._rack(str(rack)))

    def _add(self, bot_id: str, place: Place) -> Bot:
        bot = Bot(bot_id, machine_number(bot_id), *place)
        self.bots[bot_id] = bot
        self.by_machine[bot.machine] = bot
        return bot

    def forget_if_idle(self, bot: Bot) -> None:
        """Forget a machine that has neither a session nor leases."""
        if not bot.session and not bot.leases:
            self.bots.pop(bot.id, None)
            self.by_machine.pop(bot.machine, None)
            self.workers.pop(bot.machine, None)

    def set_worker(self, bot: Bot, worker: Worker) -> None:
        """Set the properties that a machine reports of itself."""
        bot.worker = worker
        self.workers[bot.machine] = worker

    def effective_state(self, bot: Bot) -> MachineState:
        """Return the stricter of a machine's own state and the operator's; only READY gets new work."""
        return self._operators.effective_state(bot.id, bot.state)

    def report(self, bot: Bot) -> None:
        """Report the current state of a machine to the policy."""
        state = self.effective_state(bot)
        machine = Machine(bot.machine, bot.zone, 0, bot.rack, state, cores=bot.cores, memory=bot.memory)
        self._on_change(MachinesChanged(ListForm.DELTA, (machine,)))

    def zone_and_rack(self, bot: Bot) -> tuple[str, str]:
        """Return the names of a machine's zone and rack."""
        return self._zone_names[bot.zone], self._rack_names[bot.rack]

    def place_of(self, worker: Worker) -> Place:
        """Read capacity and location from a worker's properties. Raises HttpError naming the field."""
        cores, memory = (self._capacity(worker, name) for name in ("cores", "memory"))
        zone = worker.first("hall")
        rack = worker.first("rack")
        if zone is None or zone not in self._zones:
            field = "worker.properties.hall"
            raise HttpError(400, f"{field}: no hall is named {zone!r}", field)
        if not rack or len(rack) > RACK_NAME_LIMIT:
            raise HttpError(400, "worker.properties.rack: a name is needed", "worker.properties.rack")
        return Place(cores, memory, self._zones[zone], self._rack(rack))

    @staticmethod
    def _capacity(worker: Worker, name: str) -> float:
        text = worker.first(name)
        try:
            capacity = float(text or "")
        except ValueError:
            capacity = 0.0
        if not 0 < capacity < MAX_CAPACITY:
            field = f"worker.properties.{name}"
            raise HttpError(400, f"{field}: the unusable value {text!r}", field)
        return capacity

    def _rack(self, name: str) -> int:
        """Return the number of a rack. Numbers are given in order of appearance; only names are stored."""
        if name not in self._racks:
            self._racks[name] = len(self._rack_names)
            self._rack_names.append(name)
        return self._racks[name]
