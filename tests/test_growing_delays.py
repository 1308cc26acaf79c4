"""Delays that double with each failure in a row."""

from __future__ import annotations

import random
from typing import Any

import anyio
import pytest

from ledgeladder.links import LinkIdentity, endpoint, keep_link
from ledgeladder.links.messages import PeerRole
from ledgeladder.model import Upstream, UpstreamKind
from ledgeladder.model.registration import Registration
from ledgeladder.routing import forwarding_table, upstream_table

FAILURES = 3000
"""Failures in a row; two to this power is no number of seconds any more."""

IDENTITY = LinkIdentity(
    cluster="c", role=PeerRole.ENTRY, box="b", failure_domain="d", instance="i", secret="s" * 16
)


def test_upstream_that_has_failed_for_hours_is_avoided_for_the_longest_time() -> None:
    """Guards against an overflow that ends each request which records a failure."""
    upstream = forwarding_table.ForwardedUpstream(
        registration=Registration(instance="i", sequence=1), last_seen_at=0.0
    )
    now = 0.0
    for _ in range(FAILURES):
        now = max(now, upstream.avoid_until)
        forwarding_table.record_failure(upstream, now)
    assert upstream.avoid_until == now + forwarding_table.MAX_AVOID_SECONDS


def test_service_that_has_failed_for_hours_is_suspected_for_the_longest_time() -> None:
    """Guards against the same overflow at the own interface."""
    service = Upstream(
        name="s", kind=UpstreamKind.SERVICE, address="10.0.0.1:80", failure_domain="d"
    )
    view = upstream_table.UpstreamView(upstream=service)
    for _ in range(FAILURES):
        upstream_table.record_failure(view, 5.0)
    assert view.suspect_until == 5.0 + upstream_table.MAX_SUSPECT_SECONDS


def test_link_to_a_box_that_is_away_for_hours_is_still_opened(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an overflow that ends the task of a link."""
    attempts: list[float] = []

    async def open_link(*arguments: object, seconds: float) -> None:
        attempts.append(seconds)
        await anyio.sleep(0)
        raise ConnectionRefusedError

    monkeypatch.setattr(endpoint, "open_link", open_link)
    monkeypatch.setattr(endpoint, "RECONNECT_DELAY_SECONDS", 0.0)

    async def handler(link: object) -> None:
        raise AssertionError

    async def play() -> None:
        async with anyio.create_task_group() as tasks:

            async def stop() -> None:
                while len(attempts) < FAILURES:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()

            tasks.start_soon(stop)
            await keep_link("10.0.0.1:1", IDENTITY, handler, rng=random.Random(1))

    anyio.run(play)
    assert len(attempts) >= FAILURES


@pytest.mark.parametrize(
    ("seconds", "errors", "delays"),
    [
        (0.0, [KeyError, KeyError, KeyError, KeyError], [1, 2, 3, 4]),
        (1.0, [KeyError, KeyError, KeyError, KeyError], [1, 1, 1, 1]),
        (0.0, [KeyError, OSError, KeyError, OSError], [1, 1, 2, 2]),
        (1.0, [KeyError, OSError, OSError, KeyError], [1, 0, 0, 1]),
    ],
)
def test_link_that_fails_after_each_handshake_is_opened_ever_later(
    monkeypatch: pytest.MonkeyPatch,
    seconds: float,
    errors: list[type[Exception]],
    delays: list[int],
) -> None:
    """Guards against a link and a traceback twelve times a second, without end.

    Links that are lost, or that have lasted, are opened again as soon as ever.
    """
    failures: list[int] = []

    async def open_link(address: str, identity: object, serve: Any, *, seconds: float) -> None:
        await serve(None)

    async def handler(link: object) -> None:
        clock[0] += seconds
        raise errors[len(failures)]

    clock = [0.0]

    def reconnect_delay(count: int) -> float:
        failures.append(count)
        if len(failures) == len(delays):
            scopes[0].cancel()
        return 0.0

    scopes: list[anyio.CancelScope] = []
    monkeypatch.setattr(endpoint, "STABLE_LINK_SECONDS", 1.0)
    monkeypatch.setattr(endpoint, "open_link", open_link)
    monkeypatch.setattr(endpoint, "reconnect_delay", reconnect_delay)
    monkeypatch.setattr(endpoint.anyio, "current_time", lambda: clock[0])

    async def play() -> None:
        with anyio.CancelScope() as scope:
            scopes.append(scope)
            await keep_link("10.0.0.1:1", IDENTITY, handler, rng=random.Random(1))

    anyio.run(play)
    assert failures == delays
