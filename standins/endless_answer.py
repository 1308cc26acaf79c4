"""A server in trouble: it sends bytes without end in a given part of its answer."""

from __future__ import annotations

from typing import Final, NamedTuple

import anyio
from anyio.abc import SocketStream

PIECE_BYTES: Final = 16 * 1024
"""Size of one write of a fast server."""

SLOW_SECONDS: Final = 0.02
"""Time between two bytes of a slow server."""


class EndlessAnswer(NamedTuple):
    """What is sent once, and what is then repeated until the caller closes the connection."""

    start: bytes
    repeated: bytes


def endless_answers(attempt: str, whole: bytes) -> dict[str, EndlessAnswer]:
    """Return an answer for each of its parts that may have no end.

    Args:
        attempt: Id of the request's attempt.
        whole: A whole answer, for bytes after it.
    """
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nReplica-Seal: s\r\n".encode()
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    return {
        "status line": EndlessAnswer(b"HTTP/1.1 200 ", b"O"),
        "header fields": EndlessAnswer(head, b"X-More: 1\r\n"),
        "body with a length": EndlessAnswer(head + b"Content-Length: 99999999999\r\n\r\n", b"x"),
        "body until the end": EndlessAnswer(head + b"\r\n", b"x"),
        "chunks": EndlessAnswer(chunked, b"1\r\nx\r\n"),
        "chunk extension": EndlessAnswer(chunked + b"1;", b"x"),
        "chunk extensions": EndlessAnswer(chunked, b"1;" + b"x" * 1000 + b"\r\nx\r\n"),
        "trailer": EndlessAnswer(chunked + b"0\r\n", b"X-More: 1\r\n"),
        "interim answers": EndlessAnswer(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        "one event": EndlessAnswer(chunked + b"6\r\ndata: \r\n", b"1\r\nx\r\n"),
        "comments": EndlessAnswer(chunked, b"5\r\n: x\n\n\r\n"),
        "after the answer": EndlessAnswer(whole, b"x"),
    }


class EndlessServer:
    """Sends one such answer on each connection on which a request arrives."""

    def __init__(self, answer: EndlessAnswer, *, slow: bool) -> None:
        self.answer = answer
        self.slow = slow
        self.sent_bytes = 0
        self.closed = anyio.Event()

    async def send(self, connection: SocketStream) -> None:
        """Send until the caller closes the connection."""
        start, repeated = self.answer
        if not self.slow:
            repeated *= max(1, PIECE_BYTES // len(repeated))
        try:
            await connection.send(start)
            while True:
                await connection.send(repeated)
                self.sent_bytes += len(repeated)
                if self.slow:
                    await anyio.sleep(SLOW_SECONDS)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.closed.set()
