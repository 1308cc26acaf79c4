"""Links to control boxes after the task that keeps them was restarted."""

from __future__ import annotations

from pathlib import Path

import anyio

from ledgeladder.daemons import peers as peers_module
from ledgeladder.daemons.peers import Peers, run_peers
from ledgeladder.daemons.reloading import SeedList
from ledgeladder.links import Link, LinkIdentity
from ledgeladder.links.messages import PeerRole


def test_restart_of_the_task_opens_the_links_again(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    """After any failure inside a link handler the process once never linked to anybody again."""
    opened: list[str] = []

    async def keep_link(address: str, *arguments: object, **options: object) -> None:
        opened.append(address)
        await anyio.sleep_forever()

    async def serve(address: str, link: Link) -> None:
        await anyio.sleep_forever()

    monkeypatch.setattr(peers_module, "keep_link", keep_link)
    identity = LinkIdentity(
        cluster="c",
        role=PeerRole.ENTRY,
        box="10.0.0.1",
        failure_domain="d",
        instance="i",
        secret="a-secret-of-the-cluster",
    )
    peers = Peers(identity=identity, own_address="10.0.0.1", link_port=7, serve=serve)
    seeds = SeedList(path=Path("unused"), seeds=("10.0.0.2:80", "10.0.0.1:80"))

    async def run() -> None:
        for _ in range(2):
            with anyio.move_on_after(0.05):
                await run_peers(peers, seeds)

    anyio.run(run)
    assert opened == ["10.0.0.2:7", "10.0.0.2:7"]
