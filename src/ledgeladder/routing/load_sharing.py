"""How often entry boxes tell what their requests take, and how long it is believed.

Each tells one control box. Control boxes add up what they were told, tell each other these shares,
and tell the sum to the entry boxes that report to them.
"""

from __future__ import annotations

from typing import Final

MIN_REPORT_SECONDS: Final = 0.25
"""Shortest time between two reports: about the time to a first event under load."""

SECONDS_PER_ENTRY: Final = 0.01
"""Added for each entry box, so that a control box takes 100 reports a second at most."""

LOAD_BYTES_PER_SECOND: Final = 8000.0
"""Bytes of loads that an entry box is told a second at most, half of the 16 KB that control may
take. Up to 1,000 upstreams the other bounds hold; 3,000 are told every 1.5 s."""

LOAD_VALID_SECONDS: Final = 3.0
"""How long a report counts: over three of the longest intervals of today's sizes, which is 0.84 s
with 84 entry boxes and one control box left."""


MAX_REPORT_SECONDS: Final = 1.0
"""Longest time between two reports that say the same: three are then believed at any moment. Boxes
at rest send a quarter of the messages that way."""


def is_report_due(changed: bool, seconds: float) -> bool:
    """Tell whether loads are to be told now.

    Args:
        changed: True if they differ from those told last.
        seconds: Time since then.

    >>> is_report_due(True, 0.25), is_report_due(False, 0.25), is_report_due(False, 1.0)
    (True, False, True)
    """
    return changed or seconds >= MAX_REPORT_SECONDS


def report_interval(entries: int, controls: int, load_bytes: int = 0) -> float:
    """Return the time between two reports, in seconds.

    Args:
        entries: Entry boxes of the whole system.
        controls: Control boxes that they report to, each to one of them.
        load_bytes: Length of the loads of all upstreams, for whoever tells them.

    >>> report_interval(8, 3), load_interval(410, 8), report_interval(300, 6, 12_000)
    (0.25, 0.5125, 1.5)
    """
    by_entries = SECONDS_PER_ENTRY * entries / max(1, controls)
    return max(MIN_REPORT_SECONDS, by_entries, load_bytes / LOAD_BYTES_PER_SECOND)
