"""Answers on the own interface whose status is none."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import httpx
import pytest

from ledgeladder.model import EXECUTION_HEADER, Execution
from ledgeladder.upstreams.engine import (
    EngineLostError,
    EngineUnreachableError,
    is_live,
    read_load,
    send_order,
)
from ledgeladder.upstreams.service import ServiceCallError

from .odd_server import ORDER, call_server, generate, serve

STATUSES = ["000", "099", "100", "101", "199", "600", "999", "2OO", "20", "2000", "-20", ""]
LOAD = b'{"running":1}'
FIELDS = b"Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n" % len(LOAD) + LOAD
REFUSES = f"{EXECUTION_HEADER}: {Execution.NOT_RUN.value}\r\n".encode()

SHORT_CALLS: dict[str, Callable[[httpx.AsyncClient, str], Awaitable[object]]] = {
    "probe": is_live,
    "load": read_load,
    "order": lambda client, address: send_order(client, address, ORDER),
}


def answer(status: str, fields: bytes = FIELDS) -> bytes:
    return b"HTTP/1.1 %s X\r\n" % status.encode() + fields


@pytest.mark.parametrize("refuses", [b"", REFUSES], ids=["answers", "refuses"])
@pytest.mark.parametrize("status", STATUSES)
def test_service_call_may_have_run(status: str, refuses: bytes) -> None:
    """Failure: the caller got the status 600 or 999, or was told with it that nothing was run."""
    with pytest.raises(ServiceCallError) as raised:
        call_server(answer(status, refuses + FIELDS), serve)
    assert raised.value.execution is Execution.UNKNOWN


@pytest.mark.parametrize("status", STATUSES)
def test_generation_is_lost(status: str) -> None:
    """Failure: a request that may have run counts as refused or as never sent."""
    with pytest.raises(EngineLostError) as raised:
        call_server(answer(status), generate)
    assert not isinstance(raised.value, EngineUnreachableError)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("name", SHORT_CALLS)
def test_short_call_has_no_answer(name: str, status: str) -> None:
    """Failure: a load report was read from an answer with the status 600 or 999."""
    assert not call_server(answer(status), SHORT_CALLS[name])
