"""Telling a dead engine from a box that is held up itself."""

from __future__ import annotations

import time

import anyio
import pytest

from ledgeladder.daemons.gateway import probing
from ledgeladder.daemons.gateway.probing import find_unreachable
from ledgeladder.http1 import ConnectError

from .builders import engine, gateway_state, path_over


class Connected:
    async def close(self) -> None:
        pass


def test_refused_connection_is_evidence_however_late(monkeypatch: pytest.MonkeyPatch) -> None:
    async def connect(address: str, *, source: str | None, seconds: float) -> Connected:
        time.sleep(seconds + probing.LATE_TIMER_SECONDS * 2)
        raise ConnectError(f"{address}: OSError") from OSError()

    monkeypatch.setattr(probing, "connect", connect)
    state = gateway_state()
    path = path_over(engine())

    async def run() -> bool:
        return await find_unreachable(state, path.engines, set())

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
                    time.sleep(seconds + probing.LATE_TIMER_SECONDS * 2)
                await anyio.sleep_forever()
        except TimeoutError as error:
            raise ConnectError(f"{address}: TimeoutError") from error
        raise AssertionError("unreachable")

    monkeypatch.setattr(probing, "connect", connect)
    state = gateway_state()
    path = path_over(engine())
    dead: set[str] = set()

    async def run() -> bool:
        return await find_unreachable(state, path.engines, dead)

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
    state = gateway_state()
    path = path_over(engine())

    async def run() -> bool:
        return await find_unreachable(state, path.engines, set())

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
    state = gateway_state()
    working, silent = engine(), engine("i-2", "127.0.0.1:2")
    path = path_over(working, silent)
    dead: set[str] = set()

    async def run() -> bool:
        working.proven_at = anyio.current_time()
        silent.proven_at = working.proven_at - probing.LIVENESS_SECONDS * 2
        return await find_unreachable(state, path.engines, dead)

    assert anyio.run(run)
    assert probed == ["127.0.0.1:2"]
    assert dead == {"i-2"}
