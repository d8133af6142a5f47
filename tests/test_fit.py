"""The line through measured points."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab.fit import fit

NUMBER = st.floats(-1000.0, 1000.0)


@given(NUMBER, NUMBER, st.lists(st.integers(-50, 50), min_size=3, max_size=20, unique=True))
def test_points_on_a_line_give_that_line_without_error(slope, at_zero, xs):
    line = fit(xs, [at_zero + slope * x for x in xs])
    assert line.slope == pytest.approx(slope, abs=1e-6)
    assert line.at_zero == pytest.approx(at_zero, abs=1e-6)
    assert line.slope_error < 1e-6
    assert line.residual < 1e-6
    assert line.points == len(xs)
    assert line.at(7.0) == pytest.approx(at_zero + 7.0 * slope, abs=1e-6)


def test_the_errors_are_those_of_the_textbook():
    # x 1..4, y 2 1 4 3: slope 0.6, squares 3.2, spread of x 5.
    line = fit([1, 2, 3, 4], [2, 1, 4, 3])
    assert (line.slope, line.at_zero) == pytest.approx((0.6, 1.0))
    assert line.residual**2 == pytest.approx(3.2 / 2)
    assert line.slope_error**2 == pytest.approx(1.6 / 5)
    assert line.as_dict()["slope"] == line.slope


@pytest.mark.parametrize(("xs", "ys"), [([1, 2], [1, 2]), ([1, 2, 3], [1, 2]), ([2, 2, 2], [1, 2, 3])])
def test_too_few_points_are_no_line(xs, ys):
    with pytest.raises(ValueError, match="points"):
        fit(xs, ys)
