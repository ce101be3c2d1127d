"""Linear fits of measured series."""

from collections.abc import Sequence

import attrs
import numpy as np


@attrs.frozen
class Fit:
    """A least-squares line through a series.

    :param slope: change of y for one unit of x.
    :param intercept: y at x = 0.
    :param r2: share of the variance that the line explains, 0 to 1.
    :param low: smallest x.
    :param high: largest x.
    """

    slope: float
    intercept: float
    r2: float
    low: float
    high: float

    def predict(self, x: float) -> float:
        """Return the value of the line at x."""
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Fit a line by least squares.

    :param xs: at least two different values.
    :param ys: one value for each x.
    """
    slope, intercept = np.polyfit(xs, ys, 1)
    residuals = np.asarray(ys) - (intercept + slope * np.asarray(xs))
    total_squares = float(np.sum((np.asarray(ys) - np.mean(ys)) ** 2))
    r2 = 1 - float(np.sum(residuals**2)) / total_squares if total_squares else 1
    return Fit(
        float(slope), float(intercept), r2, float(min(xs)), float(max(xs))
    )
