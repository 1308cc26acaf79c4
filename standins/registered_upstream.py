"""A stand-in upstream that registers itself, accepts orders and serves requests.

Run as `python -m standins.registered_upstream --help`. Every execution of a request is appended to
a ledger file, which lets tests check what upstreams really received.
"""

from __future__ import annotations

import argparse
import json
import os
import secrets
import signal
import socket
import struct
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

import anyio
import httpx
import uvloop
from anyio.abc import SocketAttribute, SocketStream

from ledgeladder.http1 import Exchange, HttpRequest, HttpSite, serve_listener
from ledgeladder.links import AcceptQueue, listen_tcp
from ledgeladder.model import Problem

from .endless_answer import EndlessServer, endless_answers
from .packet_filter import drop_from

LAYER_MB = 1000.0
"""Memory of one layer, in megabytes."""

ACCELERATOR_MB = {"big": 12000.0, "small": 7000.0}
"""Memory of each type of accelerator, in megabytes."""

EVENT_SECONDS = 0.02
"""Time between two events of a stream."""

STALL_SECONDS = 3.0
"""How long the first engine of a path stalls before it breaks off, once another engine is lost."""

CRASH_SECONDS = 0.05
"""Time from the start of a request to the crash that it causes."""

STEP_REQUEST = b"GET /step HTTP/1.1\r\nHost: x\r\n\r\n"
"""What the first engine of a path sends to each later one for each event, if they run in step."""

UNBOUNDED_SLOTS = 8
"""Slots in heartbeats and responses of an upstream without a bound."""

DRAIN_SECONDS = 2.5
"""Time between the announcement of a planned exit and the exit."""


@dataclass(kw_only=True)
class StandIn:
    """Options and state of one upstream."""

    address: str
    """Advertised address as `host:port`, which may be a proxy."""

    listen: str
    """Listening address as `host:port`."""

    pool: str
    """Pool that it registers in."""

    zone: str
    """Failure domain in its heartbeats."""

    card: str
    """Type of its accelerator; empty for a plain service."""

    controls: list[str]
    """Control boxes that it registers with, as `host:port`; tried in this order."""

    ledger: Path
    """File of its events, which is kept when the process exits."""

    seconds: float
    """Duration of a plain request."""

    fail_share: float = 0.0
    """Share of plain requests that are executed and answered with status 500."""

    crash_word: str = ""
    """Word in the body of a request that crashes the process while it executes it; empty for
    none."""

    crash_part: str = ""
    """Id of a prompt's part that crashes the process when it begins to write an answer; empty for
    none."""

    mood: Path | None = None
    """File that controls its responses: a JSON object with `rest`, the `Retry-After` of refusals
    while all requests are refused, `rest_of_calls`, the same for reports and orders, `leaving`,
    true to announce draining, `limit`, the announced requests a second, `seconds`, the duration of
    a plain request, `unframed`, how answers with neither a length nor chunks end (`whole`, `inside`
    or `reset`), and `raw`, the bytes that are sent in answer to an executed request, with `ATTEMPT`
    for its id, before the connection is closed (or reset with `resets`). Read for each request;
    without the file it serves normally."""

    instance: str = ""
    """Instance id; random for each process unless it is kept over restarts."""

    born: int = 0
    """Start of the process in milliseconds since 1970; 0 to leave it out of heartbeats."""

    unreachable_from: list[str] = field(default_factory=list)
    """IP addresses of hosts that are cut off from it."""

    sequence: int = 0
    """Sequence number of the newest heartbeat."""

    state: str = "ready"
    """State in its heartbeats."""

    layers: tuple[int, int] | None = None
    """First layer that it holds and one past the last; None before the first order."""

    fence: int = 0
    """Highest term of an accepted order."""

    checks_fences: bool = True
    """False to accept orders of earlier terms."""

    orders_accepted: int = 0
    """Number of accepted orders."""

    in_progress: int = 0
    """Plain requests in progress."""

    heartbeat_ms: float = 300.0
    """Time between heartbeats, in milliseconds, as in the settings of the boxes."""

    in_step: bool = False
    """Whether each event of a stream waits for all later engines of its path, so that one of them
    that is suspended holds the stream up."""

    backlog: int = 0
    """Connections that its kernel accepts before the process does; further ones hang. 0 for the
    usual number."""

    slots: int = 0
    """Streams that it runs at once as the first engine of their path; further ones are refused as
    not run. 0 for no bound."""

    streams: int = 0
    """Streams in progress as the first engine of their path."""

    def record(self, event: str, **facts: Any) -> None:
        """Append an event to the ledger."""
        line = {"event": event, "upstream": self.instance, "at": time.time(), **facts}
        with self.ledger.open("a") as file:
            file.write(json.dumps(line) + "\n")


def read_response_mode(upstream: StandIn) -> dict[str, Any]:
    """Return the current contents of the response mode file."""
    if upstream.mood is None or not upstream.mood.exists():
        return {}
    mode: dict[str, Any] = json.loads(upstream.mood.read_text())
    return mode


def heartbeat_body(upstream: StandIn) -> dict[str, Any]:
    """Return the body of the next heartbeat."""
    upstream.sequence += 1
    body: dict[str, Any] = {
        "service": upstream.pool,
        "address": upstream.address,
        "zone": upstream.zone,
        "version": "v1",
        "slots": upstream.slots or UNBOUNDED_SLOTS,
        "state": upstream.state,
        "coldRemainingMs": 0,
        "sequence": upstream.sequence,
    }
    if upstream.born:
        body["born"] = upstream.born
    if upstream.card:
        layers = upstream.layers
        body["routeType"] = upstream.card
        body["layers"] = layers and {"from": layers[0], "targetVersion": layers[1], "version": 1}
    return body


async def call_control(upstream: StandIn, method: str, body: Any) -> bool:
    """Call the control boxes in order until one acknowledges; returns True if one did."""
    async with httpx.AsyncClient(timeout=1.0, trust_env=False) as client:
        for control in upstream.controls:
            url = f"http://{control}/api/replicas/{upstream.instance}"
            try:
                answer = await client.request(method, url, json=body)
            except httpx.HTTPError:
                continue
            if answer.is_success:
                return True
    return False


async def send_heartbeats(upstream: StandIn) -> None:
    """Send heartbeats until cancelled."""
    while True:
        await call_control(upstream, "PUT", heartbeat_body(upstream))
        await anyio.sleep(upstream.heartbeat_ms / 1000)


def load_header(upstream: StandIn) -> bytes:
    """Return the load in responses; streams count only if their number is bounded."""
    if upstream.slots:
        return f"{upstream.in_progress + upstream.streams},0,{upstream.slots}".encode()
    return f"{upstream.in_progress},0,{UNBOUNDED_SLOTS}".encode()


def response_headers(upstream: StandIn, request: HttpRequest) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a response to an executed request."""
    attempt = request.fields.get(b"attempt-id", b"")
    mode = read_response_mode(upstream)
    draining = [(b"Server-Leaving", b"1")] if mode.get("leaving") else []
    rate_limit = [(b"Server-Limit", mode["limit"].encode())] if "limit" in mode else []
    return [
        (b"Attempt-Id", attempt),
        (b"Replica-Seal", f"{upstream.instance}.{attempt.decode()}".encode()),
        (b"Replica-Load", load_header(upstream)),
        *draining,
        *rate_limit,
    ]


async def refuse_for_backoff(
    upstream: StandIn, request: HttpRequest, exchange: Exchange, *, to_control: bool = False
) -> bool:
    """Refuse a request, or a call from a control box, during a back-off; returns True then."""
    backoff = read_response_mode(upstream).get("rest_of_calls" if to_control else "rest")
    if backoff is None:
        return False
    attempt = request.fields.get(b"attempt-id", b"")
    upstream.record("refused", id=attempt.decode(), pool=upstream.pool)
    headers = [(b"Attempt-Id", attempt), (b"Not-Executed", b"1")]
    headers += [(b"Retry-After", backoff.encode())] if backoff else []
    await exchange.answer(503, headers, b"")
    return True


async def crash_on_word(upstream: StandIn, request: HttpRequest) -> None:
    """Exit without notice if the body of a request contains the crash word."""
    if upstream.crash_word and upstream.crash_word.encode() in request.body:
        await anyio.sleep(CRASH_SECONDS)
        upstream.record("crash")
        os._exit(1)


async def crash_on_part(upstream: StandIn, request: HttpRequest) -> None:
    """Exit without notice if the prompt of a request has the part that crashes the process."""
    parts = request.fields.get(b"prompt-prefix", b"").decode("latin-1").split(",")
    ids = [part.partition(":")[0] for part in parts[:-1]]
    if upstream.crash_part and upstream.crash_part in ids:
        await anyio.sleep(CRASH_SECONDS)
        upstream.record("crash", part=upstream.crash_part)
        os._exit(1)


async def answer_in_trouble(upstream: StandIn, request: HttpRequest, exchange: Exchange) -> bool:
    """Execute a request whose query asks for an unusual answer; returns True then.

    `endless` names a part of the answer that never ends, `answer_bytes` is the size of a plain
    answer, and `event_bytes` the size of each event of a stream that never ends.
    """
    asked = dict(parse_qsl(request.target.decode("latin-1").partition("?")[2]))
    if not asked.keys() & {"endless", "answer_bytes", "event_bytes"}:
        return False
    record_run(upstream, request)
    headers = response_headers(upstream, request)
    if "endless" in asked:
        attempt = request.fields.get(b"attempt-id", b"").decode()
        answer = endless_answers(attempt, b"")[asked["endless"]]
        await EndlessServer(answer, slow=False).send(exchange.stream)
    elif "answer_bytes" in asked:
        await exchange.answer(200, headers, b"x" * int(asked["answer_bytes"]))
    else:
        padding = b": " + b"x" * int(asked["event_bytes"]) + b"\n"
        await exchange.begin(200, [*headers, (b"Content-Type", b"text/event-stream")], b"")
        number = 0
        while True:
            await exchange.send(padding + stream_event(number))
            number += 1
    return True


async def answer_plain(upstream: StandIn, request: HttpRequest, exchange: Exchange) -> None:
    """Execute a plain request."""
    if await answer_in_trouble(upstream, request, exchange):
        return
    record_run(upstream, request)
    await crash_on_word(upstream, request)
    upstream.in_progress += 1
    try:
        await anyio.sleep(read_response_mode(upstream).get("seconds", upstream.seconds))
    finally:
        upstream.in_progress -= 1
    if await answer_raw(upstream, request, exchange):
        return
    headers = [*response_headers(upstream, request), (b"Content-Type", b"text/plain")]
    unframed = read_response_mode(upstream).get("unframed")
    if unframed:
        await send_unframed(exchange, headers, [b"echo:", request.body], unframed)
        return
    failed = secrets.randbelow(1000) < upstream.fail_share * 1000
    await exchange.answer(500 if failed else 200, headers, b"echo:" + request.body)


async def send_unframed(
    exchange: Exchange, headers: list[tuple[bytes, bytes]], parts: list[bytes], end: str
) -> None:
    """Send an answer with neither a length nor chunks, which ends with its connection.

    Args:
        exchange: The exchange.
        headers: Header fields.
        parts: The body.
        end: `whole`; `inside` to close within the last part; or `reset` to reset there.
    """
    head = b"".join(b"%s: %s\r\n" % field for field in headers)
    await exchange.stream.send(b"HTTP/1.1 200 OK\r\n" + head + b"Connection: close\r\n\r\n")
    for part in parts[:-1]:
        await exchange.stream.send(part)
    last = parts[-1]
    await exchange.stream.send(last if end == "whole" else last[: len(last) // 2])
    if end == "reset":
        reset_connection(exchange.stream)
    await exchange.stream.aclose()


async def answer_raw(upstream: StandIn, request: HttpRequest, exchange: Exchange) -> bool:
    """Send the bytes of the response mode file and end the connection; returns True if it did."""
    mode = read_response_mode(upstream)
    if "raw" not in mode:
        return False
    attempt = request.fields.get(b"attempt-id", b"").decode()
    data = mode["raw"].replace("ATTEMPT", attempt).encode("latin-1")
    if data:
        await exchange.stream.send(data)
    if mode.get("resets"):
        reset_connection(exchange.stream)
    await exchange.stream.aclose()
    return True


def reset_connection(stream: SocketStream) -> None:
    """Reset a connection without closing its sending side first, as `aclose` would."""
    raw = stream.extra(SocketAttribute.raw_socket)
    # A linger time of 0 s resets the connection when it is closed.
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream._transport.abort()  # type: ignore[attr-defined]


def record_run(upstream: StandIn, request: HttpRequest) -> None:
    """Record the execution of a request in the ledger."""
    fields = {name.decode(): value.decode("latin-1") for name, value in request.fields.items()}
    upstream.record(
        "run",
        id=fields.get("attempt-id", ""),
        tenant=fields.get("tenant-name"),
        key="authorization" in fields,
        target=request.target.decode(),
        method=request.method.decode(),
        body=request.body.decode("latin-1"),
        deadline=fields.get("deadline-ms"),
        path=fields.get("path"),
        parts=fields.get("prompt-prefix", ""),
        pool=upstream.pool,
    )


async def answer_stream(upstream: StandIn, request: HttpRequest, exchange: Exchange) -> None:
    """Stream a generation as the first engine of its path.

    Refuses a path with layers that this engine does not hold, and any while all slots are used.
    """
    stages = parse_path(request.fields.get(b"path", b"").decode())
    own = next((stage for stage in stages if stage[0] == upstream.address), None)
    held = upstream.layers
    if own is None or held is None or own[1] < held[0] or own[2] > held[1]:
        attempt = request.fields.get(b"attempt-id", b"")
        headers = [(b"Attempt-Id", attempt), (b"Not-Executed", b"1")]
        await exchange.answer(421, [*headers, (b"At-Server", upstream.address.encode())], b"")
        return
    if upstream.slots and upstream.streams >= upstream.slots:
        attempt = request.fields.get(b"attempt-id", b"")
        upstream.record("full", id=attempt.decode())
        headers = [(b"Attempt-Id", attempt), (b"Not-Executed", b"1")]
        await exchange.answer(503, [*headers, (b"Replica-Load", load_header(upstream))], b"")
        return
    upstream.streams += 1
    try:
        await run_stream(upstream, request, exchange, stages)
    finally:
        upstream.streams -= 1


async def run_stream(
    upstream: StandIn,
    request: HttpRequest,
    exchange: Exchange,
    stages: list[tuple[str, int, int]],
) -> None:
    """Execute a stream.

    Once another engine of the path is lost, the stream stalls for `STALL_SECONDS` and breaks off.
    """
    if await answer_in_trouble(upstream, request, exchange):
        return
    record_run(upstream, request)
    token_count = int(request.fields.get(b"token-count", b"10,10").partition(b",")[2])
    last_event = int(request.fields.get(b"last-event-id", b"-1"))
    headers = [*response_headers(upstream, request), (b"Content-Type", b"text/event-stream")]
    await crash_on_word(upstream, request)
    await crash_on_part(upstream, request)
    if await answer_raw(upstream, request, exchange):
        return
    unframed = read_response_mode(upstream).get("unframed")
    if unframed:
        events = [stream_event(number) for number in range(last_event + 1, token_count)]
        await send_unframed(exchange, headers, events, unframed)
        return
    async with AsyncExitStack() as open_links, anyio.create_task_group() as tasks:
        broken = anyio.Event()
        others = [address for address, _, _ in stages if address != upstream.address]
        for address in others:
            tasks.start_soon(watch_stage, address, broken)
        steps = others if upstream.in_step else []
        links = await connect_stages(steps, open_links, broken)
        started = False
        for number in range(last_event + 1, token_count):
            await anyio.sleep(EVENT_SECONDS)
            await step_stages(links, broken)
            if broken.is_set():
                await anyio.sleep(STALL_SECONDS)
                tasks.cancel_scope.cancel()
                return
            event = stream_event(number)
            if started:
                await exchange.send(event)
            else:
                await exchange.begin(200, headers, event)
                started = True
        if not started:
            await exchange.begin(200, headers, b"")
        await exchange.end()
        tasks.cancel_scope.cancel()


def stream_event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: token-{number}\n\n".encode()


async def watch_stage(address: str, broken: anyio.Event) -> None:
    """Keep a connection to another engine of the path and set `broken` when it closes."""
    host, _, port = address.rpartition(":")
    try:
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
            while True:
                await stream.receive()
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        broken.set()


async def connect_stages(
    addresses: list[str], open_links: AsyncExitStack, broken: anyio.Event
) -> list[SocketStream]:
    """Connect to the later engines of a path; sets `broken` if one of them does not accept."""
    links = []
    for address in addresses:
        host, _, port = address.rpartition(":")
        try:
            link = await anyio.connect_tcp(host, int(port))
        except OSError:
            broken.set()
            return []
        links.append(await open_links.enter_async_context(link))
    return links


async def step_stages(links: list[SocketStream], broken: anyio.Event) -> None:
    """Wait until each later engine has run one event; sets `broken` if one of them is lost."""
    try:
        for link in links:
            await link.send(STEP_REQUEST)
            answer = b""
            while not answer.endswith(b"\r\n\r\n"):
                answer += await link.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        broken.set()


def parse_path(text: str) -> list[tuple[str, int, int]]:
    """Split a path into stages of address, first layer and one past the last layer.

    >>> parse_path("127.0.0.1:80=0-3,127.0.0.1:81=3-5")
    [('127.0.0.1:80', 0, 3), ('127.0.0.1:81', 3, 5)]
    """
    parts = []
    for part in filter(None, text.split(",")):
        address, _, span = part.partition("=")
        first, _, end = span.partition("-")
        parts.append((address, int(first), int(end)))
    return parts


async def handle_order(upstream: StandIn, request: HttpRequest, exchange: Exchange) -> None:
    """Accept an order to hold layers, which takes effect at once.

    Refuses an order of an earlier term if terms are checked, and one that does not follow the
    newest accepted order.
    """
    body = json.loads(request.body)
    fence = body.get("fence", 0)
    if upstream.checks_fences and fence < upstream.fence:
        await exchange.answer(412, [], b"")
        return
    ordered = (body["from"], body["targetVersion"])
    if ordered == upstream.layers:
        await exchange.answer(200, [], b"")
        return
    if body.get("expectedRev", upstream.orders_accepted) != upstream.orders_accepted:
        upstream.record("late-order", layers=ordered, fence=fence)
        await exchange.answer(409, [], b"")
        return
    upstream.fence = max(fence, upstream.fence)
    upstream.orders_accepted += 1
    upstream.record("order", layers=ordered, fence=fence)
    if (ordered[1] - ordered[0]) * LAYER_MB > ACCELERATOR_MB[upstream.card]:
        upstream.record("over-limit", layers=ordered)
    upstream.layers = ordered
    await exchange.answer(202, [], b"")


def build_site(upstream: StandIn) -> HttpSite:
    """Build the HTTP site of the upstream."""

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        expected = request.fields.get(b"expect-replica")
        if expected is not None and expected != upstream.instance.encode():
            await exchange.answer(421, [(b"Replica-Id", upstream.instance.encode())], b"")
        elif request.target == b"/hold":
            await anyio.sleep_forever()
        elif request.target == b"/step":
            await exchange.answer(200, [], b"")
        elif request.target.startswith(b"/api/") and await refuse_for_backoff(
            upstream, request, exchange, to_control=True
        ):
            return
        elif request.target == b"/api/report":
            report = json.dumps({"pace": 1.0, "sequence": upstream.orders_accepted, "busy": False})
            content_type = (b"Content-Type", b"application/json")
            await exchange.answer(200, [content_type], report.encode())
        elif request.target == b"/api/order":
            await handle_order(upstream, request, exchange)
        elif await refuse_for_backoff(upstream, request, exchange):
            return
        elif b"token-count" in request.fields:
            await answer_stream(upstream, request, exchange)
        else:
            await answer_plain(upstream, request, exchange)

    async def write_problem(exchange: Exchange, problem: Problem) -> None:
        await exchange.answer(problem.status, [], b"")

    # An upstream that runs again after a suspension serves what its kernel has accepted.
    queue = AcceptQueue(max_wait_seconds=float("inf"))
    return HttpSite(handler=handle, write_problem=write_problem, accept_queue=queue)


async def main(upstream: StandIn) -> None:
    """Serve until SIGTERM; then announce draining and exit after `DRAIN_SECONDS`."""
    async with anyio.create_task_group() as tasks:
        listener = await listen_tcp(upstream.listen)
        if upstream.backlog:
            listener.extra(SocketAttribute.raw_socket).listen(upstream.backlog)
        if upstream.unreachable_from:
            drop_from(listener.extra(SocketAttribute.raw_socket), upstream.unreachable_from)
        tasks.start_soon(serve_listener, listener, build_site(upstream))
        tasks.start_soon(send_heartbeats, upstream)
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                break
        upstream.state = "draining"
        acknowledged = await call_control(upstream, "PUT", heartbeat_body(upstream))
        upstream.record("draining", acknowledged=acknowledged)
        await anyio.sleep(DRAIN_SECONDS)
        await call_control(upstream, "DELETE", None)
        tasks.cancel_scope.cancel()


def parse_arguments() -> StandIn:
    """Read the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--listen", default="")
    parser.add_argument("--pool", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--card", default="")
    parser.add_argument("--controls", required=True)
    parser.add_argument("--ledger", required=True, type=Path)
    parser.add_argument("--seconds", type=float, default=0.02)
    parser.add_argument("--fail-share", type=float, default=0.0)
    parser.add_argument("--crash-word", default="")
    parser.add_argument("--crash-part", default="")
    parser.add_argument("--mood", type=Path)
    parser.add_argument("--slots", type=int, default=0)
    parser.add_argument("--in-step", type=int, choices=(0, 1), default=0)
    parser.add_argument("--backlog", type=int, default=0)
    parser.add_argument("--heartbeat-ms", type=float, default=300.0)
    parser.add_argument("--instance", default="")
    parser.add_argument("--unreachable-from", default="")
    values = vars(parser.parse_args())
    if values["instance"]:
        values["born"] = time.time_ns() // 1_000_000
    else:
        values["instance"] = f"i-{secrets.token_hex(5)}"
    values["in_step"] = bool(values["in_step"])
    values["listen"] = values["listen"] or values["address"]
    values["controls"] = values["controls"].split(",")
    values["unreachable_from"] = list(filter(None, values["unreachable_from"].split(",")))
    return StandIn(**values)


if __name__ == "__main__":
    uvloop.install()
    anyio.run(main, parse_arguments())
