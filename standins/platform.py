"""A stand-in of the platform: its delayed list of boxes, and the weight store.

Run as `python -m standins.platform ADDRESS LAG_SECONDS`. `POST /standin/leaving` sets the addresses
of the boxes that are leaving; the list shows them after the lag.
"""

from __future__ import annotations

import argparse
import signal

import anyio
import uvloop
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ledgeladder.daemons.http import serve_http

WEIGHT_SECONDS_PER_LAYER = 0.01


def build_app(lag_seconds: float) -> Starlette:
    """Build the HTTP application."""
    changes: list[tuple[float, list[str]]] = [(0.0, [])]

    async def list_boxes(request: Request) -> Response:
        visible_until = anyio.current_time() - lag_seconds
        shown = [leaving for at, leaving in changes if at <= visible_until][-1]
        return JSONResponse({"live": [], "leaving": shown})

    async def set_leaving(request: Request) -> Response:
        changes.append((anyio.current_time(), await request.json()))
        return Response()

    store_lock = anyio.Lock()

    async def send_weights(request: Request) -> Response:
        # One download at a time, at the full rate of the store.
        async with store_lock:
            await anyio.sleep(int(request.query_params["layers"]) * WEIGHT_SECONDS_PER_LAYER)
        return Response()

    return Starlette(
        routes=[
            Route("/boxes", list_boxes),
            Route("/weights", send_weights),
            Route("/standin/leaving", set_leaving, methods=["POST"]),
        ]
    )


async def main(address: str, lag_seconds: float) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_http, build_app(lag_seconds), address, stop)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("lag_seconds", type=float)
    uvloop.install()
    arguments = parser.parse_args()
    anyio.run(main, arguments.address, arguments.lag_seconds)
