"""Draws plots of a report and writes them to files."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections import Counter
    from pathlib import Path

    from .log_report import LogReport

FIGURE_SIZE_INCHES: Final = (10.0, 4.0)
"""Width and height of a plot, in inches."""


def write_plots(report: LogReport, folder: Path) -> list[Path]:
    """Plot requests and state changes over time.

    Args:
        report: The report.
        folder: Output folder; it is created if missing.

    Returns:
        Paths of the files.

    Raises:
        ImportError: If matplotlib, from the optional extra `plots`, is not installed.
    """
    # Imported here because tables do not need it.
    import matplotlib

    matplotlib.use("Agg")
    folder.mkdir(parents=True, exist_ok=True)
    plots = {"requests": report.outcomes, "beliefs": report.state_changes}
    return [_write_plot(report, folder / f"{name}.png", buckets) for name, buckets in plots.items()]


def _write_plot(report: LogReport, path: Path, buckets: dict[int, Counter[str]]) -> Path:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_INCHES)
    indexes = sorted(buckets)
    seconds = [index * report.bucket_seconds for index in indexes]
    names = sorted({name for counter in buckets.values() for name in counter})
    bottoms = [0] * len(indexes)
    for name in names:
        counts = [buckets[index][name] for index in indexes]
        axes.bar(seconds, counts, report.bucket_seconds, bottom=bottoms, label=name, align="edge")
        bottoms = [bottom + count for bottom, count in zip(bottoms, counts, strict=True)]
    axes.set_xlabel("seconds since the first line")
    axes.set_title(path.stem)
    if names:
        axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
    return path
