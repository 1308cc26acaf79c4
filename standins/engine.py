"""A stand-in model engine: holds a range of layers, batches continuously, checks every step.

Run as `python -m standins.engine NAME ADDRESS FIRST END LAYER_SECONDS [--ignore-fences]`.
"""

from __future__ import annotations

import argparse
import contextlib
import os
import signal
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
import httpx
import msgspec
import uvloop
from anyio.abc import SocketStream, TaskGroup
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ledgeladder.daemons.http import serve_http
from ledgeladder.routing.session import ReceiptStage, TokenFrame
from ledgeladder.upstreams.engine import (
    CancelRequest,
    LostFrame,
    OrderRequest,
    RefusalBody,
    RunRequest,
)

from .batcher import Batcher, Speed
from .model_function import SpanCache, input_at, prompt_seed, run_layers, text_of, token_of
from .stage_link import (
    Drop,
    NeedInputs,
    StageMessage,
    Step,
    StepDone,
    StepFailed,
    encode,
    messages_of,
    stage_address,
)

CRASH_WORD = "ends-its-engine"
"""Prompt that ends the first engine that runs it."""

SESSION_IDLE_SECONDS = 30.0
LOAD_LAG_SECONDS = 0.5


@dataclass(kw_only=True)
class Held:
    """What this engine holds for one request."""

    attempt: int
    cache: SpanCache
    outputs: list[int] = field(default_factory=list)
    touched_at: float = 0.0


@dataclass(kw_only=True)
class HeadRun:
    """A request whose head this engine is."""

    attempt: int
    result: StepDone | StepFailed | None = None
    wake: anyio.Event = field(default_factory=anyio.Event)


@dataclass(kw_only=True)
class Engine:
    """State of the engine process."""

    name: str
    address: str
    first: int
    end: int
    batcher: Batcher
    tasks: TaskGroup
    check_fences: bool = True
    held: dict[str, Held] = field(default_factory=dict)
    heads: dict[str, HeadRun] = field(default_factory=dict)
    fenced: dict[str, int] = field(default_factory=dict)
    links: dict[str, SocketStream] = field(default_factory=dict)
    link_locks: dict[str, anyio.Lock] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    leaving: bool = False
    rest: str = ""
    """Time that it names while it refuses new requests and looks at its load, or empty."""
    limit: str = ""
    """Requests a second that it names in its answers, or empty."""
    lagged_running: int = 0
    highest_fence: tuple[int, int] = (0, 0)
    wanted: tuple[str, str, int, int] | None = None
    loading: bool = False
    store: str = ""
    orders: list[tuple[int, int, str]] = field(default_factory=list)

    # -- running layers ---------------------------------------------------------------------

    def admit(self, session: str, attempt: int, first: int, end: int) -> Held | None:
        """Return the state of a request for an attempt, or None if the attempt is old."""
        if attempt < self.fenced.get(session, 0):
            self.counts["old-attempts"] += 1
            return None
        self.fenced[session] = attempt
        held = self.held.get(session)
        if held is None or (held.cache.first, held.cache.end) != (first, end):
            held = Held(attempt=attempt, cache=SpanCache(first=first, end=end))
            self.held[session] = held
        held.attempt = attempt
        held.touched_at = anyio.current_time()
        return held

    async def compute(self, held: Held, attempt: int, first: int, values: tuple[int, ...]) -> bool:
        """Run positions from `first` on, in one step of the batch."""
        done = anyio.Event()
        layers = held.cache.end - held.cache.first
        self.batcher.submit(layers=layers, positions=len(values), done=done.set)
        await done.wait()
        if held.attempt != attempt or held.cache.positions < first:
            self.counts["overtaken"] += 1
            return False
        held.cache.truncate(first)
        del held.outputs[first:]
        for value in values:
            held.outputs.append(run_layers(held.cache, value))
        self.counts["positions"] += 1
        self.counts["replayed-positions"] += len(values) - 1
        self.counts["layer-steps"] += layers
        return True

    # -- stage messages ---------------------------------------------------------------------

    async def send(self, address: str, message: StageMessage) -> bool:
        """Send a message to another engine; False if it cannot be reached."""
        lock = self.link_locks.setdefault(address, anyio.Lock())
        try:
            async with lock:
                stream = self.links.get(address)
                if stream is None:
                    with anyio.fail_after(0.5):
                        own_host = self.address.rpartition(":")[0]
                        host, port = stage_address(address)
                        stream = await anyio.connect_tcp(host, port, local_host=own_host)
                    self.links[address] = stream
                    self.tasks.start_soon(self.read_replies, address, stream)
                with anyio.fail_after(2.0):
                    await stream.send(encode(message))
            return True
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.links.pop(address, None)
            return False

    async def read_replies(self, address: str, stream: SocketStream) -> None:
        """Read what comes back on a connection that this engine opened."""
        async with stream:
            async for message in messages_of(stream):
                if isinstance(message, NeedInputs):
                    self.tasks.start_soon(self.resend, message)
        if self.links.get(address) is stream:
            del self.links[address]
            self.counts["links-lost"] += 1
            await self.fail_runs_through(address)

    async def fail_runs_through(self, address: str) -> None:
        """Wake the heads whose next stage was lost; others hear it from their stage."""
        for waiting in list(self.forwarded.items()):
            session, (step, target) = waiting
            if target == address:
                await self.report(step, step.route[1].upstream, refused=False, leaving=False)
                self.forwarded.pop(session, None)

    forwarded: dict[str, tuple[Step, str]] = field(default_factory=dict)

    async def serve_stage(self, stream: SocketStream) -> None:
        """Serve a connection that another engine opened."""
        async with stream:
            async for message in messages_of(stream):
                match message:
                    case Step():
                        self.tasks.start_soon(self.run_step, message, stream)
                    case StepDone() | StepFailed():
                        self.take_result(message)
                    case Drop():
                        self.tasks.start_soon(self.drop, message)

    async def run_step(self, step: Step, stream: SocketStream) -> None:
        """Run a step that came from the stage before and pass it on."""
        stage = step.route[0]
        if stage.first < self.first or stage.end > self.end or stage.upstream != self.name:
            self.counts["foreign-steps"] += 1
            await self.report(step, self.name, refused=True, leaving=False)
            return
        if (self.leaving or self.loading) and step.session not in self.held:
            await self.report(step, self.name, refused=True, leaving=True)
            return
        held = self.admit(step.session, step.attempt, stage.first, stage.end)
        if held is None:
            return
        first = step.position + 1 - len(step.values)
        if held.cache.positions < first:
            need = NeedInputs(step=step, first=held.cache.positions)
            with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                await stream.send(encode(need))
            return
        if await self.compute(held, step.attempt, first, step.values):
            await self.pass_on(step, held)

    async def pass_on(self, step: Step, held: Held) -> None:
        """Send a computed position to the next stage, or the result to the head."""
        stage = step.route[0]
        line = ReceiptStage(stage.upstream, stage.first, stage.end)
        receipt = (*step.receipt, line)
        if len(step.route) == 1:
            done = StepDone(
                session=step.session,
                attempt=step.attempt,
                position=step.position,
                value=held.outputs[step.position],
                receipt=receipt,
            )
            if step.head == self.address:
                self.take_result(done)
            else:
                await self.send(step.head, done)
            return
        onward = Step(
            session=step.session,
            attempt=step.attempt,
            head=step.head,
            position=step.position,
            values=(held.outputs[step.position],),
            route=step.route[1:],
            receipt=receipt,
        )
        target = step.route[1]
        self.forwarded[step.session] = (step, target.address)
        if not await self.send(target.address, onward):
            await self.report(step, target.upstream, refused=False, leaving=False)

    async def resend(self, need: NeedInputs) -> None:
        """Send the next stage the inputs that it lacks."""
        held = self.held.get(need.step.session)
        if held is None or held.attempt != need.step.attempt:
            return
        values = tuple(held.outputs[need.first : need.step.position + 1])
        self.counts["replays-sent"] += 1
        step = msgspec.structs.replace(need.step, values=values)
        await self.send(step.route[0].address, step)

    async def report(self, step: Step, upstream: str, *, refused: bool, leaving: bool) -> None:
        """Tell the head that a stage is of no use."""
        failed = StepFailed(
            session=step.session,
            attempt=step.attempt,
            upstream=upstream,
            refused=refused,
            leaving=leaving,
        )
        if step.head == self.address:
            self.take_result(failed)
        else:
            await self.send(step.head, failed)

    def take_result(self, message: StepDone | StepFailed) -> None:
        """Wake the run that waits for a result."""
        run = self.heads.get(message.session)
        if run is not None and run.attempt == message.attempt:
            run.result = message
            run.wake.set()

    async def drop(self, message: Drop) -> None:
        """Forget a request and tell the stages behind."""
        self.forget(message.session, message.attempt)
        rest = message.route[1:]
        if rest:
            onward = Drop(session=message.session, attempt=message.attempt, route=rest)
            await self.send(rest[0].address, onward)

    def forget(self, session: str, attempt: int) -> None:
        """Drop what is held for a request, unless a newer attempt holds it."""
        held = self.held.get(session)
        if held is not None and held.attempt <= attempt:
            del self.held[session]
            self.forwarded.pop(session, None)
        self.fenced[session] = max(self.fenced.get(session, 0), attempt + 1)

    # -- being the head ---------------------------------------------------------------------

    async def run_as_head(self, request: RunRequest) -> AsyncIterator[bytes]:
        """Generate tokens and stream them."""
        run = HeadRun(attempt=request.attempt)
        self.heads[request.session] = run
        complete = False
        try:
            async for line in self.generate(request, run):
                yield line
            complete = True
        finally:
            if self.heads.get(request.session) is run:
                del self.heads[request.session]
            if not complete:
                self.counts["heads-cancelled"] += 1

    async def generate(self, request: RunRequest, run: HeadRun) -> AsyncIterator[bytes]:
        """Run position after position until the answer is whole or a stage fails."""
        stage = request.route[0]
        tokens = list(request.tokens)
        seed = prompt_seed(request.prompt)
        held = self.admit(request.session, request.attempt, stage.first, stage.end)
        while held is not None and len(tokens) < request.max_tokens:
            position = len(tokens)
            first = min(held.cache.positions, position)
            values = tuple(input_at(seed, tokens, at) for at in range(first, position + 1))
            if not await self.compute(held, request.attempt, first, values):
                return
            run.result, run.wake = None, anyio.Event()
            step = Step(
                session=request.session,
                attempt=request.attempt,
                head=self.address,
                position=position,
                values=(),
                route=request.route,
                receipt=(),
            )
            await self.pass_on(step, held)
            result = await self.wait_for(run, position)
            if isinstance(result, StepFailed):
                lost = LostFrame(
                    session=request.session,
                    attempt=request.attempt,
                    upstream=result.upstream,
                    refused=result.refused,
                    leaving=result.leaving,
                )
                yield msgspec.json.encode(lost) + b"\n"
                return
            tokens.append(token_of(result.value))
            frame = TokenFrame(
                session=request.session,
                attempt=request.attempt,
                position=position,
                token=tokens[-1],
                text=text_of(tokens[-1]),
                receipt=result.receipt,
            )
            yield msgspec.json.encode(frame) + b"\n"
        drop = Drop(session=request.session, attempt=request.attempt, route=request.route)
        self.tasks.start_soon(self.drop, drop)

    async def wait_for(self, run: HeadRun, position: int) -> StepDone | StepFailed:
        """Wait for the result of a position; late results of earlier ones are passed over."""
        while True:
            await run.wake.wait()
            run.wake = anyio.Event()
            result = run.result
            if isinstance(result, StepFailed):
                return result
            if result is not None and result.position == position:
                return result

    # -- housekeeping -----------------------------------------------------------------------

    async def expire(self) -> None:
        """Drop requests that nobody has touched for long, and refresh the lagging load."""
        while True:
            await anyio.sleep(LOAD_LAG_SECONDS)
            self.lagged_running = len(self.held)
            limit = anyio.current_time() - SESSION_IDLE_SECONDS
            for session in [s for s, held in self.held.items() if held.touched_at < limit]:
                del self.held[session]
                self.counts["expired"] += 1
            while len(self.fenced) > 20_000:
                del self.fenced[next(iter(self.fenced))]

    def take_order(self, order: OrderRequest) -> bool:
        """Carry out a fenced order; True once the weights are loaded."""
        fence = (order.term, order.index)
        if self.check_fences and fence < self.highest_fence:
            self.counts["orders-refused"] += 1
            return False
        self.highest_fence = max(self.highest_fence, fence)
        wanted = (order.model, order.version, order.first, order.end)
        if self.wanted != wanted:
            self.wanted = wanted
            self.orders.append((order.term, order.index, order.version))
            self.loading = True
            self.tasks.start_soon(self.load, order)
            return False
        return not self.loading

    async def load(self, order: OrderRequest) -> None:
        """Fetch the weights from the store, as slowly as it gives them."""
        layers = order.end - order.first
        async with httpx.AsyncClient(verify=False, trust_env=False, timeout=60) as client:
            await client.get(f"http://{self.store}/weights?layers={layers}")
        if self.wanted == (order.model, order.version, order.first, order.end):
            self.loading = False
            self.first, self.end = order.first, order.end
            self.counts["loads"] += 1


def build_app(engine: Engine) -> Starlette:
    """Build the engine's HTTP interface."""

    def refuse_for_rest() -> Response:
        return Response(status_code=503, headers={"retry-after": engine.rest})

    async def run(request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=RunRequest)
        stage = body.route[0]
        known = body.session in engine.held
        if engine.rest and not known:
            engine.counts["refused"] += 1
            return refuse_for_rest()
        if (engine.leaving or engine.loading) and not known:
            refusal = RefusalBody(reason="leaving or loading", leaving=True)
            return Response(msgspec.json.encode(refusal), status_code=503)
        if stage.upstream != engine.name or stage.first < engine.first or stage.end > engine.end:
            engine.counts["foreign-steps"] += 1
            refusal = RefusalBody(reason="layers not held")
            return Response(msgspec.json.encode(refusal), status_code=409)
        if body.attempt < engine.fenced.get(body.session, 0):
            refusal = RefusalBody(reason="old attempt")
            return Response(msgspec.json.encode(refusal), status_code=409)
        if body.prompt == CRASH_WORD:
            os._exit(1)
        engine.counts["runs"] += 1
        headers = {"ledgeladder-rate-limit": engine.limit} if engine.limit else {}
        return StreamingResponse(
            engine.run_as_head(body), headers=headers, media_type="application/x-ndjson"
        )

    async def cancel(request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=CancelRequest)
        engine.forget(body.session, body.attempt)
        engine.counts["cancels"] += 1
        return Response()

    async def live(request: Request) -> Response:
        return Response("live")

    async def load(request: Request) -> Response:
        if engine.rest:
            engine.counts["looks-refused"] += 1
            return refuse_for_rest()
        return JSONResponse(
            {"running": engine.lagged_running, "leaving": engine.leaving or engine.loading}
        )

    async def order(request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=OrderRequest)
        done = engine.take_order(body)
        return JSONResponse({"done": done}, status_code=200 if done else 409)

    async def control(request: Request) -> Response:
        body = await request.json()
        engine.leaving = body.get("leaving", engine.leaving)
        engine.rest = body.get("rest", engine.rest)
        engine.limit = body.get("limit", engine.limit)
        speed = engine.batcher.speed
        speed.slow_factor = body.get("slow_factor", speed.slow_factor)
        return Response()

    async def stats(request: Request) -> Response:
        return JSONResponse(
            {
                "counts": dict(engine.counts),
                "held": len(engine.held),
                "sessions": list(engine.held),
                "steps": engine.batcher.steps,
                "busy_seconds": engine.batcher.busy_seconds,
                "orders": engine.orders,
                "version": engine.wanted[1] if engine.wanted else "",
            }
        )

    return Starlette(
        routes=[
            Route("/stage/v1/run", run, methods=["POST"]),
            Route("/stage/v1/cancel", cancel, methods=["POST"]),
            Route("/stage/v1/live", live),
            Route("/stage/v1/load", load),
            Route("/stage/v1/orders", order, methods=["POST"]),
            Route("/standin/control", control, methods=["POST"]),
            Route("/standin/stats", stats),
        ]
    )


async def main(arguments: argparse.Namespace) -> None:
    """Run the engine until SIGTERM."""
    async with anyio.create_task_group() as tasks:
        engine = Engine(
            name=arguments.name,
            address=arguments.advertised or arguments.address,
            first=arguments.first,
            end=arguments.end,
            batcher=Batcher(
                speed=Speed(layer_seconds=arguments.layer_seconds),
                batch_limit=arguments.batch_limit,
            ),
            tasks=tasks,
            store=arguments.store,
            check_fences=not arguments.ignore_fences,
        )
        host, port = stage_address(arguments.address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        stop = anyio.Event()
        tasks.start_soon(listener.serve, engine.serve_stage)
        tasks.start_soon(engine.batcher.run)
        tasks.start_soon(engine.expire)
        tasks.start_soon(serve_http, build_app(engine), arguments.address, stop)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("name")
    parser.add_argument("address")
    parser.add_argument("first", type=int)
    parser.add_argument("end", type=int)
    parser.add_argument("layer_seconds", type=float)
    parser.add_argument("--ignore-fences", action="store_true")
    parser.add_argument("--batch-limit", type=int, default=64)
    parser.add_argument("--store", default="", help="address of the weight store")
    parser.add_argument("--advertised", help="address under which others know this engine")
    uvloop.install()
    anyio.run(main, parser.parse_args())
