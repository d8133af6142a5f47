"""The list of known failures: short, well formed, and of tests that exist."""

import pytest
from known_red import ROOT, KnownRedError, parse, read_known_red


def test_each_listed_test_exists():
    for known in read_known_red():
        path, _, name = known.test.partition("[")[0].partition("::")
        assert f"\ndef {name}(" in (ROOT / path).read_text()


def test_a_line_is_read():
    (known,) = parse("tests/test_x.py::test_y | too slow | issue 1\n")
    assert (known.cause, known.issue) == ("too slow", "issue 1")
    assert known.covers("tests/test_x.py::test_y")
    assert known.covers("tests/test_x.py::test_y[a]")
    assert not known.covers("tests/test_x.py::test_y_too")


def test_a_line_with_parameters_covers_these_alone():
    (known,) = parse("tests/test_x.py::test_y[a] | too slow | issue 1\n")
    assert known.covers("tests/test_x.py::test_y[a]")
    assert not known.covers("tests/test_x.py::test_y[b]")
    assert not known.covers("tests/test_x.py::test_y")


def test_only_a_test_that_is_listed_as_intermittent_may_pass():
    always, sometimes = parse("t.py::a | too slow | issue 1\nt.py::b | now and then: too slow | issue 1\n")
    assert not always.is_intermittent
    assert sometimes.is_intermittent


@pytest.mark.parametrize("text", ["a | b", "a | b | ", "a", "a | b; and tests/test_c.py::d: e | f"])
def test_a_malformed_or_long_list_is_refused(text):
    with pytest.raises(KnownRedError):
        parse(text)
