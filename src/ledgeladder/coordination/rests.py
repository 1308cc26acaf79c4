"""Engines that asked a control box for rest, and until when they get no order from it."""

from __future__ import annotations

import msgspec


class Rests(msgspec.Struct, kw_only=True):
    """Until when engines want nothing from this box."""

    until: dict[str, float] = msgspec.field(default_factory=dict)
    """Monotonic times by engine; only those that asked and whose time is not known to be over."""


def note_rest(rests: Rests, engine: str, seconds: float, now: float) -> None:
    """Take in that an engine wants nothing for some time; a shorter one shortens no earlier one."""
    rests.until[engine] = max(now + seconds, rests.until.get(engine, now))


def is_resting(rests: Rests, engine: str, now: float) -> bool:
    """Tell whether an engine wants nothing right now; a time that is over is forgotten."""
    if rests.until.get(engine, now) > now:
        return True
    rests.until.pop(engine, None)
    return False
