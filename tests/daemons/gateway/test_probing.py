"""Telling a dead engine from a box that is held up itself."""

from __future__ import annotations

import time

import anyio
import pytest

from ledgeladder.daemons.gateway import probing
from ledgeladder.daemons.gateway.probing import find_lost
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.http1 import ConnectError
from ledgeladder.model.registration import Registration
from ledgeladder.routing.forwarding_table import ForwardedUpstream
from ledgeladder.routing.paths import ChosenPath
from ledgeladder.settings.discovered import GatewaySettings


class Connected:
    async def close(self) -> None:
        pass


def engine() -> ForwardedUpstream:
    registration = Registration(instance="i-1", sequence=1, address="127.0.0.1:1")
    return ForwardedUpstream(registration=registration, heard_at=0.0)


def settings() -> GatewaySettings:
    return GatewaySettings.model_validate(
        {
            "box": {"name": "n", "failure_domain": "a", "address": "127.0.0.1"},
            "cluster": {
                "secret": "loopback-and-private-network",
                "link_port": 1,
                "metrics_port": 4,
                "seeds": ["127.0.0.1:9"],
            },
            "gateway": {"caller_address": "127.0.0.1:2", "ready_address": "127.0.0.1:3"},
        }
    )


def test_refused_connection_is_evidence_however_late(monkeypatch: pytest.MonkeyPatch) -> None:
    async def connect(address: str, *, source: str | None, seconds: float) -> Connected:
        time.sleep(seconds + probing.LATE_SECONDS * 2)
        raise ConnectError(f"{address}: OSError") from OSError()

    monkeypatch.setattr(probing, "connect", connect)
    state = GatewayState(settings=settings())
    path = ChosenPath(parts=(), engines=(engine(),), cost=1.0)

    async def run() -> bool:
        return await find_lost(state, path, set())

    assert anyio.run(run)


@pytest.mark.parametrize(
    ("held_up", "accepts", "is_lost"),
    [(False, False, True), (True, False, False), (True, True, False), (False, True, False)],
)
def test_only_a_time_out_in_time_is_evidence(
    monkeypatch: pytest.MonkeyPatch, held_up: bool, accepts: bool, is_lost: bool
) -> None:
    """A box that stands still for longer than a probe waits must not call engines dead."""

    async def connect(address: str, *, source: str | None, seconds: float) -> Connected:
        if accepts and not held_up:
            return Connected()
        try:
            with anyio.fail_after(seconds):
                if held_up:
                    # The whole process stands still, as on a machine that is frozen for a moment.
                    time.sleep(seconds + probing.LATE_SECONDS * 2)
                await anyio.sleep_forever()
        except TimeoutError as error:
            raise ConnectError(f"{address}: TimeoutError") from error
        raise AssertionError("unreachable")

    monkeypatch.setattr(probing, "connect", connect)
    state = GatewayState(settings=settings())
    path = ChosenPath(parts=(), engines=(engine(),), cost=1.0)
    dead: set[str] = set()

    async def run() -> bool:
        return await find_lost(state, path, dead)

    assert anyio.run(run) is is_lost
    assert dead == ({"i-1"} if is_lost else set())
    assert (path.engines[0].lost_at > 0) is is_lost


def test_one_lost_packet_does_not_make_an_engine_look_dead(monkeypatch: pytest.MonkeyPatch) -> None:
    tries = 0

    async def connect(address: str, *, source: str | None, seconds: float) -> Connected:
        nonlocal tries
        tries += 1
        if tries > 1:
            return Connected()
        await anyio.sleep(seconds)
        raise ConnectError(f"{address}: TimeoutError") from TimeoutError()

    monkeypatch.setattr(probing, "connect", connect)
    state = GatewayState(settings=settings())
    path = ChosenPath(parts=(), engines=(engine(),), cost=1.0)

    async def run() -> bool:
        return await find_lost(state, path, set())

    assert not anyio.run(run)
    assert tries == 2


def test_engine_over_which_other_requests_go_on_is_not_probed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    probed: list[str] = []

    async def connect(address: str, *, source: str | None, seconds: float) -> Connected:
        probed.append(address)
        raise ConnectError(f"{address}: OSError") from OSError()

    monkeypatch.setattr(probing, "connect", connect)
    state = GatewayState(settings=settings())
    working, silent = engine(), engine()
    silent.registration = Registration(instance="i-2", sequence=1, address="127.0.0.1:2")
    path = ChosenPath(parts=(), engines=(working, silent), cost=1.0)
    dead: set[str] = set()

    async def run() -> bool:
        working.proven_at = anyio.current_time()
        silent.proven_at = working.proven_at - probing.PROOF_SECONDS * 2
        return await find_lost(state, path, dead)

    assert anyio.run(run)
    assert probed == ["127.0.0.1:2"]
    assert dead == {"i-2"}
