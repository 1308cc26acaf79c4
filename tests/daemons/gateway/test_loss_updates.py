"""What a box does about an engine that other boxes found dead.

The pattern: an engine is lost, and each of hundreds of boxes would find out by a lost try of its
own. Streams that pass the engine stand still until they do.
"""

from __future__ import annotations

import anyio
import pytest

from ledgeladder.daemons.gateway import probing
from ledgeladder.daemons.gateway.loss_updates import confirm_loss, handle_loss_update
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.http1 import ConnectError
from ledgeladder.routing.forwarding_table import ForwardedUpstream, is_usable

from .builders import engine, gateway_state


def known_engine() -> tuple[GatewayState, ForwardedUpstream]:
    state = gateway_state()
    held = engine()
    state.table.upstreams[held.registration.instance] = held
    return state, held


class Accepted:
    async def close(self) -> None:
        pass


def take(state: GatewayState, held: ForwardedUpstream) -> bool:
    """Take the news in; tells whether streams are affected."""

    async def run() -> bool:
        held.heard_at = anyio.current_time() - 0.5
        affected = handle_loss_update(state, "i-1")
        assert not is_usable(held, anyio.current_time()) or held.proven_at > held.heard_at
        return affected is not None

    return anyio.run(run)


def test_it_gets_nothing_new_until_it_is_heard() -> None:
    state, held = known_engine()
    assert not take(state, held)
    held.heard_at = held.lost_at + 1.0
    assert is_usable(held, held.heard_at + 1.0)


def test_word_of_others_does_not_outweigh_progress_of_this_moment() -> None:
    state, held = known_engine()
    held.on_lost.add(lambda _engine: None)

    async def run() -> None:
        held.proven_at = anyio.current_time()
        assert handle_loss_update(state, "i-1") is None
        assert is_usable(held, anyio.current_time())

    anyio.run(run)


def test_news_of_unknown_engines_and_old_news_change_nothing() -> None:
    state, held = known_engine()
    assert take_loss_news_in_loop(state, "i-2") is None
    held.on_lost.add(lambda _engine: None)
    assert take_loss_news_in_loop(state, "i-1") is held
    assert take_loss_news_in_loop(state, "i-1") is None


def take_loss_news_in_loop(state: GatewayState, instance: str) -> ForwardedUpstream | None:
    async def run() -> ForwardedUpstream | None:
        return handle_loss_update(state, instance)

    return anyio.run(run)


@pytest.mark.parametrize("listens", [True, False])
def test_streams_are_interrupted_on_own_evidence_only(
    monkeypatch: pytest.MonkeyPatch, listens: bool
) -> None:
    async def connect(address: str, *, source: str | None, seconds: float) -> Accepted:
        if listens:
            return Accepted()
        raise ConnectError(address) from ConnectionRefusedError()

    monkeypatch.setattr(probing, "connect", connect)
    state, held = known_engine()
    interrupted: list[str] = []
    held.on_lost.add(lambda lost: interrupted.append(lost.registration.instance))
    assert take(state, held)
    assert not interrupted

    async def run() -> None:
        await confirm_loss(state, held)
        assert is_usable(held, anyio.current_time()) is listens

    anyio.run(run)
    assert interrupted == ([] if listens else ["i-1"])
