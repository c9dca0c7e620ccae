"""The names in docs/architecture.md stand for files, classes and functions of the tree."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()
NAMES = sorted(set(re.findall(r"`([a-z_/]+\.py)(?::([A-Za-z_.]+))?`", PAGE)))
OWNERS = re.findall(r"^\| [^|]+ \| `([a-z_/]+\.py):(\w+)`[^|]*\| `(\w+)`", PAGE, re.MULTILINE)


def source(path):
    folder = ROOT if path.startswith("tests/") else ROOT / "weldhatch"
    return ast.parse((folder / path).read_text())


def definitions(tree, prefix=""):
    found = set()
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            found |= {prefix + node.name} | definitions(node, f"{prefix}{node.name}.")
    return found


@pytest.mark.parametrize(("path", "name"), NAMES)
def test_a_named_file_holds_the_named_class_or_function(path, name):
    assert not name or name in definitions(source(path))


@pytest.mark.parametrize(("path", "owner", "method"), OWNERS)
def test_an_owner_has_the_method_that_gives_its_resource_back(path, owner, method):
    assert f"{owner}.{method}" in definitions(source(path))


def test_the_page_names_the_way_of_a_request_and_of_a_change():
    assert len(NAMES) > 40
    assert len(OWNERS) >= 8
