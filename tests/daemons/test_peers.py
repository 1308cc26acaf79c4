"""Choice of links to control boxes, and their recovery after a restart of the task."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest

from ledgeladder.daemons import peers as peers_module
from ledgeladder.daemons.peers import Peers, add_peers, primary_of, record_hint, run_peers
from ledgeladder.daemons.reloading import SeedList
from ledgeladder.links import Link, LinkIdentity
from ledgeladder.links.messages import PeerHint, PeerRole

IDENTITY = LinkIdentity(
    cluster="c",
    role=PeerRole.ENTRY,
    box="10.0.0.1",
    failure_domain="d",
    instance="i",
    secret="a-secret-of-the-cluster",
)


async def keep_serving(address: str, link: Link) -> None:
    await anyio.sleep_forever()


def make_peers(**options: Any) -> Peers:
    """Return the peers of the box of `IDENTITY`, whose links are served until cancelled."""
    return Peers(
        identity=IDENTITY,
        own_address=IDENTITY.box,
        link_port=7,
        serve=keep_serving,
        **options,
    )


def test_restart_of_the_task_opens_the_links_again(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    """Guards against a process that opens no links after a failure inside a link handler."""
    opened: list[str] = []

    async def keep_link(address: str, *arguments: object, **options: object) -> None:
        opened.append(address)
        await anyio.sleep_forever()

    monkeypatch.setattr(peers_module, "keep_link", keep_link)
    peers = make_peers()
    seeds = SeedList(path=Path("unused"), seeds=("10.0.0.2:80", "10.0.0.1:80"))

    async def run() -> None:
        for _ in range(2):
            with anyio.move_on_after(0.05):
                await run_peers(peers, seeds)

    anyio.run(run)
    assert opened == ["10.0.0.2:7", "10.0.0.2:7"]


def entry_peers(monkeypatch, *, reachable: set[str], stale: bool = False) -> Peers:  # type: ignore[no-untyped-def]
    """Return the peers of an entry box with at most three links, of which some are reachable."""

    async def keep_link(address: str, identity: LinkIdentity, handler, **_: object) -> None:  # type: ignore[no-untyped-def]
        if address.split(":")[0] in reachable:
            await handler(None)
        await anyio.sleep_forever()

    monkeypatch.setattr(peers_module, "keep_link", keep_link)
    monkeypatch.setattr(peers_module, "CHECK_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(peers_module, "CONNECT_GRACE_SECONDS", 0.02)
    return make_peers(max_links=3, is_stale=lambda: stale)


CONTROLS = [f"10.0.1.{number}" for number in range(8)]


def run_until_settled(peers: Peers, seconds: float = 0.3) -> set[str]:
    """Run the links until they have settled, and return the established ones."""
    up: set[str] = set()

    async def run() -> None:
        seeds = SeedList(path=Path("unused"), seeds=tuple(f"{item}:80" for item in CONTROLS[:3]))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_peers, peers, seeds)
            await anyio.sleep(0.05)
            add_peers(peers, CONTROLS, dict.fromkeys(CONTROLS[4:6], "d"))
            await anyio.sleep(seconds)
            up.update(peers.links)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return up


def test_links_are_limited_and_prefer_the_own_domain(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    peers = entry_peers(monkeypatch, reachable=set(CONTROLS))
    up = run_until_settled(peers)
    assert len(up) == 3
    assert set(CONTROLS[4:6]) <= up
    assert primary_of(peers) is None  # No link is established after cancellation.


def test_unreachable_links_are_replaced(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    reachable = {CONTROLS[0], CONTROLS[4], CONTROLS[7]}
    peers = entry_peers(monkeypatch, reachable=reachable)
    assert run_until_settled(peers) == reachable


def test_all_links_are_tried_while_stale(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    """The established links may all lead to boxes that are partitioned from the leader."""
    peers = entry_peers(monkeypatch, reachable=set(CONTROLS), stale=True)
    assert run_until_settled(peers) == set(CONTROLS)


def test_control_box_reads_demand_only_as_its_newest_hint_says() -> None:
    """A box replaced by an earlier version would close any link on which demand arrives."""
    peers = make_peers()
    record_hint(peers, "10.0.1.1", PeerHint(addresses=(), reads_demand=True))
    record_hint(peers, "10.0.1.2", PeerHint(addresses=()))
    assert peers.demand_readers == {"10.0.1.1"}
    record_hint(peers, "10.0.1.1", PeerHint(addresses=()))
    assert not peers.demand_readers
    record_hint(peers, "10.0.1.1", PeerHint(addresses=(), reads_parts=True))
    assert peers.part_readers == {"10.0.1.1"}
    record_hint(peers, "10.0.1.1", PeerHint(addresses=()))
    assert not peers.part_readers


def test_new_link_does_not_read_demand_before_its_hint(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    peers = entry_peers(monkeypatch, reachable=set(CONTROLS))
    peers.demand_readers = set(CONTROLS)
    up = run_until_settled(peers)
    assert up
    assert not up & peers.demand_readers


@pytest.mark.parametrize("task", ["_expire_unreachable", "choose_controls"])
def test_failed_task_of_one_link_ends_no_other(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, task: str
) -> None:
    """Guards against a box that loses its links to all control boxes by an error about one."""
    peers = entry_peers(monkeypatch, reachable=set(CONTROLS))
    sound: Any = getattr(peers_module, task)
    calls: list[object] = []

    def fail_third(*arguments: Any) -> Any:
        calls.append(arguments)
        if len(calls) == 3:
            raise KeyError("planted")
        return sound(*arguments)

    monkeypatch.setattr(peers_module, task, fail_third)
    assert len(run_until_settled(peers)) == 3
    assert len(calls) > 3
    assert [line.levelname for line in caplog.records].count("ERROR") == 1
