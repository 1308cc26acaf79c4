"""An unexpected error in what is done for one engine ends nothing that is done for others."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.coordination.engine_orders import OrderLedger, OrderOutcome
from ledgeladder.daemons.registry import order_sending, placement, upstream_ends
from ledgeladder.model.registration import Holding, Registration

BROKEN = "broken"
"""Engine whose calls raise an error that no connection raises."""


def test_failed_order_of_one_engine_ends_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a control box that orders no layers, as one order raises."""
    outcomes: dict[str, OrderOutcome] = {}

    async def send_order(
        state: Any, engine: Registration, holding: Holding, fence: int
    ) -> OrderOutcome:
        await anyio.sleep(0)
        if engine.instance == BROKEN:
            raise OverflowError("port must be 0-65535")
        await anyio.sleep(0)
        return OrderOutcome.DONE

    def record_outcome(
        ledger: OrderLedger, instance: str, outcome: OrderOutcome, fence: int
    ) -> None:
        outcomes[instance] = outcome

    monkeypatch.setattr(order_sending, "send_order", send_order)
    monkeypatch.setattr(order_sending, "record_outcome", record_outcome)
    state: Any = SimpleNamespace(
        node=SimpleNamespace(replica=SimpleNamespace(term=1)),
        peers=SimpleNamespace(links={}),
        order_ledger=OrderLedger(),
    )

    async def play() -> None:
        limiter = anyio.CapacityLimiter(8)
        holding = Holding(first=0, end=1)
        async with anyio.create_task_group() as tasks:
            for instance in ("a", BROKEN, "b"):
                engine = Registration(instance=instance, sequence=1)
                tasks.start_soon(placement._order_with_limit, limiter, state, engine, holding)

    anyio.run(play)
    assert outcomes == {
        "a": OrderOutcome.DONE,
        BROKEN: OrderOutcome.NO_ANSWER,
        "b": OrderOutcome.DONE,
    }


def test_failed_check_of_one_engine_ends_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a control box that checks no engine, as one check raises."""
    ended: dict[str, bool] = {}

    async def accepts(state: Any, instance: str) -> bool:
        await anyio.sleep(0)
        if instance == BROKEN:
            raise OverflowError("port must be 0-65535")
        await anyio.sleep(0)
        return True

    async def play() -> None:
        with anyio.CancelScope() as scope:

            def end_check(losses: Any, instance: str, *, accepted: bool) -> None:
                ended[instance] = accepted
                if len(ended) == 3:
                    scope.cancel()

            monkeypatch.setattr(upstream_ends, "end_check", end_check)
            state: Any = SimpleNamespace(
                checks_begun=anyio.Event(), begun_checks=["a", BROKEN, "b"], losses=None
            )
            state.checks_begun.set()
            await upstream_ends.run_liveness_checks(state)

    monkeypatch.setattr(upstream_ends, "_accepts", accepts)
    anyio.run(play)
    assert ended == {"a": True, BROKEN: False, "b": True}
