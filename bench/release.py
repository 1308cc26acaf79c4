"""What a release costs control boxes, and how long upstreams wait for their acknowledgements.

Runs three registries as processes, with links as of all entry boxes, and upstreams that send
heartbeats, drain and exit: `python -m bench.release --upstreams 600 --links 154`. Prints processor
time of each registry, bytes to each entry box, and the times of acknowledgements, at rest, while
half of the upstreams leave one after the other, and while the others leave at once.
"""

from __future__ import annotations

import argparse
import random
import signal
import tempfile
import time
from pathlib import Path
from typing import Final

import anyio
import msgspec
import uvloop
from anyio.abc import TaskGroup
from hdrh.histogram import HdrHistogram

from ledgeladder.http1 import (
    AnswerBrokenError,
    ConnectError,
    connect,
    read_head,
    send_request,
)
from ledgeladder.links import Link, keep_link
from ledgeladder.links.messages import DocumentPull, PeerRole, VersionQuery
from standins.discovered_fleet import DiscoveredFleet

from .processes import usage_of
from .registry_load import Traffic, identity, registration

HEARTBEAT_SECONDS: Final = 1.2
REST_SECONDS: Final = 10.0
RELEASE_SECONDS: Final = 60.0
"""Time over which the first upstreams leave."""

BURST_SECONDS: Final = 1.0
"""Time over which the last ones leave."""

BURST_SHARE: Final = 0.5
"""Share of the upstreams that leave at once."""

DRAIN_SECONDS: Final = 2.0
"""Time between the draining report of an upstream and its exit."""

ANSWER_SECONDS: Final = 1.0
"""Time after which an upstream asks another registry."""

MAX_ATTEMPTS: Final = 3
OK: Final = 200


class Release:
    """Stand-ins of the entry boxes and upstreams around three registries."""

    def __init__(self, fleet: DiscoveredFleet, upstreams: int, links: int) -> None:
        self.fleet = fleet
        self.upstreams = upstreams
        self.links = links
        self.traffic = Traffic()
        self.waits = HdrHistogram(1, 10_000_000, 3)
        self.refused = 0
        self.leaving: set[int] = set()

    async def follow(self, number: int, box: int) -> None:
        """Follow a registry as an entry box does, until cancelled."""

        async def serve(link: Link) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.query, link)
                while True:
                    self.traffic.record(await link.receive())

        address = f"{self.fleet.ip(1, box)}:{self.fleet.port}"
        await keep_link(address, identity(number, PeerRole.ENTRY), serve, rng=random.Random())

    async def query(self, link: Link) -> None:
        """Query the newest version each second."""
        link.post(DocumentPull(version=0))
        call = 0
        while True:
            call += 1
            link.post(VersionQuery(call=call))
            await anyio.sleep(1.0)

    async def call(self, number: int, method: bytes, state: str, sequence: int) -> None:
        """Send one call of an upstream, and record how long its answer takes."""
        current = registration(number, 0, sequence)
        holding = current.holdings[0]
        body = msgspec.json.encode(
            {
                "service": current.pool,
                "address": current.address,
                "zone": current.failure_domain,
                "version": "v1",
                "slots": current.slots,
                "state": state,
                "sequence": sequence,
                "routeType": current.card,
                "layers": {"from": holding.first, "targetVersion": holding.end, "version": 1},
            }
        )
        headers = [(b"Host", b"x"), (b"Content-Length", str(len(body)).encode())]
        target = f"/api/replicas/{current.instance}".encode()
        started = time.monotonic()
        for attempt in range(MAX_ATTEMPTS):
            box = (number + attempt) % 3
            if await self.is_acknowledged(box, method, target, headers, body):
                break
            self.refused += 1
        if state != "ready":
            self.waits.record_value(int((time.monotonic() - started) * 1e6))

    async def is_acknowledged(
        self,
        box: int,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> bool:
        """Call one registry, and return whether it acknowledged in time."""
        with anyio.move_on_after(ANSWER_SECONDS):
            try:
                address = self.fleet.control_addresses[box]
                connection = await connect(address, source=None, seconds=ANSWER_SECONDS)
                try:
                    await send_request(connection, method, target, headers, body)
                    return (await read_head(connection)).status_code == OK
                finally:
                    await connection.close()
            except (AnswerBrokenError, ConnectError):
                return False
        return False

    async def send_heartbeats(self, number: int) -> None:
        """Send heartbeats of one upstream until it leaves, and then its departure."""
        await anyio.sleep(random.random() * HEARTBEAT_SECONDS)
        sequence = 1
        while number not in self.leaving:
            await self.call(number, b"PUT", "ready", sequence)
            sequence += 1
            await anyio.sleep(HEARTBEAT_SECONDS)

    async def leave(self, number: int) -> None:
        """Drain, and exit."""
        self.leaving.add(number)
        await self.call(number, b"PUT", "draining", 1_000_000)
        await anyio.sleep(DRAIN_SECONDS)
        await self.call(number, b"DELETE", "exited", 1_000_001)

    async def leave_over(self, numbers: range, seconds: float, tasks: TaskGroup) -> None:
        """Have upstreams leave one after the other."""
        for number in numbers:
            tasks.start_soon(self.leave, number)
            await anyio.sleep(seconds / len(numbers))

    async def measure(self) -> None:
        """Run all phases and print the load of each."""
        last = int(self.upstreams * (1.0 - BURST_SHARE))
        async with anyio.create_task_group() as tasks:
            for number in range(self.links):
                for box in range(3):
                    tasks.start_soon(self.follow, number, box)
            for number in range(self.upstreams):
                tasks.start_soon(self.send_heartbeats, number)
            await anyio.sleep(REST_SECONDS)
            await self.measure_phase("rest", REST_SECONDS)
            tasks.start_soon(self.leave_over, range(last), RELEASE_SECONDS, tasks)
            await self.measure_phase("release", RELEASE_SECONDS + DRAIN_SECONDS)
            tasks.start_soon(self.leave_over, range(last, self.upstreams), BURST_SECONDS, tasks)
            await self.measure_phase("burst", BURST_SECONDS + DRAIN_SECONDS + 1.0)
            tasks.cancel_scope.cancel()

    async def measure_phase(self, name: str, seconds: float) -> None:
        """Measure one phase and print its load."""
        self.traffic, self.refused = Traffic(), 0
        self.waits.reset()
        pids = [box.popen.pid for box in self.fleet.boxes.values() if box.popen is not None]
        before, started = [usage_of(pid).cpu_seconds for pid in pids], time.monotonic()
        await anyio.sleep(seconds)
        elapsed = time.monotonic() - started
        after = [usage_of(pid).cpu_seconds for pid in pids]
        shares = [f"{(new - old) / elapsed:.1%}" for old, new in zip(before, after, strict=True)]
        sent = sum(self.traffic.sizes.values()) / elapsed / self.links / 1000
        print(
            f"{name:8} {' '.join(shares)} of a core; {sent:.2f} kB/s to each entry box; "
            f"{self.refused} calls unanswered; {self.waits.get_total_count()} departures took "
            f"{self.waits.get_value_at_percentile(50) / 1000:.1f} ms (p50), "
            f"{self.waits.get_value_at_percentile(99) / 1000:.1f} ms (p99)",
            flush=True,
        )


def main() -> None:
    """Run three registries and measure a release."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upstreams", type=int, default=600, help="upstreams")
    parser.add_argument(
        "--links",
        type=int,
        default=154,
        help="links of entry boxes to each registry: three of each of 410 over 8",
    )
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = DiscoveredFleet(folder=Path(folder), gateways=0)
        try:
            for number in range(fleet.registries):
                fleet.add_registry(number)
            time.sleep(2.0)
            uvloop.run(Release(fleet, args.upstreams, args.links).measure())
        finally:
            for name in fleet.boxes:
                fleet.signal(name, signal.SIGCONT)
                fleet.kill(name)
            fleet.client.close()


if __name__ == "__main__":
    main()
