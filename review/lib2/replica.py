"""A replica of a plain service, as PROTOCOL.md describes a sound one."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from typing import TYPE_CHECKING

from .fleet import HEARTBEAT_S, ZONES, call, read_message

if TYPE_CHECKING:
    from .fleet import Fleet


class Replica:
    """One incarnation of a replica; its runs are kept in `runs`."""

    def __init__(
        self, fleet: Fleet, service: str, number: int, *, work_s: float = 0.09, slots: int = 6
    ) -> None:
        self.fleet, self.service, self.number = fleet, service, number
        self.id = f"i-{secrets.token_hex(4)}"
        self.zone = ZONES[number % 3]
        self.ip = f"127.{fleet.network}.3.{number + 1}"
        self.address = f"{self.ip}:{fleet.port + 5}"
        self.work_s, self.slots = work_s, slots
        self.state = "ready"
        self.sequence = 0
        self.runs: list[dict[str, object]] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.running = 0
        self.current: list[str] = []
        self.free = asyncio.Semaphore(slots)

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.tasks.append(asyncio.create_task(self._beat()))

    def heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
            }
        ).encode()

    async def tell(self, method: str, body: bytes = b"", first: int | None = None) -> str | None:
        """Call the nodes that serve control in turn until one acknowledges; return its name."""
        boxes = self.fleet.registries
        start = self.number if first is None else first
        for offset in range(len(boxes)):
            box = boxes[(start + offset) % len(boxes)]
            path = f"/api/replicas/{self.id}"
            status, _, _ = await call(box.address, method, path, body, seconds=1.0)
            if status is not None and 200 <= status < 300:
                return box.name
        return None

    def targets(self) -> list[str]:
        """Return the paths of the requests that it is working on."""
        return self.current

    async def _beat(self) -> None:
        while True:
            await self.tell("PUT", self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    def stop_heartbeats(self) -> None:
        """Send no further heartbeats."""
        self.tasks[0].cancel()

    async def leave(self) -> tuple[str | None, float]:
        """Say with DELETE that it leaves, as a replica that never reports `draining`.

        Returns:
            Which node acknowledged it, and when.
        """
        self.stop_heartbeats()
        node = None
        for _ in range(5):
            node = await self.tell("DELETE")
            if node is not None:
                break
            await asyncio.sleep(0.2)
        return node, time.monotonic()

    def crash(self) -> None:
        """End at once: the port is closed, and all connections are reset."""
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                await self._answer(reader, writer, *message)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        first: list[str],
        fields: dict[str, str],
        body: bytes,
    ) -> None:
        attempt = fields.get("attempt-id", "")
        answer = {"Attempt-Id": attempt, "Replica-Id": self.id}
        if fields.get("expect-replica", self.id) != self.id:
            await self._write(writer, 421, answer | {"Not-Executed": "1"}, b"")
            return
        if first[1] == "/health":
            await self._write(writer, 200 if self.state == "ready" else 503, answer, b"")
            return
        async with self.free:
            self.running += 1
            run = {
                "at": time.monotonic(),
                "replica": self.id,
                "attempt": attempt,
                "method": first[0],
                "target": first[1],
                "tenant": fields.get("tenant-name"),
                "authorization": fields.get("authorization"),
            }
            self.runs.append(run)
            self.current.append(first[1])
            try:
                await self.work(run)
            finally:
                self.running -= 1
                self.current.remove(first[1])
        answer["Replica-Seal"] = f"{self.id}.{attempt}"
        answer["Replica-Load"] = f"{self.running},0,{self.slots}"
        await self._write(writer, 200, answer, b"answer to " + attempt.encode())

    async def work(self, run: dict[str, object]) -> None:
        """Work on a request."""
        await asyncio.sleep(self.work_s)

    async def _write(
        self, writer: asyncio.StreamWriter, status: int, fields: dict[str, str], body: bytes
    ) -> None:
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode("latin-1") + body)
        await writer.drain()
