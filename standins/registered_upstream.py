"""A stand-in upstream of the users' platform: it registers, takes orders and serves requests.

Run as `python -m standins.registered_upstream --help`. Every run of a request is appended to a
ledger file, so that tests judge what upstreams saw and not what the system says.
"""

from __future__ import annotations

import argparse
import json
import os
import secrets
import signal
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import httpx
import uvloop

from ledgeladder.http1 import Exchange, HttpRequest, HttpSite, serve_http1
from ledgeladder.model import Problem

LAYER_MB = 1000.0
"""Memory of one layer, in megabytes."""

CARD_MB = {"big": 12000.0, "small": 7000.0}
"""Memory of each kind of accelerator, in megabytes."""

EVENT_SECONDS = 0.02
"""Time between two events of a stream."""

STALL_SECONDS = 3.0
"""How long a first engine is silent before it breaks off, once another of its path is lost."""

BEAT_SECONDS = 0.3
"""Time between heartbeats; the fleet's settings name the same."""

CRASH_SECONDS = 0.05
"""Time from the beginning of a run to the crash that it causes."""

LEAVE_SECONDS = 2.5
"""Time between the announcement of an end and the end."""


@dataclass(kw_only=True)
class StandIn:
    """One upstream."""

    address: str
    """Where others reach it, as `host:port`, which may be a proxy."""

    listen: str
    """Where it listens, as `host:port`."""

    pool: str
    """Pool that it registers for."""

    zone: str
    """Failure domain that it names."""

    card: str
    """Kind of its accelerator; empty for a plain service."""

    controls: list[str]
    """Control boxes that it registers with, as `host:port`; tried in this order."""

    ledger: Path
    """File that its runs are appended to, which outlives it."""

    seconds: float
    """Time that a plain request takes."""

    fail_share: float = 0.0
    """Share of plain requests that are run and answered with 500."""

    crash_word: str = ""
    """Word in the body of a request that ends this process soon after it begins to run it; empty
    for none."""

    mood: Path | None = None
    """File that says how it answers: a JSON object with `rest`, the time that a refusal names,
    while all requests are to be refused, `rest_of_calls`, the same for reports and orders,
    `leaving`, true if answers are to say that it leaves, and `limit`, the requests a second that
    they name. Read for each request; without the file it serves."""

    instance: str = ""
    """Id; drawn for each run unless it keeps one over restarts."""

    born: int = 0
    """When this run started, in milliseconds since 1970; 0 if it does not say."""

    sequence: int = 0
    """Number of the newest heartbeat."""

    state: str = "ready"
    """State that heartbeats name."""

    layers: tuple[int, int] | None = None
    """First layer that it holds and one past the last; None before an order."""

    fence: int = 0
    """Highest term of an order that it took."""

    checks_fences: bool = True
    """False to take orders of earlier terms."""

    taken: int = 0
    """Orders that it has begun."""

    runs: int = 0
    """Plain requests that it works on."""

    def note(self, event: str, **facts: Any) -> None:
        """Append a line to the ledger."""
        line = {"event": event, "upstream": self.instance, "at": time.time(), **facts}
        with self.ledger.open("a") as file:
            file.write(json.dumps(line) + "\n")


def read_mood(upstream: StandIn) -> dict[str, Any]:
    """Return how the upstream is to answer now."""
    if upstream.mood is None or not upstream.mood.exists():
        return {}
    mood: dict[str, Any] = json.loads(upstream.mood.read_text())
    return mood


def beat(upstream: StandIn) -> dict[str, Any]:
    """Return the next heartbeat."""
    upstream.sequence += 1
    body: dict[str, Any] = {
        "service": upstream.pool,
        "address": upstream.address,
        "zone": upstream.zone,
        "version": "v1",
        "slots": 8,
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
    """Tell any control box; returns True if one acknowledged."""
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


async def keep_beating(upstream: StandIn) -> None:
    """Send heartbeats for ever."""
    while True:
        await call_control(upstream, "PUT", beat(upstream))
        await anyio.sleep(BEAT_SECONDS)


def echo(upstream: StandIn, request: HttpRequest) -> list[tuple[bytes, bytes]]:
    """Return the header fields of an answer to a request that ran."""
    attempt = request.fields.get(b"attempt-id", b"")
    mood = read_mood(upstream)
    leaving = [(b"Server-Leaving", b"1")] if mood.get("leaving") else []
    limit = [(b"Server-Limit", mood["limit"].encode())] if "limit" in mood else []
    return [
        (b"Attempt-Id", attempt),
        (b"Replica-Seal", f"{upstream.instance}.{attempt.decode()}".encode()),
        (b"Replica-Load", f"{upstream.runs},0,8".encode()),
        *leaving,
        *limit,
    ]


async def refuse_for_rest(
    upstream: StandIn, request: HttpRequest, exchange: Exchange, *, to_control: bool = False
) -> bool:
    """Refuse a request, or a call beside requests, if all are to be; returns True then."""
    rest = read_mood(upstream).get("rest_of_calls" if to_control else "rest")
    if rest is None:
        return False
    attempt = request.fields.get(b"attempt-id", b"")
    upstream.note("refused", id=attempt.decode(), pool=upstream.pool)
    headers = [(b"Attempt-Id", attempt), (b"Not-Executed", b"1")]
    headers += [(b"Retry-After", rest.encode())] if rest else []
    await exchange.answer(503, headers, b"")
    return True


async def crash_if_told(upstream: StandIn, request: HttpRequest) -> None:
    """End this process, without a word to anybody, if a request is one that does so."""
    if upstream.crash_word and upstream.crash_word.encode() in request.body:
        await anyio.sleep(CRASH_SECONDS)
        upstream.note("crash")
        os._exit(1)


async def answer_plain(upstream: StandIn, request: HttpRequest, exchange: Exchange) -> None:
    """Run a plain request."""
    note_run(upstream, request)
    await crash_if_told(upstream, request)
    upstream.runs += 1
    try:
        await anyio.sleep(upstream.seconds)
    finally:
        upstream.runs -= 1
    headers = [*echo(upstream, request), (b"Content-Type", b"text/plain")]
    failed = secrets.randbelow(1000) < upstream.fail_share * 1000
    await exchange.answer(500 if failed else 200, headers, b"echo:" + request.body)


def note_run(upstream: StandIn, request: HttpRequest) -> None:
    """Write a run into the ledger."""
    fields = {name.decode(): value.decode("latin-1") for name, value in request.fields.items()}
    upstream.note(
        "run",
        id=fields.get("attempt-id", ""),
        tenant=fields.get("tenant-name"),
        key="authorization" in fields,
        target=request.target.decode(),
        method=request.method.decode(),
        body=request.body.decode("latin-1"),
        deadline=fields.get("deadline-ms"),
        path=fields.get("path"),
        pool=upstream.pool,
    )


async def answer_stream(upstream: StandIn, request: HttpRequest, exchange: Exchange) -> None:
    """Run a generation as the first engine of its path.

    A path that names layers which this engine does not hold is refused as not run. Once another
    engine of the path is lost, the stream is silent for a while and breaks off.
    """
    parts = parse_path(request.fields.get(b"path", b"").decode())
    own = next((part for part in parts if part[0] == upstream.address), None)
    held = upstream.layers
    if own is None or held is None or own[1] < held[0] or own[2] > held[1]:
        await exchange.answer(421, [(b"At-Server", upstream.address.encode())], b"")
        return
    note_run(upstream, request)
    count = int(request.fields.get(b"token-count", b"10,10").partition(b",")[2])
    resume = int(request.fields.get(b"last-event-id", b"-1"))
    head = [*echo(upstream, request), (b"Content-Type", b"text/event-stream")]
    await crash_if_told(upstream, request)
    async with anyio.create_task_group() as tasks:
        broken = anyio.Event()
        for address, _, _ in parts:
            if address != upstream.address:
                tasks.start_soon(watch_part, address, broken)
        started = False
        for number in range(resume + 1, count):
            await anyio.sleep(EVENT_SECONDS)
            if broken.is_set():
                await anyio.sleep(STALL_SECONDS)
                tasks.cancel_scope.cancel()
                return
            event = f"id: {number}\ndata: token-{number}\n\n".encode()
            if started:
                await exchange.send(event)
            else:
                await exchange.begin(200, head, event)
                started = True
        if not started:
            await exchange.begin(200, head, b"")
        await exchange.end()
        tasks.cancel_scope.cancel()


async def watch_part(address: str, broken: anyio.Event) -> None:
    """Hold a connection to another engine of the path, and note when it ends."""
    host, _, port = address.rpartition(":")
    try:
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
            while True:
                await stream.receive()
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        broken.set()


def parse_path(text: str) -> list[tuple[str, int, int]]:
    """Split a path into address, first layer and end.

    >>> parse_path("127.0.0.1:80=0-3,127.0.0.1:81=3-5")
    [('127.0.0.1:80', 0, 3), ('127.0.0.1:81', 3, 5)]
    """
    parts = []
    for part in filter(None, text.split(",")):
        address, _, span = part.partition("=")
        first, _, end = span.partition("-")
        parts.append((address, int(first), int(end)))
    return parts


async def take_order(upstream: StandIn, request: HttpRequest, exchange: Exchange) -> None:
    """Take an order to hold layers, which are there at once.

    One of an earlier term is refused if terms are checked, and one that does not follow the newest.
    """
    body = json.loads(request.body)
    fence = body.get("fence", 0)
    if upstream.checks_fences and fence < upstream.fence:
        await exchange.answer(412, [], b"")
        return
    wanted = (body["from"], body["targetVersion"])
    if wanted == upstream.layers:
        await exchange.answer(200, [], b"")
        return
    if body.get("expectedRev", upstream.taken) != upstream.taken:
        upstream.note("late-order", layers=wanted, fence=fence)
        await exchange.answer(409, [], b"")
        return
    upstream.fence = max(fence, upstream.fence)
    upstream.taken += 1
    upstream.note("order", layers=wanted, fence=fence)
    if (wanted[1] - wanted[0]) * LAYER_MB > CARD_MB[upstream.card]:
        upstream.note("over-limit", layers=wanted)
    upstream.layers = wanted
    await exchange.answer(202, [], b"")


def build_site(upstream: StandIn) -> HttpSite:
    """Build what the upstream serves."""

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        expected = request.fields.get(b"expect-replica")
        if expected is not None and expected != upstream.instance.encode():
            await exchange.answer(421, [(b"Replica-Id", upstream.instance.encode())], b"")
        elif request.target == b"/hold":
            await anyio.sleep_forever()
        elif request.target.startswith(b"/api/") and await refuse_for_rest(
            upstream, request, exchange, to_control=True
        ):
            return
        elif request.target == b"/api/report":
            report = json.dumps({"pace": 1.0, "sequence": upstream.taken, "busy": False})
            content_type = (b"Content-Type", b"application/json")
            await exchange.answer(200, [content_type], report.encode())
        elif request.target == b"/api/order":
            await take_order(upstream, request, exchange)
        elif await refuse_for_rest(upstream, request, exchange):
            return
        elif b"token-count" in request.fields:
            await answer_stream(upstream, request, exchange)
        else:
            await answer_plain(upstream, request, exchange)

    async def write_problem(exchange: Exchange, problem: Problem) -> None:
        await exchange.answer(problem.status, [], b"")

    return HttpSite(handler=handle, write_problem=write_problem)


async def main(upstream: StandIn) -> None:
    """Serve until SIGTERM, which announces the end and leaves some seconds later."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_http1, upstream.listen, build_site(upstream))
        tasks.start_soon(keep_beating, upstream)
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                break
        upstream.state = "draining"
        acknowledged = await call_control(upstream, "PUT", beat(upstream))
        upstream.note("draining", acknowledged=acknowledged)
        await anyio.sleep(LEAVE_SECONDS)
        await call_control(upstream, "DELETE", None)
        tasks.cancel_scope.cancel()


def parse() -> StandIn:
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
    parser.add_argument("--mood", type=Path)
    parser.add_argument("--instance", default="")
    values = vars(parser.parse_args())
    if values["instance"]:
        values["born"] = time.time_ns() // 1_000_000
    else:
        values["instance"] = f"i-{secrets.token_hex(5)}"
    values["listen"] = values["listen"] or values["address"]
    values["controls"] = values["controls"].split(",")
    return StandIn(**values)


if __name__ == "__main__":
    uvloop.install()
    anyio.run(main, parse())
