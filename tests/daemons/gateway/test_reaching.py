"""A box that opens no connection finds out whether the upstreams are gone or it is cut off."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from ledgeladder.daemons.gateway import probing, reaching
from ledgeladder.daemons.gateway.probing import check_exited, find_unreachable
from ledgeladder.daemons.gateway.reaching import connect_upstream, run_reach_checks
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.http1 import ConnectError
from ledgeladder.model.registration import Registration
from ledgeladder.routing.forwarding_table import (
    ForwardedUpstream,
    put_registration,
    record_domain_failure,
    record_failure,
)
from ledgeladder.routing.upstream_reach import may_report_losses, record_opened

from .test_relay import hang, relaying

REFUSALS = [ConnectionRefusedError, TimeoutError]
"""How a partition fails new connections."""


def fail_connections(
    monkeypatch: pytest.MonkeyPatch, error: type[Exception], *, but: str = ""
) -> None:
    """Fail all direct connections of the asking box but those to one address."""
    connect = reaching.connect

    async def fail(address: str, *, source: str | None, seconds: float) -> object:
        if address == but:
            return await connect(address, source=source, seconds=seconds)
        raise ConnectError(f"{address}: {error.__name__}") from error()

    async def is_closed(*_: object, **__: object) -> bool:
        return error is ConnectionRefusedError

    monkeypatch.setattr(reaching, "connect", fail)
    monkeypatch.setattr(probing, "is_port_closed", is_closed)


@asynccontextmanager
async def checking() -> AsyncIterator[tuple[GatewayState, GatewayState, ForwardedUpstream]]:
    """Run a box that checks its reach, beside one that relays for it."""
    async with relaying(hang) as (asking, relay, upstream), anyio.create_task_group() as tasks:
        tasks.start_soon(run_reach_checks, asking)
        yield asking, relay, upstream
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("error", REFUSALS)
def test_box_that_is_cut_off_holds_nothing_against_upstreams(
    monkeypatch: pytest.MonkeyPatch, error: type[Exception]
) -> None:
    """Refused connections look like exits of all upstreams, which would quarantine requests."""
    fail_connections(monkeypatch, error)

    async def play() -> None:
        async with checking() as (asking, _relay, upstream):
            record_failure(upstream, anyio.current_time())
            record_domain_failure(asking.suspected_domains, upstream, anyio.current_time())
            dead: set[str] = set()
            assert not await find_unreachable(asking, [upstream], dead)
            assert not await check_exited(asking, upstream, dead)
            assert asking.reach.is_cut
            assert not may_report_losses(asking.reach, anyio.current_time())
            assert (dead, upstream.failures, upstream.exited_at) == (set(), 0, float("-inf"))
            assert not asking.suspected_domains.failures
            connection = await connect_upstream(asking, upstream, seconds=1.0)
            assert connection.relayed_by
            await connection.close()

    anyio.run(play)


@pytest.mark.parametrize("error", REFUSALS)
def test_upstream_that_nobody_reaches_is_lost(
    monkeypatch: pytest.MonkeyPatch, error: type[Exception]
) -> None:
    """The box reaches another one, so that its connections are evidence."""

    async def play() -> None:
        async with checking() as (asking, _relay, upstream):
            gone = Registration(instance="i-2", sequence=1, pool="q", address="127.0.0.1:1")
            lost = put_registration(asking.table, gone, 0.0)
            assert lost is not None
            fail_connections(monkeypatch, error, but=upstream.registration.address)
            dead: set[str] = set()
            assert await find_unreachable(asking, [lost], dead)
            assert dead == {"i-2"}
            assert (lost.exited_at > 0) is (error is ConnectionRefusedError)
            assert not asking.reach.is_cut
            assert may_report_losses(asking.reach, anyio.current_time())

    anyio.run(play)


@pytest.mark.parametrize("error", REFUSALS)
def test_loss_that_no_box_can_confirm_is_not_reported(
    monkeypatch: pytest.MonkeyPatch, error: type[Exception]
) -> None:
    """All boxes cut off at once would otherwise have the layers of living engines moved."""
    fail_connections(monkeypatch, error)

    async def play() -> None:
        async with checking() as (asking, relay, upstream):
            other = Registration(instance="i-2", sequence=1, pool="q", address="127.0.0.1:1")
            put_registration(asking.table, other, 0.0)
            relay.stopping = True
            assert await find_unreachable(asking, [upstream], set())
            assert not asking.reach.is_cut
            assert not may_report_losses(asking.reach, anyio.current_time())
            assert upstream.exited_at == float("-inf")

    anyio.run(play)


def test_exit_that_a_relay_sees_is_recorded_at_a_box_that_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests of a box that is cut off would otherwise crash upstreams without being counted."""
    fail_connections(monkeypatch, TimeoutError)

    async def play() -> None:
        async with checking() as (asking, relay, upstream):
            gone = Registration(instance="i-2", sequence=1, pool="q", address="127.0.0.1:1")
            exited = put_registration(asking.table, gone, 0.0)
            put_registration(relay.table, gone, 0.0)
            assert exited is not None
            record_opened(relay.reach, anyio.current_time() + 60.0, anyio.current_time())
            assert not await find_unreachable(asking, [upstream], set())
            assert asking.reach.is_cut
            assert await find_unreachable(asking, [exited], set())
            assert exited.exited_at > 0
            assert not may_report_losses(asking.reach, anyio.current_time())

    anyio.run(play)
