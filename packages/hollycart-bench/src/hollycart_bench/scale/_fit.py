"""Linear least squares with 95% confidence intervals."""

from collections.abc import Sequence
import math
from typing import NamedTuple

import numpy as np

# Two-sided 95% quantiles of Student's t distribution by degrees of freedom.
_T_QUANTILES_95 = {
    1: 12.71,
    2: 4.30,
    3: 3.18,
    4: 2.78,
    5: 2.57,
    6: 2.45,
    8: 2.31,
}


class Line(NamedTuple):
    """A fitted line with the half widths of its 95% confidence intervals.

    Attributes:
        intercept: Value at zero.
        slope: Change per unit.
        intercept_error: Half width of the interval of the intercept.
        slope_error: Half width of the interval of the slope.
    """

    intercept: float
    slope: float
    intercept_error: float
    slope_error: float

    def at(self, x: float) -> float:
        """Returns the value of the line at `x`."""
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """Returns an upper bound on the half width of the interval at `x`."""
        return self.intercept_error + self.slope_error * abs(x)


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fits a line by least squares.

    Args:
        xs: Sizes.
        ys: Measured values.

    Returns:
        The line; intervals are infinite with fewer than three points.

    Example:
        >>> line = fit_line([1, 2, 3, 4], [3.0, 5.0, 7.0, 9.0])
        >>> round(line.slope, 6), round(line.intercept, 6)
        (2.0, 1.0)
    """
    x = np.asarray(xs, dtype=float)
    y = np.asarray(ys, dtype=float)
    design = np.vstack([np.ones_like(x), x]).T
    (intercept, slope), *_ = np.linalg.lstsq(design, y, rcond=None)
    degrees_of_freedom = len(x) - 2
    if degrees_of_freedom < 1:
        return Line(float(intercept), float(slope), math.inf, math.inf)
    residual = y - design @ np.array([intercept, slope])
    variance = float(residual @ residual) / degrees_of_freedom
    covariance = variance * np.linalg.inv(design.T @ design)
    t_quantile = _T_QUANTILES_95.get(degrees_of_freedom, 2.0)
    return Line(
        float(intercept),
        float(slope),
        t_quantile * math.sqrt(covariance[0, 0]),
        t_quantile * math.sqrt(covariance[1, 1]),
    )
