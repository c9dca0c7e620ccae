"""When quiet servers get a health check: the schedule with simulated times, and with a stand-in server."""

import unittest
from unittest import mock

from scenario import SETTINGS, Scenario

from weldhatch.platform import health_check, servers, silence_check
from weldhatch.platform.health_check import (
    MAX_SUSPECT_CELLS,
    QUIET_LIMIT_S,
    SUSPECT_DURATION_S,
    SUSPECT_QUIET_LIMIT_S,
    HealthCheckSchedule,
)

PLACED = """
    owner send START a1 class=safe
    s1 expect SET_UP a1
    s1 send ANSWER a1 | v=0
    owner expect STARTED a1
"""
NO_PROBES = {**SETTINGS, "limits": {**SETTINGS["limits"], "probes": False}}


class QuietLimit(unittest.TestCase):
    def test_an_unresponsive_server_is_detected_within_eight_seconds(self):
        reachability_check_s = silence_check.SILENCE_LIMIT_S + silence_check.MAX_FAILED_CONNECTS * max(
            silence_check.SILENCE_LIMIT_S, 0.25
        )
        stalls_s = 3 * servers.MAX_WATCH_DELAY_S
        self.assertLess(QUIET_LIMIT_S + 2 * servers.WATCH_INTERVAL_S + reachability_check_s + stalls_s, 8.0)

    def test_an_unresponsive_server_makes_only_its_cell_suspect_for_a_limited_time(self):
        schedule = HealthCheckSchedule()
        schedule.mark_unresponsive(10.0, 0, 3)
        self.assertEqual(
            [SUSPECT_QUIET_LIMIT_S, QUIET_LIMIT_S, QUIET_LIMIT_S],
            [
                schedule.quiet_limit(10.1, 0, 3),
                schedule.quiet_limit(10.1, 0, 4),
                schedule.quiet_limit(10.1, 1, 3),
            ],
        )
        self.assertEqual(QUIET_LIMIT_S, schedule.quiet_limit(10.1 + SUSPECT_DURATION_S, 0, 3))

    def test_two_suspect_cells_make_their_zone_suspect_and_one_does_not(self):
        schedule = HealthCheckSchedule()
        schedule.mark_unresponsive(10.0, 0, 3)
        schedule.mark_unresponsive(12.0, 0, 4)
        self.assertEqual(
            [SUSPECT_QUIET_LIMIT_S, QUIET_LIMIT_S],
            [schedule.quiet_limit(12.5, 0, 9), schedule.quiet_limit(12.5, 1, 9)],
        )
        self.assertEqual(
            [QUIET_LIMIT_S, SUSPECT_QUIET_LIMIT_S],
            [schedule.quiet_limit(16.5, 0, 9), schedule.quiet_limit(16.5, 0, 4)],
        )

    def test_the_number_of_remembered_cells_is_bounded(self):
        schedule = HealthCheckSchedule()
        for cell in range(3 * MAX_SUSPECT_CELLS):
            schedule.mark_unresponsive(1.0, 0, cell)
            schedule.mark_unresponsive(1.0, 0, cell)  # a second server of the same cell changes nothing
        self.assertEqual(MAX_SUSPECT_CELLS, len(schedule._cells))
        self.assertEqual(MAX_SUSPECT_CELLS, schedule._zones[0])
        self.assertEqual(QUIET_LIMIT_S, schedule.quiet_limit(99.0, 0, 1))
        self.assertEqual((0, 0), (len(schedule._cells), schedule._zones[0]))


class HealthChecks(Scenario):
    settings = NO_PROBES

    async def test_a_quiet_server_gets_no_health_check_until_a_neighbour_is_unresponsive(self):
        """Health checks are priced like probes: they are sent only when due, or when the cell is suspect."""
        await self.play(PLACED)
        (link,) = self.gateway.servers._links.values()
        watch_calls, health_checks = [], []
        watch, check_health = type(link.silence).watch, servers.Servers.check_health
        with (
            mock.patch.object(health_check, "QUIET_LIMIT_S", 1000.0),
            mock.patch.object(health_check, "SUSPECT_QUIET_LIMIT_S", 0.0),
            mock.patch.object(silence_check, "SUSPECT_QUIET_LIMIT_S", 0.0),
            mock.patch.object(type(link.silence), "watch", lambda *a: (watch_calls.append(a), watch(*a))),
            mock.patch.object(
                servers.Servers, "check_health", lambda *a: (health_checks.append(a), check_health(*a))
            ),
        ):
            await self.until(lambda: len(watch_calls) >= 3, "three watch intervals")
            self.assertEqual([], health_checks)
            self.gateway.servers.mark_unresponsive(link.server)
            await self.until(
                lambda: health_checks, "a health check of the neighbour of an unresponsive server"
            )


class LoadReports(Scenario):
    async def test_a_load_report_in_a_health_check_reaches_the_policy_without_a_probe(self):
        """Guards against paying for a health check and for a probe of the same server."""
        await self.play(PLACED)
        (link,) = self.gateway.servers._links.values()
        (node,) = self.gateway.driver._policy._cluster.machines.values()
        self.parties["s1"].report = "x0:31;x1:77"
        self.gateway.servers.check_health(link)
        await self.until(
            lambda: (node.unreserved.reported_cores, node.unreserved.reported_memory) == (31.0, 77.0),
            "the policy received the load report",
        )
