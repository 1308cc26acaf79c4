"""Sound answers on the own interface that end at any of their bytes, by a close or a reset."""

from __future__ import annotations

import pytest

from ledgeladder.model import EXECUTION_HEADER, Execution
from ledgeladder.upstreams.engine import EngineLostError, EngineUnreachableError
from ledgeladder.upstreams.service import ServiceCallError

from .odd_server import call_server, generate, serve

BODY = b"the body"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
REFUSES = f"{EXECUTION_HEADER}: {Execution.NOT_RUN.value}\r\n".encode()
HEAD_END = b"\r\n\r\n"

ANSWERS = {
    "with a length": HEAD + b"Content-Length: 8\r\n\r\n" + BODY,
    "in chunks": HEAD + CHUNKED + b"\r\n8\r\n" + BODY + b"\r\n0\r\n\r\n",
    "until the end": HEAD + b"Connection: close\r\n\r\n" + BODY,
    "refusal": b"HTTP/1.1 503 Full\r\n" + REFUSES + b"Content-Length: 0\r\n\r\n",
    "without a body": b"HTTP/1.1 204 No Content\r\n\r\n",
}


def proved_at(name: str) -> int:
    """Return from how many bytes on an answer may be taken for what it is, if it is closed then."""
    data = ANSWERS[name]
    if name == "until the end":
        return data.index(HEAD_END) + len(HEAD_END) + 1
    return len(data)


@pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
@pytest.mark.parametrize("name", ANSWERS)
def test_cut_answer_of_a_service_is_neither_whole_nor_a_promise(name: str, *, resets: bool) -> None:
    """Failure: a caller got a 200 with an empty body, framed as whole."""
    for cut in range(proved_at(name)):
        with pytest.raises(ServiceCallError) as raised:
            call_server(ANSWERS[name][:cut], serve, resets=resets)
        assert raised.value.execution is Execution.UNKNOWN, cut


@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"], ids=["CRLF", "LF"])
def test_head_that_ends_early_on_an_empty_line_is_no_answer(line_end: bytes) -> None:
    """Failure: the fields that frame a body were missing, and an empty body counted as whole."""
    lines = HEAD.rstrip().split(b"\r\n")
    for count in range(len(lines) + 1):
        with pytest.raises(ServiceCallError) as raised:
            call_server(line_end.join([*lines[:count], b"", b""]), serve)
        assert raised.value.execution is Execution.UNKNOWN


@pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
@pytest.mark.parametrize("framing", [CHUNKED, b"Connection: close\r\n"], ids=["chunks", "close"])
def test_cut_generation_has_no_last_frame(framing: bytes, *, resets: bool) -> None:
    """Failure: a generation that broke off in its head counted as refused or as whole."""
    data = HEAD + framing + b"\r\n"
    for cut in range(len(data) + 1):
        try:
            assert call_server(data[:cut], generate, resets=resets) == []
        except EngineLostError as error:
            assert not isinstance(error, EngineUnreachableError), cut


@pytest.mark.parametrize("name", ["with a length", "in chunks", "until the end"])
def test_whole_answer_of_a_service_is_returned(name: str) -> None:
    answer = call_server(ANSWERS[name], serve)
    assert (answer.status, answer.body) == (200, BODY)


def test_answer_without_a_body_needs_no_length() -> None:
    assert call_server(ANSWERS["without a body"], serve).status == 204
