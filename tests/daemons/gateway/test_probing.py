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


@pytest.mark.parametrize("accepts", [True, False])
def test_streams_that_stall_together_share_a_probe(
    monkeypatch: pytest.MonkeyPatch, accepts: bool
) -> None:
    """Failure: the probes of all streams filled the accept queue of a suspended engine, and the
    probes that it dropped made the engine appear dead."""
    tries = 0

    async def connect(address: str, *, source: str | None, seconds: float) -> Connected:
        nonlocal tries
        tries += 1
        await anyio.sleep(0)
        if accepts:
            return Connected()
        raise ConnectError(f"{address}: OSError") from OSError()

    monkeypatch.setattr(reaching, "connect", connect)
    state = gateway_state()
    path = path_over(engine())
    found: list[bool] = []
    dead: list[set[str]] = [set() for _ in range(20)]

    async def check(number: int) -> None:
        found.append(await find_unreachable(state, path.engines, dead[number]))

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(20):
                tasks.start_soon(check, number)

    anyio.run(run)
    assert tries == 1
    assert found == [not accepts] * 20
    assert dead == [set() if accepts else {"i-1"}] * 20
    assert state.metrics.counters["engine-lost"] == (0 if accepts else 1)


def test_probe_is_repeated_by_the_next_stream_if_its_own_stream_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: a stream waits for a probe that was cancelled, and finds no loss."""
    was_cancelled = False
    later_tries = 0

    async def connect(address: str, *, source: str | None, seconds: float) -> Connected:
        nonlocal later_tries
        if not was_cancelled:
            await anyio.sleep_forever()
        later_tries += 1
        raise ConnectError(f"{address}: OSError") from OSError()

    monkeypatch.setattr(reaching, "connect", connect)
    state = gateway_state()
    path = path_over(engine())
    found: list[bool] = []

    async def check_first(scope: anyio.CancelScope) -> None:
        with scope:
            await find_unreachable(state, path.engines, set())

    async def check_second() -> None:
        found.append(await find_unreachable(state, path.engines, set()))

    async def run() -> None:
        nonlocal was_cancelled
        first = anyio.CancelScope()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(check_first, first)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(check_second)
            await anyio.wait_all_tasks_blocked()
            assert not found
            was_cancelled = True
            first.cancel()

    anyio.run(run)
    assert found == [True]
    assert later_tries == 1


@pytest.mark.parametrize(
    ("silent_for", "accepted_before", "is_probed"),
    [(2.0, 0.2, False), (2.0, 0.7, True), (0.1, 0.06, True), (0.1, 0.01, False)],
)
def test_engine_that_stays_silent_is_probed_less_often(
    monkeypatch: pytest.MonkeyPatch, silent_for: float, accepted_before: float, is_probed: bool
) -> None:
    """Failure: probes each 35 ms filled the accept queue of an engine that was suspended."""
    probed: list[str] = []

    async def connect(address: str, *, source: str | None, seconds: float) -> Connected:
        probed.append(address)
        return Connected()

    monkeypatch.setattr(reaching, "connect", connect)
    state = gateway_state()
    silent = engine()

    async def run() -> None:
        now = anyio.current_time()
        silent.last_success_at = now - accepted_before
        silent.last_event_at = silent.last_success_at - silent_for
        await find_unreachable(state, path_over(silent).engines, set())

    anyio.run(run)
    assert bool(probed) is is_probed
