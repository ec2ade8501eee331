"""A straight line through measured points."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np


class Slope(NamedTuple):
    """How something grows: ``offset + rate * x``, and how well that fits."""

    name: str
    unit: str
    per: str
    """What x counts."""
    rate: float
    offset: float
    worst_error: float
    """Largest distance of a point from the line, as a share of the largest value."""
    points: list[tuple[float, float]]

    def at(self, x: float) -> float:
        """Return the value that the line gives."""
        return self.offset + self.rate * x


def fit(name: str, *, unit: str, per: str, points: list[tuple[float, float]]) -> Slope:
    """Return the least-squares line through at least four points."""
    xs = np.array([x for x, _ in points])
    ys = np.array([y for _, y in points])
    rate, offset = np.polyfit(xs, ys, 1)
    errors = np.abs(offset + rate * xs - ys)
    worst = float(errors.max() / max(float(np.abs(ys).max()), 1e-12))
    return Slope(name, unit, per, float(rate), float(offset), worst, points)
