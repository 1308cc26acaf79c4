"""Decides which requests a box still sends to upstreams once a planned stop has begun.

A request that is sent must be answered before the stop ends, so only those are sent that can be.
The others are refused as not run, and another box can serve them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from .pace import Pace

STOP_MARGIN_SECONDS: Final = 0.4
"""Time before the end of a planned stop at which requests in progress are ended with an answer."""

EXIT_MARGIN_SECONDS: Final = 0.2
"""Time before the end of a planned stop at which those answers are no longer waited for."""

USUAL_DEVIATIONS: Final = 4.0
"""Mean deviations above the mean that usual times stay below, as in TCP's retransmission timeout
(RFC 6298)."""


class StopWindow(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a planned stop, on the monotonic clock."""

    refuses_at: float
    """When the listener closes, and a gateway refuses all further requests."""

    ends_at: float
    """When requests in progress are ended with an answer."""

    exits_at: float
    """When the process exits at the latest."""


def plan_stop(now: float, seconds: float, *, notice_seconds: float) -> StopWindow:
    """Return the times of a planned stop.

    Args:
        now: When it begins, on the monotonic clock.
        seconds: How long it may take.
        notice_seconds: How long new connections are still served.
    """
    ends_at = now + max(0.0, seconds - STOP_MARGIN_SECONDS)
    return StopWindow(
        refuses_at=min(now + notice_seconds, ends_at),
        ends_at=ends_at,
        exits_at=max(ends_at, now + seconds - EXIT_MARGIN_SECONDS),
    )


def explain_unsendable(
    window: StopWindow | None,
    now: float,
    *,
    deadline: float,
    may_repeat: bool,
    usual_seconds: float,
) -> str:
    """Return why a request must not be sent to an upstream; empty if it may be.

    Args:
        window: Times of the planned stop; None before one.
        now: The monotonic time.
        deadline: When the request's final answer is due, on the monotonic clock.
        may_repeat: Whether it may be sent again although it may have run. One that is ended by the
            stop can then be served by another box, so that its usual time decides.
        usual_seconds: Time within which such requests are usually answered, in seconds.
    """
    if window is None or deadline <= window.ends_at:
        return ""
    left = max(0.0, window.ends_at - now)
    if not may_repeat:
        return f"the box stops: the request may run once only and may outlast {left:.2f} s"
    if now + usual_seconds > window.ends_at:
        return f"the box stops: such requests usually take {usual_seconds:.2f} s of {left:.2f} s"
    return ""


def usual_time(pace: Pace, target_latency: float) -> float:
    """Return the time within which requests are usually answered, in seconds.

    Args:
        pace: Their answer times.
        target_latency: Target latency of their route, in seconds, used as the minimum.
    """
    return max(target_latency, pace.mean + USUAL_DEVIATIONS * pace.deviation)
