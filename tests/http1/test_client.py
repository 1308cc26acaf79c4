"""The pool of connections while connections are taken, given back and closed side by side."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import h11
import pytest

from ledgeladder.http1 import client
from ledgeladder.http1.client import ConnectionPool, UpstreamConnection


class SlowStream:
    """A stream whose close takes a moment."""

    def __init__(self, during_close: Callable[[], None] | None = None) -> None:
        self.closed = False
        self.during_close = during_close

    async def aclose(self) -> None:
        """Close, and let others run meanwhile."""
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


def test_connection_taken_while_others_are_closed_is_not_handed_out_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two requests on one connection would get each other's answers."""
    monkeypatch.setattr(client, "_is_readable", lambda _: False)

    async def run() -> None:
        now = anyio.current_time()
        fresh, expired = connection(now + 60), connection(now - 1)
        pool = ConnectionPool(idle={"a:1": [fresh, expired]})
        taken: list[UpstreamConnection | None] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pool.close_expired)
            await anyio.sleep(0.001)
            taken.append(await pool.take("a:1"))
        taken.append(await pool.take("a:1"))
        assert taken == [fresh, None]

    anyio.run(run)


def test_connection_given_back_while_others_are_closed_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client, "_is_readable", lambda _: False)

    async def run() -> None:
        now = anyio.current_time()
        kept = connection(now + 60)
        pool = ConnectionPool()
        late = SlowStream(during_close=lambda: pool.idle.setdefault("a:1", []).append(kept))
        pool.idle["a:1"] = [connection(now - 1, late)]
        await pool.close_expired()
        assert late.closed
        assert await pool.take("a:1") is kept

    anyio.run(run)
