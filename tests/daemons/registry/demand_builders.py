"""Control boxes, links and reports for tests of demand."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.registry import demand_totals
from ledgeladder.daemons.registry.demand_totals import (
    broadcast_demand,
    build_demand_share,
    build_demand_totals,
    drop_expired_demand,
    record_demand_report,
    record_demand_share,
)
from ledgeladder.links.frames import FRAME_LIMIT_BYTES, FrameBuffer
from ledgeladder.links.messages import DemandReport, LinkMessage
from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.routing.demand_sums import REPORT_ACCOUNTS


class Recorder:
    """A link that records the posted messages."""

    def __init__(self, box: str, instance: str = "", domain: str = "a") -> None:
        self.peer_box = box
        self.peer = SimpleNamespace(instance=instance or box, failure_domain=domain)
        self.posted: list[LinkMessage] = []
        self.bytes = 0

    def post_frame(self, frame: bytes) -> None:
        self.posted.extend(FrameBuffer(limit=FRAME_LIMIT_BYTES).feed(frame))
        self.bytes += len(frame)


def control() -> Any:
    return SimpleNamespace(
        demands={},
        demand_shares={},
        loads={},
        shares={},
        peers=SimpleNamespace(known={}, links={}, demand_readers=set()),
    )


def report(tokens: float, account: str = "x", pool: str = "p") -> DemandReport:
    item = ClassDemand(asked=1.0, admitted=1.0, tokens=tokens, accounts={account: tokens})
    return DemandReport(pools={pool: PoolDemand(classes={0: item})})


def send(state: Any, link: Recorder, message: DemandReport, now: float) -> None:
    record_demand_report(state, link, message, now)  # type: ignore[arg-type]


def share(source: Any, link: Recorder, target: Any, now: float) -> None:
    message, _size = build_demand_share(source)
    record_demand_share(target, link, message, now)  # type: ignore[arg-type]


def tokens_in(state: Any, now: float) -> float:
    drop_expired_demand(state, now)
    totals, _size = build_demand_totals(state)
    return sum(item.tokens for demand in totals.pools.values() for item in demand.classes.values())


def play(
    monkeypatch: pytest.MonkeyPatch, state: Any, seconds: float, each_round: Any = lambda now: None
) -> None:
    """Run the broadcasts of a control box in virtual time."""
    clock = [100.0]

    async def sleep(step: float) -> None:
        clock[0] += step
        if clock[0] > 100.0 + seconds:
            raise TimeoutError
        each_round(clock[0])

    monkeypatch.setattr(demand_totals.anyio, "current_time", lambda: clock[0])
    monkeypatch.setattr(demand_totals.anyio, "sleep", sleep)

    async def run() -> None:
        with pytest.raises(TimeoutError):
            await broadcast_demand(state)

    anyio.run(run)


def many_reports(seed: int, boxes: int, accounts: int, pools: int) -> list[DemandReport]:
    rng = random.Random(seed)
    return [
        DemandReport(
            pools={
                f"pool-{pool}": PoolDemand(
                    classes={
                        priority: ClassDemand(
                            asked=rng.uniform(0.0, 20.0),
                            admitted=rng.uniform(0.0, 20.0),
                            tokens=rng.uniform(50_000.0, 90_000.0),
                            accounts={
                                f"client-account-{rng.randrange(accounts)}": rng.uniform(1.0, 5e3)
                                for _ in range(REPORT_ACCOUNTS)
                            },
                        )
                        for priority in range(3)
                    }
                )
                for pool in range(pools)
            }
        )
        for _ in range(boxes)
    ]
