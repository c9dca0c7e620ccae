"""The names of machine states that go into agreed lists, control answers and logs, as they always were."""

from weldhatch.cluster.endpoint_list import LocalEndpointList
from weldhatch.scheduling.types import Machine, MachineState


def test_each_state_has_its_name_of_old():
    assert {int(state): state.label for state in MachineState} == {0: "gone", 1: "ready", 2: "draining"}


def test_the_cluster_agrees_on_states_by_these_names():
    """Guards against names in the code that change what dispatchers of two versions tell each other."""
    endpoints = LocalEndpointList()
    uids = ("a", "b", "c")
    machines = tuple(Machine(n, state=state) for n, state in enumerate(MachineState))
    endpoints.list_changed({"rev": 1, "targets": [{"uid": uid} for uid in uids]}, machines)
    assert endpoints.states == {"a": "gone", "b": "ready", "c": "draining"}
