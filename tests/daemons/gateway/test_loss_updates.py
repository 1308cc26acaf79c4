"""A box reacts to another box's report that an engine is unreachable.

Without such reports, each box would detect the loss only through a failed attempt of its own.
"""

from __future__ import annotations

import anyio
import pytest

from ledgeladder.daemons.gateway import reaching
from ledgeladder.daemons.gateway.loss_updates import confirm_loss, handle_loss_update
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.http1 import ConnectError
from ledgeladder.routing.forwarding_table import ForwardedUpstream, is_usable

from .builders import engine, gateway_state


def known_engine() -> tuple[GatewayState, ForwardedUpstream]:
    state = gateway_state()
    known = engine()
    state.table.upstreams[known.registration.instance] = known
    return state, known


class Accepted:
    async def close(self) -> None:
        pass


def handle(state: GatewayState, known: ForwardedUpstream) -> bool:
    """Handle a report, and return whether streams are affected."""

    async def run() -> bool:
        known.last_seen_at = anyio.current_time() - 0.5
        affected = handle_loss_update(state, "i-1")
        assert (
            not is_usable(known, anyio.current_time()) or known.last_success_at > known.last_seen_at
        )
        return affected is not None

    return anyio.run(run)


def test_unreachable_engine_gets_no_new_work_until_its_next_heartbeat() -> None:
    state, known = known_engine()
    assert not handle(state, known)
    known.last_seen_at = known.lost_at + 1.0
    assert is_usable(known, known.last_seen_at + 1.0)


def test_recent_progress_outweighs_a_report_of_others() -> None:
    state, known = known_engine()
    known.on_lost.add(lambda _engine: None)

    async def run() -> None:
        known.last_success_at = anyio.current_time()
        assert handle_loss_update(state, "i-1") is None
        assert is_usable(known, anyio.current_time())

    anyio.run(run)


def test_reports_of_unknown_engines_and_repeated_reports_are_ignored() -> None:
    state, known = known_engine()
    assert handle_in_loop(state, "i-2") is None
    known.on_lost.add(lambda _engine: None)
    assert handle_in_loop(state, "i-1") is known
    assert handle_in_loop(state, "i-1") is None


def handle_in_loop(state: GatewayState, instance: str) -> ForwardedUpstream | None:
    async def run() -> ForwardedUpstream | None:
        return handle_loss_update(state, instance)

    return anyio.run(run)


@pytest.mark.parametrize("listens", [True, False])
def test_streams_are_interrupted_only_after_a_failed_probe(
    monkeypatch: pytest.MonkeyPatch, listens: bool
) -> None:
    async def connect(address: str, *, source: str | None, seconds: float) -> Accepted:
        if listens:
            return Accepted()
        raise ConnectError(address) from ConnectionRefusedError()

    monkeypatch.setattr(reaching, "connect", connect)
    state, known = known_engine()
    interrupted: list[str] = []
    known.on_lost.add(lambda lost: interrupted.append(lost.registration.instance))
    assert handle(state, known)
    assert not interrupted

    async def run() -> None:
        await confirm_loss(state, known)
        assert is_usable(known, anyio.current_time()) is listens

    anyio.run(run)
    assert interrupted == ([] if listens else ["i-1"])
