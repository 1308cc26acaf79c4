"""A stand-in replica: a model replica that holds layers, or a plain service.

It speaks what the users' PROTOCOL.md says of replicas and uses only the standard library. It
registers itself, takes orders, answers reports and health checks, and runs requests. What it does
is appended to a ledger file, one JSON object a line.

A request counts as run once work on it has begun: at its first token for a stream, at its start
for a plain request.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import secrets
import signal
import time

EVENT_SECONDS = 0.03
"""Pause between two events of a stream."""

STALL_SECONDS = 3.0
"""How long a stream stands still when a later part of its path is lost, before it is cut."""


class Replica:
    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.id = f"i-{secrets.token_hex(4)}"
        self.address = options.address
        self.sequence = 0
        self.orders = 0
        self.fence = 0
        self.busy = False
        self.layers: tuple[int, int] | None = None
        self.state = "ready"
        self.running = 0
        self.beats = True
        self.ledger = open(options.ledger, "a", buffering=1)

    def record(self, event: str, **facts: object) -> None:
        line = {"at": round(time.monotonic(), 4), "event": event, "replica": self.id}
        self.ledger.write(json.dumps(line | facts) + "\n")

    # Registration ---------------------------------------------------------------------------------

    def beat(self) -> dict[str, object]:
        self.sequence += 1
        body: dict[str, object] = {
            "service": self.options.service,
            "address": self.address,
            "zone": self.options.zone,
            "version": "v1",
            "slots": self.options.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }
        if self.options.kind:
            held = self.layers
            body |= {"stage": "both", "routeType": self.options.kind}
            body["models"] = [{"name": "m0", "version": 1, "adapters": []}] if held else []
            if held:
                body["layers"] = {"from": held[0], "targetVersion": held[1], "version": 1}
        return body

    async def call_control(self, method: str, body: object) -> str:
        """Call the control nodes in turn until one acknowledges; return its address or ''."""
        addresses = self.options.controls.split(",")
        if self.options.spread:
            # Each call goes to any of the control nodes first.
            random.shuffle(addresses)
        for address in addresses:
            status, _ = await request(
                address, method, f"/api/replicas/{self.id}", body, source=self.address
            )
            if 200 <= status < 300:
                return address
        return ""

    async def send_beats(self) -> None:
        while self.beats:
            address = await self.call_control("PUT", self.beat())
            self.record("beat", acknowledged_by=address)
            await asyncio.sleep(self.options.heartbeat_ms / 1000)

    async def leave(self) -> None:
        """Send no more heartbeats, go on serving for a while, and end.

        The script sends the call that deregisters it, as its platform would.
        """
        self.beats = False
        self.record("leaves")
        await asyncio.sleep(self.options.stay_s)
        self.record("ends")
        os._exit(0)

    # Requests -------------------------------------------------------------------------------------

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                except (asyncio.IncompleteReadError, ConnectionError):
                    return
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                fields = {}
                for line in lines[1:]:
                    name, separator, value = line.partition(":")
                    if separator:
                        fields[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                task = asyncio.ensure_future(self.answer(method, target, fields, body, writer))
                # A request is dropped once its connection closes.
                peek = asyncio.ensure_future(reader.read(1))
                await asyncio.wait({task, peek}, return_when=asyncio.FIRST_COMPLETED)
                if not task.done():
                    task.cancel()
                    await asyncio.wait({task})
                    return
                task.result()
                if not peek.done():
                    peek.cancel()
                    await asyncio.wait({peek})
                    # One request a connection is enough here; the answer says so.
                return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(
        self,
        method: str,
        target: str,
        fields: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        expected = fields.get("expect-replica")
        if expected is not None and expected != self.id:
            await reply(writer, 421, {"Replica-Id": self.id})
        elif target == "/hold":
            await asyncio.sleep(3600)
        elif target == "/health":
            well = self.state == "ready" and self.beats
            await reply(writer, 200 if well else 503, {"Replica-Id": self.id})
        elif target == "/api/report":
            report = {
                "stage": "both",
                "models": [],
                "busy": self.busy,
                "sequence": self.orders,
                "queued": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 1_000_000,
                "handles": 0,
                "pace": 1.0,
            }
            await reply(writer, 200, {"Content-Type": "application/json"}, report)
        elif target == "/api/order":
            await self.take_order(json.loads(body), writer)
        elif "token-count" in fields:
            await self.stream(target, fields, writer)
        else:
            await self.plain(method, target, fields, body, writer)

    async def take_order(self, order: dict[str, object], writer: asyncio.StreamWriter) -> None:
        fence = int(str(order.get("fence", 0)))
        if fence < self.fence:
            await reply(writer, 412, {})
            return
        wanted = (int(str(order["from"])), int(str(order["targetVersion"])))
        if wanted == self.layers:
            await reply(writer, 200, {})
            return
        if self.busy or int(str(order.get("expectedRev", self.orders))) != self.orders:
            await reply(writer, 409, {})
            return
        self.fence = max(fence, self.fence)
        self.orders += 1
        self.record("order", layers=wanted, fence=fence)
        self.busy = True

        async def load() -> None:
            await asyncio.sleep(0.2)
            self.layers, self.busy = wanted, False

        self.load_task = asyncio.ensure_future(load())
        await reply(writer, 202, {})

    async def stream(
        self, target: str, fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        attempt = fields.get("attempt-id", "")
        parts = []
        for item in filter(None, fields.get("path", "").split(",")):
            address, _, span = item.partition("=")
            first, _, end = span.partition("-")
            parts.append((address, int(first), int(end)))
        own = next((part for part in parts if part[0] == self.address), None)
        held = self.layers
        if own is None or held is None or own[1] < held[0] or own[2] > held[1]:
            await reply(writer, 421, {"Attempt-Id": attempt, "At-Server": self.address})
            return
        broken = asyncio.Event()
        watchers = [
            asyncio.ensure_future(watch_part(address, broken))
            for address, _, _ in parts
            if address != self.address
        ]
        after = int(fields.get("last-event-id", "-1"))
        count = int(fields["token-count"].partition(",")[2])
        self.running += 1
        ended = "cut"
        try:
            for number in range(after + 1, count):
                await asyncio.sleep(EVENT_SECONDS)
                if broken.is_set():
                    await asyncio.sleep(STALL_SECONDS)
                    return
                if number == after + 1:
                    self.record(
                        "run",
                        attempt=attempt,
                        target=target,
                        resumes_after=fields.get("last-event-id"),
                        path=fields.get("path"),
                        tenant=fields.get("tenant-name"),
                    )
                    writer.write(
                        head_bytes(
                            200,
                            {
                                "Attempt-Id": attempt,
                                "Replica-Seal": f"{self.id}.{attempt}",
                                "Versions": "1",
                                "Content-Type": "text/event-stream",
                                "Transfer-Encoding": "chunked",
                                "Connection": "close",
                            },
                        )
                    )
                event = f"id: {number}\ndata: {self.id} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            ended = "whole"
        finally:
            self.running -= 1
            self.record("run ends", attempt=attempt, target=target, how=ended)
            for watcher in watchers:
                watcher.cancel()

    async def plain(
        self,
        method: str,
        target: str,
        fields: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = fields.get("attempt-id", "")
        self.record("run", attempt=attempt, method=method, target=target)
        self.running += 1
        ended = "cut"
        try:
            await asyncio.sleep(self.options.work_ms / 1000)
            headers = {
                "Attempt-Id": attempt,
                "Replica-Seal": f"{self.id}.{attempt}",
                "Replica-Load": f"{self.running},0,{self.options.slots}",
            }
            await reply(writer, 200, headers, {"by": self.id, "echo": body.decode("latin-1")})
            ended = "whole"
        finally:
            self.running -= 1
            self.record("run ends", attempt=attempt, target=target, how=ended)


async def watch_part(address: str, broken: asyncio.Event) -> None:
    """Hold a connection to a later part of a path, and tell when it breaks."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.read(1)
    except OSError:
        pass
    broken.set()


def head_bytes(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def reply(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: object = None
) -> None:
    content = b"" if body is None else json.dumps(body).encode()
    headers = headers | {"Content-Length": str(len(content)), "Connection": "close"}
    writer.write(head_bytes(status, headers) + content)
    await writer.drain()


async def request(
    address: str, method: str, path: str, body: object, *, source: str
) -> tuple[int, bytes]:
    """Send one call to a control node; status 0 if it does not answer within a second."""
    content = b"" if body is None else json.dumps(body).encode()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                host, int(port), local_addr=(source.rpartition(":")[0], 0)
            )
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n".encode()
                + content
            )
            head = await reader.readuntil(b"\r\n\r\n")
            return int(head.split(b" ", 2)[1]), await reader.read()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def main(options: argparse.Namespace) -> None:
    replica = Replica(options)
    host, _, port = options.address.rpartition(":")
    server = await asyncio.start_server(replica.serve, host, int(port))
    replica.record("started", address=options.address, service=options.service)
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGUSR1, lambda: asyncio.ensure_future(replica.leave())
    )
    beats = asyncio.ensure_future(replica.send_beats())
    async with server:
        await server.serve_forever()
    beats.cancel()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--controls", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--kind", default="")
    parser.add_argument("--slots", type=int, default=96)
    parser.add_argument("--work-ms", type=float, default=60.0)
    parser.add_argument("--heartbeat-ms", type=float, default=1200.0)
    parser.add_argument("--stay-s", type=float, default=7.0)
    parser.add_argument("--spread", type=int, default=0)
    asyncio.run(main(parser.parse_args()))
