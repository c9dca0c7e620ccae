"""What contradicts what, the group's state, lists, words on the wire, the file's keys, and the commands."""

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


# ---- the table -------------------------------------------------------------------------------------------


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
        (replace(BASE, group_size=9), Overlap.SWITCHES),  # services begin at another home from there on
        (replace(BASE, zones=("", "new")), Overlap.WIDENS),
        (of_class(spread_most=2), Overlap.TIGHTENS),
        (of_class(spread_most=0), Overlap.WIDENS),  # 0 is no bound
        (of_class(spread_over=Scope.MACHINE), Overlap.SWITCHES),
        (of_class(effect=Effect.UNSAFE), Overlap.SWITCHES),
        (of_class(kind=0), Overlap.TIGHTENS),
        (of_class(priority_weight=7.0), Overlap.FREE),
        (replace(BASE, classes=(*BASE.classes, make_class(name="c"))), Overlap.WIDENS),
        (replace(BASE, kinds=(MachineKind("k", 16.0, 64.0),)), Overlap.TIGHTENS),
    ],
)
def test_the_difference_of_two_values_says_how_they_may_overlap(new, overlap):
    (change,) = compatibility.find_changes(BASE, new)
    assert change.overlap is overlap
    assert compatibility.needs_all_members([change]) == (overlap in (Overlap.WIDENS, Overlap.SWITCHES))


def test_what_is_acted_on_meanwhile_is_the_narrower_of_both_whichever_is_newer():
    new = replace(of_class(spread_most=5, priority_weight=9.0), max_attempts=2, warm_up_offers=20.0)
    for narrow in (compatibility.intersect(BASE, new), compatibility.intersect(new, BASE)):
        told = narrow.settings
        assert (told.max_attempts, told.warm_up_offers, told.classes[0].spread_most) == (
            2,
            BASE.warm_up_offers,
            3,
        )
        assert narrow.allows("a")
    assert (
        compatibility.intersect(BASE, new).settings.classes[0].priority_weight == 1.0
    )  # what is free waits for its version


def test_a_switch_blocks_its_class_and_one_of_all_blocks_all():
    narrow = compatibility.intersect(BASE, of_class(effect=Effect.UNSAFE))
    assert (narrow.allows("a"), narrow.allows("b")) == (False, True)
    assert not compatibility.intersect(BASE, replace(BASE, confirms_running=False)).allows("b")


def test_safe_work_is_touched_by_its_own_classes_and_by_what_is_for_all():
    def touched(new):
        return compatibility.affects_safe_work(compatibility.find_changes(BASE, new), BASE, new)

    keyed = replace(BASE, classes=(BASE.classes[0], replace(BASE.classes[1], window_us=9)))
    assert not touched(keyed)
    assert touched(of_class(spread_most=9))
    assert touched(replace(BASE, max_attempts=9))
    assert not touched(of_class(priority_weight=9.0))


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
def test_what_no_running_dispatcher_can_move_to_names_its_key(new, key):
    with pytest.raises(IncompatibleChangeError) as unfit:
        compatibility.find_changes(BASE, new)
    assert unfit.value.key == key


def test_a_setting_that_nobody_said_anything_of_is_an_error():
    @dataclass(frozen=True)
    class More(RequestClass):
        bold: bool = False

    with pytest.raises(AssertionError, match="bold"):
        setting_rules.check_complete(More, setting_rules.CLASSES)
    assert {one.name for one in fields(Settings)} == setting_rules.SETTINGS.keys() | setting_rules.LISTS


# ---- the group's state -----------------------------------------------------------------------------------


def command(**it):
    return json.dumps({"id": "", **it})


def test_the_state_comes_back_from_its_text_and_goes_on_the_same():
    one, other = StateMachine(), StateMachine()
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
        one.apply(n, data)
        again = StateMachine()
        again.load(one.snapshot())
        other.apply(n, data)
        assert again.digest == one.digest == other.digest
        other.load(other.snapshot())
    assert [(told["number"], told["came"]) for told in one.versions.history] == [
        (1, "proposed"),
        (1, "active"),
        (2, "proposed"),
        (2, "dropped"),
    ]
    assert one.apply(11, command(do="propose", base=0, tree={}, why="w", by="x", id="p1")) == {
        "ok": True,
        "number": 1,
    }  # said again: carried out once
    assert one.versions.last_number == 2


@pytest.mark.parametrize(
    "it, error",
    [
        ({"do": "propose", "base": 3, "tree": {}, "why": "w", "by": "x"}, "moved"),
        ({"do": "activate", "number": 9}, "unknown"),
        ({"do": "drop", "number": 9, "why": "w"}, "unknown"),
        ({"do": "leave", "name": "nobody"}, "unknown"),
        ({"do": "join", "name": "g", "epoch": 1, "token": "old"}, "fenced"),
        ({"do": "word", "machine": "m", "state": "ready", "fence": 1, "op": ""}, "FENCE"),
    ],
)
def test_a_command_that_can_not_be_carried_out_changes_nothing(it, error):
    group = StateMachine()
    group.apply(1, command(do="join", name="g", epoch=2, token="t"))
    group.apply(2, command(do="word", machine="m", state="off", fence=5, op=""))
    before = json.loads(group.snapshot())
    assert group.apply(3, command(**it))["error"] == error
    assert json.loads(group.snapshot()) == {**before, "index": 3}


def test_operators_states_are_ordered():
    assert STATES.keys() <= drain_reports.PERMISSIVENESS.keys()


# ---- lists -----------------------------------------------------------------------------------------------


def test_what_one_list_narrows_counts_for_those_with_an_older_one():
    told = drain_reports.DrainReports()
    told.merge(7, {"s1": "draining", "s2": "gone", "s3": "ready"}, "g1")
    assert [told.effective_state(uid, 6) for uid in ("s1", "s2", "s3")] == ["draining", "gone", "ready"]
    assert told.effective_state("s1", 8) == "ready"  # its own list is newer
    told.merge(5, {"s1": "ready"}, "g2")  # an older one changes nothing
    assert told.effective_state("s1", 5) == "draining"
    told.merge(9, {"s1": "ready"}, "g2")
    assert told.effective_state("s1", 5) == "ready"


def test_two_lists_of_one_revision_the_stricter_acts_and_operators_are_notified():
    told = drain_reports.DrainReports()
    told.merge(7, {"s1": "draining"}, "g1")
    told.merge(7, {"s1": "ready"}, "g2")
    assert told.effective_state("s1", 7, "ready") == "draining"
    assert "s1: draining and, by g2, ready, both in a list of revision 7" in told.conflicts
    told.merge(7, {"s1": "gone"}, "g3")
    assert told.effective_state("s1", 7) == "gone"


def test_a_dispatcher_reports_only_what_is_news():
    told = drain_reports.DrainReports()
    states = {"s1": "draining", "s2": "ready"}
    assert told.unreported(3, states) == {"s1": "draining"}
    told.merge(3, told.unreported(3, states), "g1")
    assert told.unreported(3, states) == {}
    assert told.unreported(4, {"s1": "ready", "s2": "ready"}) == {"s1": "ready"}
    assert told.unreported(2, {"s1": "ready"}) == {}
    for n in range(drain_reports.MAX_ENTRIES + 5):
        told.entries[f"x{n}"] = drain_reports.DrainReport(n, "gone")
    told.merge(9, {"y": "gone"}, "g1")
    assert len(told.entries) == drain_reports.MAX_ENTRIES
    assert "x0" not in told.entries


# ---- words and records -----------------------------------------------------------------------------------


def test_messages_cross_complete_also_where_they_are_long():
    learn = LeaseResponse(0, 1.5, True, "", "", 0, ("x" * 50_000, "y"), "", 3, "d")
    append = AppendEntries(0, 1, 0, 0, (LogEntry(1, "command", "z"),), 0, 1.0)
    for word in (learn, LeaseRequest(0, "g1", 1, "t", 2.0, 3, "d"), append):
        stream, data = codec.encode(word)
        parts, held = list(codec.split(data)), codec.Reassembler()
        assert all(len(part) <= codec.PART_BYTES + 1 for part in parts)
        assert [held.add(stream, part) for part in parts][:-1] == [None] * (len(parts) - 1)
        for part in parts[:-1]:
            held.add(stream, part)
        assert codec.decode(stream, held.add(stream, parts[-1])) == word
    for bad in (b"", b"\xc1", b"\x92\x00", b"\x92\x63\xc0", b"\x92\x00\xa1x"):
        with pytest.raises(ProtocolError):
            codec.decode(codec.GROUP_STREAM, bad)
    for bad in (b"", b"\2x"):
        with pytest.raises(ProtocolError):
            codec.Reassembler().add(0, bad)


def test_the_store_folds_to_the_same_and_names_what_it_can_not_read(tmp_path):
    fold = ClusterRecords()
    for record in (
        ["begins", 3, "t"],
        ["met", "g2", 5, "u"],
        ["held", 1, "{}"],
        ["raft", "vote", 0, 4, "g2"],
    ):
        fold.apply(json.dumps(record).encode())
    again = ClusterRecords()
    for record in fold.snapshot_records():
        again.apply(record)
    assert (again.epoch, again.met, again.state, again.persistent.term, again.persistent.record_count) == (
        3,
        {"g2": (5, "u")},
        "{}",
        4,
        1,
    )
    for bad in (b"x", b'["what"]', b'["begins"]', b'["raft", "entry", 9, 9, "", ""]'):
        with pytest.raises(ValueError):
            again.apply(bad)
    (tmp_path / "lock").mkdir()
    with pytest.raises(config.ConfigError, match=r"agreement\.store: "):
        ClusterStore(str(tmp_path), 0.0, print)


# ---- the file --------------------------------------------------------------------------------------------

TABLE = {"name": "g1", "listen": "127.0.0.1:1", "store": "s", "voters": {"g1": "127.0.0.1:1"}}


def test_without_the_table_a_dispatcher_agrees_with_nobody():
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
def test_a_table_that_can_not_be_used_names_its_key(change, key):
    with pytest.raises(config.ConfigError, match=key.replace(".", r"\.")):
        config.cluster_config({"agreement": {**TABLE, **change}})


# ---- the commands ----------------------------------------------------------------------------------------


class Commands(unittest.IsolatedAsyncioTestCase):
    """A group of one, and the command line as its own process would run it."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        told = config.cluster_config(
            {
                "agreement": {
                    **TABLE,
                    "listen": "127.0.0.1:0",
                    "control": "127.0.0.1:0",
                    "store": str(self.folder / "store"),
                    "stated": 1.0,
                }
            }
        )
        self.events = []
        self.node = ClusterNode(
            told,
            config.settings_from_json,
            lambda settings: "",
            settings(),
            lambda: None,
            lambda text: None,
            lambda name, **fields: self.events.append((name, fields)),
        )
        self.control_api = ControlApi(self.node, config.settings_from_json, lambda text: None, time.time)
        self.closes = [self.control_api.abort, self.node.close]
        host, port = self.control_api.listener.address
        self.at = ["--control", f"{host}:{port}"]
        await until(lambda: self.node.lease_holder.state_machine.active, 10, "version 1")

    async def asyncTearDown(self):
        for close in self.closes:
            close()

    async def run_(self, *words):
        from contextlib import redirect_stderr, redirect_stdout
        from io import StringIO

        out = StringIO()
        with redirect_stdout(out), redirect_stderr(out):
            code = await asyncio.to_thread(main, [*words, *self.at])
        return code, out.getvalue()

    def file(self, name="f.json", **changes):
        path = self.folder / name
        path.write_text(json.dumps(settings(**changes)))
        return str(path)

    async def test_from_a_difference_to_its_undoing(self):
        path = self.file(limits__mostTries=2)
        code, out = await self.run_("rules", "diff", path)
        self.assertEqual(code, 1)
        self.assertIn("tightens", out)
        code, out = await self.run_("rules", "propose", path, "--why", "fewer")
        self.assertEqual(code, 0, out)
        self.assertIn("version 2: active", out)
        self.assertEqual((await self.run_("rules", "diff", path))[0], 0)
        code, out = await self.run_("rules", "undo", "--why", "back", "--json")
        self.assertEqual((code, json.loads(out)["state"]), (0, "active"))
        self.assertEqual(self.node.lease_holder.state_machine.active.tree["limits"]["mostTries"], 4)
        code, out = await self.run_("rules", "history", "--json")
        self.assertEqual(
            [one["number"] for one in json.loads(out)["history"] if one["came"] == "active"], [1, 2, 3]
        )
        for words in (("rules", "status"), ("peers", "status"), ("rules", "history")):
            code, out = await self.run_(*words)
            self.assertEqual(code, 0, out)
        self.assertTrue({"leads", "propose", "activate", "acts_on", "footing"} <= {e for e, _ in self.events})

    async def test_what_can_not_be_taken_ends_with_its_code_and_names_the_place(self):
        path, bad = self.file(limits__mostTries=2), self.file("g.json", limits__mostTries="x")
        code, out = await self.run_("rules", "propose", path, "--why", "x", "--base", "0")
        self.assertEqual(code, 3)
        self.assertIn("version 1 is in force", out)
        for words, said in (
            (("rules", "propose", bad, "--why", "x"), "limits.mostTries"),
            (("rules", "propose", str(self.folder / "none"), "--why", "x"), "none"),
            (("rules", "propose", path, "--why", "y" * 600), "why"),
            (("rules", "propose", path, "--why", "x", "--despite", "g7"), "g7"),
            (("rules", "drop", "9", "--why", "x"), "version 9 is not being prepared"),
            (("rules", "undo", "--why", "x"), "none before"),
            (("rules", "recover", "--why", "x"), "--yes"),
            (("peers", "add", "g2", "nowhere"), "host:port"),
            (("peers", "remove", "g1"), "the last voter"),
            (("peers", "lead", "g9"), "no other voter"),
        ):
            code, out = await self.run_(*words)
            self.assertEqual(code, 2, (words, out))
            self.assertIn(said, out)
        self.assertEqual(self.node.lease_holder.state_machine.active.number, 1)

    async def test_a_recovery_by_hand_is_seen_for_ever_after(self):
        code, out = await self.run_("rules", "recover", "--why", "the others burnt", "--yes")
        self.assertEqual(code, 0, out)
        await until(lambda: self.node.lease_holder.lineage == 1, 5, "the new lineage is held")
        code, out = await self.run_("rules", "status")
        self.assertIn("the others burnt", out)

    async def test_a_disk_that_takes_nothing_stops_what_is_new_and_loses_nothing(self):
        log = self.node.store._store._log
        whole = log.append

        def full(payloads):
            raise LogError("disk: No space left on device; nothing was written")

        log.append = full
        path = self.file(limits__mostTries=2)
        code, out = await self.run_("rules", "propose", path, "--why", "x", "--no-wait")
        self.assertEqual(code, 2, out)
        self.assertIn("no leader took it", out)
        self.assertIn("No space left", (await self.run_("rules", "status"))[1])
        log.append = whole
        await until(lambda: self.node.lease_holder.state_machine.active.number == 2, 10, "it goes on")

    async def test_a_restart_shows_what_was_held_and_acts_on_nothing_before_the_group_answers(self):
        code, out = await self.run_("rules", "propose", self.file(limits__mostTries=2), "--why", "x")
        self.assertEqual(code, 0, out)
        await self.node.store.flush()
        told = self.node.config
        self.node.close()
        again = ClusterNode(
            told,
            config.settings_from_json,
            lambda settings: "",
            settings(),
            lambda: None,
            lambda text: None,
            lambda name, **fields: None,
        )
        self.closes.append(again.close)
        self.assertEqual(again.status()["number"], 2)
        cls = again.lease_holder.rules.restricted.settings.classes[0]
        self.assertTrue(again.lease_holder.refusal_reason(again._clock(), cls))
        await until(
            lambda: not again.lease_holder.refusal_reason(again._clock(), cls), 10, "it has its lease again"
        )


def test_events_are_one_json_object_a_line(capsys):
    event_log.event_logger()("leads", term=3)
    told = json.loads(capsys.readouterr().err)
    assert (told["event"], told["term"]) == ("agreement.leads", 3)
