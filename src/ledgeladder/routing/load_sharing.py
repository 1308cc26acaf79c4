"""How often entry boxes tell what their requests take, and how long it is believed.

They tell control boxes, which add up what they were told and tell the sums to all entry boxes.
"""

from __future__ import annotations

from typing import Final

LEAST_SECONDS: Final = 0.25
"""Shortest time between two reports: about the time to a first event under load."""

SECONDS_PER_ENTRY: Final = 0.01
"""Added for each entry box, so that a control box takes 100 reports a second at most."""

LOAD_BELIEVED_SECONDS: Final = 3.0
"""How long a report counts: three of the longest intervals of today's sizes."""


def load_interval(entries: int) -> float:
    """Return the time between two reports, in seconds.

    Args:
        entries: Entry boxes that report to one control box.
    """
    return max(LEAST_SECONDS, SECONDS_PER_ENTRY * entries)
