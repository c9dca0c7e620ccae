"""Tests of `weldhatch fleet` as an operator calls it, against simulated nodes and a real gateway process."""

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


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind(("127.0.0.1", 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


class FleetEnvironment:
    """A folder with a fleet file, and the processes of its simulated nodes and of a gateway."""

    def __init__(self, folder):
        self.folder, self.processes = folder, []
        self.nodes, listen, control = free_ports(3)
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

    def start(self, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.processes.append(process)
        while "listen" not in (line := process.stdout.readline()):
            assert line, "the process ended before it was listening"

    def stop(self):
        for process in self.processes:
            process.kill()
            process.wait()
            process.stdout.close()

    def change(self, text, name="c"):
        path = self.folder / f"{name}.change"
        path.write_text(text)
        return str(path)

    def script(self, node, **fields):
        connection = http.client.HTTPConnection("127.0.0.1", self.nodes, timeout=10)
        connection.request("POST", f"/v1/nodes/{node}/script", json.dumps(fields))
        answer = json.loads(connection.getresponse().read())
        connection.close()
        return answer.get("effects")


@pytest.fixture
def environment(tmp_path):
    created = FleetEnvironment(tmp_path)
    yield created
    created.stop()


@pytest.fixture
def run_fleet(environment, capsys):
    def weldhatch(*arguments, code=0, fleet=True):
        capsys.readouterr()
        exit_code = main(["fleet", *arguments, *(["--fleet", str(environment.fleet)] if fleet else [])])
        out, err = capsys.readouterr()
        assert exit_code == code, (exit_code, out, err)
        if "--json" in arguments:
            tree = json.loads(out)
            name = tree["schema"].split(".")[-1].split("/")[0]
            jsonschema.validate(tree, output.schema(name))
            assert tree["exit"] == code
            return tree
        return out + err

    return weldhatch


CHANGE = '(change "release" (on n7 n8) (off n1) (drain n2) (keep (cores 160)))'


def test_a_change_is_planned_applied_and_undone(environment, run_fleet):
    """A change is planned, charted and applied; its undo plan brings every node back to the former state."""
    result = run_fleet("show", "--json")
    assert [node["state"] for node in result["nodes"]] == ["ready"] * 6 + ["off"] * 2
    assert result["gateways"] == {f"127.0.0.1:{environment.control}": True}
    path = environment.change(CHANGE)
    result = run_fleet("plan", path, "--json", "--chart", str(environment.folder / "plan.png"), code=2)
    assert [wave["nodes"] for wave in result["waves"]] == [["n7", "n8"], ["n1", "n2"]]
    assert (environment.folder / "plan.png").read_bytes().startswith(b"\x89PNG")
    assert "wave 2" in run_fleet("plan", path, code=2)
    plan = f"{path}.plan"
    assert run_fleet("apply", plan, "--json")["text"] == "done"
    assert "already" in run_fleet("apply", plan)
    result = run_fleet("status", "--json")
    assert result["state"] == "done" and not result["half_done"]
    assert {step["stand"] for step in result["steps"]} == {"done"}
    assert run_fleet("drift", "--json")["drift"] == []
    states = {node["id"]: (node["state"], node["held"]) for node in run_fleet("show", "--json")["nodes"]}
    assert (
        states["n1"] == ("off", True)
        and states["n2"] == ("draining", True)
        and states["n7"] == ("ready", False)
    )
    assert "nothing to do" in run_fleet("plan", path)
    undo_plan = str(environment.folder / "back.plan")
    run_fleet("undo", "--out", undo_plan, code=2)
    assert run_fleet("apply", undo_plan) == "done\n"
    result = run_fleet("show", "--json")
    assert [node["state"] for node in result["nodes"]] == ["ready"] * 6 + ["off"] * 2
    assert [entry["state"] for entry in run_fleet("history", "--json")["applies"]] == ["done", "done"]
    for command in (["show"], ["status"], ["history"], ["drift"]):
        run_fleet(*command)


def test_a_plan_is_refused_if_a_node_has_changed_since_it_was_made(environment, run_fleet):
    """A node that fails after planning must not be drained on stale data: the apply gives no order.

    The refusal reports the planned action, the node's state at planning time and its state now.
    """
    path = environment.change(CHANGE)
    run_fleet("plan", path, code=2)
    environment.script("n2", do="fall")
    result = run_fleet("apply", f"{path}.plan", "--json", code=3)
    assert result["moved"] == [
        {
            "what": "n2",
            "planned": "drain in wave 2",
            "then": "ready, generation 1, 6 tasks",
            "now": "no answer",
        }
    ]
    assert "planned: drain in wave 2; then: ready" in run_fleet("apply", f"{path}.plan", code=3)
    assert "no apply has been begun" in run_fleet("status")
    assert environment.script("n1", do="forget") == []


def test_an_apply_that_a_node_refuses_stops_half_way_and_resumes(environment, run_fleet):
    """A refused order stops the apply half way; the next call resumes it, and each order takes effect once.

    Until then, another change is rejected, since it could collide with the half-done node.
    """
    path = environment.change(CHANGE)
    run_fleet("plan", path, code=2)
    environment.script("n1", do="refuse", reason="REFUSED the last copy is here")
    result = run_fleet("apply", f"{path}.plan", "--json", code=4)
    assert (
        result["reason"] == "refused"
        and "the last copy is here" in result["text"]
        and "n1" in result["half_done"]
    )
    result = run_fleet("status", "--json", code=4)
    assert result["state"] == "stopped"
    assert [step["stand"] for step in result["steps"] if step["step"] == "w2.n1.drain"] == ["refused"]
    assert run_fleet("drift", "--json", code=2)["unfinished"]
    other = environment.change('(change "other" (drain n3))', "other")
    run_fleet("plan", other, code=2)
    assert "stands half done at n1" in run_fleet("apply", f"{other}.plan", code=1)
    assert run_fleet("apply", f"{path}.plan") == "done\n"
    assert [order for _, order in environment.script("n1", do="forget")] == ["drain", "stop"]


def test_a_second_apply_is_rejected_with_the_holder_of_the_lock(environment, run_fleet):
    """Two applies at a time could give contradictory orders: the second fails and names the lock holder."""
    path = environment.change('(change "slow" (drain n1))')
    run_fleet("plan", path, code=2)
    environment.folder.joinpath("fleet-journal").mkdir()
    code = (
        "import sys; from weldhatch.applying.journal import Journal\n"
        "journal = Journal(sys.argv[1], 'someone for apply x', 0.0); print('held', flush=True); input()"
    )
    holder = subprocess.Popen(
        [sys.executable, "-c", code, str(environment.folder / "fleet-journal")],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert holder.stdout.readline() == "held\n"
    result = run_fleet("apply", f"{path}.plan", "--json", code=1)
    assert f"held by someone for apply x (process {holder.pid}) since 1970-01-01" in result["lines"][0]
    holder.communicate("\n")
    assert run_fleet("apply", f"{path}.plan") == "done\n"


def test_bad_input_is_rejected_with_a_clear_message_and_changes_nothing(environment, run_fleet):
    """A faulty change, plan or call ends with a message and no traceback, and begins no journal."""
    for text, message in (
        ('(change "x" (drain n77))', "c.change:1:20: no node is named n77"),
        ('(change "x" (drain (all of rack r9)))', "no rack is named r9"),
        ('(change "x" (keep (hall hall-q) (cores 3)))', "no hall is named hall-q"),
        ('(change "x" (keep (cores 999)))', "all 8 nodes hold 320"),
        ('(change "x" (on n1) (drain n1))', "n1 is to be drain, and on at line 1"),
        ('(change "x" (drain n1 n2 n3) (keep (cores 160)))', "these 2 exclude each other:"),
        ('(change "x" (drain n1)', "is never closed"),
    ):
        output_text = run_fleet("plan", environment.change(text), code=1)
        assert message in output_text and "Traceback" not in output_text
    path = environment.change('(change "x" (drain n1))')
    run_fleet("plan", path, code=2)
    plan = Path(f"{path}.plan")
    valid_data = plan.read_bytes()
    for data, message in (
        (valid_data[:-30], "cut"),
        (valid_data.replace(b'"n1"', b'"n2"'), "checksum"),
        (valid_data.replace(b'"version": 1', b'"version": 7'), "version: 7"),
    ):
        plan.write_bytes(data)
        assert message in run_fleet("apply", str(plan), code=1)
    assert "No such file" in run_fleet("apply", "nowhere.plan", code=1)
    assert "no-such" in run_fleet("status", "--fleet", "no-such.toml", code=1, fleet=False)
    assert run_fleet("apply", code=1, fleet=False)
    assert not environment.folder.joinpath("fleet-journal").exists()
    assert run_fleet("plan", "--json", environment.change("(change"), code=1)["error"] == "FormError"


def test_a_plan_of_settings_is_applied_and_refused_like_a_fleet_plan(environment, run_fleet):
    """A settings plan is applied once; an outdated or altered settings plan is refused."""
    target = environment.folder / "new.toml"
    text = (environment.folder / "queue.toml").read_text()
    target.write_text(text.replace("connections = 256", "connections = 99"))
    other = environment.folder / "other.toml"
    other.write_text(text.replace("connections = 256", "connections = 50"))
    result = run_fleet("plan", str(target), "--json", code=2)
    assert result["changes"] == [{"key": "connections", "from": "256", "to": "99", "restart": False}]
    run_fleet("plan", str(other), code=2)
    assert "1 changes applied" in run_fleet("apply", f"{target}.plan")
    assert "already" in run_fleet("apply", f"{target}.plan")
    result = run_fleet("apply", f"{other}.plan", "--json", code=3)
    assert result["moved"] == [{"what": "connections", "planned": '"50"', "then": '"256"', "now": '"99"'}]
    corrupted_plan = json.loads(Path(f"{other}.plan").read_text())
    corrupted_plan["base"] = "0" * 64
    Path(f"{other}.plan").write_text(json.dumps(corrupted_plan))
    assert "checksum" in run_fleet("apply", f"{other}.plan", code=1)
    run_fleet("plan", str(target))


def test_fmt_rewrites_a_change_file_in_its_canonical_form(tmp_path, capsys):
    path = tmp_path / "a.change"
    path.write_text('(change   "x"\n;note\n(drain n1))')
    assert main(["fleet", "fmt", "--check", str(path)]) == 2
    assert main(["fleet", "fmt", str(path)]) == 0
    assert path.read_text() == '(change "x"\n  ; note\n  (drain n1))\n'
    assert main(["fleet", "fmt", "--check", str(path)]) == 0
    assert main(["fleet", "schema", "status"]) == 0
    assert json.loads(capsys.readouterr().out.split("\n", 2)[2])["title"] == "weldhatch.fleet.status/1"


@pytest.mark.parametrize(
    ("corrupt", "message"),
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
def test_an_unusable_fleet_file_is_rejected_with_the_name_of_its_key(tmp_path, corrupt, message):
    path = tmp_path / "fleet.toml"
    path.write_text(corrupt((ROOT / "examples" / "fleet.toml").read_text()))
    with pytest.raises(config.ConfigError, match=message):
        fleet_file.fleet_config(str(path))


def test_the_fleet_file_in_deploy_is_valid():
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
