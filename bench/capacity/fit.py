"""Linear fits through measured points, with plots and extrapolation to the planned size."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from textwrap import fill

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
import numpy  # noqa: E402

TITLE_WIDTH = 60


@dataclass(frozen=True, kw_only=True)
class Slope:
    """A quantity measured at several values of another one."""

    name: str
    """File name of its plot."""

    what: str
    """Measured quantity with its unit."""

    against: str
    """Independent variable."""

    points: list[tuple[float, float]]
    """Measured pairs of independent variable and quantity."""

    target: float
    """Value of the independent variable at the planned size."""

    target_measured: bool = False
    """True if `target` is among the measured points."""


@dataclass(frozen=True, kw_only=True)
class Fit:
    """A line fitted through points, and its value at the target."""

    intercept: float
    slope: float
    error: float
    """Root mean square of the residuals."""

    at_target: float


def fit_line(slope: Slope) -> Fit:
    """Fit a line by least squares."""
    x = numpy.array([point[0] for point in slope.points])
    y = numpy.array([point[1] for point in slope.points])
    gradient, intercept = numpy.polyfit(x, y, 1)
    error = float(numpy.sqrt(numpy.mean((y - (gradient * x + intercept)) ** 2)))
    return Fit(
        intercept=float(intercept),
        slope=float(gradient),
        error=error,
        at_target=float(gradient * slope.target + intercept),
    )


def plot(slope: Slope, folder: Path) -> None:
    """Write a plot of the points and the fitted line."""
    fit = fit_line(slope)
    x = [point[0] for point in slope.points]
    figure, axes = plt.subplots(figsize=(5, 3.2))
    axes.plot(x, [point[1] for point in slope.points], "o")
    line = [min(x), slope.target]
    axes.plot(line, [fit.intercept + fit.slope * value for value in line], "--")
    axes.set_xlabel(slope.against)
    axes.set_title(fill(slope.what, TITLE_WIDTH), fontsize=9)
    figure.tight_layout()
    figure.savefig(folder / f"{slope.name}.png", dpi=80)
    plt.close(figure)


def row(slope: Slope) -> str:
    """Return the Markdown table row of a slope."""
    fit = fit_line(slope)
    points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
    origin = "measured there" if slope.target_measured else "extrapolated"
    return (
        f"| {slope.what} | {slope.against} | {points} | {fit.intercept:.4g} + {fit.slope:.4g} x "
        f"| {fit.error:.3g} | {fit.at_target:.4g} at {slope.target:g} ({origin}) |"
    )
