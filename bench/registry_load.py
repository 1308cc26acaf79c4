"""What a registry spends on upstreams that register and on entry boxes that follow it.

Runs one registry as a process, opens links to it as entry boxes do, and sends it heartbeats over
loopback: `python -m bench.registry_load --upstreams 600 --told 2400 --links 180`. Prints processor
time, memory, and bytes and messages by kind, while upstreams register, at rest, and while a part of
them is replaced. `--told` upstreams come over a link from a stand-in of another registry.
"""

from __future__ import annotations

import argparse
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Final

import anyio
import msgspec
import uvloop

from ledgeladder.coordination.upstream_order import LoadFigures, UpstreamIndex, pack_ages
from ledgeladder.http1 import connect, read_head, read_part, send_request
from ledgeladder.links import Link, LinkIdentity, keep_link
from ledgeladder.links.frames import encode_frame
from ledgeladder.links.messages import (
    DocumentPull,
    LoadReport,
    PeerRole,
    RegistrationAges,
    RegistrationUpdate,
    UpstreamIndexPush,
    VersionQuery,
)
from ledgeladder.model.registration import Holding, Liveness, Registration

from .processes import usage_of

SECRET: Final = "loopback-secret-0123456789"
HEARTBEAT_SECONDS: Final = 1.0
IDLE_SECONDS: Final = 6.0
"""Duration of the idle phase."""

REGISTER_SECONDS: Final = 2.5
"""Time over which all upstreams register, and over which some are replaced."""

REPLACED_SHARE: Final = 0.1
"""Share of the upstreams that new instances replace in the last phase."""

DOMAINS: Final = ("a", "b", "c")

SETTINGS: Final = """
[box]
name = "registry-0"
failure_domain = "a"
address = "127.0.0.1"
[cluster]
secret = "{secret}"
link_port = {port}
metrics_port = {metrics}
seeds = ["127.0.0.1:{http}"]
bootstrap = true
[registry]
address = "127.0.0.1:{http}"
data_folder = "{folder}"
[bounds]
heartbeat_ms = 1000
"""


class Traffic(msgspec.Struct):
    """Messages received over the links."""

    messages: Counter[str] = msgspec.field(default_factory=Counter)
    """Number of messages by type."""

    sizes: Counter[str] = msgspec.field(default_factory=Counter)
    """Bytes by type."""

    def record(self, message: object) -> None:
        """Count a message."""
        kind = type(message).__name__
        self.messages[kind] += 1
        self.sizes[kind] += len(encode_frame(message))  # type: ignore[arg-type]


def identity(number: int, role: PeerRole) -> LinkIdentity:
    """Return the link identity of a stand-in box."""
    return LinkIdentity(
        cluster="ledgeladder",
        role=role,
        box=f"127.0.1.{number}",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        instance=f"bench-{number}",
        secret=SECRET,
    )


def registration(number: int, generation: int, sequence: int) -> Registration:
    """Return the registration of an upstream's instance."""
    return Registration(
        instance=f"i-{generation:02}{number:08x}",
        sequence=sequence,
        pool="lekhanam",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8000",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        slots=96,
        card="l4",
        holdings=(Holding(first=number % 8 * 10, end=number % 8 * 10 + 10),),
    )


class Fleet:
    """Stand-ins of the boxes and upstreams around one registry."""

    def __init__(self, args: argparse.Namespace, http: str, link: str) -> None:
        self.args = args
        self.http = http
        self.link = link
        self.traffic = Traffic()
        self.generations: Counter[int] = Counter()
        self.heartbeats = 0
        self.late_heartbeats = 0

    async def send_heartbeats(self, number: int) -> None:
        """Send heartbeats of one upstream over a kept connection until cancelled."""
        await anyio.sleep(random.random() * REGISTER_SECONDS)
        sequence = 0
        connection = await connect(self.http, source=None, seconds=5.0)
        while True:
            sequence += 1
            current = registration(number, self.generations[number], sequence)
            holding = current.holdings[0]
            body = msgspec.json.encode(
                {
                    "service": current.pool,
                    "address": current.address,
                    "zone": current.failure_domain,
                    "version": "v1",
                    "slots": current.slots,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "sequence": sequence,
                    "routeType": current.card,
                    "layers": {"from": holding.first, "targetVersion": holding.end, "version": 1},
                }
            )
            headers = [(b"Host", b"x"), (b"Content-Length", str(len(body)).encode())]
            target = f"/api/replicas/{current.instance}".encode()
            started = time.monotonic()
            await send_request(connection, b"PUT", target, headers, body)
            await read_head(connection)
            while await read_part(connection) is not None:
                pass
            self.heartbeats += 1
            self.late_heartbeats += time.monotonic() - started > HEARTBEAT_SECONDS
            connection.protocol.start_next_cycle()
            await anyio.sleep(HEARTBEAT_SECONDS)

    async def follow(self, number: int) -> None:
        """Follow the registry as an entry box does, until cancelled."""

        async def serve(link: Link) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.query, number, link)
                while True:
                    self.traffic.record(await link.receive())

        await keep_link(self.link, identity(number, PeerRole.ENTRY), serve, rng=random.Random())

    async def query(self, number: int, link: Link) -> None:
        """Query versions, and report loads from every third box."""
        link.post(DocumentPull(version=0))
        call = 0
        while True:
            call += 1
            link.post(VersionQuery(call=call))
            if number % 3 == 0:
                loads = {
                    registration(random.randrange(self.args.upstreams), 0, 0).instance: LoadFigures(
                        1, 1000.0
                    )
                    for _ in range(10)
                }
                link.post(LoadReport(loads=loads))
            await anyio.sleep(1.0)

    async def report_peer_upstreams(self) -> None:
        """Connect as another registry and report the upstreams registered with it."""

        async def serve(link: Link) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_reports, link)
                while True:
                    await link.receive()

        await keep_link(self.link, identity(200, PeerRole.CONTROL), serve, rng=random.Random())

    async def send_reports(self, link: Link) -> None:
        """Send all registrations in batches, and then their ages every second."""
        first, count = self.args.upstreams, self.args.told
        numbers = list(range(first, first + count))
        batch = max(1, int(count * 0.01 / REGISTER_SECONDS))
        for start in range(0, count, batch):
            for number in numbers[start : start + batch]:
                liveness = Liveness(registration=registration(number, 0, 1), age=0.0)
                link.post(RegistrationUpdate(reported=(liveness,)))
            await anyio.sleep(0.01)
        order = UpstreamIndex(
            number=1, instances=tuple(registration(item, 0, 1).instance for item in numbers)
        )
        link.post(UpstreamIndexPush(index=order))
        while True:
            ages = {instance: 0.5 for instance in order.instances}
            link.post(RegistrationAges(index_number=1, ages=pack_ages(order, ages)))
            await anyio.sleep(1.0)

    async def replace(self) -> None:
        """Replace some of the upstreams by new instances."""
        count = int(self.args.upstreams * REPLACED_SHARE)
        for number in random.sample(range(self.args.upstreams), count):
            self.generations[number] += 1
            await anyio.sleep(REGISTER_SECONDS / max(1, count))

    async def measure(self, pid: int) -> None:
        """Run all phases and print the load of each."""
        async with anyio.create_task_group() as tasks:
            for number in range(self.args.links):
                tasks.start_soon(self.follow, number)
            await anyio.sleep(2.0)
            for number in range(self.args.upstreams):
                tasks.start_soon(self.send_heartbeats, number)
            if self.args.told:
                tasks.start_soon(self.report_peer_upstreams)
            await self.measure_phase(pid, "register", REGISTER_SECONDS + 1.0)
            await self.measure_phase(pid, "rest", IDLE_SECONDS)
            tasks.start_soon(self.replace)
            await self.measure_phase(pid, "replace", REGISTER_SECONDS + 1.5)
            tasks.cancel_scope.cancel()

    async def measure_phase(self, pid: int, name: str, seconds: float) -> None:
        """Measure one phase and print its load."""
        self.traffic, self.heartbeats, self.late_heartbeats = Traffic(), 0, 0
        before, started = usage_of(pid), time.monotonic()
        await anyio.sleep(seconds)
        after, elapsed = usage_of(pid), time.monotonic() - started
        share = (after.cpu_seconds - before.cpu_seconds) / elapsed
        total = sum(self.traffic.sizes.values()) / elapsed / 1000
        print(
            f"{name:9} {share:6.1%} of a core  {after.memory_mb:6.1f} MB  {total:9.1f} kB/s out"
            f"  {self.heartbeats / elapsed:6.0f} heartbeats/s  {self.late_heartbeats} late"
        )
        for kind, size in self.traffic.sizes.most_common(6):
            count = self.traffic.messages[kind]
            print(
                f"    {kind:20} {size / elapsed / 1000:9.1f} kB/s  {count / elapsed:9.0f} a second"
            )


def main() -> None:
    """Run one registry and measure its load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upstreams", type=int, default=600, help="upstreams that beat here")
    parser.add_argument("--told", type=int, default=2400, help="upstreams that others hear")
    parser.add_argument("--links", type=int, default=180, help="entry boxes that follow")
    parser.add_argument("--profile", default="", help="file for a profile of the registry")
    args = parser.parse_args()
    port = random.randrange(12_000, 30_000, 10)
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "registry.toml"
        settings.write_text(
            SETTINGS.format(
                secret=SECRET, port=port, metrics=port + 1, http=port + 2, folder=f"{folder}/data"
            )
        )
        profiling = ["-m", "cProfile", "-o", args.profile] if args.profile else []
        with (Path(folder) / "log").open("w") as log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    *profiling,
                    "-m",
                    "ledgeladder",
                    "registry",
                    "--settings",
                    str(settings),
                ],
                stdout=log,
                stderr=log,
            )
            try:
                time.sleep(1.5)
                fleet = Fleet(args, f"127.0.0.1:{port + 2}", f"127.0.0.1:{port}")
                uvloop.run(fleet.measure(process.pid))
            finally:
                process.terminate()
                process.wait(10)


if __name__ == "__main__":
    main()
