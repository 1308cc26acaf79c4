"""Decides which reports of full engines pass a hop, and to whom.

An entry box reports to its control box, which notifies all other control boxes and its own entry
boxes. A control box that is notified notifies its entry boxes only, so nothing circulates.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_BYTES_PER_SECOND: Final = 2000.0
"""Bandwidth limit of notices on a link, in bytes in any second. An eighth of the bandwidth for
control traffic of an entry box."""

WINDOW_SECONDS: Final = 1.0
"""Time over which that limit is enforced."""

MESSAGE_BYTES: Final = 20
"""Upper bound of the size of a message with one engine without the engine's name: length of the
frame, tag, and headers of arrays and strings."""


class NoticeThrottle(msgspec.Struct, kw_only=True):
    """Bounds the notices that one hop sends on each of its links, which all get the same."""

    interval: float
    """Minimum time between two notices on an engine, in seconds."""

    passed_at: dict[str, float] = msgspec.field(default_factory=dict)
    """When a notice on each engine last passed, on the monotonic clock, oldest first."""

    sent: deque[tuple[float, int]] = msgspec.field(default_factory=deque)
    """Monotonic time and size in bytes of the notices that passed within `WINDOW_SECONDS`."""

    sent_bytes: int = 0
    """Sum of those sizes."""

    dropped: int = 0
    """Notices that were dropped because of `MAX_BYTES_PER_SECOND`."""


def pass_notices(throttle: NoticeThrottle, instances: Iterable[str], now: float) -> tuple[str, ...]:
    """Return the engines whose notice passes now, and record that it does.

    Args:
        throttle: Notices that passed before.
        instances: Instances of the engines.
        now: Monotonic time.
    """
    _expire(throttle, now)
    return tuple(instance for instance in instances if _passes(throttle, instance, now))


def _passes(throttle: NoticeThrottle, instance: str, now: float) -> bool:
    if instance in throttle.passed_at:
        return False
    size = MESSAGE_BYTES + len(instance.encode())
    if throttle.sent_bytes + size > MAX_BYTES_PER_SECOND * WINDOW_SECONDS:
        throttle.dropped += 1
        return False
    throttle.passed_at[instance] = now
    throttle.sent.append((now, size))
    throttle.sent_bytes += size
    return True


def _expire(throttle: NoticeThrottle, now: float) -> None:
    """Forget what passed too long ago to bound anything."""
    while throttle.sent and now - throttle.sent[0][0] >= WINDOW_SECONDS:
        throttle.sent_bytes -= throttle.sent.popleft()[1]
    for instance, at in list(throttle.passed_at.items()):
        if now - at < throttle.interval:
            return
        del throttle.passed_at[instance]


class NoticeRelay(msgspec.Struct, kw_only=True):
    """Bounds the notices that a control box passes on."""

    to_controls: NoticeThrottle
    """Bounds the notices to other control boxes."""

    to_entries: NoticeThrottle
    """Bounds the notices to entry boxes."""


class NoticeFanOut(msgspec.Struct, frozen=True, kw_only=True):
    """Engines to announce."""

    to_controls: tuple[str, ...]
    """Instances to announce to the other control boxes."""

    to_entries: tuple[str, ...]
    """Instances to announce to the entry boxes that report to this control box."""


def build_relay(interval: float) -> NoticeRelay:
    """Return the relay of a control box.

    Args:
        interval: Minimum time between two notices on an engine, in seconds.
    """
    return NoticeRelay(
        to_controls=NoticeThrottle(interval=interval), to_entries=NoticeThrottle(interval=interval)
    )


def relay_notices(
    relay: NoticeRelay, instances: tuple[str, ...], now: float, *, from_control: bool
) -> NoticeFanOut:
    """Return what to announce of some full engines, and record that it is.

    Args:
        relay: State of this control box.
        instances: Instances of the engines.
        now: Monotonic time.
        from_control: Whether another control box announced them, rather than an entry box.
    """
    return NoticeFanOut(
        to_controls=() if from_control else pass_notices(relay.to_controls, instances, now),
        to_entries=pass_notices(relay.to_entries, instances, now),
    )
