"""A randomized soak test of the system as processes, with injected faults.

Run as `python -m standins.soak --seeds 50 --seconds 20`. Processes are stopped, paused and killed,
and registries lose their data. A proxy delays, resets and drops connections to upstreams. Upstreams
announce back-off and rate limits, and documents are published. Bursts of one priority or client
account take the room of the engines. Upstreams are suspended together and run again. Callers keep
their connections until the process exits. The guarantees are checked against the responses of
callers and the ledgers of upstreams.

With `--silence`, silences of upstreams are the only faults, and every request must be answered.
With `--ends`, faults that must end no process are the only ones.
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

from . import soak_ends
from .discovered_fleet import (
    HOST,
    KEY,
    LAYERS,
    SECOND_KEY,
    DiscoveredFleet,
    running_discovered_fleet,
    wait_until,
)
from .fault_proxy import CUT, NO_FAULT, Fault, FaultProxy, OpenConnections
from .kept_logs import keep_logs
from .registered_upstream import parse_path
from .shared_room import (
    ACCOUNTS,
    BURSTS,
    DEADLINE_SECONDS,
    ENGINE_SLOTS,
    ONCE_ROUTES,
    STREAM_PRIORITIES,
    Pause,
    check_shared_room,
    check_shares,
    choose_request,
    new_pause,
    refused_by_admission,
    shared_room_document,
)
from .silence import (
    CHANGES,
    ENGINE_NUMBERS,
    MOVED,
    SPARE_CHANGES,
    SPARE_POOL,
    RouteTimeout,
    Silence,
    change_documents,
    check_answers,
    check_attempts,
    check_blame,
    check_retry_budget,
    choose_silence,
    held_layers,
    logged_outcomes,
    record_acknowledged,
    record_timeout,
    silence_document,
)

CALLER_THREADS = 5
"""Number of threads that each send one request after another."""

BURST_THREADS = 15
"""Number of threads that send the requests of a burst: with the others, more than the engines that
hold the first layers have slots."""

QUIET_SECONDS = 2.0
"""Time after the faults in which ordinary callers send and admission must refuse none of them."""

STREAM_EVENTS = 25
"""Events of a complete stream."""

REVOCATION_MS = 5000
"""Time limit for the revocation of a key, in milliseconds."""

CLOCK_SLACK_SECONDS = 0.1
"""Tolerance between timestamps of callers and upstreams, which run on one machine."""

RECOVERY_SECONDS = 45
"""Time limit for each route of each gateway to be served again after the faults are removed."""

LIMIT_GRACE_SECONDS = 3.0
"""Time after a limit was first announced in which it may be exceeded while it spreads."""

LIMIT_WINDOW_SECONDS = 4.0
"""Length of the sliding window in which requests under a limit are counted."""

SILENCE_CALLERS = 12
"""Number of callers while silences are the only faults: with fewer, most would wait for one."""

SPARES = 2
"""Upstreams to which documents move plain routes while silences are the only faults."""

SILENCE_HEARTBEAT_MS = 1200
"""Time between heartbeats while silences are the only faults, the default of the settings: most
silences end before an engine has missed enough of them to be presumed lost."""

SETTLED_SECONDS = 2.0
"""Time without orders after which engines are taken to hold their final layers."""

NOT_RUN_STATUSES = {408, 421, 429, 503}
"""Statuses that guarantee that a request was not executed and will not be."""


@dataclass(kw_only=True)
class Call:
    """One request of a caller and its response."""

    id: str
    """Its `Attempt-Id`."""

    route: str
    """Name of its route in the example document."""

    key: str
    """API key in the request."""

    sent_at: float
    """Time of sending, in seconds since 1970."""

    body: bytes
    """Request body."""

    gateway: int = 0
    """Number of the gateway."""

    ended_at: float = 0.0
    """Time at which the response ended or the connection was lost; 0 while in progress."""

    retry_after: float = 0.0
    """Time to come back that the response names, in seconds; 0 if it names none."""

    status: int = 0
    """Response status, or 0 if no response head arrived."""

    text: bytes = b""
    """Received part of the response body."""

    code: int = 0
    """Result code of a refusal, or 0."""

    complete: bool = False
    """True if the response ended regularly."""


@dataclass(kw_only=True)
class AnnouncedLimit:
    """A rate limit that an upstream announced, and its period."""

    upstream: str
    """Name of the upstream's process."""

    rate: float
    """Requests a second."""

    since: float
    """Start of the period, in seconds since 1970."""

    until: float
    """End of the period, in seconds since 1970."""


@dataclass(kw_only=True)
class Soak:
    """State of one seeded run."""

    fleet: DiscoveredFleet
    """The system."""

    rng: random.Random
    """Random source of the faults and of the seeds of callers."""

    seconds: float
    """Time over which faults are injected."""

    calls: list[Call] = field(default_factory=list)
    """All requests sent while faults were injected."""

    stopping: threading.Event = field(default_factory=threading.Event)
    """Stops the callers and ends pending faults early."""

    acknowledged_version: int = 0
    """Highest acknowledged version of the document."""

    sent_version: int = 1
    """Highest version sent."""

    revoked_at: float | None = None
    """First acknowledgement of a document without the second key, in seconds since 1970; later
    documents never contain the key again."""

    planned_exit_codes: list[int] = field(default_factory=list)
    """Exit codes of gateways that were stopped by SIGTERM and not killed meanwhile."""

    pauses: list[Pause] = field(default_factory=list)
    """Periods in which processes were stopped."""

    killed_pids: set[int] = field(default_factory=set)
    """Process ids of killed processes."""

    limits: list[AnnouncedLimit] = field(default_factory=list)
    """Rate limits that upstreams announced."""

    timeouts: list[RouteTimeout] = field(default_factory=list)
    """Route timeouts of all documents that were sent, oldest first."""

    publishing: threading.Lock = field(default_factory=threading.Lock)
    """Held while a document is published: versions are sent in order."""

    violations: list[str] = field(default_factory=list)
    """Violated guarantees that were seen while faults were injected."""

    faults: list[str] = field(default_factory=list)
    """Kinds of the injected faults in order, each with a random victim; only kills and pauses
    affect that victim, other kinds choose their own."""


def stream_bytes(count: int) -> bytes:
    """Return the expected text of a stream with `count` events."""
    return b"".join(b"id: %d\ndata: token-%d\n\n" % (number, number) for number in range(count))


def run_caller(
    soak: Soak,
    name: str,
    seed: float | str,
    stopping: threading.Event,
    choose: Callable[[random.Random], tuple[str, str]] = choose_request,
) -> None:
    """Send requests on kept connections until stopped.

    Args:
        soak: State of the run.
        name: Name of the caller, which starts the ids of its requests.
        seed: Random seed.
        stopping: Stops the caller.
        choose: Returns the route and the key of a request.
    """
    rng = random.Random(seed)
    with httpx.Client(timeout=12.0, trust_env=False) as client:
        count = 0
        while not stopping.is_set():
            count += 1
            route, key = choose(rng)
            call = Call(
                id=f"{name}-{count}",
                route=route,
                key=key,
                sent_at=time.time(),
                body=f"body-{name}-{count}".encode(),
                gateway=rng.randrange(soak.fleet.gateways),
            )
            soak.calls.append(call)
            send_call(soak, client, call)
            time.sleep(rng.random() * 0.1)


def send_call(soak: Soak, client: httpx.Client, call: Call) -> None:
    """Send one request and record its response."""
    headers = {
        "Host": HOST,
        "Attempt-Id": call.id,
        "Deadline-Ms": f"{DEADLINE_SECONDS * 1000:.0f}",
        "Authorization": f"Token {call.key}",
    }
    if call.route in STREAM_PRIORITIES:
        headers["Token-Count"] = f"10,{STREAM_EVENTS}"
    url = f"http://{soak.fleet.caller_address(call.gateway)}/{call.route}/x"
    try:
        with client.stream("POST", url, headers=headers, content=call.body) as answer:
            call.status = answer.status_code
            call.code = int(answer.headers.get("ledgeladder-code", 0))
            call.retry_after = float(answer.headers.get("retry-after", 0))
            for part in answer.iter_bytes():
                call.text += part
        call.complete = True
    except httpx.HTTPError:
        return
    finally:
        call.ended_at = time.time()


def run_callers(soak: Soak, names: list[str], seeds: list[Any], **options: Any) -> None:
    """Run callers on threads until they are stopped; the options are those of `run_caller`."""
    threads = [
        threading.Thread(target=run_caller, args=(soak, name, seed), kwargs=options)
        for name, seed in zip(names, seeds, strict=True)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def send_bursts(soak: Soak, rng: random.Random) -> None:
    """Multiply the requests of a random priority or account at random times until the run stops.

    Takes a separate random source, as back-pressure does.
    """
    number = 0
    while not soak.stopping.wait(rng.uniform(1.0, 3.0)):
        number += 1
        routes, keys = rng.choice(BURSTS)
        soak.faults.append(f"burst {'/'.join(routes)}")
        stopping = threading.Event()
        run_later(soak, rng.uniform(1.0, 3.0), stopping.set)
        run_callers(
            soak,
            [f"burst-{number}-{item}" for item in range(BURST_THREADS)],
            [rng.random() for _ in range(BURST_THREADS)],
            stopping=stopping,
            choose=lambda rng: (rng.choice(routes), rng.choice(keys)),  # noqa: B023
        )


def check_quiet(soak: Soak) -> list[str]:
    """Send ordinary requests without faults; returns violations if admission refuses any."""
    known = admission_refusals(soak)
    stopping = threading.Event()
    threading.Timer(QUIET_SECONDS, stopping.set).start()
    names = [f"quiet-{number}" for number in range(CALLER_THREADS)]
    run_callers(soak, names, list(names), stopping=stopping)
    refused = admission_refusals(soak) - known
    return [f"refused by admission without burst or fault: {item}" for item in sorted(refused)]


def admission_refusals(soak: Soak) -> set[str]:
    """Return the ids of requests that the admission of any gateway refused."""
    numbers = range(soak.fleet.gateways)
    logs = [soak.fleet.log(f"gateway-{number}") for number in numbers]
    return {item for log in logs for item in refused_by_admission(log)}


def publish(
    soak: Soak,
    number: int,
    *,
    with_second_key: bool = True,
    change: Callable[[dict[str, Any]], None] | None = None,
    is_valid: bool = True,
) -> None:
    """Publish the next document; a lost response is no acknowledgement.

    Args:
        soak: State of the run.
        number: Number of the registry.
        with_second_key: False to revoke the second key; it stays revoked.
        change: Changes the document; None to publish it as it is.
        is_valid: False if the document must be refused.
    """
    with soak.publishing:
        with_second_key = with_second_key and soak.revoked_at is None
        version = soak.sent_version + 1
        document = soak.fleet.document(version, with_second_key=with_second_key)
        if change is not None:
            change(document)
        if is_valid:
            soak.sent_version = version
            record_timeout(soak.timeouts, document, time.time())
        status = put_document(soak, number, document)
        if not is_valid:
            if status == 200:
                soak.violations.append(f"an invalid document was acknowledged as {version}")
            return
        if status != 200:
            return
        record_acknowledged(soak.timeouts, time.time())
        soak.acknowledged_version = version
        if not with_second_key and soak.revoked_at is None:
            soak.revoked_at = time.time()


def put_document(soak: Soak, number: int, document: dict[str, Any]) -> int:
    """Send a document to a registry; returns the status, or 0 without a response."""
    url = f"http://{soak.fleet.control_addresses[number]}/api/config"
    try:
        with httpx.Client(timeout=4.0, trust_env=False) as client:
            return client.put(url, json=document).status_code
    except httpx.HTTPError:
        return 0


def keep_silent(soak: Soak, rng: random.Random, changes: tuple[str, ...], longest: float) -> None:
    """Suspend upstreams at random times until the run stops.

    Args:
        soak: State of the run.
        rng: Random source of its own, as back-pressure has.
        changes: Kinds of documents that may be published.
        longest: Longest time between two silences, in seconds.
    """
    names = list(soak.fleet.boxes)
    gateways = [name for name in names if name.startswith("gateway")]
    registries = [name for name in names if name.startswith("registry")]
    upstreams = [name for name in names if not name.startswith(("gateway", "registry"))]
    while not soak.stopping.wait(rng.uniform(0.3, longest)):
        silence = choose_silence(rng, upstreams, gateways, registries, changes)
        soak.faults.append(f"{time.strftime('%H:%M:%S')} {silence.describe()}")
        play_silence(soak, rng, silence)


def play_silence(soak: Soak, rng: random.Random, silence: Silence) -> None:
    """Suspend processes and resume them, with the documents and the reload beside it."""
    # Chosen here, as the random source belongs to this thread.
    documents = change_documents(rng, silence.change)
    numbers = [rng.randrange(soak.fleet.registries) for _ in documents]

    def publish_all() -> None:
        soak.stopping.wait(max(0.0, -silence.lead))
        for number, change in zip(numbers, documents, strict=True):
            publish(soak, number, change=change, is_valid=silence.change != "invalid")
            soak.stopping.wait(silence.gap)

    publisher = threading.Thread(target=publish_all)
    publisher.start()
    soak.stopping.wait(max(0.0, silence.lead))
    if silence.reloaded:
        soak.fleet.signal(silence.reloaded, signal.SIGHUP)
    for wave in silence.waves:
        soak.stopping.wait(wave.delay)
        for name in wave.names:
            soak.fleet.signal(name, signal.SIGSTOP)
            soak.pauses.append(new_pause(name, wave.seconds))
        soak.stopping.wait(wave.seconds)
        for name in wave.names:
            soak.fleet.signal(name, signal.SIGCONT)
    publisher.join()


def run_later(soak: Soak, seconds: float, action: Callable[[], None]) -> None:
    """Run an action on a thread after a delay, or earlier when the run stops."""

    def run() -> None:
        soak.stopping.wait(seconds)
        action()

    threading.Thread(target=run, daemon=True).start()


def inject_fault(soak: Soak) -> None:
    """Inject one random fault; several may overlap."""
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
            soak.killed_pids.add(popen.pid)
            fleet.kill(victim)
            run_later(soak, pause, lambda: fleet.restart(victim))
        case "pause":
            fleet.signal(victim, signal.SIGSTOP)
            soak.pauses.append(new_pause(victim, pause))
            run_later(soak, pause, lambda: fleet.signal(victim, signal.SIGCONT))
        case "stop":
            stop_gateway(soak, gateway)
        case "hang-up":
            fleet.signal(gateway, signal.SIGHUP)
            fleet.signal(registry, signal.SIGHUP)
        case "wipe" if not any(fault.startswith("wipe") for fault in soak.faults[:-1]):
            # At most one, the number of lost disks that the system tolerates.
            fleet.wipe(int(registry.rpartition("-")[2]))
        case "proxy":
            fault = rng.choice(
                (
                    CUT,
                    Fault(refuse=True),
                    Fault(drop_from_target=True),
                    Fault(drop_to_target=True),
                    Fault(delay=rng.uniform(0.02, 0.3)),
                    Fault(bytes_per_second=2000),
                )
            )
            proxy.set_target(address, fault)
            run_later(soak, pause, lambda: proxy.set_target(address, NO_FAULT))
        case _:
            with_second_key = soak.revoked_at is None and rng.random() < 0.7
            publish(soak, rng.randrange(fleet.registries), with_second_key=with_second_key)


def apply_backpressure(soak: Soak, rng: random.Random) -> None:
    """Let random upstreams announce back-off or rate limits until the run stops.

    Takes a separate random source: the faults of a seed don't depend on the back-pressure.
    """
    fleet = soak.fleet
    while not soak.stopping.wait(rng.uniform(0.5, 2.0)):
        upstream = rng.choice(
            [name for name in fleet.boxes if not name.startswith(("gateway", "registry"))]
        )
        if rng.random() < 0.4:
            fleet.set_response_mode(upstream, rest=f"{rng.uniform(0.2, 1.5):.2f}")
            run_later(soak, rng.uniform(0.1, 1.0), partial(fleet.set_response_mode, upstream))
        else:
            announce_limit(soak, upstream, round(rng.uniform(0.5, 4.0), 2), rng.uniform(4.0, 9.0))


def announce_limit(soak: Soak, upstream: str, rate: float, seconds: float) -> None:
    """Let an upstream announce a rate limit for some time."""
    limit = AnnouncedLimit(
        upstream=upstream, rate=rate, since=time.time(), until=time.time() + seconds
    )
    soak.fleet.set_response_mode(upstream, limit=str(rate))
    soak.limits.append(limit)

    def withdraw_limit() -> None:
        limit.until = min(limit.until, time.time())
        soak.fleet.set_response_mode(upstream)

    run_later(soak, seconds, withdraw_limit)


def cut_gateways(soak: Soak, rng: random.Random) -> None:
    """Cut gateways off from all upstreams at random times until the run stops.

    One, most or all of them; takes a separate random source, as back-pressure does.
    """
    fleet = soak.fleet
    assert fleet.proxy is not None
    while not soak.stopping.wait(rng.uniform(1.0, 4.0)):
        count = rng.choice((1, 1, fleet.gateways - 1, fleet.gateways))
        gateways = rng.sample(range(fleet.gateways), count)
        way = rng.choice(list(OpenConnections))
        soak.faults.append(f"cut {gateways} {way.value}")
        fleet.proxy.drop_packets([fleet.ip(2, number) for number in gateways], way)
        soak.stopping.wait(rng.uniform(0.3, 4.0))
        fleet.proxy.accept_packets()


def stop_gateway(soak: Soak, gateway: str) -> None:
    """Stop a gateway by SIGTERM, and restart it after its exit."""
    fleet = soak.fleet
    popen = fleet.boxes[gateway].popen
    number = int(gateway.rpartition("-")[2])
    if popen is None or not fleet.ready(number):
        # A gateway that is still starting has nothing to drain.
        return
    fleet.signal(gateway, signal.SIGTERM)

    def restart_after_exit() -> None:
        code = popen.wait(30)
        if popen.pid not in soak.killed_pids:
            soak.planned_exit_codes.append(code)
        if fleet.boxes[gateway].popen is popen:
            fleet.restart(gateway)

    threading.Thread(target=restart_after_exit, daemon=True).start()


def recover(soak: Soak) -> list[str]:
    """Remove all faults and wait until each gateway serves each route; returns violations."""
    fleet = soak.fleet
    if fleet.proxy is not None:
        fleet.proxy.heal()
    for name in fleet.boxes:
        fleet.set_response_mode(name)
    for name, box in list(fleet.boxes.items()):
        fleet.signal(name, signal.SIGCONT)
        if box.popen is None or box.popen.poll() is not None:
            fleet.restart(name)
    return wait_served(soak, (*STREAM_PRIORITIES, "status", "preview"))


def wait_served(soak: Soak, routes: tuple[str, ...]) -> list[str]:
    """Wait until each gateway serves each of some routes; returns violations."""
    fleet = soak.fleet
    with httpx.Client(timeout=8.0, trust_env=False) as client:

        def served(gateway: int, route: str) -> bool:
            call = Call(
                id=f"end-{time.time()}",
                route=route,
                key=KEY,
                sent_at=0.0,
                body=b"x",
                gateway=gateway,
            )
            send_call(soak, client, call)
            return call.complete and call.status == 200

        for gateway in range(fleet.gateways):
            for route in routes:
                try:
                    what = f"{route} at gateway-{gateway}"
                    wait_until(lambda: served(gateway, route), RECOVERY_SECONDS, what)  # noqa: B023
                except TimeoutError as error:
                    return [f"not served again: {error}"]
    return []


def check_guarantees(soak: Soak) -> list[str]:
    """Return all violated guarantees."""
    runs = soak.fleet.ledger()
    violations = [*soak.violations]
    violations += [*check_runs(soak, runs), *check_responses(soak, runs), *check_documents(soak)]
    violations += check_shared_room(soak.calls, runs, soak.pauses, admission_refusals(soak))
    for limit in soak.limits:
        violations += check_limit(soak, limit, runs)
    if soak.fleet.ledger("over-limit"):
        violations.append("an engine was ordered to hold more than fits")
    return violations


def check_runs(soak: Soak, runs: list[dict[str, Any]]) -> list[str]:
    """Check the executions of upstreams against the requests and responses of callers.

    Refusals are checked against executions for at-most-once requests only.
    """
    violations = []
    calls = {call.id: call for call in soak.calls}
    counts = Counter(run["id"] for run in runs)
    for run in runs:
        call = calls.get(run["id"])
        if call is None:
            if not run["id"].startswith("end-"):
                violations.append(f"run of an id that nobody sent: {run['id']}")
            continue
        if run["tenant"] != ACCOUNTS[call.key] or run["key"]:
            violations.append(f"account or key wrong: {run['id']}")
        if run["body"].encode() != call.body:
            violations.append(f"body changed: {run['id']}")
        if run["path"] and not covers_all_layers(run["path"]):
            violations.append(f"layers not once and in order: {run['path']}")
        if call.key == SECOND_KEY and soak.revoked_at is not None:
            limit = soak.revoked_at + REVOCATION_MS / 1000 + CLOCK_SLACK_SECONDS
            if call.sent_at > limit:
                violations.append(f"ran with a key taken away: {run['id']}")
    for call in soak.calls:
        if call.route in ONCE_ROUTES and counts[call.id] > 1:
            violations.append(f"ran {counts[call.id]} times: {call.id}")
        if call.route in ONCE_ROUTES and call.status in NOT_RUN_STATUSES and counts[call.id]:
            violations.append(f"refused as not run, and ran: {call.id}")
    return violations


def check_limit(soak: Soak, limit: AnnouncedLimit, runs: list[dict[str, Any]]) -> list[str]:
    """Check that no instance of an upstream received more requests than its limit allows.

    Another limit or a back-off may replace a limit before the end of its period.
    """
    others = [other.since for other in soak.limits if other.upstream == limit.upstream]
    until = min([limit.until, *(since for since in others if since > limit.since)])
    max_requests = 1.5 * limit.rate * LIMIT_WINDOW_SECONDS + 5
    violations = []
    for instance in soak.fleet.upstream_ids(limit.upstream):
        times = sorted(
            run["at"]
            for run in runs
            if run["upstream"] == instance and limit.since <= run["at"] <= until
        )
        counted = [at for at in times if at >= times[0] + LIMIT_GRACE_SECONDS]
        received = max(
            (sum(at <= x < at + LIMIT_WINDOW_SECONDS for x in counted) for at in counted), default=0
        )
        if received > max_requests:
            violations.append(f"{instance} named {limit.rate} a second and got {received} in 4 s")
    return violations


def covers_all_layers(path: str) -> bool:
    """Return True if a path runs every layer once and in order."""
    position = 0
    for _, first, end in parse_path(path):
        if first != position or end <= first:
            return False
        position = end
    return position == LAYERS


def check_responses(soak: Soak, runs: list[dict[str, Any]]) -> list[str]:
    """Check that each caller received its own response, and all of it if it ended regularly.

    An interrupted response must be a prefix of the expected one.
    """
    violations = []
    expected = stream_bytes(STREAM_EVENTS)
    executed = {run["id"] for run in runs}
    for call in soak.calls:
        if call.status != 200:
            continue
        if call.id not in executed:
            violations.append(f"answered and not run: {call.id}")
        if call.route in STREAM_PRIORITIES:
            right = call.text == expected if call.complete else expected.startswith(call.text)
            if not right:
                violations.append(f"stream not its own: {call.id} {call.text[-60:]!r}")
        elif call.complete and call.text != b"echo:" + call.body:
            violations.append(f"answer not its own: {call.id} {call.text[:60]!r}")
    return violations


def check_documents(soak: Soak) -> list[str]:
    """Check that no acknowledged document is lost, and the exit codes of planned stops."""
    violations = [f"a planned stop ended with {code}" for code in soak.planned_exit_codes if code]
    with httpx.Client(timeout=4.0, trust_env=False) as client:
        for address in soak.fleet.control_addresses:
            try:
                answer = client.get(f"http://{address}/api/config")
            except httpx.HTTPError as error:
                violations.append(f"document not read at {address}: {error!r}")
                continue
            version = answer.json().get("version", 0) if answer.status_code == 200 else 0
            if not soak.acknowledged_version <= version <= soak.sent_version:
                violations.append(
                    f"version {version} at {address}, {soak.acknowledged_version} acknowledged"
                )
    return violations


def run_seed(seed: int, seconds: float) -> list[str]:
    """Run one seed; returns the violated guarantees and prints a summary."""
    rng = random.Random(seed)
    with running_discovered_fleet(
        proxy=FaultProxy(),
        revocation_ms=REVOCATION_MS,
        document=shared_room_document,
        engine_slots=ENGINE_SLOTS,
    ) as fleet:
        soak = Soak(fleet=fleet, rng=rng, seconds=seconds, acknowledged_version=1)
        threads = [
            threading.Thread(
                target=run_caller, args=(soak, str(number), rng.random(), soak.stopping)
            )
            for number in range(CALLER_THREADS)
        ]
        backpressure_rng = random.Random(f"wishes of {seed}")
        threads.append(threading.Thread(target=apply_backpressure, args=(soak, backpressure_rng)))
        burst_rng = random.Random(f"bursts of {seed}")
        threads.append(threading.Thread(target=send_bursts, args=(soak, burst_rng)))
        cut_rng = random.Random(f"cuts of {seed}")
        threads.append(threading.Thread(target=cut_gateways, args=(soak, cut_rng)))
        silence_rng = random.Random(f"silences of {seed}")
        changes = tuple(item for item in CHANGES if item not in SPARE_CHANGES)
        silence_arguments = (soak, silence_rng, changes, 4.0)
        threads.append(threading.Thread(target=keep_silent, args=silence_arguments))
        for thread in threads:
            thread.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(rng.choice((0.05, 0.3, 1.0)))
            inject_fault(soak)
        soak.stopping.set()
        for thread in threads:
            thread.join()
        time.sleep(0.5)
        # Without the quiet time, in which there is room for all.
        violations = check_shares(soak.calls)
        violations += recover(soak) or check_quiet(soak)
        violations += check_guarantees(soak)
        statuses = Counter(call.status for call in soak.calls)
        found_full, refused = len(fleet.ledger("full")), len(admission_refusals(soak))
        print(
            f"seed {seed}: {len(soak.calls)} calls {dict(statuses)}, {found_full} at full engines, "
            f"{refused} refused by admission, {len(violations)} broken"
        )
        if violations:
            print_findings(soak, f"soak-{seed}")
        return violations


def print_findings(soak: Soak, label: str) -> None:
    """Keep the logs of a failed run, and print its faults and the errors in them."""
    print("  faults: " + ", ".join(soak.faults))
    print(f"  logs: {', '.join(map(str, keep_logs(label)))}")
    for name in soak.fleet.boxes:
        lines = [line for line in soak.fleet.log(name) if line["level"] == "ERROR"]
        for line in lines[:3]:
            print(f"  {name}: {line.get('exc_info', line['message'])[-600:]}")


def run_silence_seed(seed: int, seconds: float) -> list[str]:
    """Run one seed with silences as the only faults.

    Returns:
        The violated guarantees, among them every request without its whole answer; prints a
        summary.
    """
    rng = random.Random(f"only silences of {seed}")
    options = {
        "engines": rng.choice(ENGINE_NUMBERS),
        "engine_slots": rng.choice((16, 64, 64)),
        "repeat_reserve": rng.choice((20, 200)),
        "backlog": rng.choice((0, 0, 4)),
        "in_step": rng.random() < 0.7,
    }
    with running_discovered_fleet(
        revocation_ms=REVOCATION_MS,
        document=silence_document,
        heartbeat_ms=SILENCE_HEARTBEAT_MS,
        **options,
    ) as fleet:
        for number in range(SPARES):
            # Plain services of one pool have the first addresses.
            fleet.add_upstream(10 + number, SPARE_POOL, backlog=options["backlog"])
        soak = Soak(fleet=fleet, rng=rng, seconds=seconds, acknowledged_version=1)
        record_timeout(soak.timeouts, silence_document(1), time.time())
        violations = wait_served(soak, ("draft",))
        held = wait_settled(fleet)
        names = [str(number) for number in range(SILENCE_CALLERS)]
        callers = threading.Thread(
            target=run_callers,
            args=(soak, names, [rng.random() for _ in names]),
            kwargs={"stopping": soak.stopping},
        )
        silences = threading.Thread(target=keep_silent, args=(soak, rng, CHANGES, 1.5))
        for thread in (callers, silences):
            thread.start()
        time.sleep(seconds)
        soak.stopping.set()
        for thread in (callers, silences):
            thread.join()
        violations += recover(soak) + check_silences(soak, held, options["repeat_reserve"])
        statuses = Counter(f"{call.status}{'' if call.complete else ' cut'}" for call in soak.calls)
        print(
            f"silences {seed} {options}: {len(soak.faults)} silences, {dict(statuses)}, "
            f"{len(violations)} broken"
        )
        if violations:
            print_findings(soak, f"silence-{seed}")
        return violations


def run_ends_seed(seed: int, seconds: float) -> list[str]:
    """Run one seed with faults that must end no process.

    Returns:
        The violated guarantees, among them every process that ended by itself; prints a summary.
    """
    rng = random.Random(f"ends of {seed}")
    with running_discovered_fleet(
        revocation_ms=REVOCATION_MS, document=shared_room_document, engine_slots=ENGINE_SLOTS
    ) as fleet:
        soak = Soak(fleet=fleet, rng=rng, seconds=seconds, acknowledged_version=1)
        ends = soak_ends.Ends(fleet=fleet, rng=rng, faults=soak.faults)
        names = [str(number) for number in range(CALLER_THREADS)]
        callers = threading.Thread(
            target=run_callers,
            args=(soak, names, [rng.random() for _ in names]),
            kwargs={"stopping": soak.stopping},
        )
        publish_rng = random.Random(f"documents beside ends of {seed}")
        publisher = threading.Thread(target=publish_in_series, args=(soak, publish_rng))
        for thread in (callers, publisher):
            thread.start()
        end = time.monotonic() + seconds
        try:
            while time.monotonic() < end:
                soak_ends.inject_fault(ends)
                soak_ends.pause(ends, rng.choice((0.0, 0.1, 0.5)))
        except TimeoutError as error:
            soak.violations.append(f"a process hangs: {error}")
        finally:
            soak.stopping.set()
            for thread in (callers, publisher):
                thread.join()
            soak_ends.undo(ends)
        violations = recover(soak)
        soak_ends.watch(ends)
        violations += ends.violations + check_guarantees(soak)
        statuses = Counter(f"{call.status}{'' if call.complete else ' cut'}" for call in soak.calls)
        print(
            f"ends {seed}: {len(soak.faults)} faults, {len(ends.noted)} processes ended, "
            f"{ends.early_hang_ups} by SIGHUP before the program ignored it, "
            f"version {soak.acknowledged_version}, {dict(statuses)}, {len(violations)} broken"
        )
        if violations:
            print_findings(soak, f"ends-{seed}")
        return violations


def publish_in_series(soak: Soak, rng: random.Random) -> None:
    """Publish documents to random registries until the run stops."""
    while not soak.stopping.wait(rng.uniform(0.2, 1.0)):
        publish(soak, rng.randrange(soak.fleet.registries))


def wait_settled(fleet: DiscoveredFleet) -> dict[str, tuple[int, int]]:
    """Wait until no engine has got an order for `SETTLED_SECONDS`; returns the held layers."""

    def is_settled() -> bool:
        orders = fleet.ledger("order")
        return bool(orders) and time.time() - max(order["at"] for order in orders) > SETTLED_SECONDS

    wait_until(is_settled, RECOVERY_SECONDS, "no more orders")
    return held_layers(fleet.ledger("order"))


def check_silences(soak: Soak, held: dict[str, tuple[int, int]], reserve: float) -> list[str]:
    """Return all guarantees that silences alone violated.

    Args:
        soak: State of the run.
        held: Layers that each engine held before the silences.
        reserve: Retries that are allowed beside the share of requests.
    """
    fleet = soak.fleet
    runs = fleet.ledger()
    arrivals = [*runs, *fleet.ledger("full"), *fleet.ledger("refused")]
    violations = check_guarantees(soak)
    outcomes: dict[str, str] = {}
    for number in range(fleet.gateways):
        outcomes |= logged_outcomes(fleet.log(f"gateway-{number}"))
    violations += check_answers(soak.calls, runs, outcomes, soak.timeouts, soak.pauses)
    violations += check_retry_budget(soak.calls, arrivals, reserve)
    violations += check_attempts(runs)
    violations += check_blame({name: fleet.log(name) for name in fleet.boxes})
    for name, box in fleet.boxes.items():
        if box.popen is None or box.popen.poll() is not None:
            violations.append(f"ended: {name}")
    found = wait_settled(fleet)
    if found != held:
        violations.append(f"{MOVED} {held}, and are {found}")
    return violations


def main() -> int:
    """Run the given or random seeds; returns 1 if any guarantee was violated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, help="first seed; a fresh one if left out")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--silence", action="store_true", help="with silences as the only faults")
    parser.add_argument("--ends", action="store_true", help="with faults that must end no process")
    options = parser.parse_args()
    first = options.seed if options.seed is not None else random.SystemRandom().randrange(10**9)
    failed = []
    for seed in range(first, first + options.seeds):
        run = run_silence_seed if options.silence else run_ends_seed if options.ends else run_seed
        violations = run(seed, options.seconds)
        for line in violations[:10]:
            print(f"  {line}", flush=True)
        if violations:
            failed.append(seed)
    print(f"{options.seeds} seeds from {first}, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
