"""Each line of KNOWN-RED.txt names an existing test, its cause and its issue; it has at most three lines.

Guards against an entry that excuses nothing, because its test was renamed or removed, or excuses too much.
"""

import ast

from conftest import KNOWN_RED_FILE, MAX_KNOWN_RED, known_red


def test_each_line_names_a_test_a_cause_and_an_issue():
    red = known_red()
    assert len(red) <= MAX_KNOWN_RED
    for node_id, line in red.items():
        path, *names = node_id.split("::")
        tree = ast.parse((KNOWN_RED_FILE.parent / path).read_text())
        defined = {node.name for node in ast.walk(tree) if hasattr(node, "name")}
        assert set(names) <= defined, node_id
        assert line.rpartition("; ")[2].startswith("issue "), line
