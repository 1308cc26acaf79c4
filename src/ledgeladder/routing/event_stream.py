"""Splits server-sent event streams, so that only complete events in order are forwarded."""

from __future__ import annotations

import re
from typing import Final

import msgspec

EVENT_LIMIT_BYTES: Final = 256 * 1024
"""Maximum size of an event, with the comments before it; a larger one ends its attempt."""

_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_END_BYTES: Final = 4
_FIELD: Final = re.compile(rb"(?:^|\n|\r)[^:\r\n]")
"""Matches a line with a field, which makes a block an event; comment lines begin with a colon."""

_ID: Final = re.compile(rb"(?:^|\n|\r)id: ?(\d+)")


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One complete event."""

    event_id: int | None
    """Its id, or None if it has none."""

    data: bytes
    """The event as received, including the empty line that ends it."""


class EventBuffer(msgspec.Struct, kw_only=True):
    """Splits the bytes of one attempt into complete events."""

    pending: bytearray = msgspec.field(default_factory=bytearray)
    """Bytes after the last event: comments, and the incomplete block at the end."""

    block_start: int = 0
    """Where the incomplete block begins in `pending`."""

    searched: int = 0
    """Up to where `pending` has been searched for the end of that block."""

    @property
    def is_between_events(self) -> bool:
        """Whether no event is incomplete."""
        return self.block_start == len(self.pending)

    def feed(self, part: bytes) -> list[StreamEvent]:
        r"""Add bytes and return the events that they complete.

        Comments belong to the event that follows them, so that they count towards its size and are
        no progress of the stream.

        Args:
            part: Bytes from the upstream.

        Returns:
            Complete events in order.

        Raises:
            ValueError: If an event exceeds `EVENT_LIMIT_BYTES`.

        >>> buffer = EventBuffer()
        >>> buffer.feed(b"id: 1\ndata: a\n")
        []
        >>> [event.event_id for event in buffer.feed(b"\nid: 2\n\n")]
        [1, 2]
        """
        self.pending += part
        events: list[StreamEvent] = []
        start, block = 0, self.block_start
        for match in _END.finditer(self.pending, self.searched):
            is_event = _FIELD.search(bytes(self.pending[block : match.start()]))
            block = match.end()
            if not is_event:
                continue
            data = bytes(self.pending[start:block])
            start = block
            found = _ID.search(data)
            event_id = int(found.group(1)) if found else None
            events.append(StreamEvent(event_id=event_id, data=data))
        del self.pending[:start]
        self.block_start = block - start
        self.searched = max(self.block_start, len(self.pending) - _MAX_END_BYTES + 1)
        if len(self.pending) > EVENT_LIMIT_BYTES:
            raise ValueError(f"event of more than {EVENT_LIMIT_BYTES} bytes")
        return events


class EventOrder(msgspec.Struct, kw_only=True):
    """Position of the caller in a stream, across all of its attempts."""

    last_id: int | None
    """Id of the last event that the caller has; None before the first."""

    delivered: int = 0
    """Number of forwarded events."""


def accept_event(order: EventOrder, event: StreamEvent) -> bool | None:
    """Decide whether to forward the next event of an attempt.

    Ids ascend by one from that of the first event. An event without an id is always forwarded.

    Args:
        order: Position of the caller, which is advanced.
        event: The event.

    Returns:
        True if it is the next event, False if it is a duplicate, None if an event is missing before
        it, in which case the attempt must not be used.
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
    """Select the events of one chunk that are forwarded.

    Args:
        order: Position of the caller, which is advanced.
        events: Events in order.

    Returns:
        The events to forward, including those before a gap, which the position already counts; and
        a description of the gap, or an empty text.
    """
    accepted: list[bytes] = []
    for event in events:
        verdict = accept_event(order, event)
        if verdict is None:
            return accepted, f"event {event.event_id} after {order.last_id}"
        if verdict:
            accepted.append(event.data)
    return accepted, ""
