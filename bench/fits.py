"""Straight-line fits of measured series."""

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

    def at(self, x: float) -> float:
        """Give the line's value at x."""
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Fit a line.

    :param xs: at least two different values.
    """
    slope, intercept = np.polyfit(xs, ys, 1)
    rest = np.asarray(ys) - (intercept + slope * np.asarray(xs))
    spread = float(np.sum((np.asarray(ys) - np.mean(ys)) ** 2))
    r2 = 1 - float(np.sum(rest**2)) / spread if spread else 1
    return Fit(
        float(slope), float(intercept), r2, float(min(xs)), float(max(xs))
    )
