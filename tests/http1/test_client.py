"""The connection pool while connections are acquired, released and closed concurrently."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import h11
import pytest

from ledgeladder.http1 import client
from ledgeladder.http1.client import ConnectionPool, UpstreamConnection


class SlowStream:
    """A stream whose `aclose` yields to other tasks."""

    def __init__(self, during_close: Callable[[], None] | None = None) -> None:
        self.closed = False
        self.during_close = during_close

    async def aclose(self) -> None:
        """Close after other tasks have run."""
        await anyio.sleep(0.01)
        if self.during_close is not None:
            self.during_close()
        self.closed = True


def connection(keep_until: float, stream: SlowStream | None = None) -> UpstreamConnection:
    return UpstreamConnection(
        address="a:1",
        stream=stream or SlowStream(),  # type: ignore[arg-type]
        protocol=h11.Connection(h11.CLIENT),
        keep_until=keep_until,
    )


def test_connection_acquired_during_cleanup_is_not_acquired_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two requests on one connection would receive each other's answers."""
    monkeypatch.setattr(client, "_is_readable", lambda _: False)

    async def run() -> None:
        now = anyio.current_time()
        fresh, expired = connection(now + 60), connection(now - 1)
        pool = ConnectionPool(idle={"a:1": [fresh, expired]})
        acquired: list[UpstreamConnection | None] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pool.close_expired)
            await anyio.sleep(0.001)
            acquired.append(await pool.acquire("a:1"))
        acquired.append(await pool.acquire("a:1"))
        assert acquired == [fresh, None]

    anyio.run(run)


def test_connection_released_during_cleanup_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client, "_is_readable", lambda _: False)

    async def run() -> None:
        now = anyio.current_time()
        kept = connection(now + 60)
        pool = ConnectionPool()
        slow = SlowStream(during_close=lambda: pool.idle.setdefault("a:1", []).append(kept))
        pool.idle["a:1"] = [connection(now - 1, slow)]
        await pool.close_expired()
        assert slow.closed
        assert await pool.acquire("a:1") is kept

    anyio.run(run)
