"""Clients as PROTOCOL.md describes them: each attempt has an id and a connection of its own."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING

from .fleet import call

if TYPE_CHECKING:
    from .fleet import Box, Fleet

HOST = "app.example"


def document(version: int, **changes: object) -> dict[str, object]:
    """Return a configuration with one plain service, `app`."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-status",
                "host": HOST,
                "pathPrefix": "/status/",
                "routeType": "safe",
                "timeoutMs": 4000,
                "targetLatencyMs": 400,
                "priority": 2,
                "service": "app",
                "maxAttempts": 2,
                "public": False,
            },
            {
                "name": "r-order",
                "host": HOST,
                "pathPrefix": "/order/",
                "routeType": "unsafe",
                "timeoutMs": 4000,
                "targetLatencyMs": 400,
                "priority": 2,
                "service": "app",
                "maxAttempts": 2,
                "public": False,
            },
        ],
        "services": [
            {
                "name": "app",
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "tenant-1", "apiKeys": ["key-of-tenant-1"], "priority": 1},
            {"name": "tenant-2", "apiKeys": ["key-of-tenant-2"], "priority": 1},
        ],
    } | changes


class Sent(dict[str, object]):
    """One client attempt and its answer."""


async def send(
    fleet: Fleet,
    gateway: Box,
    path: str,
    *,
    method: str = "GET",
    key: str = "key-of-tenant-1",
    body: bytes = b"",
    deadline_s: float = 4.0,
) -> Sent:
    """Send one attempt, and return it with its answer."""
    attempt = secrets.token_hex(8)
    sent = Sent(attempt=attempt, at=time.monotonic(), gateway=gateway.name, path=path, key=key)
    fields = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(int(deadline_s * 1000)),
        "Authorization": f"Token {key}",
    }
    status, answered, _ = await call(
        gateway.address, method, path, body, fields, seconds=deadline_s
    )
    sent["status"], sent["answered_at"] = status, time.monotonic()
    sent["code"] = answered.get("ledgeladder-code")
    sent["retry_after"] = answered.get("retry-after")
    return sent


async def steady(
    fleet: Fleet, path: str, per_s: float, until: float, kept: list[Sent], **options: str
) -> None:
    """Send attempts at a steady rate to the gateways in turn until a moment.

    `NUMBER` in the path stands for the number of the attempt.
    """
    tasks: set[asyncio.Task[None]] = set()

    async def one(number: int) -> None:
        gateway = fleet.gateways[number % len(fleet.gateways)]
        kept.append(await send(fleet, gateway, path.replace("NUMBER", str(number)), **options))

    number = 0
    while time.monotonic() < until:
        task = asyncio.create_task(one(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(1.0 / per_s)
    if tasks:
        await asyncio.wait(tasks, timeout=6.0)
