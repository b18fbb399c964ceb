"""Fit straight lines to measurements, and check them at a size left out."""

from typing import Any, NamedTuple


class Slope(NamedTuple):
    """A straight line: ``value = intercept + slope * size``.

    ``held_size`` was not used for the fit; ``held_error`` is the part by
    which the line misses the value measured there.
    """

    name: str
    unit: str
    per: str
    slope: float
    intercept: float
    sizes: list[float]
    values: list[float]
    held_size: float | None = None
    held_value: float | None = None
    held_error: float | None = None

    def compute(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit(
    name: str, unit: str, per: str, points: list[tuple[float, float]], held: bool = True
) -> Slope:
    """Fit a line by least squares; the last point is held out for a check."""
    used = points[:-1] if held else points
    count = len(used)
    mean_size = sum(size for size, _ in used) / count
    mean_value = sum(value for _, value in used) / count
    spread = sum((size - mean_size) ** 2 for size, _ in used)
    product = sum((size - mean_size) * (value - mean_value) for size, value in used)
    slope = product / spread if spread else 0.0
    line = Slope(
        name,
        unit,
        per,
        slope,
        mean_value - slope * mean_size,
        [size for size, _ in used],
        [value for _, value in used],
    )
    if not held:
        return line
    size, value = points[-1]
    error = line.compute(size) / value - 1.0 if value else 0.0
    return line._replace(held_size=size, held_value=value, held_error=error)


def read_slope(content: dict[str, Any]) -> Slope:
    """Read a slope from JSON."""
    return Slope(**content)
