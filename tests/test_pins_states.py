"""Pins the names of machine states in replicated lists, control answers and logs."""

from weldhatch.cluster.endpoint_list import LocalEndpointList
from weldhatch.scheduling.types import Machine, MachineState


def test_every_machine_state_keeps_its_label():
    assert {int(state): state.label for state in MachineState} == {0: "gone", 1: "ready", 2: "draining"}


def test_the_endpoint_list_of_the_cluster_stores_states_by_label():
    """Guards against renamed enum members, which dispatchers of other versions could not read."""
    endpoints = LocalEndpointList()
    uids = ("a", "b", "c")
    machines = tuple(Machine(n, state=state) for n, state in enumerate(MachineState))
    endpoints.list_changed({"rev": 1, "targets": [{"uid": uid} for uid in uids]}, machines)
    assert endpoints.states == {"a": "gone", "b": "ready", "c": "draining"}
