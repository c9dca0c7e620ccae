"""Imports run one way, and the core knows no wire."""

import ast
import graphlib
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULES = {".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
           for path in (ROOT / "weldhatch").rglob("*.py")}


def imports(path):
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            found |= {f"{node.module}.{name.name}" if f"{node.module}.{name.name}" in MODULES else node.module
                      for name in node.names}
        elif isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
    return {name for name in found if name in MODULES}


GRAPH = {name: imports(path) for name, path in MODULES.items()}


def test_no_module_imports_in_a_circle():
    order = list(graphlib.TopologicalSorter(GRAPH).static_order())
    assert order.index("weldhatch.interface") < order.index("weldhatch.core.life") < order.index(
        "weldhatch.__main__")


def test_no_package_imports_in_a_circle():
    packages = {}
    for name, needs in GRAPH.items():
        if name.count(".") == 2:
            packages.setdefault(name.rsplit(".", 1)[0], set()).update(
                need.rsplit(".", 1)[0] for need in needs if need.count(".") == 2)
    for name, needs in packages.items():
        needs.discard(name)
    assert len(packages) == 4 and list(graphlib.TopologicalSorter(packages).static_order())


def test_the_core_knows_no_wire_and_the_sockets_no_protocol():
    allowed = {"core": {"weldhatch", "weldhatch.interface", "weldhatch.core"}, "net": {"weldhatch.net"}}
    for part, known in allowed.items():
        for name, needs in GRAPH.items():
            if name.startswith(f"weldhatch.{part}."):
                assert {need if need in known else need.rsplit(".", 1)[0] for need in needs} <= known, name
