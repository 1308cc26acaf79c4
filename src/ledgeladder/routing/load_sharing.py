"""Intervals of load reports between entry boxes and control boxes.

Each entry box reports its load to one control box. Control boxes add up these reports, exchange the
partial sums, and send the total to their entry boxes.
"""

from __future__ import annotations

from typing import Final

MIN_REPORT_SECONDS: Final = 0.25
"""Minimum time between two reports: about the time to a first event under load."""

SECONDS_PER_ENTRY: Final = 0.01
"""Interval per entry box, which limits a control box to 100 reports a second."""

LOAD_BYTES_PER_SECOND: Final = 8000.0
"""Maximum rate of load totals sent to an entry box; half of the bandwidth reserved for control."""

LOAD_VALID_SECONDS: Final = 3.0
"""How long a report is valid: over three times the interval of a fleet of eighty entry boxes with a
single control box left, to tolerate lost reports."""


MAX_REPORT_SECONDS: Final = 1.0
"""Maximum time between two reports; unchanged loads are sent only this often. Three of them fit
into the time that a report is valid."""


def is_report_due(changed: bool, seconds: float) -> bool:
    """Return whether a load report is due.

    Args:
        changed: Whether the loads differ from the last report.
        seconds: Time since the last report.

    >>> is_report_due(True, 0.25), is_report_due(False, 0.25), is_report_due(False, 1.0)
    (True, False, True)
    """
    return changed or seconds >= MAX_REPORT_SECONDS


def report_interval(entries: int, controls: int, load_bytes: int = 0) -> float:
    """Return the time between two reports, in seconds.

    Args:
        entries: Number of all entry boxes.
        controls: Number of control boxes among which the entry boxes are spread.
        load_bytes: Size of the total of all upstreams, for its sender.

    >>> report_interval(8, 3), report_interval(410, 8), report_interval(300, 6, 12_000)
    (0.25, 0.5125, 1.5)
    """
    by_entries = SECONDS_PER_ENTRY * entries / max(1, controls)
    return max(MIN_REPORT_SECONDS, by_entries, load_bytes / LOAD_BYTES_PER_SECOND)
