"""The agreed state of zones, how the leader weighs witnesses, and both in the replicated group."""

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
SETTINGS, EIGHT = zone_settings(3, 8), tuple(range(8))


def change(zones, place, phase, index=1, **more):
    number = zones.place(place).number
    return zones.apply(index, {"place": place, "phase": phase, "number": number, **more}, ZONES)


class AgreedState(unittest.TestCase):
    def test_the_order_of_states_is_kept_and_a_change_names_what_it_was_made_on(self):
        zones = ZoneStates()
        self.assertEqual(change(zones, "z1", "left")["error"], "order")
        self.assertIn("ok", change(zones, "z1", "suspected"))
        old = {"place": "z1", "phase": "leaving", "number": 0}
        self.assertEqual(zones.apply(2, old, ZONES)["error"], "moved")
        for phase in ("leaving", "left", "returning", "serving"):
            self.assertIn("ok", change(zones, "z1", phase))
        self.assertEqual(change(zones, "z9", "suspected")["error"], "unknown")

    def test_the_last_zone_is_never_left(self):
        zones = ZoneStates()
        for place in ("z0", "z1"):
            change(zones, place, "leaving")
        self.assertEqual(change(zones, "z2", "leaving")["error"], "last")
        self.assertIn("ok", change(zones, "z2/3", "leaving"))

    def test_it_is_restored_completely_from_its_encoded_form(self):
        zones = ZoneStates()
        change(zones, "z1", "leaving", shed={"lookup": 0.4}, witnesses=["g1"])
        zones.apply_fence("z1", ["a", "b"], "g1")
        again = ZoneStates.from_tree(json.loads(json.dumps(zones.to_tree())))
        self.assertEqual(again.to_tree(), zones.to_tree())
        self.assertIs(again.place("z1").phase, Phase.LEAVING)

    def test_fences_end_with_the_return(self):
        zones = ZoneStates()
        self.assertEqual(zones.apply_fence("z1", ["a"], "g1")["error"], "moved")
        change(zones, "z1", "leaving")
        zones.apply_fence("z1", ["a"], "g1")
        for phase in ("left", "returning"):
            change(zones, "z1", phase)
            self.assertIn("a", zones.fenced)
        change(zones, "z1", "serving")
        self.assertEqual(zones.fenced, {})


def encoded_report(zone, looks, cut="", **more):
    return {
        "zone": zone,
        "cut": cut,
        **more,
        "looks": {place: [look, 3, 3, 10] for place, look in looks.items()},
    }


class Verdicts(unittest.TestCase):
    """Eight dispatchers: d0, d3, d6 in z0, d1, d4, d7 in z1, d2, d5 in z2."""

    def setUp(self):
        self.leader = FailoverLeader(0.0, "l", FailoverTiming(), 1.0, 0.5, 0.02)
        self.zones, self.now, self.held = ZoneStates(), 0.0, True

    def run_for(self, seconds, looks, names=EIGHT, zone_cut=(), **more):
        """All say the same for a while, `looks` by place; what came of it."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for n in names:
                reported = looks(n) if callable(looks) else looks
                self.leader.receive_report(
                    self.now,
                    f"d{n}",
                    f"d{n}.1",
                    ZoneReport.from_tree(
                        encoded_report(
                            f"z{n % 3}",
                            {"z0": "fine", "z1": "fine", "z2": "fine", **reported},
                            "its zone is cut off" if n in zone_cut else "",
                            **more,
                        )
                    ),
                )
            for change in self.leader.due_changes(self.now, self.zones, SETTINGS, lambda index: self.held):
                self.zones.apply(self.zones.number + 1, change.to_tree(), ZONES)
        return self.zones.place("z1")

    def test_a_zone_that_others_call_down_is_left_and_comes_back_by_steps(self):
        self.assertIs(self.run_for(0.2, {"z1": "down"}).phase, Phase.SUSPECTED)
        self.assertIs(self.run_for(0.4, {"z1": "down"}).phase, Phase.LEFT)
        self.assertIs(self.run_for(1.0, {}).phase, Phase.LEFT)  # not at once
        self.assertEqual(self.run_for(1.5, {}).step, 1)
        steps = [self.run_for(0.5, {}).step for _ in range(30)]
        self.assertEqual([step for step, _ in itertools.groupby(steps)], [1, 2, 3, 4, 0])
        self.assertIs(self.zones.place("z1").phase, Phase.SERVING)

    def test_it_is_not_left_before_everybody_holds_it(self):
        self.held = False
        self.assertIs(self.run_for(3.0, {"z1": "down"}).phase, Phase.LEAVING)

    def test_a_leader_that_takes_over_a_suspicion_does_not_begin_it_anew(self):
        def taken_over(names, seconds=0.05):
            """By a leader that has just heard so many, of eight that are members."""
            self.leader, self.now = (
                FailoverLeader(self.now, "m", FailoverTiming(), 1.0, 0.5, 0.02),
                self.now + 0.05,
            )
            self.leader.set_members({f"d{n}" for n in range(8)})
            return self.run_for(seconds, {"z1": "down"}, names).phase

        self.assertIs(self.run_for(0.1, {"z1": "down"}).phase, Phase.SUSPECTED)
        self.assertIs(taken_over((0, 2)), Phase.SUSPECTED)  # two may be wrong: they have to go on for a while
        self.assertIs(taken_over((0, 2, 3)), Phase.LEAVING)
        self.zones = ZoneStates()
        self.assertIs(taken_over((0, 2, 3), 0.15), Phase.SUSPECTED)  # and what nobody suspected is confirmed

    def test_a_new_leader_is_told_for_how_long_a_place_is_down_and_believes_a_third_of_all(self):
        """Its leader died before a suspicion was decided: that it is down is no news to those who say so."""

        def new_leader(spans):
            self.leader, self.zones = (
                FailoverLeader(self.now, "m", FailoverTiming(), 1.0, 0.5, 0.02),
                ZoneStates(),
            )
            self.leader.set_members({f"d{n}" for n in range(8)})
            self.now += 0.05
            for n, ms in spans.items():
                one = encoded_report(f"z{n % 3}", {"z0": "fine", "z1": "down", "z2": "fine"})
                one["looks"]["z1"].append(ms)
                self.leader.receive_report(self.now, f"d{n}", f"d{n}.1", ZoneReport.from_tree(one))
            changes = self.leader.due_changes(self.now, self.zones, SETTINGS, lambda index: True)
            return [one.phase.value for one in changes if one.place == "z1"]

        self.assertEqual(new_leader({0: 800, 2: 700, 3: 300}), ["leaving"])
        self.assertEqual(new_leader({0: 800, 2: 700}), ["suspected"])  # two of eight may be wrong
        self.assertEqual(new_leader({0: 10**9, 2: 10**9, 3: 100, 5: 100}), ["suspected"])  # and two may lie

    def test_what_tenants_ask_over_their_shares_is_shed_first(self):
        portions = {"acme": 0.5, "bolt": 0.25, "cogs": 0.25}
        settings = replace(
            SETTINGS, tenants=tuple(Tenant(name, portion=one) for name, one in portions.items())
        )
        leader, zones = FailoverLeader(0.0, "l", FailoverTiming(), 1.0, 0.5, 0.02), ZoneStates()
        now = 0.0

        def run_until(until, stands, tenants):
            nonlocal now
            while now < until:
                now += 0.05
                for n in EIGHT:
                    looks = (
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
                                looks,
                                stands={"z1": 30.0, "z0": stands},
                                size={"z0": 140.0, "z2": 100.0},
                                rates={"lookup": 8.0},
                                tenants={"lookup": tenants},
                            )
                        ),
                    )
                for change in leader.due_changes(now, zones, settings, lambda index: True):
                    zones.apply(zones.number + 1, change.to_tree(), ZONES)
            return zones.place("z1")

        place = run_until(2.0, 10.0, {"acme": 2.0, "bolt": 5.0, "cogs": 1.0})
        self.assertIs(place.phase, Phase.LEFT)
        part = place.shed["lookup"]
        self.assertTrue(0.2 < part < 0.6, place)
        self.assertEqual(
            (place.shed_fraction("lookup", "acme"), place.shed_fraction("lookup", "cogs")), (0.0, 0.0)
        )
        self.assertAlmostEqual(place.shed_fraction("lookup", "bolt") * 5.0, part * 8.0, delta=0.1)
        self.assertEqual(place.shed_fraction("lookup", "nobody"), part)  # of whom nothing is told
        # The rest is nearly full, so as much is turned away; another one asks too much now.
        place = run_until(4.5, 27.0, {"acme": 6.0, "bolt": 1.0, "cogs": 1.0})
        self.assertGreater(place.shed_fraction("lookup", "acme"), place.shed_fraction("lookup", "bolt"))

    def test_a_single_member_moves_nobody_whatever_it_reports(self):
        self.run_for(5.0, lambda n: {zone: "down" for zone in ZONES} if n == 0 else {})
        self.assertEqual({one.phase for one in self.zones.entries.values()} - {Phase.SERVING}, set())

    def test_nor_does_a_minority_where_others_answer(self):
        self.run_for(5.0, lambda n: {"z1": "down"} if n in (0, 2) else {})
        self.assertEqual(self.leader.status(self.now, ["z1"])["witnesses"]["z1"]["down"], ["d0", "d2"])
        self.assertNotIn(self.zones.place("z1").phase, (Phase.LEAVING, Phase.LEFT))

    def test_those_whose_own_zone_is_cut_off_are_no_witnesses_against_the_others(self):
        cut = [n for n in range(8) if n % 3 == 1]
        place = self.run_for(
            3.0, lambda n: {"z0": "down", "z2": "down"} if n in cut else {"z1": "down"}, zone_cut=cut
        )
        self.assertIs(place.phase, Phase.LEFT)
        self.assertTrue(place.inside)  # those inside reach it and go on there
        self.assertNotIn("z0", self.zones.entries)
        self.assertNotIn("z2", self.zones.entries)

    def test_members_inside_that_see_it_fail_later_stop_starting_there(self):
        inside = (1, 4, 7)
        place = self.run_for(0.6, lambda n: {} if n in inside else {"z1": "down"})
        self.assertTrue(place.inside)
        place = self.run_for(0.5, {"z1": "down"})
        self.assertEqual((place.phase, place.inside), (Phase.LEFT, False))
        self.held = False  # nobody comes back before that is held by all
        self.assertIs(self.run_for(6.0, {}).phase, Phase.LEFT)
        self.held = True
        self.assertIs(self.run_for(0.2, {}).phase, Phase.RETURNING)

    def test_a_degraded_zone_is_not_left(self):
        self.assertIs(self.run_for(5.0, {"z1": "gray"}).phase, Phase.SERVING)

    def test_each_flap_is_answered_by_a_longer_stay(self):
        stays = []
        for _ in range(3):
            self.run_for(2.0, {"z1": "down"})
            self.assertIs(self.zones.place("z1").phase, Phase.LEFT)
            began = self.now
            while self.zones.place("z1").phase is Phase.LEFT:
                self.run_for(0.1, {})
            stays.append(self.now - began)
        self.assertTrue(stays[0] < stays[1] < stays[2], stays)

    def test_a_return_steps_back_at_failed_starts_without_leaving(self):
        self.run_for(1.0, {"z1": "down"})
        while self.zones.place("z1").step < 2:
            self.run_for(0.1, {}, starts={"z1": [10, 10, 0]})
        phases = []
        for wrong in range(1, 8):
            self.run_for(0.2, {}, starts={"z1": [10 + 2 * wrong, 10 + wrong, wrong]})
            phases.append((self.zones.place("z1").phase, self.zones.place("z1").step))
        self.assertIn((Phase.RETURNING, 1), phases)
        self.assertNotIn(Phase.LEFT, {phase for phase, _ in phases})

    def test_a_new_leader_goes_on_at_the_step_that_was_agreed(self):
        self.run_for(1.0, {"z1": "down"})
        while self.zones.place("z1").step < 3:
            self.run_for(0.1, {})
        self.leader = FailoverLeader(self.now, "l2", FailoverTiming(), 1.0, 0.5, 0.02)
        self.assertEqual(self.run_for(1.0, {}).step, 3)
        self.assertIs(self.run_for(6.0, {}).phase, Phase.SERVING)

    def test_of_three_zones_that_are_called_down_the_last_is_kept(self):
        self.run_for(3.0, {"z0": "down", "z1": "down", "z2": "down"})
        left = [zone for zone in ZONES if self.zones.place(zone).phase is Phase.LEFT]
        self.assertEqual(len(left), 2)
        self.assertEqual(self.leader.status(self.now, ZONES)["kept_last"], sorted(set(ZONES) - set(left)))

    def test_operators_commands_and_what_the_other_zones_can_take(self):
        self.run_for(1.0, {}, stands={"z1": 30.0}, size={"z0": 100.0, "z2": 100.0}, rates={"lookup": 5.0})

        def command_for(action, **more):
            return self.leader.operator_command(
                self.now,
                {"id": "x", "place": "z1", "word": action, "why": "power", **more},
                self.zones,
                SETTINGS,
            )

        self.assertEqual(command_for("leave")["error"], "room")
        command = command_for("leave", despite=True)
        self.assertEqual((command["phase"], set(command["shed"])), ("leaving", {"lookup"}))
        self.assertEqual(command_for("return")["error"], "order")
        self.zones.apply(1, command, ZONES)
        self.assertIs(self.run_for(20.0, {}).phase, Phase.LEFT)  # it does not come back by itself
        self.zones.apply(2, command_for("return"), ZONES)
        self.assertIs(self.run_for(14.0, {}).phase, Phase.SERVING)
        self.zones.apply_hold(3, command_for("hold"))
        self.assertIs(self.run_for(5.0, {"z1": "down"}).phase, Phase.SERVING)


class InTheGroup(unittest.TestCase):
    def setUp(self):
        self.group = StateMachine()
        self.zoning = ZoneLeader(
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

    def ask(self, name, sight):
        return LeaseRequest(0, name, 1, "t", 0.0, 0, "", zone_report=sight)

    def test_reports_that_can_not_be_read_harm_nobody(self):
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
            self.zoning.receive_report(1.0, self.group, self.ask("d0", text))
        self.assertEqual(self.zoning.status(1.0, self.group)["reports"], {})
        self.zoning.receive_report(
            1.0, self.group, self.ask("d0", json.dumps(encoded_report("z0", {"z1": "down"})))
        )
        self.assertIn("d0", self.zoning.status(1.0, self.group)["reports"])

    def test_before_a_version_is_in_force_there_are_no_zones(self):
        self.assertEqual(self.zoning.due_commands(1.0, self.group), [])
        self.assertEqual(
            self.zoning.operator_command(1.0, self.group, {"place": "z1", "word": "leave"})["error"],
            "unknown",
        )

    def test_a_state_of_a_version_before_zones_is_read(self):
        self.activate()
        state = json.loads(self.group.snapshot())
        del state["zones"]
        again = StateMachine()
        again.load(json.dumps(state))
        self.assertEqual((again.index, again.zones.entries), (self.group.index, {}))
