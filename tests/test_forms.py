"""S-expression files: all faults are reported at once with positions, and the canonical layout keeps all
items."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhatch.sexpr import printer, reader


def read_faults(text):
    with pytest.raises(reader.FormError) as raised:
        reader.read(text, "f")
    return [(fault.position.line, fault.position.column, fault.expected) for fault in raised.value.faults]


def test_atoms_are_converted_by_unit_and_escape():
    [form] = reader.read('(x 1.5m 250ms 300GB 512MB 7 "a\\"b" std-48 n1)', "f")
    assert [atom.value for atom in form.items[1:]] == [90.0, 0.25, 300.0, 0.512, 7.0, 'a"b', "std-48", "n1"]


def test_all_faults_of_a_text_are_reported_at_once_with_positions():
    found = read_faults('(a 12q\n  (b 5zz)) )\n(c "no end\n')
    assert [(line, column) for line, column, _ in found] == [(1, 4), (2, 6), (2, 12), (3, 4)]


@pytest.mark.parametrize(("text", "line", "column"), [("(a (b)", 1, 1), ('(a\n (b (c) "(" ; (\n', 2, 2)])
def test_an_unclosed_bracket_is_reported_at_its_position(text, line, column):
    assert read_faults(text) == [(line, column, "')'")]


def test_brackets_nested_too_deeply_raise_a_form_error():
    assert read_faults("(" * 500 + ")" * 500)


def test_includes_are_relative_to_their_file_and_faults_name_the_include():
    files = {
        "d/a": '(include "b") (x)',
        "d/b": "(y)",
        "l": '(include "l")',
        "m": '(include "gone")\n(include 3)',
    }

    def load(path):
        if path not in files:
            raise FileNotFoundError(2, "No such file")
        return files[path]

    assert [form.head for form in reader.read_with_includes("d/a", load)] == ["y", "x"]
    with pytest.raises(reader.FormError, match="includes itself: l -> l"):
        reader.read_with_includes("l", load)
    with pytest.raises(reader.FormError) as raised:
        reader.read_with_includes("m", load)
    assert [fault.position.line for fault in raised.value.faults] == [1, 2]


atoms = st.one_of(
    st.from_regex(r"\A[a-z][a-z0-9-]{0,30}\Z"), st.sampled_from(["18s", "300GB", "7", '"a b;("'])
)
forms = st.recursive(
    atoms,
    lambda inner: st.lists(st.one_of(inner, st.just("; a note\n"), st.just("\n\n")), max_size=9).map(
        lambda parts: f"({' '.join(parts)})"
    ),
)


def structure(items):
    return [
        structure(item.children) if isinstance(item, reader.Form) else item.text.strip("; ") for item in items
    ]


@given(st.lists(forms, max_size=5).map("\n".join))
def test_canonical_layout_keeps_all_items_and_is_stable(text):
    items = reader.read(text, "f")
    printed = printer.canonical(items)
    reparsed = reader.read(printed, "f")
    assert structure(reparsed) == structure(items)
    assert printer.canonical(reparsed) == printed
    assert all(len(line) <= 110 or " " not in line.strip() for line in printed.split("\n"))
