"""Silences in the soak: upstreams that are suspended for a while and run again.

A suspended process answers nothing, while its kernel accepts connections and keeps the bytes that
arrive. Documents and reloads come just before a silence or during it. The checks hold for runs in
which nothing but silences happens to upstreams.
"""

from __future__ import annotations

import bisect
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from .discovered_fleet import ZONES
from .shared_room import (
    BACK_OFF_STATUSES,
    DEADLINE_SECONDS,
    STREAM_PRIORITIES,
    Pause,
    shared_room_document,
)

if TYPE_CHECKING:
    from .soak import Call

MIN_SECONDS: Final = 0.3
"""Shortest silence."""

MAX_SECONDS: Final = 3.0
"""Longest silence."""

SPARE_POOL: Final = "spares"
"""Pool to which documents move the plain routes."""

PLAIN_ROUTES: Final = ("status", "preview")
"""Routes that documents move to other services."""

SPREADS: Final = ("all", "domain", "share", "one", "in turn", "twice")
"""Which upstreams fall silent, and in which order."""

CHANGES: Final = (
    "none",
    "none",
    "idle timeout",
    "route timeout",
    "client account",
    "invalid",
    "two",
    "weights",
    "service",
)
"""Kinds of documents around a silence."""

SPARE_CHANGES: Final = ("weights", "service")
"""Kinds that need upstreams in `SPARE_POOL`."""

ENGINE_NUMBERS: Final = (3, 4, 6)
"""Numbers of engines: with 3, every path crosses failure domains; with 6, each failure domain holds
all layers."""

RETRY_RATIO: Final = 0.2
"""Retries that all gateways may make for each request, the default of the settings."""

RETRY_WINDOW_SECONDS: Final = 10.0
"""Window of the retry budget, the default of the settings."""

MAX_ATTEMPTS: Final = 2
"""Attempts that the routes of the document allow for a request that may be repeated."""

TOLERATED_REQUESTS: Final = 3
"""Requests that may run on more upstreams than their routes allow, as the users tolerate them."""

TIMEOUT_SLACK_SECONDS: Final = 0.3
"""How much sooner than its deadline a request may be given up."""

IN_FORCE_SECONDS: Final = 5.0
"""Time after the acknowledgement of a document in which the one before it may be in force."""

ROOM_OUTCOMES: Final = ("OUT_OF_ROOM", "QUEUE_FULL", "CONCURRENCY_EXCEEDED", "UPSTREAM_REFUSED")
"""Codes of refusals for lack of room, as gateways log them."""

MOVED: Final = "layers were"
"""Start of the violation that engines hold other layers than before the silences."""

REFUSED: Final = "refused not for lack of room"
"""Start of the violation that a request was refused while there was room."""

RAN_TOO_OFTEN: Final = "ran on more than"
"""Start of the violation that requests ran on more upstreams than their routes allow."""

BLAMING_MESSAGES: Final = frozenset(
    {
        "upstream exited while running a request",
        "upstream restarted",
        "prompt part blamed",
        "request content suspected",
        "request content quarantined",
    }
)
"""Log messages of boxes that take an upstream for crashed or exited."""


@dataclass(frozen=True, kw_only=True)
class Wave:
    """Processes that are suspended together."""

    names: tuple[str, ...]
    """Names of the processes."""

    delay: float
    """Time since the end of the wave before, in seconds."""

    seconds: float
    """How long they are suspended."""


@dataclass(frozen=True, kw_only=True)
class Silence:
    """One silence and what happens beside it."""

    spread: str
    """Which upstreams fall silent: one of `SPREADS`."""

    waves: tuple[Wave, ...]
    """Its waves in order."""

    change: str
    """Kind of the documents that are published: one of `CHANGES`."""

    lead: float
    """Time from the document to the silence, in seconds; negative if it comes during the
    silence."""

    gap: float
    """Time between two documents, in seconds."""

    reloaded: str
    """Gateway that is told by a signal to reload its settings at the start; empty for none."""

    def describe(self) -> str:
        """Return a short description for the list of faults."""
        parts = [f"{wave.seconds:.1f} s {'+'.join(wave.names)}" for wave in self.waves]
        reload = f", reload of {self.reloaded}" if self.reloaded else ""
        return f"silence {self.spread} ({self.change} {self.lead:+.1f} s{reload}): " + "; ".join(
            parts
        )


@dataclass(kw_only=True)
class RouteTimeout:
    """Timeout of the routes by a document, and when it may have been in force."""

    seconds: float
    """Timeout of each route."""

    sent_at: float
    """When the document was sent, in seconds since 1970."""

    until: float = float("inf")
    """When a later document was certainly in force, in seconds since 1970."""


def choose_silence(
    rng: random.Random,
    upstreams: list[str],
    gateways: list[str],
    registries: list[str],
    changes: tuple[str, ...] = CHANGES,
) -> Silence:
    """Return a random silence of some upstreams, at times of a gateway or control box as well."""
    spread = rng.choice(SPREADS)
    waves = choose_waves(rng, spread, upstreams)
    others = [rng.choice(group) for group in (gateways, registries) if rng.random() < 0.12]
    first = waves[0]
    waves[0] = Wave(names=(*first.names, *others), delay=first.delay, seconds=first.seconds)
    return Silence(
        spread=spread,
        waves=tuple(waves),
        change=rng.choice(changes),
        lead=rng.uniform(-1.0, 0.7),
        gap=rng.uniform(0.05, 0.9),
        reloaded=rng.choice(gateways) if rng.random() < 0.25 else "",
    )


def choose_waves(rng: random.Random, spread: str, upstreams: list[str]) -> list[Wave]:
    """Return the waves of a silence."""
    seconds = rng.uniform(MIN_SECONDS, MAX_SECONDS)
    if spread == "in turn":
        ones = rng.sample(upstreams, min(4, len(upstreams)))
        longest = MAX_SECONDS / len(ones)
        return [
            Wave(names=(name,), delay=0.0, seconds=rng.uniform(MIN_SECONDS, longest))
            for name in ones
        ]
    if spread == "twice":
        names = choose_names(rng, rng.choice(SPREADS[:4]), upstreams)
        delay = rng.uniform(0.1, 1.0)
        return [
            Wave(names=names, delay=0.0, seconds=rng.uniform(MIN_SECONDS, MAX_SECONDS / 2)),
            Wave(names=names, delay=delay, seconds=rng.uniform(MIN_SECONDS, MAX_SECONDS / 2)),
        ]
    return [Wave(names=choose_names(rng, spread, upstreams), delay=0.0, seconds=seconds)]


def choose_names(rng: random.Random, spread: str, upstreams: list[str]) -> tuple[str, ...]:
    """Return the upstreams that fall silent together."""
    match spread:
        case "all":
            return tuple(upstreams)
        case "domain":
            domain = rng.randrange(len(ZONES))
            return tuple(name for name in upstreams if domain_of(name) == domain)
        case "share":
            return tuple(rng.sample(upstreams, max(1, round(0.6 * len(upstreams)))))
        case _:
            return (rng.choice(upstreams),)


def domain_of(name: str) -> int:
    """Return the number of the failure domain of a process.

    >>> domain_of("engines-4")
    1
    """
    return int(name.rpartition("-")[2]) % len(ZONES)


def silence_document(version: int, **options: Any) -> dict[str, Any]:
    """Return the document of runs with silences only, which has a pool of spare services."""
    document = shared_room_document(version, **options)
    spares = {"name": SPARE_POOL, "maxConnections": 100}
    return document | {"services": [*document["services"], spares]}


def change_documents(rng: random.Random, kind: str) -> list[Callable[[dict[str, Any]], None]]:
    """Return the changes that a kind makes to a document, one for each that is published."""
    if kind == "two":
        kinds = rng.sample(("idle timeout", "route timeout", "client account"), 2)
        return [change for item in kinds for change in change_documents(rng, item)]
    value = rng.random()
    changes: dict[str, Callable[[dict[str, Any]], None]] = {
        "idle timeout": lambda document: set_idle_timeout(document, 1000 + 9000 * value),
        "route timeout": lambda document: set_routes(document, timeoutMs=3000 + 5000 * value),
        "client account": lambda document: add_account(document, f"key-of-strangers-{value}"),
        "weights": lambda document: set_weights(document, 0.1 + 0.8 * value),
        "service": lambda document: set_routes(document, PLAIN_ROUTES, service=SPARE_POOL),
        "invalid": lambda document: set_routes(document, PLAIN_ROUTES, service="no-such-service"),
    }
    return [changes[kind]] if kind in changes else []


def set_idle_timeout(document: dict[str, Any], milliseconds: float) -> None:
    """Change the idle timeout of connections."""
    document["limits"] = document["limits"] | {"idleTimeoutMs": milliseconds}


def set_routes(document: dict[str, Any], names: Iterable[str] = (), **fields: Any) -> None:
    """Change fields of some routes; without names, of all."""
    document["routes"] = [
        route | fields if not names or route["name"] in names else route
        for route in document["routes"]
    ]


def set_weights(document: dict[str, Any], share: float) -> None:
    """Divide the plain routes between their service and the spare one."""
    split = [
        {"service": "services", "weight": 1 - share},
        {"service": SPARE_POOL, "weight": share},
    ]
    set_routes(document, PLAIN_ROUTES, service=None, trafficSplit=split)


def add_account(document: dict[str, Any], key: str) -> None:
    """Add a client account, or change its key; no caller uses it."""
    document["tenants"] = [*document["tenants"], {"name": "strangers", "apiKeys": [key]}]


def record_timeout(
    timeouts: list[RouteTimeout], document: Mapping[str, Any], sent_at: float
) -> None:
    """Record the timeout of the routes by a document that is sent."""
    seconds = min(route["timeoutMs"] for route in document["routes"]) / 1000
    timeouts.append(RouteTimeout(seconds=seconds, sent_at=sent_at))


def record_acknowledged(timeouts: list[RouteTimeout], acknowledged_at: float) -> None:
    """Record that the newest document is acknowledged and replaces all before it."""
    for earlier in timeouts[:-1]:
        earlier.until = min(earlier.until, acknowledged_at + IN_FORCE_SECONDS)


def has_timed_out(call: Call, timeouts: Iterable[RouteTimeout], pauses: Iterable[Pause]) -> bool:
    """Return True if a call lasted until its deadline or the timeout of its route.

    A gateway that was suspended reads a call later than it was sent, and handles it by the document
    that it has then.
    """
    delay = sum(
        pause.until - pause.since
        for pause in pauses
        if pause.name == f"gateway-{call.gateway}"
        and pause.since <= call.ended_at
        and pause.until >= call.sent_at
    )
    limits = [
        item.seconds
        for item in timeouts
        if item.sent_at <= call.sent_at + delay + TIMEOUT_SLACK_SECONDS
        and item.until >= call.sent_at
    ]
    limit = min([DEADLINE_SECONDS, *limits])
    return call.ended_at - call.sent_at >= limit - TIMEOUT_SLACK_SECONDS


def check_answers(
    calls: Iterable[Call],
    runs: Iterable[dict[str, Any]],
    outcomes: Mapping[str, str],
    timeouts: Iterable[RouteTimeout],
    pauses: Iterable[Pause],
) -> list[str]:
    """Check that each call got its whole answer.

    It may also time out, or be refused as not run for lack of room.

    Args:
        calls: All requests of callers, with their responses.
        runs: Entries of upstreams for executed requests.
        outcomes: Outcomes that gateways logged, by the id of the request.
        timeouts: Timeouts of the routes.
        pauses: Periods in which gateways were suspended.
    """
    executed = {run["id"] for run in runs}
    timeouts, pauses = list(timeouts), list(pauses)
    violations = []
    for call in calls:
        if call.status == 200 and call.complete:
            continue
        if call.status in BACK_OFF_STATUSES and call.retry_after > 0:
            if call.id in executed:
                violations.append(f"refused with {call.status}, and ran: {call.id} ({call.route})")
            elif not is_refused_for_room(outcomes.get(call.id, "")):
                violations.append(
                    f"{REFUSED}: {call.id} ({call.route}) at"
                    f" gateway-{call.gateway}, {outcomes.get(call.id)}"
                )
            continue
        if has_timed_out(call, timeouts, pauses):
            continue
        violations.append(
            f"not whole: {call.id} ({call.route}) at gateway-{call.gateway}, {call.status} code"
            f" {call.code} after {call.ended_at - call.sent_at:.2f} s"
            f" with {call.text.count(b'id: ')} events"
        )
    return violations


def logged_outcomes(log: Iterable[dict[str, Any]]) -> dict[str, str]:
    """Return the outcomes in the log of a gateway, by the id of the request."""
    return {line["request"]: line["outcome"] for line in log if line["message"] == "request"}


def is_refused_for_room(outcome: str) -> bool:
    """Return True if a gateway refused a request for lack of room.

    >>> is_refused_for_room("NO_ROUTE: no path over engines; engines: 1 full, 2 usable")
    True
    >>> is_refused_for_room("NO_ROUTE: no path over engines; engines: 3 lost")
    False
    """
    return outcome.startswith(ROOM_OUTCOMES) or (
        outcome.startswith("NO_ROUTE") and " full" in outcome
    )


def check_retry_budget(
    calls: Iterable[Call], arrivals: Iterable[dict[str, Any]], reserve: float
) -> list[str]:
    """Check that the retries of all gateways together stayed within the budget.

    Args:
        calls: All requests of callers.
        arrivals: Entries of upstreams for requests that they executed or refused.
        reserve: Retries that are allowed beside the share of requests.
    """
    sent: dict[str, list[float]] = defaultdict(list)
    kinds: dict[str, str] = {}
    for call in calls:
        kinds[call.id] = "streams" if call.route in STREAM_PRIORITIES else "plain requests"
        sent[kinds[call.id]].append(call.sent_at)
    retries: dict[str, list[float]] = defaultdict(list)
    seen: set[str] = set()
    for arrival in sorted(arrivals, key=lambda item: float(item["at"])):
        if arrival["id"] in seen and arrival["id"] in kinds:
            retries[kinds[arrival["id"]]].append(arrival["at"])
        seen.add(arrival["id"])
    violations = []
    for kind, times in retries.items():
        starts = sorted(sent[kind])
        for start in times:
            count = count_between(times, start)
            requests = max(
                count_between(starts, start - shift * RETRY_WINDOW_SECONDS)
                for shift in (0.0, 0.5, 1.0)
            )
            if count > RETRY_RATIO * requests + reserve:
                violations.append(f"{count} retries of {requests} {kind} within a window")
                break
    return violations


def check_attempts(runs: Iterable[dict[str, Any]]) -> list[str]:
    """Check that requests ran on no more upstreams than their routes allow.

    Args:
        runs: Entries of upstreams for executed requests.
    """
    upstreams: dict[str, set[str]] = defaultdict(set)
    for run in runs:
        upstreams[run["id"]].add(run["upstream"])
    spread = sorted(item for item, names in upstreams.items() if len(names) > MAX_ATTEMPTS)
    if len(spread) <= TOLERATED_REQUESTS:
        return []
    return [f"{RAN_TOO_OFTEN} {MAX_ATTEMPTS} upstreams: {', '.join(spread)}"]


def count_between(times: list[float], start: float) -> int:
    """Return how many of some times, in order, are in the retry window that begins at `start`."""
    end = bisect.bisect_left(times, start + RETRY_WINDOW_SECONDS)
    return end - bisect.bisect_left(times, start)


def check_blame(logs: Mapping[str, Iterable[dict[str, Any]]]) -> list[str]:
    """Check that no box took an upstream for crashed or exited.

    Args:
        logs: Log lines by the name of the box.
    """
    return [
        f"{name}: {line['message']} {line.get('upstream', '')}"
        for name, log in logs.items()
        for line in log
        if line["message"] in BLAMING_MESSAGES
        or (line["message"] == "upstream state changed" and line["state"] == "gone")
    ]


def held_layers(orders: Iterable[dict[str, Any]]) -> dict[str, tuple[int, int]]:
    """Return the layers that each upstream holds, by the orders in its ledger."""
    return {order["upstream"]: tuple(order["layers"]) for order in orders}
