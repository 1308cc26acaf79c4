"""A stand-in plain service that counts the executions of each idempotency key.

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
"""Value of `what` in a request that crashes the process."""

REFUSED = "refused"
"""Counter of the requests refused during a back-off."""

RUNS = "runs"
"""Counter of all executions."""


def build_app() -> Starlette:
    """Build the service; `POST /work` runs a request and returns the executions of its key."""
    executions: Counter[str] = Counter()
    backoff: list[str] = []
    rate_limit: list[str] = []

    async def work(request: Request) -> Response:
        body = await request.json()
        if backoff:
            executions[REFUSED] += 1
            headers = {"ledgeladder-execution": "not-run", "retry-after": backoff[0]}
            return Response(status_code=503, headers=headers)
        if body.get("what", "").strip() == CRASH_WORD:
            os._exit(1)
        await anyio.sleep(float(body.get("seconds", 0.0)))
        key = request.headers.get("idempotency-key", "")
        executions[key] += 1
        executions[RUNS] += 1
        headers = {"ledgeladder-rate-limit": rate_limit[0]} if rate_limit else {}
        content = {"done": body.get("what", ""), "executions": executions[key]}
        return JSONResponse(content, headers=headers)

    async def refuse(request: Request) -> Response:
        return Response(status_code=503, headers={"ledgeladder-execution": "not-run"})

    async def control(request: Request) -> Response:
        settings = await request.json()
        backoff[:] = settings.get("rest", backoff)
        rate_limit[:] = settings.get("limit", rate_limit)
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
    """Serve until SIGTERM or SIGINT."""
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
