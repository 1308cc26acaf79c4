"""Probes distinguish a dead engine from a stall of the probing process."""

from __future__ import annotations

import time

import anyio
import pytest

from ledgeladder.daemons.gateway import probing, reaching
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

    monkeypatch.setattr(reaching, "connect", connect)
    state = gateway_state()
    path = path_over(engine())

    async def run() -> bool:
        return await find_unreachable(state, path.engines, set())

    assert anyio.run(run)


@pytest.mark.parametrize(
    ("is_stalled", "accepts", "is_lost"),
    [(False, False, True), (True, False, False), (True, True, False), (False, True, False)],
)
def test_only_a_punctual_timeout_is_evidence(
    monkeypatch: pytest.MonkeyPatch, is_stalled: bool, accepts: bool, is_lost: bool
) -> None:
    """A process that stalls for longer than a probe timeout must not report engines as dead."""

    async def connect(address: str, *, source: str | None, seconds: float) -> Connected:
        if accepts and not is_stalled:
            return Connected()
        try:
            with anyio.fail_after(seconds):
                if is_stalled:
                    # Blocks the event loop, as on a machine that is suspended briefly.
                    time.sleep(seconds + probing.LATE_TIMER_SECONDS * 2)
                await anyio.sleep_forever()
        except TimeoutError as error:
            raise ConnectError(f"{address}: TimeoutError") from error
        raise AssertionError("unreachable")

    monkeypatch.setattr(reaching, "connect", connect)
    state = gateway_state()
    path = path_over(engine())
    dead: set[str] = set()

    async def run() -> bool:
        return await find_unreachable(state, path.engines, dead)

    assert anyio.run(run) is is_lost
    assert dead == ({"i-1"} if is_lost else set())
    assert (path.engines[0].lost_at > 0) is is_lost


def test_one_lost_packet_does_not_make_an_engine_appear_dead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tries = 0

    async def connect(address: str, *, source: str | None, seconds: float) -> Connected:
        nonlocal tries
        tries += 1
        if tries > 1:
            return Connected()
        await anyio.sleep(seconds)
        raise ConnectError(f"{address}: TimeoutError") from TimeoutError()

    monkeypatch.setattr(reaching, "connect", connect)
    state = gateway_state()
    path = path_over(engine())

    async def run() -> bool:
        return await find_unreachable(state, path.engines, set())

    assert not anyio.run(run)
    assert tries == 2


def test_engine_with_recent_progress_is_not_probed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    probed: list[str] = []

    async def connect(address: str, *, source: str | None, seconds: float) -> Connected:
        probed.append(address)
        raise ConnectError(f"{address}: OSError") from OSError()

    monkeypatch.setattr(reaching, "connect", connect)
    state = gateway_state()
    working, inactive = engine(), engine("i-2", "127.0.0.1:2")
    path = path_over(working, inactive)
    dead: set[str] = set()

    async def run() -> bool:
        working.last_success_at = anyio.current_time()
        inactive.last_success_at = working.last_success_at - probing.LIVENESS_SECONDS * 2
        return await find_unreachable(state, path.engines, dead)

    assert anyio.run(run)
    assert probed == ["127.0.0.1:2"]
    assert dead == {"i-2"}
