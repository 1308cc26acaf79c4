"""Demand reports of an entry box: to which control boxes, when, and what totals do."""

from __future__ import annotations

import json
import zlib
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from ledgeladder.daemons.gateway import demand_reports
from ledgeladder.daemons.gateway.control_link import apply_document
from ledgeladder.links.frames import encode_frame
from ledgeladder.links.messages import DemandReport, DemandTotals, DocumentPush
from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.routing.demand_sums import DEMAND_BYTES_PER_SECOND, MAX_DEMAND_BYTES
from ledgeladder.routing.fleet_demand import has_totals, pool_demand, record_asked
from ledgeladder.routing.load_sharing import LOAD_VALID_SECONDS, MAX_REPORT_SECONDS
from standins.discovered_fleet import example_document

from .builders import gateway_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from ledgeladder.daemons.gateway.state import GatewayState

CONTROL = "10.0.0.1"
OTHER = "10.0.0.2"


class Run:
    """Runs the reporting loop of one link in virtual time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        self.primary = CONTROL
        self.posted: list[tuple[float, Any]] = []
        self.state: GatewayState = gateway_state()
        self.state.contended = frozenset({"p"})
        self.peers = SimpleNamespace(known={CONTROL: 0.0, OTHER: 0.0}, demand_readers={CONTROL})
        self.state.peers = self.peers  # type: ignore[assignment]
        self.monkeypatch = monkeypatch
        monkeypatch.setattr(demand_reports, "primary_of", lambda _peers: self.primary)
        monkeypatch.setattr(demand_reports.anyio, "current_time", lambda: self.now)

    def ask(self, count: int, account: str = "a", pool: str = "p") -> None:
        for _ in range(count):
            record_asked(
                self.state.demand, pool=pool, priority=0, account=account, tokens=9.0, now=self.now
            )

    def play(self, seconds: float, each_round: Callable[[], None] = lambda: None) -> None:
        """Run the loop for some seconds, calling a function before each round."""
        until = self.now + seconds

        async def sleep(step: float) -> None:
            self.now += step
            if self.now > until:
                raise TimeoutError
            each_round()

        self.monkeypatch.setattr(demand_reports.anyio, "sleep", sleep)

        async def run() -> None:
            link = SimpleNamespace(post=lambda message: self.posted.append((self.now, message)))
            with pytest.raises(TimeoutError):
                await demand_reports.report_demand(self.state, CONTROL, link)  # type: ignore[arg-type]

        anyio.run(run)

    def reports(self) -> list[dict[str, PoolDemand]]:
        assert all(isinstance(message, DemandReport) for _at, message in self.posted)
        return [message.pools for _at, message in self.posted]


def test_control_boxes_of_an_earlier_version_are_sent_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They would close the link on an unknown message, again and again."""
    run = Run(monkeypatch)
    run.peers.demand_readers.clear()
    run.play(5.0, lambda: run.ask(3))
    assert not run.posted
    assert run.state.demand.reported == {}
    run.peers.demand_readers.add(CONTROL)
    run.play(1.0, lambda: run.ask(3))
    assert run.posted


def test_only_the_preferred_control_box_gets_reports(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reports to several control boxes would be summed several times."""
    run = Run(monkeypatch)
    run.primary = OTHER
    run.play(5.0, lambda: run.ask(3))
    assert not run.posted


def test_empty_reports_announce_the_box_before_they_expire(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without them, a box without requests would get no totals."""
    run = Run(monkeypatch)
    run.play(20.0, lambda: run.ask(3, pool="not-contended"))
    assert set(map(len, run.reports())) == {0}
    times = [at for at, _message in run.posted]
    pauses = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert MAX_REPORT_SECONDS <= min(pauses) <= max(pauses) < LOAD_VALID_SECONDS / 2


def test_report_is_withdrawn_when_another_control_box_is_preferred(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise the box counts at both until the report expires."""
    run = Run(monkeypatch)
    start = run.now

    def each_round() -> None:
        run.ask(3)
        run.primary = CONTROL if run.now < start + 2.0 else OTHER

    run.play(6.0, each_round)
    reports = run.reports()
    assert len(reports) > 2
    assert all(reports[1:-1])
    assert reports[-1] == {}
    assert run.posted[-1][0] < start + 3.0


def test_reports_of_thousands_of_accounts_keep_to_the_bandwidth(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    run = Run(monkeypatch)
    names = iter(range(10**9))
    pools = [f"pool-{number}" for number in range(12)]
    run.state.contended = frozenset(pools)

    def each_round() -> None:
        for _ in range(20):
            for pool in pools:
                run.ask(1, f"client-account-{next(names) % 5000}", pool)

    run.play(60.0, each_round)
    sizes = [len(encode_frame(message)) for _at, message in run.posted]
    assert max(sizes) <= MAX_DEMAND_BYTES
    assert sum(sizes) <= 60.0 * DEMAND_BYTES_PER_SECOND + MAX_DEMAND_BYTES
    assert len(sizes) >= 60.0 / LOAD_VALID_SECONDS


def test_totals_are_used_with_the_report_that_they_include(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    run = Run(monkeypatch)
    run.ask(6)
    run.play(0.1)
    (report,) = run.reports()
    item = ClassDemand(asked=report["p"].classes[0].asked + 40.0, tokens=1000.0)
    totals = DemandTotals(pools={"p": PoolDemand(classes={0: item})}, entries=8)
    demand_reports.handle_demand_totals(run.state, totals)
    assert has_totals(run.state.demand, run.now)
    run.ask(2)
    found = pool_demand(run.state.demand, "p", run.now, 8).classes[0]
    local = run.state.demand.local["p"].classes[0].asked
    assert found.asked == pytest.approx(40.0 + local)


def test_document_says_which_pools_are_reported() -> None:
    """Pools whose requests do not differ in priority need no reports."""
    state = gateway_state()
    document = example_document(1)
    for version, priority, expected in ((1, 1, set()), (2, 0, {"engines"}), (3, 1, set())):
        document["version"] = version
        urgent = document["routes"][0] | {"name": "urgent", "pathPrefix": "/urgent/"}
        routes = [*document["routes"], urgent | {"priority": priority}]
        body = json.dumps(document | {"routes": routes}).encode()
        apply_document(state, DocumentPush(version=version, body=zlib.compress(body)))
        assert state.version == version
        assert state.contended == expected


def test_loss_of_totals_is_logged_once(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    run = Run(monkeypatch)
    rounds = 0

    async def sleep(seconds: float) -> None:
        nonlocal rounds
        rounds += 1
        run.now += seconds
        if rounds in (2, 3, 4, 5):
            demand_reports.handle_demand_totals(run.state, DemandTotals(pools={}, entries=3))
        if rounds == 20:
            raise TimeoutError

    monkeypatch.setattr(demand_reports.anyio, "sleep", sleep)

    async def watch() -> None:
        with pytest.raises(TimeoutError):
            await demand_reports.log_demand_changes(run.state)

    with caplog.at_level("INFO"):
        anyio.run(watch)
    assert [record.message for record in caplog.records] == [
        "fleet demand known",
        "fleet demand not known",
    ]
