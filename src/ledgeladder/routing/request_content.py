"""A mark of what a request asks, by which one that comes again is known at every box.

Each attempt of a caller carries another id, so that ids tell nothing of requests that come again.
"""

from __future__ import annotations

import hashlib
from typing import Final

MARK_BYTES: Final = 8
"""Length of a mark. Of 4,096 marks that are remembered, one in 4e15 requests matches by chance."""


def mark_content(caller: str, method: bytes, target: bytes, body: bytes) -> bytes:
    """Return the mark of a request: the same for each attempt, at every box.

    Args:
        caller: Client account, or the caller's key where it has none.
        method: Method.
        target: Path and query.
        body: The body, in full. Hashing 800 bytes takes 2 microseconds, 4 MB 5 ms, so that marks
            are made only of requests that something was noted of.

    >>> mark_content("a", b"GET", b"/x", b"") == mark_content("b", b"GET", b"/x", b"")
    False
    """
    digest = hashlib.blake2b(digest_size=MARK_BYTES)
    for part in (caller.encode(), method, target):
        # Lengths keep parts from running into each other.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.digest()
