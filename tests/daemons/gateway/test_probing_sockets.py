"""Probes over real sockets from a process that stalls meanwhile."""

from __future__ import annotations

import time

import anyio
import pytest
from anyio.abc import SocketAttribute

from ledgeladder.daemons.gateway.probing import find_unreachable, probe_timeout

from .builders import engine, gateway_state, path_over


@pytest.mark.parametrize("factor", [1.1, 1.3, 2.0, 5.0])
def test_engine_that_accepts_is_alive_however_long_the_probing_process_stalls(
    factor: float,
) -> None:
    """After a stall the probe's timer and its connection are due together; uvloop runs timers
    first."""

    async def run() -> bool:
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
            path = path_over(engine(address=address))

            async def stall() -> None:
                await anyio.sleep(0)
                time.sleep(probe_timeout(gateway_state(), "p") * factor)

            tasks.start_soon(stall)
            lost = await find_unreachable(gateway_state(), path.engines, set())
            tasks.cancel_scope.cancel()
        await listener.aclose()
        return lost

    assert not anyio.run(run, backend_options={"use_uvloop": True})
