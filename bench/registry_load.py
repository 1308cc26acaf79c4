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
REST_SECONDS: Final = 6.0
"""How long the fleet is watched at rest."""

REGISTER_SECONDS: Final = 2.5
"""Time over which all upstreams register, and over which a part is replaced."""

REPLACED_SHARE: Final = 0.1
"""Part of the upstreams that another run replaces at the end."""

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


class Seen(msgspec.Struct):
    """What the links received."""

    messages: Counter[str] = msgspec.field(default_factory=Counter)
    """Number by kind."""

    sizes: Counter[str] = msgspec.field(default_factory=Counter)
    """Bytes by kind."""

    def note(self, message: object) -> None:
        """Count a message."""
        kind = type(message).__name__
        self.messages[kind] += 1
        self.sizes[kind] += len(encode_frame(message))  # type: ignore[arg-type]


def identity(number: int, role: PeerRole) -> LinkIdentity:
    """Return who a stand-in is."""
    return LinkIdentity(
        cluster="ledgeladder",
        role=role,
        box=f"127.0.1.{number}",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        instance=f"bench-{number}",
        secret=SECRET,
    )


def registration(number: int, run: int, sequence: int) -> Registration:
    """Return what an upstream says of itself."""
    return Registration(
        instance=f"i-{run:02}{number:08x}",
        sequence=sequence,
        pool="lekhanam",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8000",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        slots=96,
        card="l4",
        holdings=(Holding(first=number % 8 * 10, end=number % 8 * 10 + 10),),
    )


class Fleet:
    """Stand-ins around one registry."""

    def __init__(self, args: argparse.Namespace, http: str, link: str) -> None:
        self.args = args
        self.http = http
        self.link = link
        self.seen = Seen()
        self.runs: Counter[int] = Counter()
        self.beats = 0
        self.late = 0

    async def beat(self, number: int) -> None:
        """Send heartbeats of one upstream over a kept connection, for ever."""
        await anyio.sleep(random.random() * REGISTER_SECONDS)
        sequence = 0
        connection = await connect(self.http, source=None, seconds=5.0)
        while True:
            sequence += 1
            said = registration(number, self.runs[number], sequence)
            held = said.holdings[0]
            body = msgspec.json.encode(
                {
                    "service": said.pool,
                    "address": said.address,
                    "zone": said.failure_domain,
                    "version": "v1",
                    "slots": said.slots,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "sequence": sequence,
                    "routeType": said.card,
                    "layers": {"from": held.first, "targetVersion": held.end, "version": 1},
                }
            )
            headers = [(b"Host", b"x"), (b"Content-Length", str(len(body)).encode())]
            target = f"/api/replicas/{said.instance}".encode()
            began = time.monotonic()
            await send_request(connection, b"PUT", target, headers, body)
            await read_head(connection)
            while await read_part(connection) is not None:
                pass
            self.beats += 1
            self.late += time.monotonic() - began > HEARTBEAT_SECONDS
            connection.protocol.start_next_cycle()
            await anyio.sleep(HEARTBEAT_SECONDS)

    async def follow(self, number: int) -> None:
        """Follow the registry as an entry box does, for ever."""

        async def serve(link: Link) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.ask, number, link)
                while True:
                    self.seen.note(await link.receive())

        await keep_link(self.link, identity(number, PeerRole.ENTRY), serve, rng=random.Random())

    async def ask(self, number: int, link: Link) -> None:
        """Ask for versions, and report loads from every third box."""
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

    async def tell(self) -> None:
        """Tell what another registry hears: news of its upstreams, then their ages."""

        async def serve(link: Link) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.tell_all, link)
                while True:
                    await link.receive()

        await keep_link(self.link, identity(200, PeerRole.CONTROL), serve, rng=random.Random())

    async def tell_all(self, link: Link) -> None:
        """Tell the news in steps of a tick, then ages."""
        first, count = self.args.upstreams, self.args.told
        numbers = list(range(first, first + count))
        step = max(1, int(count * 0.01 / REGISTER_SECONDS))
        for start in range(0, count, step):
            for number in numbers[start : start + step]:
                told = Liveness(registration=registration(number, 0, 1), age=0.0)
                link.post(RegistrationUpdate(reported=(told,)))
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
        """Have a part of the upstreams replaced by other runs."""
        count = int(self.args.upstreams * REPLACED_SHARE)
        for number in random.sample(range(self.args.upstreams), count):
            self.runs[number] += 1
            await anyio.sleep(REGISTER_SECONDS / max(1, count))

    async def measure(self, pid: int) -> None:
        """Run the phases and print a line for each."""
        async with anyio.create_task_group() as tasks:
            for number in range(self.args.links):
                tasks.start_soon(self.follow, number)
            await anyio.sleep(2.0)
            for number in range(self.args.upstreams):
                tasks.start_soon(self.beat, number)
            if self.args.told:
                tasks.start_soon(self.tell)
            await self.phase(pid, "register", REGISTER_SECONDS + 1.0)
            await self.phase(pid, "rest", REST_SECONDS)
            tasks.start_soon(self.replace)
            await self.phase(pid, "replace", REGISTER_SECONDS + 1.5)
            tasks.cancel_scope.cancel()

    async def phase(self, pid: int, name: str, seconds: float) -> None:
        """Measure one span of time."""
        self.seen, self.beats, self.late = Seen(), 0, 0
        before, began = usage_of(pid), time.monotonic()
        await anyio.sleep(seconds)
        after, took = usage_of(pid), time.monotonic() - began
        share = (after.cpu_seconds - before.cpu_seconds) / took
        total = sum(self.seen.sizes.values()) / took / 1000
        print(
            f"{name:9} {share:6.1%} of a core  {after.memory_mb:6.1f} MB  {total:9.1f} kB/s out"
            f"  {self.beats / took:6.0f} heartbeats/s  {self.late} late"
        )
        for kind, size in self.seen.sizes.most_common(6):
            count = self.seen.messages[kind]
            print(f"    {kind:20} {size / took / 1000:9.1f} kB/s  {count / took:9.0f} a second")


def main() -> None:
    """Run one registry with stand-ins around it."""
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
