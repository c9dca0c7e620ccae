"""Each file, class and function that docs/architecture.md names exists.

Guards against names that a rename left outdated on the page, and against a new form of the page that the
patterns below no longer match.
"""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()
NAMES = sorted(set(re.findall(r"`([a-z_/]+\.py)(?::([A-Za-z_.]+))?`", PAGE)))
OWNERS = re.findall(r"^\| [^|]+ \| `([a-z_/]+\.py):(\w+)`[^|]*\| `(\w+)`", PAGE, re.MULTILINE)


def parse_module(path):
    folder = ROOT if path.startswith("tests/") else ROOT / "weldhatch"
    return ast.parse((folder / path).read_text())


def defined_names(tree, prefix=""):
    found = set()
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            found |= {prefix + node.name} | defined_names(node, f"{prefix}{node.name}.")
    return found


@pytest.mark.parametrize(("path", "name"), NAMES)
def test_a_named_file_defines_the_named_class_or_function(path, name):
    assert not name or name in defined_names(parse_module(path))


@pytest.mark.parametrize(("path", "owner", "method"), OWNERS)
def test_a_resource_owner_defines_the_named_release_method(path, owner, method):
    assert f"{owner}.{method}" in defined_names(parse_module(path))


def test_the_page_names_enough_definitions_and_resource_owners():
    assert len(NAMES) > 40
    assert len(OWNERS) >= 8
