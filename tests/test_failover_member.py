"""Starts, rejections, fences and reports of one dispatcher while zones are left, and the zone settings."""

import json
import unittest
from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from weldhatch import config
from weldhatch.scheduling.events import (
    AttemptEnded,
    MachinesChanged,
    Placed,
    ProbeAnswered,
    RequestAbandoned,
    RequestArrived,
)
from weldhatch.scheduling.types import (
    Effect,
    ListForm,
    Machine,
    Outcome,
    RequestClass,
    Scope,
    Settings,
    Tenant,
)
from weldhatch.testbed.simulated_zones import settings as zone_settings
from weldhatch.zones.failover_member import FailoverMember
from weldhatch.zones.reports import PlaceHealth
from weldhatch.zones.start_quota import StartQuota
from weldhatch.zones.state import ZoneStates

ZONES = ("z0", "z1", "z2")
SETTINGS = zone_settings(3, 8)


def change(zones, place, phase, **fields):
    zones.apply(1, {"place": place, "phase": phase, "number": zones.place(place).number, **fields}, ZONES)


class Member(unittest.TestCase):
    def setUp(self):
        self.member = FailoverMember(SETTINGS, 0.02, Random(1), lambda machine: f"m{machine}")
        self.member.handle_event(
            0.0,
            MachinesChanged(ListForm.FULL, tuple(Machine(n, n % 3, cell=n // 3 % 2) for n in range(12))),
        )
        self.zones = ZoneStates()

    def agree(self, now, *phases, **fields):
        for phase in phases:
            change(self.zones, "z1", phase, **fields)
        self.member.apply_agreed_state(
            now, ZoneStates.from_tree(json.loads(json.dumps(self.zones.to_tree())))
        )

    def place(self, now, request, machine, class_index=0, key=0):
        self.member.handle_event(now, RequestArrived(request, class_index, 0, 1, 1.0, 1.0, key))
        self.member.handle_event(now, Placed(request, 0, machine, 0))

    def test_a_left_zone_gets_only_health_checks(self):
        self.agree(1.0, "leaving")
        self.assertEqual(self.member.effective_state(1.0, 4), "draining")
        self.assertIn("leaving", self.member.start_refusal(1.0, 4, 0))
        self.assertEqual(self.member.start_refusal(1.0, 3, 0), "")
        checked = {machine for n in range(40) for machine in self.member.tick(1.0 + n / 10)}
        self.assertTrue(checked and all(machine % 3 == 1 for machine in checked))

    def test_a_returning_zone_gets_as_many_starts_as_the_quota_allows(self):
        self.agree(1.0, "leaving", "left", "returning", step=1)
        self.assertEqual(self.member.effective_state(2.0, 4), "draining")
        self.member.receive_quotas([StartQuota("z1", "l.0", 0, 0, 1, 1, 0.5)], 2.0)
        self.assertEqual(self.member.effective_state(2.1, 4), "ready")
        self.assertEqual(self.member.start_refusal(2.1, 4, 0), "")
        self.assertEqual(self.member.effective_state(2.1, 4), "draining")
        self.assertIn("no share", self.member.start_refusal(2.1, 4, 0))
        self.assertEqual(
            self.member.start_refusal(2.1, 4, -1), ""
        )  # admitted before: the quota is spent already
        self.assertIn("no share", self.member.start_refusal(2.6, 7, 0))  # expired
        self.member.receive_quotas([StartQuota("z1", "l.1", 1, 0, 1, 1, 0.5)], 4.0)
        self.agree(4.1, "leaving")
        self.agree(4.1, "left", "returning", step=1)
        self.assertEqual(
            self.member.effective_state(4.2, 7), "draining"
        )  # the quota from before the zone was left again is revoked

    def test_a_writer_that_may_run_behind_a_partition_is_fenced_and_one_on_a_dead_machine_is_not(self):
        self.place(1.0, 1, 4, 1, 0xAA)
        self.place(1.0, 2, 7, 1, 0xBB)
        self.place(1.0, 3, 3, 1, 0xCC)
        for request, machine in ((4, 10), (5, 9)):  # no answer: the task in the left zone may run
            self.member.handle_event(1.2, RequestArrived(request, 1, 0, 1, 1.0, 1.0, 0xD0 + request))
            self.member.handle_event(1.4, AttemptEnded(request, 0, machine, Outcome.TIMEOUT))
        self.place(1.0, 6, 1, 1, 0xEE)
        self.member.handle_event(1.4, AttemptEnded(6, 0, 1, Outcome.RESET, closed=True))  # connection lost
        self.member.handle_event(1.5, ProbeAnswered(7, Outcome.CONNECT_FAILED))
        self.agree(2.0, "leaving")
        self.assertEqual(self.member.unreported_fences(), ("z1", ["aa", "d4", "ee"]))
        self.zones.apply_fence("z1", ["aa", "d4", "ee"], "d0")
        self.agree(2.1, "left")
        self.assertEqual(self.member.unreported_fences(), ("", []))
        self.assertIn("may still run in z1", self.member.rejection(2.2, 1, 0xAA).reason)
        self.assertIsNone(self.member.rejection(2.2, 1, 0xBB))

    def test_an_idempotent_task_is_rejected_until_its_window_ends(self):
        settings = zone_settings(3, 8)
        keyed = RequestClass("import", 1, 1, Effect.KEYED, Scope.ZONE, 4_000_000)
        member = self.member = FailoverMember(
            Settings(
                **{
                    **{name: getattr(settings, name) for name in ("kinds", "zones", "group_size")},
                    "classes": (settings.classes[0], keyed),
                }
            ),
            0.02,
            Random(1),
            str,
        )
        member.handle_event(0.0, MachinesChanged(ListForm.FULL, tuple(Machine(n, n % 3) for n in range(6))))
        self.place(1.0, 1, 4, 1, 0xAA)
        self.agree(2.0, "leaving")
        self.assertIsNotNone(member.rejection(5.9, 1, 0xAA))
        self.assertIsNone(member.rejection(6.1, 1, 0xAA))

    def test_dispatchers_inside_continue_only_if_that_was_agreed(self):
        inside = FailoverMember(
            Settings(**{name: getattr(SETTINGS, name) for name in ("kinds", "zones", "classes")}, zone=1),
            0.02,
            Random(1),
            str,
        )
        inside.handle_event(0.0, MachinesChanged(ListForm.FULL, (Machine(4, 1),)))
        self.agree(1.0, "leaving", inside=True)
        inside.apply_agreed_state(1.0, self.zones)
        self.assertEqual((inside.effective_state(1.0, 4), inside.rejection(1.0, 0, 0)), ("ready", None))
        self.assertEqual(self.member.effective_state(1.0, 4), "draining")
        change(self.zones, "z1", "left", inside=False)
        inside.apply_agreed_state(1.1, self.zones)
        self.assertIsNone(inside.rejection(1.1, 0, 0))  # no evidence that it is isolated
        inside.handle_event(1.1, MachinesChanged(ListForm.DELTA, (Machine(3, 0), Machine(5, 2))))
        for machine in (3, 5):
            inside.handle_event(1.2, ProbeAnswered(machine, Outcome.TIMEOUT))
        inside.tick(1.2)
        self.assertIn("z1 is left", inside.rejection(1.2, 0, 0).reason)

    def test_the_agreed_fraction_of_a_class_is_shed(self):
        self.agree(1.0, "leaving", shed={"lookup": 0.5})
        rejections = [self.member.rejection(5.0, 0, 0) for _ in range(400)]
        self.assertTrue(150 < sum(rejection is not None for rejection in rejections) < 250)
        self.assertIsNone(self.member.rejection(5.0, 1, 0))

    def test_a_tenant_within_its_share_is_not_shed_and_rejected_work_counts_as_demand(self):
        tenants = (Tenant("acme"), Tenant("bolt"))
        self.member.update_settings(replace(SETTINGS, tenants=tenants))
        self.agree(1.0, "leaving", shed={"lookup": 0.5}, tenants={"lookup": {"acme": 0.0, "bolt": 1.0}})
        self.assertEqual([self.member.rejection(5.0 + n / 100, 0, 0, 0, 1.0) for n in range(20)], [None] * 20)
        rejections = [self.member.rejection(5.0 + n / 100, 0, 0, 1, 1.0) for n in range(20)]
        self.assertIn("100% of bolt's lookup", rejections[0].reason)
        # Rejected work is part of the reported rate: otherwise the fraction to shed would oscillate.
        self.assertEqual(self.member.report(5.2).tenant_rates, {"lookup": {"bolt": 5.0}})

    def test_inside_a_left_place_only_machines_known_to_be_warm_need_no_quota(self):
        inside = FailoverMember(replace(SETTINGS, zone=1), 0.02, Random(1), str)
        inside.handle_event(0.0, MachinesChanged(ListForm.FULL, tuple(Machine(n, n % 3) for n in range(12))))
        for machine in (3, 4, 7, 10):
            inside.handle_event(1.0, ProbeAnswered(machine, Outcome.OK))
        self.agree(9.0, "leaving", "left", inside=True)
        inside.apply_agreed_state(9.0, self.zones)
        inside.connection_lost(4)  # a new process, while the endpoint list is unchanged
        inside.handle_event(9.0, ProbeAnswered(4, Outcome.OK))
        inside.handle_event(9.0, ProbeAnswered(10, Outcome.CONNECT_FAILED))
        self.assertEqual(
            [inside.effective_state(9.1, machine) for machine in (1, 4, 7, 10)],  # 1 has never answered
            ["draining", "draining", "ready", "draining"],
        )
        self.assertIn("no share", inside.start_refusal(9.1, 4, 0))
        self.assertEqual(inside.start_refusal(9.1, 7, 0), "")
        inside.receive_quotas([StartQuota("z1", "l.0", 0, 0, 1, 1, 0.5)], 9.1)
        inside.apply_agreed_state(
            9.1, self.zones
        )  # a new state without a change of the place keeps the quota
        self.assertEqual((inside.start_refusal(9.2, 4, 0), inside.effective_state(9.2, 4)), ("", "draining"))
        self.assertEqual(
            inside.effective_state(9.1 + SETTINGS.warm_up_us / 1e6, 4), "ready"
        )  # it is warm by then
        inside.connection_lost(3)  # in a zone in service, the policy handles cold machines
        self.assertEqual(inside.effective_state(9.2, 3), "ready")

    def test_retries_stop_when_the_budget_is_spent(self):
        self.agree(1.0, "leaving")
        refusals = [self.member.start_refusal(1.0, 3, 1) for _ in range(30)]
        self.assertTrue(5 < sum(refusal == "" for refusal in refusals) < 15)
        self.assertIn("budget", refusals[-1])

    def test_a_class_and_a_zone_added_by_new_settings_are_known(self):
        extended = replace(SETTINGS, zones=(*ZONES, "z3"), classes=(*SETTINGS.classes, SETTINGS.classes[0]))
        self.member.update_settings(extended)
        self.assertIsNone(self.member.rejection(1.0, 2, 0xAA))
        self.member.handle_event(1.0, MachinesChanged(ListForm.DELTA, (Machine(99, 3),)))
        self.member.handle_event(1.0, ProbeAnswered(99, Outcome.OK))
        self.assertIs(self.member.report(1.1).health("z3"), PlaceHealth.HEALTHY)

    @hypothesis_settings(max_examples=50)
    @given(
        st.lists(
            st.tuples(st.sampled_from(("arrive", "place", "end", "gone")), st.integers(0, 8)), max_size=60
        )
    )
    def test_accounted_cores_are_those_of_running_tasks(self, events):
        member, running, arrived = FailoverMember(SETTINGS, 0.02, Random(1), str), {}, set()
        member.handle_event(0.0, MachinesChanged(ListForm.FULL, tuple(Machine(n, n % 3) for n in range(3))))
        for n, (kind, request) in enumerate(events):
            match kind:
                case "arrive" if request not in running:
                    arrived.add(request)
                    member.handle_event(n, RequestArrived(request, 0, 0, 1, 1.0, 1.0))
                case "place" if request in arrived:
                    arrived.discard(request)
                    running[request] = request % 3
                    member.handle_event(n, Placed(request, 0, request % 3, 0))
                case "end" if request in running:
                    del running[request]
                    member.handle_event(n, AttemptEnded(request, 0, request % 3, Outcome.OK, closed=True))
                case "gone" if request in arrived:
                    arrived.discard(request)
                    member.handle_event(n, RequestAbandoned(request))
        cores = {}
        for machine in running.values():
            cores[machine] = cores.get(machine, 0.0) + 1.0
        self.assertEqual(member.load.cores_on, cores)


class ZoneSettings(unittest.TestCase):
    def test_an_error_in_the_settings_names_the_key(self):
        group = {"agreement": {"name": "g"}}
        for table, key in (
            ({"step": "x"}, "zones.step"),
            ({"quorum": 1}, "zones.quorum"),
            ({"alone": 1}, "zones.alone"),
            ({"colour": 1}, "zones.colour"),
            ({"stay": -1}, "zones.stay"),
        ):
            with self.assertRaisesRegex(config.ConfigError, key):
                config.zones_config({"zones": table, **group})
        with self.assertRaisesRegex(config.ConfigError, "agreement"):
            config.zones_config({"zones": {"step": 1.0}})
        self.assertIsNone(config.zones_config({"zones": {"enabled": False}}))
        self.assertEqual(config.zones_config({"zones": {"alone": True}}).times.quorum, 1)
