"""A randomized soak of the real programs, with faults from outside and promises checked from there.

Run as `python -m standins.soak --seeds 50 --seconds 20`. Processes are stopped, paused, killed and
wiped by signals; connections to upstreams are delayed, reset, cut one way and silenced by a proxy;
upstreams ask for rest and name limits; documents are published meanwhile. Callers keep their
connections until the process is gone. The promises are checked against what callers got and what
upstreams wrote into their ledgers.
"""

from __future__ import annotations

import argparse
import random
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import httpx

from .discovered_fleet import (
    HOST,
    KEY,
    LAYERS,
    SECOND_KEY,
    DiscoveredFleet,
    example_document,
    running_discovered_fleet,
    wait_until,
)
from .fault_proxy import CUT, NO_FAULT, Fault, FaultProxy
from .registered_upstream import parse_path

CALLERS = 5
"""Threads that send requests, one after the other each."""

EVENTS = 25
"""Events of a whole stream."""

REVOCATION_MS = 5000
"""How long a key may work after it was taken away, in milliseconds."""

CLOCK_SLACK_SECONDS = 0.1
"""Room between the times that callers and upstreams write down on one machine."""

SETTLE_SECONDS = 45
"""How long each route of each gateway may take to be served again, once all faults are gone."""

LIMIT_SETTLE_SECONDS = 3.0
"""How long after one of its runs first named it a limit may be passed, while boxes learn of it."""

LIMIT_SPAN_SECONDS = 4.0
"""Length of the spans in which requests under a limit are counted."""

NOT_RUN = {408, 421, 429, 503}
"""Statuses that promise that a request has not run and will not run."""


@dataclass(kw_only=True)
class Call:
    """One request of a caller."""

    id: str
    """Its `Attempt-Id`."""

    route: str
    """Name of its route in the example document."""

    key: str
    """Key that it carries."""

    sent_at: float
    """When it was sent, in seconds since 1970."""

    body: bytes
    """Its body."""

    status: int = 0
    """Status, or 0 if no head of an answer arrived."""

    text: bytes = b""
    """What arrived of the body."""

    whole: bool = False
    """True if the answer ended as it should."""


@dataclass(kw_only=True)
class NamedLimit:
    """A time for which an upstream named how many requests a second it takes."""

    upstream: str
    """Name of its process."""

    rate: float
    """Requests a second."""

    since: float
    """From when on, in seconds since 1970."""

    until: float
    """Until when."""


@dataclass(kw_only=True)
class Soak:
    """One seeded run."""

    fleet: DiscoveredFleet
    """The system."""

    rng: random.Random
    """Source of the faults; what callers do is seeded from it too."""

    seconds: float
    """How long faults are injected."""

    calls: list[Call] = field(default_factory=list)
    """Every request that was sent while faults were injected."""

    over: threading.Event = field(default_factory=threading.Event)
    """Set once callers are to end; faults that wait for their end then end at once."""

    acknowledged: int = 0
    """Highest version that was acknowledged."""

    offered: int = 1
    """Highest version that was sent."""

    revoked_at: float | None = None
    """When a document without the second key was first acknowledged, in seconds since 1970; no
    later document has the key again."""

    planned_ends: list[int] = field(default_factory=list)
    """Exit codes of gateways that were stopped as planned and not killed meanwhile."""

    killed: set[int] = field(default_factory=set)
    """Processes that were killed, by id."""

    limits: list[NamedLimit] = field(default_factory=list)
    """Limits that upstreams named, each from its beginning to its end."""

    faults: list[str] = field(default_factory=list)
    """Kinds of the faults in order, each with a box that was drawn for it; kills and pauses hit
    that box, the other kinds one of their own."""


def stream_bytes(count: int) -> bytes:
    """Return the stream that engines produce."""
    return b"".join(b"id: %d\ndata: token-%d\n\n" % (number, number) for number in range(count))


def make_calls(soak: Soak, number: int, seed: int) -> None:
    """Send requests until the run is over, on connections that are kept."""
    rng = random.Random(seed)
    with httpx.Client(timeout=12.0, trust_env=False) as client:
        count = 0
        while not soak.over.is_set():
            count += 1
            call = Call(
                id=f"{number}-{count}",
                route=rng.choice(("draft", "draft", "status", "preview")),
                key=rng.choice((KEY, KEY, SECOND_KEY)),
                sent_at=time.time(),
                body=b"body-%d-%d" % (number, count),
            )
            soak.calls.append(call)
            make_call(soak, client, call, rng.randrange(soak.fleet.gateways))
            time.sleep(rng.random() * 0.1)


def make_call(soak: Soak, client: httpx.Client, call: Call, gateway: int) -> None:
    """Send one request and note what arrives."""
    headers = {
        "Host": HOST,
        "Attempt-Id": call.id,
        "Deadline-Ms": "7000",
        "Authorization": f"Token {call.key}",
    }
    if call.route == "draft":
        headers["Token-Count"] = f"10,{EVENTS}"
    url = f"http://{soak.fleet.caller_address(gateway)}/{call.route}/x"
    try:
        with client.stream("POST", url, headers=headers, content=call.body) as answer:
            call.status = answer.status_code
            for part in answer.iter_bytes():
                call.text += part
        call.whole = True
    except httpx.HTTPError:
        return


def publish(soak: Soak, *, with_second_key: bool) -> None:
    """Publish the next document at a random box; a lost answer counts as no acknowledgement."""
    soak.offered += 1
    keys = [KEY, SECOND_KEY] if with_second_key else [KEY]
    tenants = [{"name": "designers", "apiKeys": keys, "priority": 1}]
    document = example_document(soak.offered) | {"tenants": tenants}
    number = soak.rng.randrange(soak.fleet.registries)
    try:
        with httpx.Client(timeout=4.0, trust_env=False) as client:
            url = f"http://{soak.fleet.control_addresses[number]}/api/config"
            acknowledged = client.put(url, json=document).status_code == 200
    except httpx.HTTPError:
        acknowledged = False
    if acknowledged:
        soak.acknowledged = max(soak.acknowledged, soak.offered)
        if not with_second_key and soak.revoked_at is None:
            soak.revoked_at = time.time()


def later(soak: Soak, seconds: float, action: Callable[[], None]) -> None:
    """Run an action after a while or at the end of the run, while other faults go on."""

    def run() -> None:
        soak.over.wait(seconds)
        action()

    threading.Thread(target=run, daemon=True).start()


def inject(soak: Soak) -> None:
    """Inject one fault; several may be in force at once."""
    fleet, rng = soak.fleet, soak.rng
    upstreams = [name for name in fleet.boxes if not name.startswith(("gateway", "registry"))]
    gateway = f"gateway-{rng.randrange(fleet.gateways)}"
    registry = f"registry-{rng.randrange(fleet.registries)}"
    upstream = rng.choice(upstreams)
    pause = rng.uniform(0.2, 3.0)
    proxy = fleet.proxy
    assert proxy is not None
    address = (fleet.boxes[upstream].ip, fleet.port + 5)
    kind = rng.choice(
        ("kill", "kill", "pause", "pause", "stop", "hang-up", "wipe", "proxy", "proxy", "publish")
    )
    victim = rng.choice((gateway, registry, upstream))
    soak.faults.append(f"{kind} {victim}")
    match kind:
        case "kill":
            popen = fleet.boxes[victim].popen
            assert popen is not None
            soak.killed.add(popen.pid)
            fleet.kill(victim)
            later(soak, pause, lambda: fleet.restart(victim))
        case "pause":
            fleet.signal(victim, signal.SIGSTOP)
            later(soak, pause, lambda: fleet.signal(victim, signal.SIGCONT))
        case "stop":
            stop(soak, gateway)
        case "hang-up":
            fleet.signal(gateway, signal.SIGHUP)
            fleet.signal(registry, signal.SIGHUP)
        case "wipe" if not any(fault.startswith("wipe") for fault in soak.faults[:-1]):
            # One disk at most, as many as the system promises to bear.
            fleet.wipe(int(registry.rpartition("-")[2]))
        case "proxy":
            fault = rng.choice(
                (
                    CUT,
                    Fault(refuse=True),
                    Fault(drop_back=True),
                    Fault(drop_forth=True),
                    Fault(delay=rng.uniform(0.02, 0.3)),
                    Fault(bytes_per_second=2000),
                )
            )
            proxy.set_target(address, fault)
            later(soak, pause, lambda: proxy.set_target(address, NO_FAULT))
        case _:
            publish(soak, with_second_key=soak.revoked_at is None and rng.random() < 0.7)


def keep_wishing(soak: Soak, rng: random.Random) -> None:
    """Have upstreams ask for rest or name limits, one or several at once, until the run is over.

    With a source of its own, so that a seed injects the same faults as without wishes.
    """
    fleet = soak.fleet
    while not soak.over.wait(rng.uniform(0.5, 2.0)):
        upstream = rng.choice(
            [name for name in fleet.boxes if not name.startswith(("gateway", "registry"))]
        )
        if rng.random() < 0.4:
            fleet.set_mood(upstream, rest=f"{rng.uniform(0.2, 1.5):.2f}")
            later(soak, rng.uniform(0.1, 1.0), partial(fleet.set_mood, upstream))
        else:
            name_limit(soak, upstream, round(rng.uniform(0.5, 4.0), 2), rng.uniform(4.0, 9.0))


def name_limit(soak: Soak, upstream: str, rate: float, seconds: float) -> None:
    """Have an upstream name a limit for some time."""
    limit = NamedLimit(upstream=upstream, rate=rate, since=time.time(), until=time.time() + seconds)
    soak.fleet.set_mood(upstream, limit=str(rate))
    soak.limits.append(limit)

    def end() -> None:
        limit.until = min(limit.until, time.time())
        soak.fleet.set_mood(upstream)

    later(soak, seconds, end)


def stop(soak: Soak, gateway: str) -> None:
    """Stop a gateway as planned, and start it again once it has ended."""
    fleet = soak.fleet
    popen = fleet.boxes[gateway].popen
    number = int(gateway.rpartition("-")[2])
    if popen is None or not fleet.ready(number):
        # A process that has not come up yet ends at once and has nothing to finish.
        return
    fleet.signal(gateway, signal.SIGTERM)

    def finish() -> None:
        code = popen.wait(30)
        if popen.pid not in soak.killed:
            soak.planned_ends.append(code)
        if fleet.boxes[gateway].popen is popen:
            fleet.restart(gateway)

    threading.Thread(target=finish, daemon=True).start()


def settle(soak: Soak) -> list[str]:
    """Remove all faults and wait until everything is served again."""
    fleet = soak.fleet
    assert fleet.proxy is not None
    fleet.proxy.heal()
    for name in fleet.boxes:
        fleet.set_mood(name)
    for name, box in list(fleet.boxes.items()):
        fleet.signal(name, signal.SIGCONT)
        if box.popen is None or box.popen.poll() is not None:
            fleet.restart(name)
    with httpx.Client(timeout=8.0, trust_env=False) as client:

        def served(gateway: int, route: str) -> bool:
            call = Call(id=f"end-{time.time()}", route=route, key=KEY, sent_at=0.0, body=b"x")
            make_call(soak, client, call, gateway)
            return call.whole and call.status == 200

        for gateway in range(fleet.gateways):
            for route in ("draft", "status", "preview"):
                try:
                    what = f"{route} at gateway-{gateway}"
                    wait_until(lambda: served(gateway, route), SETTLE_SECONDS, what)  # noqa: B023
                except TimeoutError as error:
                    return [f"not served again: {error}"]
    return []


def check(soak: Soak) -> list[str]:
    """Return every promise that was broken."""
    runs = soak.fleet.ledger()
    broken = [*check_runs(soak, runs), *check_answers(soak, runs), *check_documents(soak)]
    for limit in soak.limits:
        broken += check_limit(soak, limit, runs)
    if soak.fleet.ledger("over-limit"):
        broken.append("an engine was ordered to hold more than fits")
    return broken


def check_runs(soak: Soak, runs: list[dict[str, Any]]) -> list[str]:
    """Check what upstreams ran, against what callers sent and what they were told.

    The promise of a refusal is checked for requests that may run once only.
    """
    broken = []
    calls = {call.id: call for call in soak.calls}
    counts = Counter(run["id"] for run in runs)
    for run in runs:
        call = calls.get(run["id"])
        if call is None:
            if not run["id"].startswith("end-"):
                broken.append(f"run of an id that nobody sent: {run['id']}")
            continue
        if run["tenant"] != "designers" or run["key"]:
            broken.append(f"account or key wrong: {run['id']}")
        if run["body"].encode() != call.body:
            broken.append(f"body changed: {run['id']}")
        if run["path"] and not covers(run["path"]):
            broken.append(f"layers not once and in order: {run['path']}")
        if call.key == SECOND_KEY and soak.revoked_at is not None:
            limit = soak.revoked_at + REVOCATION_MS / 1000 + CLOCK_SLACK_SECONDS
            if call.sent_at > limit:
                broken.append(f"ran with a key taken away: {run['id']}")
    for call in soak.calls:
        if call.route == "preview" and counts[call.id] > 1:
            broken.append(f"ran {counts[call.id]} times: {call.id}")
        if call.route == "preview" and call.status in NOT_RUN and counts[call.id]:
            broken.append(f"refused as not run, and ran: {call.id}")
    return broken


def check_limit(soak: Soak, limit: NamedLimit, runs: list[dict[str, Any]]) -> list[str]:
    """Check that each run of an upstream got no more than the limit that it named allows.

    A limit may have been replaced by another one, or by rest, before its end.
    """
    others = [other.since for other in soak.limits if other.upstream == limit.upstream]
    until = min([limit.until, *(since for since in others if since > limit.since)])
    most = 1.5 * limit.rate * LIMIT_SPAN_SECONDS + 5
    broken = []
    for instance in soak.fleet.upstream_ids(limit.upstream):
        times = sorted(
            run["at"]
            for run in runs
            if run["upstream"] == instance and limit.since <= run["at"] <= until
        )
        judged = [at for at in times if at >= times[0] + LIMIT_SETTLE_SECONDS]
        got = max(
            (sum(at <= x < at + LIMIT_SPAN_SECONDS for x in judged) for at in judged), default=0
        )
        if got > most:
            broken.append(f"{instance} named {limit.rate} a second and got {got} in 4 s")
    return broken


def covers(path: str) -> bool:
    """Tell whether a path runs every layer once and in order."""
    position = 0
    for _, first, end in parse_path(path):
        if first != position or end <= first:
            return False
        position = end
    return position == LAYERS


def check_answers(soak: Soak, runs: list[dict[str, Any]]) -> list[str]:
    """Check what callers got: nothing but their own answer, and all of it if it ended as whole.

    An answer that was broken off may have any part of its own from the start.
    """
    broken = []
    expected = stream_bytes(EVENTS)
    ran = {run["id"] for run in runs}
    for call in soak.calls:
        if call.status != 200:
            continue
        if call.id not in ran:
            broken.append(f"answered and not run: {call.id}")
        if call.route == "draft":
            right = call.text == expected if call.whole else expected.startswith(call.text)
            if not right:
                broken.append(f"stream not its own: {call.id} {call.text[-60:]!r}")
        elif call.whole and call.text != b"echo:" + call.body:
            broken.append(f"answer not its own: {call.id} {call.text[:60]!r}")
    return broken


def check_documents(soak: Soak) -> list[str]:
    """Check that what was acknowledged is still there, and the ends of planned stops."""
    broken = [f"a planned stop ended with {code}" for code in soak.planned_ends if code]
    with httpx.Client(timeout=4.0, trust_env=False) as client:
        for address in soak.fleet.control_addresses:
            try:
                answer = client.get(f"http://{address}/api/config")
            except httpx.HTTPError as error:
                broken.append(f"document not read at {address}: {error!r}")
                continue
            version = answer.json().get("version", 0) if answer.status_code == 200 else 0
            if not soak.acknowledged <= version <= soak.offered:
                broken.append(f"version {version} at {address}, {soak.acknowledged} acknowledged")
    return broken


def run_seed(seed: int, seconds: float) -> list[str]:
    """Run one seed; returns the promises that were broken, with the faults that were injected."""
    rng = random.Random(seed)
    with running_discovered_fleet(proxy=FaultProxy(), revocation_ms=REVOCATION_MS) as fleet:
        soak = Soak(fleet=fleet, rng=rng, seconds=seconds, acknowledged=1)
        threads = [
            threading.Thread(target=make_calls, args=(soak, number, rng.random()))
            for number in range(CALLERS)
        ]
        wishes = random.Random(f"wishes of {seed}")
        threads.append(threading.Thread(target=keep_wishing, args=(soak, wishes)))
        for thread in threads:
            thread.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(rng.choice((0.05, 0.3, 1.0)))
            inject(soak)
        soak.over.set()
        for thread in threads:
            thread.join()
        time.sleep(0.5)
        broken = [*settle(soak), *check(soak)]
        statuses = Counter(call.status for call in soak.calls)
        print(f"seed {seed}: {len(soak.calls)} calls {dict(statuses)}, {len(broken)} broken")
        if broken:
            print("  faults: " + ", ".join(soak.faults))
            for name in fleet.boxes:
                lines = [line for line in fleet.log(name) if line["level"] == "ERROR"]
                for line in lines[:3]:
                    print(f"  {name}: {line.get('exc_info', line['message'])[-600:]}")
        return broken


def main() -> int:
    """Run fresh or given seeds; returns 1 if any promise was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, help="first seed; a fresh one if left out")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    first = options.seed if options.seed is not None else random.SystemRandom().randrange(10**9)
    failed = []
    for seed in range(first, first + options.seeds):
        broken = run_seed(seed, options.seconds)
        for line in broken[:10]:
            print(f"  {line}", flush=True)
        if broken:
            failed.append(seed)
    print(f"{options.seeds} seeds from {first}, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
