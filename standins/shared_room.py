"""Requests of several priorities and client accounts that share the room of one pool of engines.

The document, the bursts and the checks of the soak that concern who gets the room.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ledgeladder.model import ResultCode
from ledgeladder.routing.contention import request_rank

from .discovered_fleet import KEY, SECOND_KEY, ZONES, example_document

if TYPE_CHECKING:
    from .soak import Call

STREAM_PRIORITIES = {"urgent": 0, "draft": 1, "bulk": 2, "letter": 1}
"""Routes over engines and their priorities."""

ONCE_ROUTES = ("preview", "letter")
"""Routes whose requests may run once only: of a plain service, and streams."""

LARGE_KEY = "key-of-the-printers"
"""Key of the client account that sends most."""

SMALL_KEY = "key-of-the-readers"
"""Key of a client account that sends little."""

ACCOUNTS = {
    KEY: "designers",
    SECOND_KEY: "designers",
    LARGE_KEY: "printers",
    SMALL_KEY: "readers",
}
"""Client accounts by key. `designers` have a priority of their own."""

DESIGNERS_PRIORITY = 1
"""Priority of `designers`, which goes before that of the route."""

ENGINE_SLOTS = 4
"""Streams that an engine runs at once: ordinary callers fill a part of them, bursts all."""

MIN_ASKED = 20
"""Requests from which a priority, client account or failure domain must have been served."""

DEADLINE_SECONDS = 7.0
"""Deadline that callers state."""

DEADLINE_SLACK_SECONDS = 2.0
"""Tolerance for callers and gateways that wait for a processor."""

BACK_OFF_STATUSES = {429, 503}
"""Statuses of refusals that must name when to come back."""

NOT_READY = {ResultCode.STARTING, ResultCode.STOPPING, ResultCode.BELIEF_STALE}
"""Codes of refusals by a gateway that serves nobody at the time."""

BURSTS: tuple[tuple[Sequence[str], Sequence[str]], ...] = (
    (("urgent",), (LARGE_KEY, SMALL_KEY)),
    (("draft",), (KEY,)),
    (("bulk",), (LARGE_KEY, SMALL_KEY)),
    (tuple(STREAM_PRIORITIES), (LARGE_KEY,)),
)
"""Routes and keys whose requests a burst multiplies: one priority, or one client account."""


@dataclass(kw_only=True)
class Pause:
    """A period in which a process was stopped."""

    name: str
    """Its name in the fleet."""

    since: float
    """Start, in seconds since 1970."""

    until: float
    """End, in seconds since 1970."""


def shared_room_document(version: int, *, with_second_key: bool = True) -> dict[str, Any]:
    """Return the example document with three priorities and three client accounts."""
    document = example_document(version)
    draft = next(item for item in document["routes"] if item["name"] == "draft")
    routes = [item for item in document["routes"] if item["name"] != "draft"]
    for name, priority in STREAM_PRIORITIES.items():
        fields = {"name": name, "pathPrefix": f"/{name}/", "priority": priority}
        routes.append(draft | fields | {"resumable": name not in ONCE_ROUTES})
    keys = [KEY, SECOND_KEY] if with_second_key else [KEY]
    tenants = [
        {"name": "designers", "apiKeys": keys, "priority": DESIGNERS_PRIORITY},
        {"name": "printers", "apiKeys": [LARGE_KEY]},
        {"name": "readers", "apiKeys": [SMALL_KEY]},
    ]
    return document | {"routes": routes, "tenants": tenants}


def choose_request(rng: random.Random) -> tuple[str, str]:
    """Return the route and the key of an ordinary request."""
    routes = ("draft", "draft", "urgent", "bulk", "letter", "status", "preview")
    return rng.choice(routes), rng.choice((KEY, SECOND_KEY, LARGE_KEY, LARGE_KEY, SMALL_KEY))


def check_shared_room(
    calls: Iterable[Call],
    runs: Iterable[dict[str, Any]],
    pauses: Iterable[Pause],
    refused: set[str],
) -> list[str]:
    """Return violated guarantees of requests that share the room of a pool.

    Args:
        calls: All requests of callers, with their responses.
        runs: Entries of upstreams for executed requests.
        pauses: Periods in which processes were stopped.
        refused: Ids of requests that admission refused.
    """
    calls, pauses = list(calls), list(pauses)
    executed = {run["id"] for run in runs}
    violations = []
    for call in calls:
        if call.status in BACK_OFF_STATUSES and not call.retry_after > 0:
            violations.append(f"refused with {call.status} and no time to come back: {call.id}")
        if call.id in refused and call.id in executed:
            violations.append(f"refused by admission, and ran: {call.id}")
        if not is_in_time(call, pauses):
            violations.append(f"answered {call.ended_at - call.sent_at:.1f} s after: {call.id}")
    return violations


def check_shares(calls: Iterable[Call]) -> list[str]:
    """Return priorities, accounts and failure domains that asked often and were never served.

    A request counts if somebody else had room meanwhile: while no engine runs anything, or while a
    gateway is not ready, it is no decision about room that refuses it. Revoked keys do not count.
    """
    streams = [item for item in calls if item.route in STREAM_PRIORITIES and item.key != SECOND_KEY]
    whole = [item for item in streams if item.status == 200 and item.complete]
    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for call in streams:
        if call.status == 0 or call.code in NOT_READY:
            continue
        if not any(
            item.sent_at <= call.ended_at and item.ended_at >= call.sent_at for item in whole
        ):
            continue
        account = ACCOUNTS[call.key]
        own = DESIGNERS_PRIORITY if account == "designers" else None
        rank = request_rank(STREAM_PRIORITIES[call.route], own)
        groups = (f"priority {rank}", account, ZONES[call.gateway % len(ZONES)])
        asked.update(groups)
        if call.status == 200 and call.complete:
            served.update(groups)
    return [
        f"{name} asked {count} times and was never served"
        for name, count in sorted(asked.items())
        if count >= MIN_ASKED and not served[name]
    ]


def is_in_time(call: Call, pauses: Iterable[Pause]) -> bool:
    """Return True unless a call took longer than its deadline at a gateway that was running."""
    if call.ended_at - call.sent_at <= DEADLINE_SECONDS + DEADLINE_SLACK_SECONDS:
        return True
    return any(
        pause.name == f"gateway-{call.gateway}"
        and pause.since <= call.ended_at
        and pause.until >= call.sent_at
        for pause in pauses
    )


def refused_by_admission(log: Iterable[dict[str, Any]]) -> set[str]:
    """Return the ids of streams that a gateway's admission refused, by its log."""
    return {
        line["request"]
        for line in log
        if line["message"] == "admission" and line.get("decision") == "refused"
    }


def new_pause(name: str, seconds: float) -> Pause:
    """Return a pause that starts now."""
    return Pause(name=name, since=time.time(), until=time.time() + seconds)
