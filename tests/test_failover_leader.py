"""The agreed state of zones and the leader's decisions, alone and in the replicated group."""

import itertools
import json
import unittest
from dataclasses import replace

from weldhatch.coordination.leader import Leader
from weldhatch.coordination.messages import LeaseRequest
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.coordination.timing import LeaseTiming
from weldhatch.coordination.zone_leader import ZoneLeader
from weldhatch.scheduling.types import Tenant
from weldhatch.testbed.simulated_zones import settings as zone_settings
from weldhatch.zones.failover_leader import FailoverLeader
from weldhatch.zones.failover_rules import FailoverTiming
from weldhatch.zones.reports import ZoneReport
from weldhatch.zones.state import Phase, ZoneStates

ZONES = ("z0", "z1", "z2")
SETTINGS, EIGHT_MEMBERS = zone_settings(3, 8), tuple(range(8))


def change(zones, place, phase, index=1, **fields):
    number = zones.place(place).number
    return zones.apply(index, {"place": place, "phase": phase, "number": number, **fields}, ZONES)


class AgreedState(unittest.TestCase):
    def test_phases_follow_in_order_and_a_change_based_on_an_outdated_number_is_rejected(self):
        zones = ZoneStates()
        self.assertEqual(change(zones, "z1", "left")["error"], "order")
        self.assertIn("ok", change(zones, "z1", "suspected"))
        outdated = {"place": "z1", "phase": "leaving", "number": 0}
        self.assertEqual(zones.apply(2, outdated, ZONES)["error"], "moved")
        for phase in ("leaving", "left", "returning", "serving"):
            self.assertIn("ok", change(zones, "z1", phase))
        self.assertEqual(change(zones, "z9", "suspected")["error"], "unknown")

    def test_the_last_zone_is_never_left(self):
        zones = ZoneStates()
        for place in ("z0", "z1"):
            change(zones, place, "leaving")
        self.assertEqual(change(zones, "z2", "leaving")["error"], "last")
        self.assertIn("ok", change(zones, "z2/3", "leaving"))

    def test_the_state_is_restored_completely_from_its_encoded_form(self):
        zones = ZoneStates()
        change(zones, "z1", "leaving", shed={"lookup": 0.4}, witnesses=["g1"])
        zones.apply_fence("z1", ["a", "b"], "g1")
        restored = ZoneStates.from_tree(json.loads(json.dumps(zones.to_tree())))
        self.assertEqual(restored.to_tree(), zones.to_tree())
        self.assertIs(restored.place("z1").phase, Phase.LEAVING)

    def test_fences_end_when_the_zone_serves_again(self):
        zones = ZoneStates()
        self.assertEqual(zones.apply_fence("z1", ["a"], "g1")["error"], "moved")
        change(zones, "z1", "leaving")
        zones.apply_fence("z1", ["a"], "g1")
        for phase in ("left", "returning"):
            change(zones, "z1", phase)
            self.assertIn("a", zones.fenced)
        change(zones, "z1", "serving")
        self.assertEqual(zones.fenced, {})


def encoded_report(zone, health_by_place, cut="", **fields):
    return {
        "zone": zone,
        "cut": cut,
        **fields,
        "looks": {place: [health, 3, 3, 10] for place, health in health_by_place.items()},
    }


class LeaderDecisions(unittest.TestCase):
    """Eight dispatchers: d0, d3 and d6 in z0; d1, d4 and d7 in z1; d2 and d5 in z2."""

    def setUp(self):
        self.leader = FailoverLeader(0.0, "l", FailoverTiming(), 1.0, 0.5, 0.02)
        self.zones, self.now, self.applied_by_all = ZoneStates(), 0.0, True

    def run_for(self, seconds, health_by_place, members=EIGHT_MEMBERS, zone_cut=(), **fields):
        """Report for a while and apply the leader's changes; return the state of z1.

        `health_by_place`: for all members, or a function of the member's number; other zones are healthy.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for n in members:
                reported = health_by_place(n) if callable(health_by_place) else health_by_place
                self.leader.receive_report(
                    self.now,
                    f"d{n}",
                    f"d{n}.1",
                    ZoneReport.from_tree(
                        encoded_report(
                            f"z{n % 3}",
                            {"z0": "fine", "z1": "fine", "z2": "fine", **reported},
                            "its zone is cut off" if n in zone_cut else "",
                            **fields,
                        )
                    ),
                )
            for change in self.leader.due_changes(
                self.now, self.zones, SETTINGS, lambda index: self.applied_by_all
            ):
                self.zones.apply(self.zones.number + 1, change.to_tree(), ZONES)
        return self.zones.place("z1")

    def test_a_zone_reported_down_is_left_and_returns_in_steps(self):
        self.assertIs(self.run_for(0.2, {"z1": "down"}).phase, Phase.SUSPECTED)
        self.assertIs(self.run_for(0.4, {"z1": "down"}).phase, Phase.LEFT)
        self.assertIs(self.run_for(1.0, {}).phase, Phase.LEFT)  # the minimum time away
        self.assertEqual(self.run_for(1.5, {}).step, 1)
        steps = [self.run_for(0.5, {}).step for _ in range(30)]
        self.assertEqual([step for step, _ in itertools.groupby(steps)], [1, 2, 3, 4, 0])
        self.assertIs(self.zones.place("z1").phase, Phase.SERVING)

    def test_a_zone_stays_leaving_until_all_dispatchers_have_applied_it(self):
        self.applied_by_all = False
        self.assertIs(self.run_for(3.0, {"z1": "down"}).phase, Phase.LEAVING)

    def test_a_new_leader_does_not_restart_the_confirmation_of_a_suspicion(self):
        def phase_with_new_leader(members, seconds=0.05):
            """Return the phase of z1 after reports of some of the eight members to a new leader."""
            self.leader, self.now = (
                FailoverLeader(self.now, "m", FailoverTiming(), 1.0, 0.5, 0.02),
                self.now + 0.05,
            )
            self.leader.set_members({f"d{n}" for n in range(8)})
            return self.run_for(seconds, {"z1": "down"}, members).phase

        self.assertIs(self.run_for(0.1, {"z1": "down"}).phase, Phase.SUSPECTED)
        # Two of eight may be wrong, so they need the confirmation time.
        self.assertIs(phase_with_new_leader((0, 2)), Phase.SUSPECTED)
        self.assertIs(phase_with_new_leader((0, 2, 3)), Phase.LEAVING)
        self.zones = ZoneStates()
        # Without an agreed suspicion, the confirmation time starts with the first report.
        self.assertIs(phase_with_new_leader((0, 2, 3), 0.15), Phase.SUSPECTED)

    def test_a_new_leader_uses_the_reported_down_times_of_a_third_of_all_members(self):
        """The previous leader died before it proposed a suspicion that the members had already observed."""

        def changes_with_new_leader(down_ms_by_member):
            self.leader, self.zones = (
                FailoverLeader(self.now, "m", FailoverTiming(), 1.0, 0.5, 0.02),
                ZoneStates(),
            )
            self.leader.set_members({f"d{n}" for n in range(8)})
            self.now += 0.05
            for n, down_ms in down_ms_by_member.items():
                report = encoded_report(f"z{n % 3}", {"z0": "fine", "z1": "down", "z2": "fine"})
                report["looks"]["z1"].append(down_ms)
                self.leader.receive_report(self.now, f"d{n}", f"d{n}.1", ZoneReport.from_tree(report))
            changes = self.leader.due_changes(self.now, self.zones, SETTINGS, lambda index: True)
            return [change.phase.value for change in changes if change.place == "z1"]

        self.assertEqual(changes_with_new_leader({0: 800, 2: 700, 3: 300}), ["leaving"])
        # Two of eight may be wrong, or report a wrong time.
        self.assertEqual(changes_with_new_leader({0: 800, 2: 700}), ["suspected"])
        self.assertEqual(changes_with_new_leader({0: 10**9, 2: 10**9, 3: 100, 5: 100}), ["suspected"])

    def test_demand_of_tenants_above_their_share_is_shed_first(self):
        portions = {"acme": 0.5, "bolt": 0.25, "cogs": 0.25}
        settings = replace(
            SETTINGS, tenants=tuple(Tenant(name, portion=portion) for name, portion in portions.items())
        )
        leader, zones = FailoverLeader(0.0, "l", FailoverTiming(), 1.0, 0.5, 0.02), ZoneStates()
        now = 0.0

        def run_until(until, z0_cores, tenant_rates):
            nonlocal now
            while now < until:
                now += 0.05
                for n in EIGHT_MEMBERS:
                    health_by_place = (
                        {"z0": "fine", "z1": "down", "z2": "fine"}
                        if now > 1.0
                        else dict.fromkeys(ZONES, "fine")
                    )
                    leader.receive_report(
                        now,
                        f"d{n}",
                        f"d{n}.1",
                        ZoneReport.from_tree(
                            encoded_report(
                                f"z{n % 3}",
                                health_by_place,
                                stands={"z1": 30.0, "z0": z0_cores},
                                size={"z0": 140.0, "z2": 100.0},
                                rates={"lookup": 8.0},
                                tenants={"lookup": tenant_rates},
                            )
                        ),
                    )
                for change in leader.due_changes(now, zones, settings, lambda index: True):
                    zones.apply(zones.number + 1, change.to_tree(), ZONES)
            return zones.place("z1")

        place = run_until(2.0, 10.0, {"acme": 2.0, "bolt": 5.0, "cogs": 1.0})
        self.assertIs(place.phase, Phase.LEFT)
        fraction = place.shed["lookup"]
        self.assertTrue(0.2 < fraction < 0.6, place)
        self.assertEqual(
            (place.shed_fraction("lookup", "acme"), place.shed_fraction("lookup", "cogs")), (0.0, 0.0)
        )
        self.assertAlmostEqual(place.shed_fraction("lookup", "bolt") * 5.0, fraction * 8.0, delta=0.1)
        self.assertEqual(place.shed_fraction("lookup", "nobody"), fraction)  # no reported rate
        # The other zones are nearly full, so the shed level stays; now another tenant exceeds its share.
        place = run_until(4.5, 27.0, {"acme": 6.0, "bolt": 1.0, "cogs": 1.0})
        self.assertGreater(place.shed_fraction("lookup", "acme"), place.shed_fraction("lookup", "bolt"))

    def test_reports_of_a_single_member_change_no_phase(self):
        self.run_for(5.0, lambda n: {zone: "down" for zone in ZONES} if n == 0 else {})
        self.assertEqual({place.phase for place in self.zones.entries.values()} - {Phase.SERVING}, set())

    def test_a_minority_does_not_leave_a_zone_that_others_report_up(self):
        self.run_for(5.0, lambda n: {"z1": "down"} if n in (0, 2) else {})
        self.assertEqual(self.leader.status(self.now, ["z1"])["witnesses"]["z1"]["down"], ["d0", "d2"])
        self.assertNotIn(self.zones.place("z1").phase, (Phase.LEAVING, Phase.LEFT))

    def test_members_of_a_zone_that_is_cut_off_are_no_witnesses_against_other_zones(self):
        cut = [n for n in range(8) if n % 3 == 1]
        place = self.run_for(
            3.0, lambda n: {"z0": "down", "z2": "down"} if n in cut else {"z1": "down"}, zone_cut=cut
        )
        self.assertIs(place.phase, Phase.LEFT)
        self.assertTrue(place.inside)  # its members reach it and continue there
        self.assertNotIn("z0", self.zones.entries)
        self.assertNotIn("z2", self.zones.entries)

    def test_members_inside_that_detect_the_failure_later_stop_starting_there(self):
        inside = (1, 4, 7)
        place = self.run_for(0.6, lambda n: {} if n in inside else {"z1": "down"})
        self.assertTrue(place.inside)
        place = self.run_for(0.5, {"z1": "down"})
        self.assertEqual((place.phase, place.inside), (Phase.LEFT, False))
        self.applied_by_all = False  # no return before all dispatchers have applied that
        self.assertIs(self.run_for(6.0, {}).phase, Phase.LEFT)
        self.applied_by_all = True
        self.assertIs(self.run_for(0.2, {}).phase, Phase.RETURNING)

    def test_a_degraded_zone_is_not_left(self):
        self.assertIs(self.run_for(5.0, {"z1": "gray"}).phase, Phase.SERVING)

    def test_each_flap_lengthens_the_time_away(self):
        times_away = []
        for _ in range(3):
            self.run_for(2.0, {"z1": "down"})
            self.assertIs(self.zones.place("z1").phase, Phase.LEFT)
            began = self.now
            while self.zones.place("z1").phase is Phase.LEFT:
                self.run_for(0.1, {})
            times_away.append(self.now - began)
        self.assertTrue(times_away[0] < times_away[1] < times_away[2], times_away)

    def test_a_return_steps_back_after_failed_starts_without_leaving(self):
        self.run_for(1.0, {"z1": "down"})
        while self.zones.place("z1").step < 2:
            self.run_for(0.1, {}, starts={"z1": [10, 10, 0]})
        phases = []
        for failed in range(1, 8):
            self.run_for(0.2, {}, starts={"z1": [10 + 2 * failed, 10 + failed, failed]})
            phases.append((self.zones.place("z1").phase, self.zones.place("z1").step))
        self.assertIn((Phase.RETURNING, 1), phases)
        self.assertNotIn(Phase.LEFT, {phase for phase, _ in phases})

    def test_a_new_leader_continues_at_the_agreed_step(self):
        self.run_for(1.0, {"z1": "down"})
        while self.zones.place("z1").step < 3:
            self.run_for(0.1, {})
        self.leader = FailoverLeader(self.now, "l2", FailoverTiming(), 1.0, 0.5, 0.02)
        self.assertEqual(self.run_for(1.0, {}).step, 3)
        self.assertIs(self.run_for(6.0, {}).phase, Phase.SERVING)

    def test_of_three_zones_reported_down_the_last_is_kept(self):
        self.run_for(3.0, {"z0": "down", "z1": "down", "z2": "down"})
        left = [zone for zone in ZONES if self.zones.place(zone).phase is Phase.LEFT]
        self.assertEqual(len(left), 2)
        self.assertEqual(self.leader.status(self.now, ZONES)["kept_last"], sorted(set(ZONES) - set(left)))

    def test_operator_commands_depend_on_the_capacity_of_the_other_zones_and_on_the_phase(self):
        self.run_for(1.0, {}, stands={"z1": 30.0}, size={"z0": 100.0, "z2": 100.0}, rates={"lookup": 5.0})

        def command_for(action, **fields):
            return self.leader.operator_command(
                self.now,
                {"id": "x", "place": "z1", "word": action, "why": "power", **fields},
                self.zones,
                SETTINGS,
            )

        self.assertEqual(command_for("leave")["error"], "room")
        command = command_for("leave", despite=True)
        self.assertEqual((command["phase"], set(command["shed"])), ("leaving", {"lookup"}))
        self.assertEqual(command_for("return")["error"], "order")
        self.zones.apply(1, command, ZONES)
        self.assertIs(self.run_for(20.0, {}).phase, Phase.LEFT)  # no automatic return
        self.zones.apply(2, command_for("return"), ZONES)
        self.assertIs(self.run_for(14.0, {}).phase, Phase.SERVING)
        self.zones.apply_hold(3, command_for("hold"))
        self.assertIs(self.run_for(5.0, {"z1": "down"}).phase, Phase.SERVING)


class ReplicatedZones(unittest.TestCase):
    def setUp(self):
        self.group = StateMachine()
        self.zone_leader = ZoneLeader(
            0.0,
            "l",
            1,
            FailoverTiming(),
            Leader(LeaseTiming(), 0.0, lambda tree: SETTINGS),
            lambda tree: SETTINGS,
        )

    def activate(self):
        for index, command in enumerate(
            (
                {"do": "join", "name": "d0", "epoch": 1, "token": "t"},
                {"do": "propose", "base": 0, "tree": {"zones": list(ZONES)}, "why": "", "by": ""},
                {"do": "activate", "number": 1},
            ),
            1,
        ):
            self.assertIn("ok", self.group.apply(index, json.dumps({**command, "id": str(index)})))

    def lease_request(self, name, report):
        return LeaseRequest(0, name, 1, "t", 0.0, 0, "", zone_report=report)

    def test_malformed_reports_are_ignored(self):
        self.activate()
        for text in (
            "no JSON",
            "5",
            "{}",
            '{"looks": 5, "zone": "", "cut": ""}',
            '{"looks": {"z1": []}}',
            '{"zone": "z0", "cut": "", "looks": {"z1": ["down", "many"]}}',
            '{"zone": "z0", "cut": "", "looks": {}, "stands": {"z1": "much"}}',
            '{"zone": "z0", "cut": "", "looks": {"z1": ["down", Infinity]}}',
            '{"zone": "z0", "cut": "", "looks": {}, "tenants": {"lookup": {"acme": NaN}}}',
            '{"zone": "z0", "cut": "", "looks": {}, "tenants": {"lookup": 5}}',
        ):
            self.zone_leader.receive_report(1.0, self.group, self.lease_request("d0", text))
        self.assertEqual(self.zone_leader.status(1.0, self.group)["reports"], {})
        self.zone_leader.receive_report(
            1.0, self.group, self.lease_request("d0", json.dumps(encoded_report("z0", {"z1": "down"})))
        )
        self.assertIn("d0", self.zone_leader.status(1.0, self.group)["reports"])

    def test_without_an_active_version_of_the_settings_there_are_no_zones(self):
        self.assertEqual(self.zone_leader.due_commands(1.0, self.group), [])
        self.assertEqual(
            self.zone_leader.operator_command(1.0, self.group, {"place": "z1", "word": "leave"})["error"],
            "unknown",
        )

    def test_a_snapshot_without_zones_is_read(self):
        self.activate()
        state = json.loads(self.group.snapshot())
        del state["zones"]
        restored = StateMachine()
        restored.load(json.dumps(state))
        self.assertEqual((restored.index, restored.zones.entries), (self.group.index, {}))
