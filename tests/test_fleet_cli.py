"""`weldhatch fleet` as a user calls it: against stand-in nodes and a gateway in processes of their own."""

import http.client
import json
import socket
import subprocess
import sys
from pathlib import Path

import jsonschema
import pytest

from weldhatch import config
from weldhatch.cli import logs, output
from weldhatch.cli.main import main
from weldhatch.config import fleet_file

ROOT = Path(__file__).parent.parent


def ports(count):
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.bind(("127.0.0.1", 0))
    out = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return out


class Stage:
    """A folder with a fleet's file, its stand-in nodes and a pull queue."""

    def __init__(self, folder):
        self.folder, self.processes = folder, []
        self.nodes, listen, control = ports(3)
        self.control = control
        text = (
            (ROOT / "examples" / "fleet.toml")
            .read_text()
            .replace("127.0.0.1:7100", f"127.0.0.1:{self.nodes}")
        )
        text = text.replace("127.0.0.1:5191", f"127.0.0.1:{control}").replace("warm_s = 2.0", "warm_s = 0.2")
        text = text.replace("poll_s = 0.2", "poll_s = 0.05\nsilence_s = 0.5\nanswer_s = 1.0\nhold_s = 0.5")
        self.fleet = folder / "fleet.toml"
        self.fleet.write_text(text)
        queue = (ROOT / "examples" / "pullqueue.toml").read_text()
        queue = queue.replace("127.0.0.1:5090", f"127.0.0.1:{listen}").replace(
            "127.0.0.1:5091", f"127.0.0.1:{control}"
        )
        (folder / "queue.toml").write_text(queue.replace('states = ""', f'states = "{folder / "states"}"'))
        self.start("weldhatch", "--pullqueue", str(folder / "queue.toml"))
        self.start("weldhatch.testbed.server", str(self.fleet), "--ready", "--drain-s", "0.2")

    def start(self, *words):
        process = subprocess.Popen(
            [sys.executable, "-m", *words],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.processes.append(process)
        while "listen" not in (line := process.stdout.readline()):
            assert line, "it ended before it listened"

    def stop(self):
        for process in self.processes:
            process.kill()
            process.wait()
            process.stdout.close()

    def change(self, text, name="c"):
        path = self.folder / f"{name}.change"
        path.write_text(text)
        return str(path)

    def script(self, node, **what):
        connection = http.client.HTTPConnection("127.0.0.1", self.nodes, timeout=10)
        connection.request("POST", f"/v1/nodes/{node}/script", json.dumps(what))
        answer = json.loads(connection.getresponse().read())
        connection.close()
        return answer.get("effects")


@pytest.fixture
def stage(tmp_path):
    made = Stage(tmp_path)
    yield made
    made.stop()


@pytest.fixture
def call(stage, capsys):
    def weldhatch(*words, code=0, fleet=True):
        capsys.readouterr()
        given = main(["fleet", *words, *(["--fleet", str(stage.fleet)] if fleet else [])])
        out, err = capsys.readouterr()
        assert given == code, (given, out, err)
        if "--json" in words:
            tree = json.loads(out)
            name = tree["schema"].split(".")[-1].split("/")[0]
            jsonschema.validate(tree, output.schema(name))
            assert tree["exit"] == code
            return tree
        return out + err

    return weldhatch


CHANGE = '(change "release" (on n7 n8) (off n1) (drain n2) (keep (cores 160)))'


def test_a_change_from_its_plan_to_its_undoing(stage, call):
    told = call("show", "--json")
    assert [node["state"] for node in told["nodes"]] == ["ready"] * 6 + ["off"] * 2
    assert told["gateways"] == {f"127.0.0.1:{stage.control}": True}
    path = stage.change(CHANGE)
    told = call("plan", path, "--json", "--chart", str(stage.folder / "plan.png"), code=2)
    assert [wave["nodes"] for wave in told["waves"]] == [["n7", "n8"], ["n1", "n2"]]
    assert (stage.folder / "plan.png").read_bytes().startswith(b"\x89PNG")
    assert "wave 2" in call("plan", path, code=2)
    plan = f"{path}.plan"
    assert call("apply", plan, "--json")["text"] == "done"
    assert "already" in call("apply", plan)
    told = call("status", "--json")
    assert told["state"] == "done" and not told["half_done"]
    assert {step["stand"] for step in told["steps"]} == {"done"}
    assert call("drift", "--json")["drift"] == []
    states = {node["id"]: (node["state"], node["held"]) for node in call("show", "--json")["nodes"]}
    assert (
        states["n1"] == ("off", True)
        and states["n2"] == ("draining", True)
        and states["n7"] == ("ready", False)
    )
    assert "nothing to do" in call("plan", path)
    # and the way back
    back = str(stage.folder / "back.plan")
    call("undo", "--out", back, code=2)
    assert call("apply", back) == "done\n"
    told = call("show", "--json")
    assert [node["state"] for node in told["nodes"]] == ["ready"] * 6 + ["off"] * 2
    assert [entry["state"] for entry in call("history", "--json")["applies"]] == ["done", "done"]
    for words in (["show"], ["status"], ["history"], ["drift"]):
        call(*words)


def test_a_world_that_has_moved_is_refused_and_told_three_ways(stage, call):
    path = stage.change(CHANGE)
    call("plan", path, code=2)
    stage.script("n2", do="fall")
    told = call("apply", f"{path}.plan", "--json", code=3)
    assert told["moved"] == [
        {
            "what": "n2",
            "planned": "drain in wave 2",
            "then": "ready, generation 1, 6 tasks",
            "now": "no answer",
        }
    ]
    assert "planned: drain in wave 2; then: ready" in call("apply", f"{path}.plan", code=3)
    assert "no apply has been begun" in call("status")
    assert stage.script("n1", do="forget") == []


def test_an_apply_that_stops_half_way_says_so_and_goes_on(stage, call):
    path = stage.change(CHANGE)
    call("plan", path, code=2)
    stage.script("n1", do="refuse", reason="REFUSED the last copy is here")
    told = call("apply", f"{path}.plan", "--json", code=4)
    assert (
        told["reason"] == "refused" and "the last copy is here" in told["text"] and "n1" in told["half_done"]
    )
    told = call("status", "--json", code=4)
    assert told["state"] == "stopped"
    assert [step["stand"] for step in told["steps"] if step["step"] == "w2.n1.drain"] == ["refused"]
    assert call("drift", "--json", code=2)["unfinished"]
    other = stage.change('(change "other" (drain n3))', "other")
    call("plan", other, code=2)
    assert "stands half done at n1" in call("apply", f"{other}.plan", code=1)
    assert call("apply", f"{path}.plan") == "done\n"
    assert [order for _, order in stage.script("n1", do="forget")] == ["drain", "stop"]


def test_a_second_apply_is_told_who_holds_the_lock(stage, call):
    path = stage.change('(change "slow" (drain n1))')
    call("plan", path, code=2)
    stage.folder.joinpath("fleet-journal").mkdir()
    code = (
        "import sys; from weldhatch.applying.journal import Journal\n"
        "journal = Journal(sys.argv[1], 'someone for apply x', 0.0); print('held', flush=True); input()"
    )
    holder = subprocess.Popen(
        [sys.executable, "-c", code, str(stage.folder / "fleet-journal")],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert holder.stdout.readline() == "held\n"
    told = call("apply", f"{path}.plan", "--json", code=1)
    assert f"held by someone for apply x (process {holder.pid}) since 1970-01-01" in told["lines"][0]
    holder.communicate("\n")
    assert call("apply", f"{path}.plan") == "done\n"


def test_bad_input_is_one_clear_line_each_and_changes_nothing(stage, call):
    for text, said in (
        ('(change "x" (drain n77))', "c.change:1:20: no node is named n77"),
        ('(change "x" (drain (all of rack r9)))', "no rack is named r9"),
        ('(change "x" (keep (hall hall-q) (cores 3)))', "no hall is named hall-q"),
        ('(change "x" (keep (cores 999)))', "all 8 nodes hold 320"),
        ('(change "x" (on n1) (drain n1))', "n1 is to be drain, and on at line 1"),
        ('(change "x" (drain n1 n2 n3) (keep (cores 160)))', "these 2 exclude each other:"),
        ('(change "x" (drain n1)', "is never closed"),
    ):
        said_now = call("plan", stage.change(text), code=1)
        assert said in said_now and "Traceback" not in said_now
    path = stage.change('(change "x" (drain n1))')
    call("plan", path, code=2)
    plan = Path(f"{path}.plan")
    good = plan.read_bytes()
    for data, said in (
        (good[:-30], "cut"),
        (good.replace(b'"n1"', b'"n2"'), "checksum"),
        (good.replace(b'"version": 1', b'"version": 7'), "version: 7"),
    ):
        plan.write_bytes(data)
        assert said in call("apply", str(plan), code=1)
    assert "No such file" in call("apply", "nowhere.plan", code=1)
    assert "no-such" in call("status", "--fleet", "no-such.toml", code=1, fleet=False)
    assert call("apply", code=1, fleet=False)
    assert not stage.folder.joinpath("fleet-journal").exists()
    assert call("plan", "--json", stage.change("(change"), code=1)["error"] == "FormError"


def test_settings_are_one_more_subject_with_the_same_refusals(stage, call):
    target = stage.folder / "new.toml"
    text = (stage.folder / "queue.toml").read_text()
    target.write_text(text.replace("connections = 256", "connections = 99"))
    other = stage.folder / "other.toml"
    other.write_text(text.replace("connections = 256", "connections = 50"))
    told = call("plan", str(target), "--json", code=2)
    assert told["changes"] == [{"key": "connections", "from": "256", "to": "99", "restart": False}]
    call("plan", str(other), code=2)
    assert "1 changes applied" in call("apply", f"{target}.plan")
    assert "already" in call("apply", f"{target}.plan")
    told = call("apply", f"{other}.plan", "--json", code=3)
    assert told["moved"] == [{"what": "connections", "planned": '"50"', "then": '"256"', "now": '"99"'}]
    spoilt = json.loads(Path(f"{other}.plan").read_text())
    spoilt["base"] = "0" * 64
    Path(f"{other}.plan").write_text(json.dumps(spoilt))
    assert "checksum" in call("apply", f"{other}.plan", code=1)
    call("plan", str(target))


def test_fmt_prints_the_canonical_form(tmp_path, capsys):
    path = tmp_path / "a.change"
    path.write_text('(change   "x"\n;note\n(drain n1))')
    assert main(["fleet", "fmt", "--check", str(path)]) == 2
    assert main(["fleet", "fmt", str(path)]) == 0
    assert path.read_text() == '(change "x"\n  ; note\n  (drain n1))\n'
    assert main(["fleet", "fmt", "--check", str(path)]) == 0
    assert main(["fleet", "schema", "status"]) == 0
    assert json.loads(capsys.readouterr().out.split("\n", 2)[2])["title"] == "weldhatch.fleet.status/1"


@pytest.mark.parametrize(
    ("spoil", "said"),
    [
        (lambda text: text.replace('id = "n2"', 'id = "n1"'), "n1 is named twice"),
        (
            lambda text: text.replace("cores = 40", 'cores = "x"', 1),
            r"nodes\[0\].cores: Expected `float`, got `str`",
        ),
        (lambda text: text.replace('control = "127.0.0.1:7100"', 'control = "x"', 1), r"nodes\[0\].control"),
        (
            lambda text: text.replace('hall = "hall-a"', 'hall = "hall-z"', 1),
            "the rack r1 stands in two halls",
        ),
        (lambda text: text.replace("[pace]", "[pase]"), "pase is no key"),
        (lambda text: text.replace("warm_s", "worm_s"), "pace: .*worm_s"),
        (lambda text: text[: text.index("[[nodes]]")], "nodes"),
        (lambda text: text + "=", "fleet.toml"),
    ],
)
def test_a_fleets_file_that_can_not_be_used_names_its_key(tmp_path, spoil, said):
    path = tmp_path / "fleet.toml"
    path.write_text(spoil((ROOT / "examples" / "fleet.toml").read_text()))
    with pytest.raises(config.ConfigError, match=said):
        fleet_file.fleet_config(str(path))


def test_the_deploy_file_is_usable():
    assert fleet_file.fleet_config(str(ROOT / "deploy" / "fleet.toml")).name == "aarhus-main"


def test_logs_are_structured_and_show_no_secrets(tmp_path):
    with open(tmp_path / "log", "w+") as stream:
        logs.configure(as_json=True, level="info", stream=stream)
        logs.logger("apply").info("order.sent", step="w1", bearer_token="abc")
        logs.logger("apply").debug("hidden")
        stream.seek(0)
        [line] = stream.read().splitlines()
    assert {
        "event": "order.sent",
        "part": "apply",
        "level": "info",
        "bearer_token": "(not shown)",
        "step": "w1",
    }.items() <= json.loads(line).items()
