"""Fan-out and claim rate of control boxes, measured on processes with stand-in followers."""

from __future__ import annotations

import random
import statistics
import time
from functools import partial

import anyio
import msgspec

from ledgeladder.coordination.commands import ClaimCommand
from ledgeladder.daemons.entry.command_client import CommandClient, commit, keep_command_link
from ledgeladder.links import Link, LinkIdentity, keep_link
from ledgeladder.links.messages import DeltaPush, FullPush, InForce, PeerRole, Pull
from standins.fleet import DOMAINS, SECRET, Fleet, running_fleet
from standins.keys import new_key

from ..processes import usage_by_name
from .fit import Slope

NODES = 410
IDLE_SECONDS = 6.0
CHANGES = 5


def identity(number: int) -> LinkIdentity:
    """Return the link identity of a stand-in follower."""
    return LinkIdentity(
        cluster="fleet",
        role=PeerRole.ENTRY,
        box=f"follower-{number}",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        instance="bench",
        secret=SECRET,
    )


class Followers:
    """Followers of the configuration, each with links to all control boxes, like entries."""

    def __init__(self, fleet: Fleet, count: int) -> None:
        self.fleet = fleet
        self.count = count
        self.versions: dict[int, int] = {}
        self.in_force_at: dict[int, float] = {}
        self.bytes = 0

    async def follow(self, number: int, control: str) -> None:
        """Follow one control box."""

        async def serve(link: Link) -> None:
            link.post(Pull(version=0))
            while True:
                message = await link.receive()
                self.bytes += len(msgspec.msgpack.encode(message))
                version = self.versions.get(number, 0)
                if isinstance(message, FullPush):
                    version = max(version, message.configuration.version)
                elif isinstance(message, DeltaPush) and message.deltas:
                    version = max(version, message.deltas[-1].version)
                if version != self.versions.get(number):
                    self.versions[number] = version
                    self.in_force_at[number] = time.monotonic()
                    link.post(
                        InForce(
                            box=f"follower-{number}",
                            failure_domain=DOMAINS[number % len(DOMAINS)],
                            instance="bench",
                            version=version,
                        )
                    )

        address = self.fleet.addresses[f"{control}/link"]
        await keep_link(address, identity(number), serve, rng=random.Random(number))

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Open all links."""
        for number in range(self.count):
            for control in self.fleet.control_names:
                tasks.start_soon(self.follow, number, control)

    async def wait_version(self, version: int) -> None:
        """Wait until every follower has at least this version."""
        while len(self.versions) < self.count or min(self.versions.values()) < version:
            await anyio.sleep(0.005)


def change(number: int, base: int) -> dict[str, object]:
    """Return a small change of the configuration."""
    return {
        "change_id": f"capacity-{number:06}",
        "base_version": base,
        "put": {"priorities": [{"name": "measured", "rank": number % 100}]},
    }


async def run_fan_out(fleet: Fleet, count: int) -> tuple[float, float, float]:
    """Return seconds until in force, idle leader's core share, and bytes/s for each follower."""
    followers = Followers(fleet, count)
    leader = fleet.wait_leader()
    status = fleet.status(leader)
    assert status is not None
    version = int(status["version"])
    async with anyio.create_task_group() as tasks:
        followers.start(tasks)
        with anyio.fail_after(60):
            await followers.wait_version(version)
        await anyio.sleep(1.0)
        followers.bytes = 0
        before = usage_by_name(fleet)[leader].cpu_seconds
        await anyio.sleep(IDLE_SECONDS)
        share = (usage_by_name(fleet)[leader].cpu_seconds - before) / IDLE_SECONDS
        rate = followers.bytes / IDLE_SECONDS / count
        times = []
        for number in range(CHANGES):
            started = time.monotonic()
            body = change(version * 1000 + number, version)
            submit = partial(fleet.operator, leader, "/v1/changes", body)
            answer = await anyio.to_thread.run_sync(submit)
            assert answer.status_code == 200, answer.text
            version += 1
            with anyio.fail_after(30):
                await followers.wait_version(version)
            times.append(max(followers.in_force_at.values()) - started)
        tasks.cancel_scope.cancel()
    return statistics.median(times), share, rate


def measure_fan_out() -> list[Slope]:
    """Measure the fan-out of changes against the number of followers."""
    in_force_ms: list[tuple[float, float]] = []
    share: list[tuple[float, float]] = []
    rate: list[tuple[float, float]] = []
    for count in (8, 32, 64, 128, 256, NODES):
        with running_fleet(entries_per_domain=(), engines=[], services=0) as fleet:
            fleet.wait_leader()
            seconds, core, received = anyio.run(run_fan_out, fleet, count)
        in_force_ms.append((count, seconds * 1000))
        share.append((count, core * 100))
        rate.append((count, received))
    return [
        Slope(
            name="in-force",
            what="ms from sending a change to in force on all (median of 5)",
            against="followers",
            points=in_force_ms,
            target=NODES,
            target_measured=True,
        ),
        Slope(
            name="leader-at-rest",
            what="leader at rest, % of a core",
            against="followers",
            points=share,
            target=NODES,
            target_measured=True,
        ),
        Slope(
            name="head-bytes",
            what="configuration bytes received a second a node, at rest",
            against="followers",
            points=rate,
            target=NODES,
            target_measured=True,
        ),
    ]


async def run_claims(fleet: Fleet, concurrency: int, seconds: float) -> tuple[float, float, float]:
    """Return claims a second, and the median and 99th percentile of latency in milliseconds."""
    client = CommandClient()
    latencies: list[float] = []
    async with anyio.create_task_group() as tasks:
        for name in fleet.control_names:
            address = fleet.addresses[f"{name}/link"]
            tasks.start_soon(keep_command_link, client, name, address, identity(1))
        while len(client.links) < len(fleet.control_names):
            await anyio.sleep(0.01)
        deadline = time.monotonic() + seconds

        async def send_claims(number: int) -> None:
            while time.monotonic() < deadline:
                now_ms = time.time_ns() // 1_000_000
                command = ClaimCommand(
                    account=f"account-{number}",
                    key=new_key(),
                    body_digest=b"0" * 16,
                    attempt="0" * 24,
                    deadline_ms=now_ms + 1000,
                    time_ms=now_ms,
                )
                started = time.perf_counter()
                await commit(client, command, seconds=10)
                latencies.append((time.perf_counter() - started) * 1000)

        async with anyio.create_task_group() as workers:
            for number in range(concurrency):
                workers.start_soon(send_claims, number)
        tasks.cancel_scope.cancel()
    latencies.sort()
    return (
        len(latencies) / seconds,
        statistics.median(latencies),
        latencies[int(len(latencies) * 0.99)],
    )


def measure_claims() -> list[str]:
    """Measure claims at several levels of concurrency; returns Markdown table rows."""
    rows = []
    for concurrency in (1, 4, 16, 64, 256):
        with running_fleet(entries_per_domain=(), engines=[], services=0) as fleet:
            leader = fleet.wait_leader()
            anyio.run(run_claims, fleet, concurrency, 0.5)
            status = fleet.status(leader)
            assert status is not None
            before, syncs = usage_by_name(fleet), status["syncs"]
            rate, median, percentile_99 = anyio.run(run_claims, fleet, concurrency, 4.0)
            after, status = usage_by_name(fleet), fleet.status(leader)
            assert status is not None
            cpu = after[leader].cpu_seconds - before[leader].cpu_seconds
            per_sync = rate * 4.0 / max(1, status["syncs"] - syncs)
            rows.append(
                f"| {concurrency} | {rate:.0f} | {median:.1f} | {percentile_99:.1f} "
                f"| {cpu / (rate * 4.0) * 1e6:.0f} | {per_sync:.1f} |"
            )
    return rows
