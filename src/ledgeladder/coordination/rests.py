"""Back-off that engines requested from a control box. It sends them no order until that ends."""

from __future__ import annotations

import msgspec


class Backoffs(msgspec.Struct, kw_only=True):
    """When the back-off of each engine ends."""

    until: dict[str, float] = msgspec.field(default_factory=dict)
    """Monotonic times by engine. An expired entry is removed when it is next checked."""


def record_backoff(backoffs: Backoffs, engine: str, seconds: float, now: float) -> None:
    """Record that an engine requested back-off; a shorter request never shortens an earlier one."""
    backoffs.until[engine] = max(now + seconds, backoffs.until.get(engine, now))


def is_backing_off(backoffs: Backoffs, engine: str, now: float) -> bool:
    """Return whether an engine is backing off, and remove its entry if it has expired."""
    if backoffs.until.get(engine, now) > now:
        return True
    backoffs.until.pop(engine, None)
    return False
