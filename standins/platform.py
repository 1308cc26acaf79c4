"""A stand-in of the platform: its lagging list of upstreams, and the weight store.

Run as `python -m standins.platform ADDRESS LAG_SECONDS`; `POST /standin/leaving` takes a list of
addresses, which the list shows only after the lag.
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
    """Build the page."""
    changes: list[tuple[float, list[str]]] = [(0.0, [])]

    async def boxes(request: Request) -> Response:
        visible = anyio.current_time() - lag_seconds
        shown = [leaving for at, leaving in changes if at <= visible][-1]
        return JSONResponse({"live": [], "leaving": shown})

    async def leave(request: Request) -> Response:
        changes.append((anyio.current_time(), await request.json()))
        return Response()

    store = anyio.Lock()

    async def weights(request: Request) -> Response:
        # One reader at a time: the store gives all of its rate to whoever reads.
        async with store:
            await anyio.sleep(int(request.query_params["layers"]) * WEIGHT_SECONDS_PER_LAYER)
        return Response()

    return Starlette(
        routes=[
            Route("/boxes", boxes),
            Route("/weights", weights),
            Route("/standin/leaving", leave, methods=["POST"]),
        ]
    )


async def main(address: str, lag_seconds: float) -> None:
    """Run the page until SIGTERM."""
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
    known = parser.parse_args()
    anyio.run(main, known.address, known.lag_seconds)
