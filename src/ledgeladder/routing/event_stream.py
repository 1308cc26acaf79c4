"""Server-sent events, passed on whole: a broken one never reaches the caller."""

from __future__ import annotations

import re
from typing import Final

import msgspec

EVENT_LIMIT_BYTES: Final = 1024 * 1024
"""Longest event that is waited for; a longer one ends its run."""

_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID: Final = re.compile(rb"(?:^|\n|\r)id: ?(\d+)")


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One whole event."""

    event_id: int | None
    """Its id, or None if it has none."""

    data: bytes
    """The event as it was received, with the empty line that ends it."""


class EventBuffer(msgspec.Struct, kw_only=True):
    """Cuts the bytes of one run into whole events."""

    pending: bytes = b""
    """Bytes of an event that is not complete."""

    def feed(self, part: bytes) -> list[StreamEvent]:
        r"""Take in bytes and return the events that became complete.

        Args:
            part: Bytes from the upstream.

        Returns:
            Whole events in order.

        Raises:
            ValueError: If an event grows too long.

        >>> buffer = EventBuffer()
        >>> buffer.feed(b"id: 1\ndata: a\n")
        []
        >>> [event.event_id for event in buffer.feed(b"\nid: 2\n\n")]
        [1, 2]
        """
        pending = self.pending + part
        events: list[StreamEvent] = []
        start = 0
        for match in _END.finditer(pending):
            data = pending[start : match.end()]
            start = match.end()
            found = _ID.search(data)
            event_id = int(found.group(1)) if found else None
            events.append(StreamEvent(event_id=event_id, data=data))
        self.pending = pending[start:]
        if len(self.pending) > EVENT_LIMIT_BYTES:
            raise ValueError("event too long")
        return events


class EventOrder(msgspec.Struct, kw_only=True):
    """Position of the caller in a stream, over all of its runs."""

    last_id: int | None
    """Id of the last event that the caller has; None before the first."""

    delivered: int = 0
    """Events that were passed on."""


def accept_event(order: EventOrder, event: StreamEvent) -> bool | None:
    """Judge the next event of a run.

    Ids count up by one. The first event that the caller gets may have any; an event without an id
    is always passed on, since nothing tells whether the caller has it.

    Args:
        order: Position of the caller, which is moved.
        event: The event.

    Returns:
        True if it is the next one, False if the caller has it already, None if one is missing in
        between, so that the run cannot be used.
    """
    if event.event_id is None:
        order.delivered += 1
        return True
    if order.last_id is not None:
        if event.event_id <= order.last_id:
            return False
        if event.event_id != order.last_id + 1:
            return None
    order.last_id = event.event_id
    order.delivered += 1
    return True


def accept_events(order: EventOrder, events: list[StreamEvent]) -> tuple[list[bytes], str]:
    """Judge the events of one part.

    Args:
        order: Position of the caller, which is moved.
        events: Events in order.

    Returns:
        The events to pass on, also those before one that cannot be used, since the position counts
        them already; and what is wrong with the first that cannot be used, or an empty text.
    """
    accepted: list[bytes] = []
    for event in events:
        verdict = accept_event(order, event)
        if verdict is None:
            return accepted, f"event {event.event_id} after {order.last_id}"
        if verdict:
            accepted.append(event.data)
    return accepted, ""
