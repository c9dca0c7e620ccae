"""Setting rules, the replicated state, drain reports, messages, the agreement table, and the command line."""

import asyncio
import json
import tempfile
import time
import unittest
from dataclasses import dataclass, fields, replace
from pathlib import Path

import pytest
from conftest import make_class, make_settings

from weldhatch import config
from weldhatch.cli.main import main
from weldhatch.cluster import codec, event_log
from weldhatch.cluster.control_api import ControlApi
from weldhatch.cluster.node import ClusterNode
from weldhatch.cluster.storage import ClusterRecords, ClusterStore
from weldhatch.consensus.messages import AppendEntries, LogEntry
from weldhatch.coordination import compatibility, drain_reports, setting_rules
from weldhatch.coordination.errors import IncompatibleChangeError
from weldhatch.coordination.messages import LeaseRequest, LeaseResponse
from weldhatch.coordination.setting_rules import Overlap
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.pullqueue.operator_states import STATES
from weldhatch.scheduling.types import Effect, MachineKind, RequestClass, Scope, Settings
from weldhatch.sites.session import ProtocolError
from weldhatch.store.log import LogError
from weldhatch.testbed.process_cluster import settings, until

BASE = make_settings(
    classes=(
        make_class(name="a", spread_over=Scope.CELL, spread_most=3),
        make_class(name="b", effect=Effect.KEYED, window_us=8),
    )
)


def of_class(**changes):
    return replace(BASE, classes=(replace(BASE.classes[0], **changes), BASE.classes[1]))


# ---- setting rules ---------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "new, overlap",
    [
        (replace(BASE, max_attempts=2), Overlap.TIGHTENS),
        (replace(BASE, max_attempts=4), Overlap.WIDENS),
        (replace(BASE, warm_up_us=BASE.warm_up_us + 1), Overlap.TIGHTENS),
        (replace(BASE, may_cancel=False), Overlap.TIGHTENS),
        (replace(BASE, may_probe=False), Overlap.FREE),
        (replace(BASE, by_service=True), Overlap.SWITCHES),
        (replace(BASE, group_size=4), Overlap.TIGHTENS),
        (replace(BASE, group_size=9), Overlap.SWITCHES),  # from this size on, services start at another home
        (replace(BASE, zones=("", "new")), Overlap.WIDENS),
        (of_class(spread_most=2), Overlap.TIGHTENS),
        (of_class(spread_most=0), Overlap.WIDENS),  # 0 means no bound
        (of_class(spread_over=Scope.MACHINE), Overlap.SWITCHES),
        (of_class(effect=Effect.UNSAFE), Overlap.SWITCHES),
        (of_class(kind=0), Overlap.TIGHTENS),
        (of_class(priority_weight=7.0), Overlap.FREE),
        (replace(BASE, classes=(*BASE.classes, make_class(name="c"))), Overlap.WIDENS),
        (replace(BASE, kinds=(MachineKind("k", 16.0, 64.0),)), Overlap.TIGHTENS),
    ],
)
def test_a_changed_value_has_the_expected_overlap(new, overlap):
    (change,) = compatibility.find_changes(BASE, new)
    assert change.overlap is overlap
    assert compatibility.needs_all_members([change]) == (overlap in (Overlap.WIDENS, Overlap.SWITCHES))


def test_the_intersection_of_two_versions_has_the_stricter_values_in_either_order():
    new = replace(of_class(spread_most=5, priority_weight=9.0), max_attempts=2, warm_up_offers=20.0)
    for restricted in (compatibility.intersect(BASE, new), compatibility.intersect(new, BASE)):
        stricter = restricted.settings
        assert (
            stricter.max_attempts,
            stricter.warm_up_offers,
            stricter.classes[0].spread_most,
        ) == (
            2,
            BASE.warm_up_offers,
            3,
        )
        assert restricted.allows("a")
    # A free value changes only when its version is activated.
    assert compatibility.intersect(BASE, new).settings.classes[0].priority_weight == 1.0


def test_a_switched_class_setting_blocks_its_class_and_a_global_one_blocks_all():
    restricted = compatibility.intersect(BASE, of_class(effect=Effect.UNSAFE))
    assert (restricted.allows("a"), restricted.allows("b")) == (False, True)
    assert not compatibility.intersect(BASE, replace(BASE, confirms_running=False)).allows("b")


def test_safe_work_is_affected_by_changes_of_safe_classes_and_of_global_settings():
    def is_affected(new):
        return compatibility.affects_safe_work(compatibility.find_changes(BASE, new), BASE, new)

    keyed = replace(BASE, classes=(BASE.classes[0], replace(BASE.classes[1], window_us=9)))
    assert not is_affected(keyed)
    assert is_affected(of_class(spread_most=9))
    assert is_affected(replace(BASE, max_attempts=9))
    assert not is_affected(of_class(priority_weight=9.0))


@pytest.mark.parametrize(
    "new, key",
    [
        (replace(BASE, classes=BASE.classes[::-1]), "classes"),
        (replace(BASE, classes=BASE.classes[:1]), "classes"),
        (replace(BASE, classes=(*BASE.classes, BASE.classes[0])), "classes"),
        (replace(BASE, zones=("other",)), "zones"),
        (replace(BASE, kinds=(MachineKind("other", 1.0, 1.0),)), "kinds"),
    ],
)
def test_an_incompatible_change_names_its_key(new, key):
    with pytest.raises(IncompatibleChangeError) as error_info:
        compatibility.find_changes(BASE, new)
    assert error_info.value.key == key


def test_a_setting_without_a_rule_is_an_error():
    @dataclass(frozen=True)
    class More(RequestClass):
        bold: bool = False

    with pytest.raises(AssertionError, match="bold"):
        setting_rules.check_complete(More, setting_rules.CLASSES)
    assert {field.name for field in fields(Settings)} == setting_rules.SETTINGS.keys() | setting_rules.LISTS


# ---- the replicated state --------------------------------------------------------------------------------


def command(**fields_of_command):
    return json.dumps({"id": "", **fields_of_command})


def test_a_state_loaded_from_a_snapshot_behaves_like_the_original():
    original, reloaded = StateMachine(), StateMachine()
    log = [
        command(do="join", name="g1", epoch=1, token="t"),
        command(do="propose", base=0, tree={"a": 1}, why="w", by="x", id="p1"),
        "",
        command(do="activate", number=1),
        command(do="word", machine="m", state="draining", fence=1, op="o"),
        command(do="listed", rev=4, entries={"s": "gone"}, by="g1"),
        command(do="propose", base=1, tree={"a": 2}, why="w", by="x"),
        command(do="drop", number=2, why="no"),
        command(do="leave", name="g1"),
        command(do="recovered", by="x", why="w", at=1.5),
    ]
    for n, data in enumerate(log, 1):
        original.apply(n, data)
        loaded = StateMachine()
        loaded.load(original.snapshot())
        reloaded.apply(n, data)
        assert loaded.digest == original.digest == reloaded.digest
        reloaded.load(reloaded.snapshot())
    assert [(entry["number"], entry["came"]) for entry in original.versions.history] == [
        (1, "proposed"),
        (1, "active"),
        (2, "proposed"),
        (2, "dropped"),
    ]
    assert original.apply(11, command(do="propose", base=0, tree={}, why="w", by="x", id="p1")) == {
        "ok": True,
        "number": 1,
    }  # a retry is carried out only once
    assert original.versions.last_number == 2


@pytest.mark.parametrize(
    "fields_of_command, error",
    [
        ({"do": "propose", "base": 3, "tree": {}, "why": "w", "by": "x"}, "moved"),
        ({"do": "activate", "number": 9}, "unknown"),
        ({"do": "drop", "number": 9, "why": "w"}, "unknown"),
        ({"do": "leave", "name": "nobody"}, "unknown"),
        ({"do": "join", "name": "g", "epoch": 1, "token": "old"}, "fenced"),
        ({"do": "word", "machine": "m", "state": "ready", "fence": 1, "op": ""}, "FENCE"),
    ],
)
def test_a_failing_command_changes_nothing(fields_of_command, error):
    group = StateMachine()
    group.apply(1, command(do="join", name="g", epoch=2, token="t"))
    group.apply(2, command(do="word", machine="m", state="off", fence=5, op=""))
    before = json.loads(group.snapshot())
    assert group.apply(3, command(**fields_of_command))["error"] == error
    assert json.loads(group.snapshot()) == {**before, "index": 3}


def test_every_operator_state_has_a_permissiveness():
    assert STATES.keys() <= drain_reports.PERMISSIVENESS.keys()


# ---- drain reports ---------------------------------------------------------------------------------------


def test_a_restriction_in_one_list_applies_to_dispatchers_with_an_older_list():
    reports = drain_reports.DrainReports()
    reports.merge(7, {"s1": "draining", "s2": "gone", "s3": "ready"}, "g1")
    assert [reports.effective_state(uid, 6) for uid in ("s1", "s2", "s3")] == ["draining", "gone", "ready"]
    assert reports.effective_state("s1", 8) == "ready"  # the dispatcher's own list is newer
    reports.merge(5, {"s1": "ready"}, "g2")  # an older list changes nothing
    assert reports.effective_state("s1", 5) == "draining"
    reports.merge(9, {"s1": "ready"}, "g2")
    assert reports.effective_state("s1", 5) == "ready"


def test_two_lists_of_one_revision_apply_the_stricter_state_and_report_a_conflict():
    reports = drain_reports.DrainReports()
    reports.merge(7, {"s1": "draining"}, "g1")
    reports.merge(7, {"s1": "ready"}, "g2")
    assert reports.effective_state("s1", 7, "ready") == "draining"
    assert "s1: draining and, by g2, ready, both in a list of revision 7" in reports.conflicts
    reports.merge(7, {"s1": "gone"}, "g3")
    assert reports.effective_state("s1", 7) == "gone"


def test_a_dispatcher_reports_only_states_that_are_not_agreed_yet():
    reports = drain_reports.DrainReports()
    states = {"s1": "draining", "s2": "ready"}
    assert reports.unreported(3, states) == {"s1": "draining"}
    reports.merge(3, reports.unreported(3, states), "g1")
    assert reports.unreported(3, states) == {}
    assert reports.unreported(4, {"s1": "ready", "s2": "ready"}) == {"s1": "ready"}
    assert reports.unreported(2, {"s1": "ready"}) == {}
    for n in range(drain_reports.MAX_ENTRIES + 5):
        reports.entries[f"x{n}"] = drain_reports.DrainReport(n, "gone")
    reports.merge(9, {"y": "gone"}, "g1")
    assert len(reports.entries) == drain_reports.MAX_ENTRIES
    assert "x0" not in reports.entries


# ---- messages and records --------------------------------------------------------------------------------


def test_long_messages_are_split_and_reassembled():
    response = LeaseResponse(0, 1.5, True, "", "", 0, ("x" * 50_000, "y"), "", 3, "d")
    append = AppendEntries(0, 1, 0, 0, (LogEntry(1, "command", "z"),), 0, 1.0)
    for message in (response, LeaseRequest(0, "g1", 1, "t", 2.0, 3, "d"), append):
        stream, data = codec.encode(message)
        parts, reassembler = list(codec.split(data)), codec.Reassembler()
        assert all(len(part) <= codec.PART_BYTES + 1 for part in parts)
        assert [reassembler.add(stream, part) for part in parts][:-1] == [None] * (len(parts) - 1)
        for part in parts[:-1]:
            reassembler.add(stream, part)
        assert codec.decode(stream, reassembler.add(stream, parts[-1])) == message
    for bad in (b"", b"\xc1", b"\x92\x00", b"\x92\x63\xc0", b"\x92\x00\xa1x"):
        with pytest.raises(ProtocolError):
            codec.decode(codec.GROUP_STREAM, bad)
    for bad in (b"", b"\2x"):
        with pytest.raises(ProtocolError):
            codec.Reassembler().add(0, bad)


def test_a_compacted_store_has_the_same_state_and_invalid_records_are_errors(tmp_path):
    original = ClusterRecords()
    for record in (
        ["begins", 3, "t"],
        ["met", "g2", 5, "u"],
        ["held", 1, "{}"],
        ["raft", "vote", 0, 4, "g2"],
    ):
        original.apply(json.dumps(record).encode())
    replayed = ClusterRecords()
    for record in original.snapshot_records():
        replayed.apply(record)
    assert (
        replayed.epoch,
        replayed.met,
        replayed.state,
        replayed.persistent.term,
        replayed.persistent.record_count,
    ) == (
        3,
        {"g2": (5, "u")},
        "{}",
        4,
        1,
    )
    for bad in (b"x", b'["what"]', b'["begins"]', b'["raft", "entry", 9, 9, "", ""]'):
        with pytest.raises(ValueError):
            replayed.apply(bad)
    (tmp_path / "lock").mkdir()
    with pytest.raises(config.ConfigError, match=r"agreement\.store: "):
        ClusterStore(str(tmp_path), 0.0, print)


# ---- the agreement table ---------------------------------------------------------------------------------

TABLE = {"name": "g1", "listen": "127.0.0.1:1", "store": "s", "voters": {"g1": "127.0.0.1:1"}}


def test_without_an_agreement_table_there_is_no_cluster_config():
    assert config.cluster_config({}) is None
    assert config.cluster_config({"agreement": TABLE}).stated == 2.0


@pytest.mark.parametrize(
    "change, key",
    [
        ({"name": ""}, "agreement.name"),
        ({"store": 3}, "agreement.store"),
        ({"voters": {}}, "agreement.voters"),
        ({"voters": {"g1": "x"}}, "agreement.voters.g1"),
        ({"voters": {"g1": 7}}, "agreement.voters.g1"),
        ({"listen": ""}, "agreement.listen"),
        ({"control": "10.0.0.1:5"}, "agreement.control"),
        ({"stated": 0.1}, "agreement.stated"),
        ({"drift": 0.5}, "agreement.drift"),
        ({"invited": "g4"}, "agreement.invited"),
        ({"sockets": 1}, "agreement.sockets"),
        ({"what": 1}, "agreement.what"),
    ],
)
def test_an_invalid_table_names_its_key(change, key):
    with pytest.raises(config.ConfigError, match=key.replace(".", r"\.")):
        config.cluster_config({"agreement": {**TABLE, **change}})


# ---- the command line ------------------------------------------------------------------------------------


class CommandLine(unittest.IsolatedAsyncioTestCase):
    """The command line, run against a group with one dispatcher."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        cluster_config = config.cluster_config(
            {
                "agreement": {
                    **TABLE,
                    "listen": "127.0.0.1:0",
                    "control": "127.0.0.1:0",
                    "store": str(self.directory / "store"),
                    "stated": 1.0,
                }
            }
        )
        self.events = []
        self.node = ClusterNode(
            cluster_config,
            config.settings_from_json,
            lambda settings: "",
            settings(),
            lambda: None,
            lambda text: None,
            lambda name, **fields: self.events.append((name, fields)),
        )
        self.control_api = ControlApi(self.node, config.settings_from_json, lambda text: None, time.time)
        self.close_functions = [self.control_api.abort, self.node.close]
        host, port = self.control_api.listener.address
        self.control_arguments = ["--control", f"{host}:{port}"]
        await until(lambda: self.node.lease_holder.state_machine.active, 10, "version 1")

    async def asyncTearDown(self):
        for close in self.close_functions:
            close()

    async def run_command(self, *words):
        from contextlib import redirect_stderr, redirect_stdout
        from io import StringIO

        output = StringIO()
        with redirect_stdout(output), redirect_stderr(output):
            code = await asyncio.to_thread(main, [*words, *self.control_arguments])
        return code, output.getvalue()

    def file(self, name="f.json", **changes):
        path = self.directory / name
        path.write_text(json.dumps(settings(**changes)))
        return str(path)

    async def test_a_version_is_compared_proposed_and_undone(self):
        path = self.file(limits__mostTries=2)
        code, output = await self.run_command("rules", "diff", path)
        self.assertEqual(code, 1)
        self.assertIn("tightens", output)
        code, output = await self.run_command("rules", "propose", path, "--why", "fewer")
        self.assertEqual(code, 0, output)
        self.assertIn("version 2: active", output)
        self.assertEqual((await self.run_command("rules", "diff", path))[0], 0)
        code, output = await self.run_command("rules", "undo", "--why", "back", "--json")
        self.assertEqual((code, json.loads(output)["state"]), (0, "active"))
        self.assertEqual(self.node.lease_holder.state_machine.active.tree["limits"]["mostTries"], 4)
        code, output = await self.run_command("rules", "history", "--json")
        self.assertEqual(
            [entry["number"] for entry in json.loads(output)["history"] if entry["came"] == "active"],
            [1, 2, 3],
        )
        for words in (("rules", "status"), ("peers", "status"), ("rules", "history")):
            code, output = await self.run_command(*words)
            self.assertEqual(code, 0, output)
        self.assertTrue(
            {"leads", "propose", "activate", "acts_on", "footing"} <= {name for name, _ in self.events}
        )

    async def test_a_rejected_command_exits_with_its_code_and_names_the_cause(self):
        path, bad = self.file(limits__mostTries=2), self.file("g.json", limits__mostTries="x")
        code, output = await self.run_command("rules", "propose", path, "--why", "x", "--base", "0")
        self.assertEqual(code, 3)
        self.assertIn("version 1 is in force", output)
        for words, expected in (
            (("rules", "propose", bad, "--why", "x"), "limits.mostTries"),
            (("rules", "propose", str(self.directory / "none"), "--why", "x"), "none"),
            (("rules", "propose", path, "--why", "y" * 600), "why"),
            (("rules", "propose", path, "--why", "x", "--despite", "g7"), "g7"),
            (("rules", "drop", "9", "--why", "x"), "version 9 is not being prepared"),
            (("rules", "undo", "--why", "x"), "none before"),
            (("rules", "recover", "--why", "x"), "--yes"),
            (("peers", "add", "g2", "nowhere"), "host:port"),
            (("peers", "remove", "g1"), "the last voter"),
            (("peers", "lead", "g9"), "no other voter"),
        ):
            code, output = await self.run_command(*words)
            self.assertEqual(code, 2, (words, output))
            self.assertIn(expected, output)
        self.assertEqual(self.node.lease_holder.state_machine.active.number, 1)

    async def test_a_manual_recovery_stays_visible_in_the_status(self):
        code, output = await self.run_command("rules", "recover", "--why", "the others burnt", "--yes")
        self.assertEqual(code, 0, output)
        await until(lambda: self.node.lease_holder.lineage == 1, 5, "state of the new lineage")
        code, output = await self.run_command("rules", "status")
        self.assertIn("the others burnt", output)

    async def test_a_full_disk_stops_proposals_and_loses_none(self):
        log = self.node.store._store._log
        original_append = log.append

        def append_to_full_disk(payloads):
            raise LogError("disk: No space left on device; nothing was written")

        log.append = append_to_full_disk
        path = self.file(limits__mostTries=2)
        code, output = await self.run_command("rules", "propose", path, "--why", "x", "--no-wait")
        self.assertEqual(code, 2, output)
        self.assertIn("no leader took it", output)
        self.assertIn("No space left", (await self.run_command("rules", "status"))[1])
        log.append = original_append
        await until(
            lambda: self.node.lease_holder.state_machine.active.number == 2, 10, "version 2 is activated"
        )

    async def test_a_restarted_node_shows_its_saved_state_but_starts_nothing_without_a_lease(self):
        code, output = await self.run_command(
            "rules", "propose", self.file(limits__mostTries=2), "--why", "x"
        )
        self.assertEqual(code, 0, output)
        await self.node.store.flush()
        cluster_config = self.node.config
        self.node.close()
        restarted = ClusterNode(
            cluster_config,
            config.settings_from_json,
            lambda settings: "",
            settings(),
            lambda: None,
            lambda text: None,
            lambda name, **fields: None,
        )
        self.close_functions.append(restarted.close)
        self.assertEqual(restarted.status()["number"], 2)
        request_class = restarted.lease_holder.rules.restricted.settings.classes[0]
        self.assertTrue(restarted.lease_holder.refusal_reason(restarted._clock(), request_class))
        await until(
            lambda: not restarted.lease_holder.refusal_reason(restarted._clock(), request_class),
            10,
            "a new lease",
        )


def test_each_event_is_one_json_line(capsys):
    event_log.event_logger()("leads", term=3)
    event = json.loads(capsys.readouterr().err)
    assert (event["event"], event["term"]) == ("agreement.leads", 3)
