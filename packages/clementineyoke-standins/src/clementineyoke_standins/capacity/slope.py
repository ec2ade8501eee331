"""Linear fit of measured points."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np


class Slope(NamedTuple):
    """Linear growth ``offset + rate * x`` of a measured quantity, and the fit error."""

    name: str
    unit: str
    per: str
    """Unit of x."""
    rate: float
    offset: float
    worst_error: float
    """Largest residual, as a share of the largest measured value."""
    points: list[tuple[float, float]]

    def at(self, x: float) -> float:
        """Return the fitted value at x."""
        return self.offset + self.rate * x


def fit(name: str, *, unit: str, per: str, points: list[tuple[float, float]]) -> Slope:
    """Return the least-squares line through the points, at least four of them."""
    xs = np.array([x for x, _ in points])
    ys = np.array([y for _, y in points])
    rate, offset = np.polyfit(xs, ys, 1)
    errors = np.abs(offset + rate * xs - ys)
    worst = float(errors.max() / max(float(np.abs(ys).max()), 1e-12))
    return Slope(name, unit, per, float(rate), float(offset), worst, points)
