"""Time during which a machine is suspended, which the monotonic clock leaves out, is counted."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.coordination import raft
from ledgeladder.coordination.freshness import handle_reply, open_query
from ledgeladder.daemons import clock
from ledgeladder.daemons.gateway.state import check_freshness
from ledgeladder.daemons.launch import LOOP_OPTIONS
from ledgeladder.daemons.registry.published_version import is_up_to_date_leader, version_age
from ledgeladder.model.traffic import CallerLimits, TrafficConfiguration

from .gateway.builders import gateway_state

SUSPENDED_SECONDS = 8.0
"""Longer than a lease, and than a revoked key may still be accepted."""


class Machine:
    """A machine whose clocks advance as in a suspension."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.suspended = 0.0
        real_clock_gettime = clock.time.clock_gettime

        def clock_gettime(number: int) -> float:
            includes_suspension = number != clock.time.CLOCK_MONOTONIC
            return real_clock_gettime(number) + (self.suspended if includes_suspension else 0.0)

        monkeypatch.setattr(clock.time, "clock_gettime", clock_gettime)

    def suspend(self) -> None:
        """Advance the clocks that count suspension."""
        self.suspended += SUSPENDED_SECONDS


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> Machine:
    return Machine(monkeypatch)


def test_time_and_deadlines_of_daemons_include_suspension(machine: Machine) -> None:
    async def check() -> None:
        began = anyio.current_time()
        assert abs(began - clock.now()) < 1.0
        with anyio.move_on_after(1.0) as scope:
            machine.suspend()
            await anyio.sleep(0.01)
            assert anyio.current_time() - began > SUSPENDED_SECONDS
        assert scope.deadline < anyio.current_time()

    anyio.run(check, backend_options=LOOP_OPTIONS)


def test_resumed_gateway_does_not_use_an_outdated_document(machine: Machine) -> None:
    """Its keys may have been revoked during the suspension."""

    async def check() -> None:
        state = gateway_state()
        state.configuration = TrafficConfiguration(
            version=3, routes=(), pools={}, limits=CallerLimits(), accounts=()
        )
        call = open_query(state.freshness, anyio.current_time())
        handle_reply(state.freshness, call, 3, 0.0)
        assert check_freshness(state, anyio.current_time())
        machine.suspend()
        assert not check_freshness(state, anyio.current_time())

    anyio.run(check, backend_options=LOOP_OPTIONS)


def test_resumed_leader_holds_no_lease(machine: Machine) -> None:
    """Another box may have become leader and published newer documents."""
    replica: Any = SimpleNamespace(
        is_leader=True,
        term=2,
        commit_index=5,
        lease_until=clock.now() + 1.0,
        log=SimpleNamespace(term_at=lambda _index: 2),
    )

    def holds_lease(replica: Any, now: float) -> bool:
        return now < replica.lease_until

    state: Any = SimpleNamespace(
        node=SimpleNamespace(
            replica=replica,
            applied_index=5,
            state=SimpleNamespace(published=SimpleNamespace(version=3)),
        ),
        freshness=SimpleNamespace(version=3, as_of=clock.now()),
    )
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(raft, "holds_lease", holds_lease)
        assert is_up_to_date_leader(state)
        machine.suspend()
        assert not is_up_to_date_leader(state)

        async def check() -> float | None:
            return version_age(state)

        age = anyio.run(check, backend_options=LOOP_OPTIONS)
    assert age is not None
    assert age >= SUSPENDED_SECONDS
