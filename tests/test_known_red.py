"""KNOWN-RED.txt names tests that there are, three at most, each with its cause and its issue."""

import ast

from conftest import KNOWN_RED, KNOWN_RED_MOST, known_red


def test_each_line_names_a_test_a_cause_and_an_issue():
    red = known_red()
    assert len(red) <= KNOWN_RED_MOST
    for node_id, line in red.items():
        path, *names = node_id.split("::")
        tree = ast.parse((KNOWN_RED.parent / path).read_text())
        defined = {node.name for node in ast.walk(tree) if hasattr(node, "name")}
        assert set(names) <= defined, node_id
        assert line.rpartition("; ")[2].startswith("issue "), line
