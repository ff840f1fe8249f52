import math

from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollycart_bench import scale


@given(
    slope=st.floats(-100, 100),
    intercept=st.floats(-100, 100),
    xs=st.lists(st.integers(0, 1000), min_size=3, max_size=8, unique=True),
)
def test_exact_lines_are_found(slope, intercept, xs):
    line = scale.fit_line(xs, [intercept + slope * x for x in xs])
    assert line.slope == pytest.approx(slope, abs=1e-6)
    assert line.intercept == pytest.approx(intercept, abs=1e-4)


def test_two_points_have_no_interval():
    assert math.isinf(scale.fit_line([1, 2], [3, 4]).slope_error)


def test_noise_widens_the_interval():
    exact = scale.fit_line([1, 2, 3, 4], [1, 2, 3, 4])
    noisy = scale.fit_line([1, 2, 3, 4], [1.2, 1.7, 3.4, 3.8])
    assert noisy.slope_error > exact.slope_error
