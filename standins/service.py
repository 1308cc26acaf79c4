"""A stand-in plain service that counts every execution.

Run as `python -m standins.service ADDRESS`.
"""

from __future__ import annotations

import argparse
import os
import signal
from collections import Counter

import anyio
import uvloop
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ledgeladder.daemons.http import serve_http

CRASH_WORD = "ends-its-service"
"""What a request asks for that ends the process that runs it."""

REFUSED = "refused"
"""Under what the requests are counted that were refused for want of rest."""

RUNS = "runs"
"""Under what all requests are counted that were run."""


def build_app() -> Starlette:
    """Build the service: `POST /work` runs once per call and says how often the key was run."""
    executions: Counter[str] = Counter()
    rest: list[str] = []
    limit: list[str] = []

    async def work(request: Request) -> Response:
        body = await request.json()
        if rest:
            executions[REFUSED] += 1
            headers = {"ledgeladder-execution": "not-run", "retry-after": rest[0]}
            return Response(status_code=503, headers=headers)
        if body.get("what", "").strip() == CRASH_WORD:
            os._exit(1)
        await anyio.sleep(float(body.get("seconds", 0.0)))
        key = request.headers.get("idempotency-key", "")
        executions[key] += 1
        executions[RUNS] += 1
        headers = {"ledgeladder-rate-limit": limit[0]} if limit else {}
        content = {"done": body.get("what", ""), "executions": executions[key]}
        return JSONResponse(content, headers=headers)

    async def refuse(request: Request) -> Response:
        return Response(status_code=503, headers={"ledgeladder-execution": "not-run"})

    async def control(request: Request) -> Response:
        told = await request.json()
        rest[:] = told.get("rest", rest)
        limit[:] = told.get("limit", limit)
        return Response()

    async def stats(request: Request) -> Response:
        return JSONResponse(dict(executions))

    return Starlette(
        routes=[
            Route("/work", work, methods=["POST"]),
            Route("/refuse", refuse, methods=["POST"]),
            Route("/standin/control", control, methods=["POST"]),
            Route("/standin/stats", stats),
        ]
    )


async def main(address: str) -> None:
    """Run the service until SIGTERM."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_http, build_app(), address, stop)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    uvloop.install()
    anyio.run(main, parser.parse_args().address)
