"""Services of the own interface that send bytes that are no whole answer, through a real entry."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator

import httpx
import pytest

from standins.fleet import Fleet, wait_until
from standins.keys import new_key

from .callers import KEY

ENTRY = "entry-a1"
REFUSES = "Ledgeladder-Execution: not-run\r\n"
HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
EMPTY = "Content-Length: 0\r\n\r\n"

BROKEN = {
    "status 000": f"HTTP/1.1 000 X\r\n{EMPTY}",
    "status 600": f"HTTP/1.1 600 X\r\n{EMPTY}",
    "status 999": f"HTTP/1.1 999 X\r\n{EMPTY}",
    "status 999, not run": f"HTTP/1.1 999 X\r\n{REFUSES}{EMPTY}",
    "no bytes": "",
    "part of a head": HEAD,
    "part of a refusal": f"HTTP/1.1 503 Full\r\n{REFUSES}",
    "no frame": f"{HEAD}\r\n",
    "no frame, line feeds": f"{HEAD}\r\n".replace("\r\n", "\n"),
    "short of its length": f"{HEAD}Content-Length: 9\r\n\r\npart",
    "no last chunk": f"{HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
}


class OddService:
    """Listens in place of a service, and answers each request with the same bytes."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.data = b""
        self.received: list[bytes] = []
        self.listener = socket.create_server((host, int(port)))
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self) -> None:
        """Serve one connection after the other until the listener is closed."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                connection.settimeout(1.0)
                try:
                    self.received.append(connection.recv(65536))
                    connection.sendall(self.data)
                except OSError:
                    continue

    def close(self) -> None:
        """Stop listening."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.thread.join(10)


@pytest.fixture(scope="module")
def services(fleet: Fleet) -> Iterator[list[OddService]]:
    """Servers that stand in the place of all services."""
    names = [name for name in fleet.processes if name.startswith("service-")]
    for name in names:
        fleet.kill(name)
    standing = [OddService(fleet.processes[name].command[-1]) for name in names]
    yield standing
    for service in standing:
        service.close()
    for name in names:
        fleet.launch(name)


def send(fleet: Fleet, word: str, *, once: bool) -> httpx.Response:
    fields = {"idempotency-key": word, "ledgeladder-repeatable": "no"} if once else {}
    url = f"{fleet.url(ENTRY)}/v1/services/previews/work"
    return fleet.client.post(url, content=word, headers=KEY | fields, timeout=30)


@pytest.mark.parametrize("answer", BROKEN)
@pytest.mark.parametrize("once", [True, False], ids=["once", "repeatable"])
def test_caller_gets_neither_the_answer_nor_an_unproved_promise(
    fleet: Fleet, services: list[OddService], answer: str, *, once: bool
) -> None:
    """Failure: odd bytes of a service reached a caller as its answer."""
    for service in services:
        service.data = BROKEN[answer].encode()
    arrived: list[bytes] = []
    response: httpx.Response | None = None

    def arrives() -> bool:
        """Send a request; services that failed get none for a while."""
        nonlocal arrived, response
        word = new_key()
        response = send(fleet, word, once=once)
        arrived = [
            data for service in services for data in service.received if word.encode() in data
        ]
        return bool(arrived)

    wait_until(arrives, 20, "a request that reaches a service")
    assert response is not None
    assert response.status_code in {500, 502, 503, 504}, response.text
    assert response.headers["ledgeladder-execution"] != "not-run"
    if once:
        assert len(arrived) == 1
