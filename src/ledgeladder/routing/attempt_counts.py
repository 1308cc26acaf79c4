"""Counts the attempts of one request, and tells whether an upstream may have run it."""

from __future__ import annotations

import msgspec


class AttemptCounts(msgspec.Struct, kw_only=True):
    """Attempts of one request by how they ended.

    No count ever decreases. How often the request may still be sent depends on `counted`, from
    which some lost attempts are left out; whether it may have run depends on `may_have_run`, for
    which every attempt matters that no upstream refused.

    >>> counts = AttemptCounts()
    >>> counts.record_sent()
    >>> counts.record_forgiven()
    >>> counts.counted, counts.may_have_run
    (0, True)
    """

    sent: int = 0
    """Attempts whose request an upstream may have received, including the current one."""

    refused: int = 0
    """Sent attempts whose upstream stated that it did not run the request."""

    forgiven: int = 0
    """Sent attempts that do not count towards a route's `max_attempts`, as their first upstream
    exited."""

    @property
    def counted(self) -> int:
        """Number of attempts that count towards a route's `max_attempts`."""
        return self.sent - self.refused - self.forgiven

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, or a part of it."""
        return self.sent > self.refused

    def record_sent(self) -> None:
        """Record that the request is about to be written to an upstream."""
        self.sent += 1

    def record_refused(self) -> None:
        """Record that the upstream of the current attempt stated that it did not run it."""
        self.refused += 1

    def record_forgiven(self) -> None:
        """Record that the first upstream of the current attempt exited."""
        self.forgiven += 1
