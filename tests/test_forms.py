"""The S-expression files: all faults at once with their places, and a canonical form that keeps
everything."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhatch.sexpr import printer, reader


def faults(text):
    with pytest.raises(reader.FormError) as caught:
        reader.read(text, "f")
    return [(fault.position.line, fault.position.column, fault.expected) for fault in caught.value.faults]


def test_values_have_units():
    [form] = reader.read('(x 1.5m 250ms 300GB 512MB 7 "a\\"b" std-48 n1)', "f")
    assert [atom.value for atom in form.items[1:]] == [90.0, 0.25, 300.0, 0.512, 7.0, 'a"b', "std-48", "n1"]


def test_all_faults_of_a_text_are_told_at_once_with_their_places():
    found = faults('(a 12q\n  (b 5zz)) )\n(c "no end\n')
    assert [(line, column) for line, column, _ in found] == [(1, 4), (2, 6), (2, 12), (3, 4)]


@pytest.mark.parametrize(("text", "line", "column"), [("(a (b)", 1, 1), ('(a\n (b (c) "(" ; (\n', 2, 2)])
def test_an_open_bracket_is_named_where_it_opens(text, line, column):
    assert faults(text) == [(line, column, "')'")]


def test_brackets_nested_too_deeply_are_a_fault_and_no_crash():
    assert faults("(" * 500 + ")" * 500)


def test_includes_are_read_beside_their_file_and_name_themselves():
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
    with pytest.raises(reader.FormError) as caught:
        reader.read_with_includes("m", load)
    assert [fault.position.line for fault in caught.value.faults] == [1, 2]


atoms = st.one_of(
    st.from_regex(r"\A[a-z][a-z0-9-]{0,30}\Z"), st.sampled_from(["18s", "300GB", "7", '"a b;("'])
)
forms = st.recursive(
    atoms,
    lambda inner: st.lists(st.one_of(inner, st.just("; a note\n"), st.just("\n\n")), max_size=9).map(
        lambda parts: f"({' '.join(parts)})"
    ),
)


def shape(items):
    return [
        shape(item.children) if isinstance(item, reader.Form) else item.text.strip("; ") for item in items
    ]


@given(st.lists(forms, max_size=5).map("\n".join))
def test_the_canonical_form_means_the_same_and_is_its_own(text):
    items = reader.read(text, "f")
    once = printer.canonical(items)
    again = reader.read(once, "f")
    assert shape(again) == shape(items)
    assert printer.canonical(again) == once
    assert all(len(line) <= 110 or " " not in line.strip() for line in once.split("\n"))
