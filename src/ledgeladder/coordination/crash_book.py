"""Contents of requests under which upstreams ended, and when one of them is to blame.

An upstream that ends takes every request on it along, and nothing tells which of them did it. One
request that is on each upstream that ends is to blame; others are so by chance, or since they were
sent on to the same upstream as the one that is, so that several ends are needed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

CRASH_LIMIT: Final = 3
"""Upstreams that may end under one content. At 39 streams a second over 10 engines, a content to
blame takes 0.1 innocent ones along, and where an engine ends by chance every 2 s, 6 innocent
requests in 10,000 are refused. With two ends it is 1.9, and 110 in 10,000; with four none, but each
further end cuts another 14 streams (`tests/routing/crash_bed.py`, 10 seeds of 40 s)."""

SINGLES_REMEMBERED: Final = 4096
"""Contents with one end that are kept, the newest: all requests of a failure domain that is lost at
6,500 requests a second, of which each lasts two seconds, twice over. They take 0.56 MB."""

SUSPECTS_REMEMBERED: Final = 1024
"""Contents with several ends that are kept, the newest. Losses by chance make a handful a day."""


class CrashBook(msgspec.Struct, kw_only=True):
    """Ends of upstreams by the content of the requests that were on them."""

    singles: dict[bytes, str] = msgspec.field(default_factory=dict)
    """The run of an upstream that ended, by content, where there is only one; oldest first."""

    suspects: dict[bytes, set[str]] = msgspec.field(default_factory=dict)
    """The runs of upstreams that ended, by content, where there are several; oldest first."""


def note_end(book: CrashBook, content: bytes, instance: str) -> bool:
    """Note that an upstream ended while a request was on it.

    Args:
        book: The book.
        content: Mark of the request's content.
        instance: Run of the upstream; one that ends under several attempts counts once.

    Returns:
        True if it was not known.
    """
    ends = book.suspects.get(content)
    if ends is not None:
        if instance in ends:
            return False
        ends.add(instance)
        return True
    single = book.singles.get(content)
    if single is None:
        book.singles[content] = instance
        _forget_oldest(book.singles, SINGLES_REMEMBERED)
        return True
    if single == instance:
        return False
    del book.singles[content]
    book.suspects[content] = {single, instance}
    _forget_oldest(book.suspects, SUSPECTS_REMEMBERED)
    return True


def _forget_oldest(kept: dict[bytes, str] | dict[bytes, set[str]], most: int) -> None:
    while len(kept) > most:
        del kept[next(iter(kept))]


def count_ends(book: CrashBook, content: bytes) -> int:
    """Return how many upstreams ended under a content."""
    if content in book.suspects:
        return len(book.suspects[content])
    return 1 if content in book.singles else 0


def forget_content(book: CrashBook, content: bytes) -> bool:
    """Forget the ends under a content: it was answered, so that others were to blame.

    Returns:
        False if none was known.
    """
    single = book.singles.pop(content, None)
    several = book.suspects.pop(content, None)
    return single is not None or several is not None


def blamed_contents(book: CrashBook, has_ended: Callable[[str], bool]) -> Iterator[bytes]:
    """Yield the contents that are to blame.

    Args:
        book: The book.
        has_ended: Tells whether a run of an upstream has ended for certain. A box behind a cut that
            refuses connections takes every upstream beyond it for ended.
    """
    for content, ends in book.suspects.items():
        if len(ends) >= CRASH_LIMIT and sum(map(has_ended, ends)) >= CRASH_LIMIT:
            yield content
