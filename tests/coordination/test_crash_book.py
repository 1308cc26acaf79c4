"""Contents under which upstreams ended."""

from __future__ import annotations

from ledgeladder.coordination.crash_book import (
    CRASH_LIMIT,
    SINGLES_REMEMBERED,
    SUSPECTS_REMEMBERED,
    CrashBook,
    blamed_contents,
    count_ends,
    forget_content,
    note_end,
)

CONTENT = b"content"


def book_with(ends: int) -> CrashBook:
    book = CrashBook()
    for number in range(ends):
        assert note_end(book, CONTENT, f"i-{number}")
    return book


def blamed(book: CrashBook, alive: set[str]) -> list[bytes]:
    return list(blamed_contents(book, lambda instance: instance not in alive))


def test_content_is_to_blame_once_enough_upstreams_ended_for_certain() -> None:
    for ends in range(CRASH_LIMIT):
        assert blamed(book_with(ends), set()) == []
    book = book_with(CRASH_LIMIT)
    assert blamed(book, set()) == [CONTENT]
    # A box behind a cut that refuses connections says so of upstreams that go on.
    assert blamed(book, {"i-0"}) == []


def test_one_upstream_counts_once_for_a_content() -> None:
    book = book_with(1)
    assert not note_end(book, CONTENT, "i-0")
    assert note_end(book, CONTENT, "i-1")
    assert not note_end(book, CONTENT, "i-1")
    assert count_ends(book, CONTENT) == 2


def test_answered_content_is_forgotten() -> None:
    for ends in (1, 2):
        book = book_with(ends)
        assert forget_content(book, CONTENT)
        assert count_ends(book, CONTENT) == 0
        assert not forget_content(book, CONTENT)


def test_loss_of_a_whole_failure_domain_does_not_push_suspects_out() -> None:
    """The load: thousands of requests that are cut at once, each a content with one end."""
    book = book_with(2)
    for number in range(3 * SINGLES_REMEMBERED):
        note_end(book, number.to_bytes(8, "big"), "i-domain")
    assert len(book.singles) == SINGLES_REMEMBERED
    assert count_ends(book, CONTENT) == 2
    for number in range(2 * SINGLES_REMEMBERED, 3 * SINGLES_REMEMBERED):
        note_end(book, number.to_bytes(8, "big"), "i-second")
    assert len(book.suspects) == SUSPECTS_REMEMBERED
