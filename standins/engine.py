"""A stand-in model engine with a range of layers, continuous batching and checks of every step.

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
    read_messages,
    stage_address,
)

CRASH_WORD = "ends-its-engine"
"""Prompt that crashes the head engine that runs it."""

SESSION_IDLE_SECONDS = 30.0
LOAD_REFRESH_SECONDS = 0.5


@dataclass(kw_only=True)
class SessionState:
    """Cache and outputs of one request in this engine."""

    attempt: int
    cache: SpanCache
    outputs: list[int] = field(default_factory=list)
    last_used_at: float = 0.0


@dataclass(kw_only=True)
class HeadAttempt:
    """An attempt of a request with this engine as its head."""

    attempt: int
    result: StepDone | StepFailed | None = None
    result_ready: anyio.Event = field(default_factory=anyio.Event)


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
    sessions: dict[str, SessionState] = field(default_factory=dict)
    head_attempts: dict[str, HeadAttempt] = field(default_factory=dict)
    lowest_attempts: dict[str, int] = field(default_factory=dict)
    links: dict[str, SocketStream] = field(default_factory=dict)
    link_locks: dict[str, anyio.Lock] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    draining: bool = False
    backoff: str = ""
    """`Retry-After` in refusals of new requests and load checks; empty for no back-off."""
    rate_limit: str = ""
    """Rate limit in its responses, in requests a second; empty for none."""
    reported_sessions: int = 0
    highest_fence: tuple[int, int] = (0, 0)
    ordered_weights: tuple[str, str, int, int] | None = None
    loading: bool = False
    store: str = ""
    orders: list[tuple[int, int, str]] = field(default_factory=list)

    # -- running layers ---------------------------------------------------------------------

    def admit(self, session: str, attempt: int, first: int, end: int) -> SessionState | None:
        """Return the state of a request for an attempt, or None for an outdated attempt."""
        if attempt < self.lowest_attempts.get(session, 0):
            self.counts["old-attempts"] += 1
            return None
        self.lowest_attempts[session] = attempt
        state = self.sessions.get(session)
        if state is None or (state.cache.first, state.cache.end) != (first, end):
            state = SessionState(attempt=attempt, cache=SpanCache(first=first, end=end))
            self.sessions[session] = state
        state.attempt = attempt
        state.last_used_at = anyio.current_time()
        return state

    async def compute(
        self, state: SessionState, attempt: int, first: int, values: tuple[int, ...]
    ) -> bool:
        """Run positions from `first` on in one batch step; False if a newer attempt intervened."""
        done = anyio.Event()
        layers = state.cache.end - state.cache.first
        self.batcher.submit(layers=layers, positions=len(values), done=done.set)
        await done.wait()
        if state.attempt != attempt or state.cache.positions < first:
            self.counts["overtaken"] += 1
            return False
        state.cache.truncate(first)
        del state.outputs[first:]
        for value in values:
            state.outputs.append(run_layers(state.cache, value))
        self.counts["positions"] += 1
        self.counts["replayed-positions"] += len(values) - 1
        self.counts["layer-steps"] += layers
        return True

    # -- stage messages ---------------------------------------------------------------------

    async def send(self, address: str, message: StageMessage) -> bool:
        """Send a message to another engine; False if the engine is unreachable."""
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
        """Read the replies on a connection that this engine opened."""
        async with stream:
            async for message in read_messages(stream):
                if isinstance(message, NeedInputs):
                    self.tasks.start_soon(self.resend, message)
        if self.links.get(address) is stream:
            del self.links[address]
            self.counts["links-lost"] += 1
            await self.fail_steps_to(address)

    async def fail_steps_to(self, address: str) -> None:
        """Report a lost connection to the heads of all steps forwarded to its address."""
        for item in list(self.forwarded.items()):
            session, (step, target) = item
            if target == address:
                await self.report_failure(
                    step, step.route[1].upstream, refused=False, leaving=False
                )
                self.forwarded.pop(session, None)

    forwarded: dict[str, tuple[Step, str]] = field(default_factory=dict)

    async def serve_stage(self, stream: SocketStream) -> None:
        """Serve a connection that another engine opened."""
        async with stream:
            async for message in read_messages(stream):
                match message:
                    case Step():
                        self.tasks.start_soon(self.run_step, message, stream)
                    case StepDone() | StepFailed():
                        self.handle_result(message)
                    case Drop():
                        self.tasks.start_soon(self.handle_drop, message)

    async def run_step(self, step: Step, stream: SocketStream) -> None:
        """Run a step from the previous stage and forward the result."""
        stage = step.route[0]
        if stage.first < self.first or stage.end > self.end or stage.upstream != self.name:
            self.counts["foreign-steps"] += 1
            await self.report_failure(step, self.name, refused=True, leaving=False)
            return
        if (self.draining or self.loading) and step.session not in self.sessions:
            await self.report_failure(step, self.name, refused=True, leaving=True)
            return
        state = self.admit(step.session, step.attempt, stage.first, stage.end)
        if state is None:
            return
        first = step.position + 1 - len(step.values)
        if state.cache.positions < first:
            need = NeedInputs(step=step, first=state.cache.positions)
            with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                await stream.send(encode(need))
            return
        if await self.compute(state, step.attempt, first, step.values):
            await self.forward(step, state)

    async def forward(self, step: Step, state: SessionState) -> None:
        """Send a computed position to the next stage, or from the last stage to the head."""
        stage = step.route[0]
        line = ReceiptStage(stage.upstream, stage.first, stage.end)
        receipt = (*step.receipt, line)
        if len(step.route) == 1:
            done = StepDone(
                session=step.session,
                attempt=step.attempt,
                position=step.position,
                value=state.outputs[step.position],
                receipt=receipt,
            )
            if step.head == self.address:
                self.handle_result(done)
            else:
                await self.send(step.head, done)
            return
        onward = Step(
            session=step.session,
            attempt=step.attempt,
            head=step.head,
            position=step.position,
            values=(state.outputs[step.position],),
            route=step.route[1:],
            receipt=receipt,
        )
        target = step.route[1]
        self.forwarded[step.session] = (step, target.address)
        if not await self.send(target.address, onward):
            await self.report_failure(step, target.upstream, refused=False, leaving=False)

    async def resend(self, need: NeedInputs) -> None:
        """Send the next stage the inputs missing from its cache."""
        state = self.sessions.get(need.step.session)
        if state is None or state.attempt != need.step.attempt:
            return
        values = tuple(state.outputs[need.first : need.step.position + 1])
        self.counts["replays-sent"] += 1
        step = msgspec.structs.replace(need.step, values=values)
        await self.send(step.route[0].address, step)

    async def report_failure(
        self, step: Step, upstream: str, *, refused: bool, leaving: bool
    ) -> None:
        """Report to the head that a stage is unreachable or refused the step."""
        failed = StepFailed(
            session=step.session,
            attempt=step.attempt,
            upstream=upstream,
            refused=refused,
            leaving=leaving,
        )
        if step.head == self.address:
            self.handle_result(failed)
        else:
            await self.send(step.head, failed)

    def handle_result(self, message: StepDone | StepFailed) -> None:
        """Hand a result to the attempt that waits for it."""
        head = self.head_attempts.get(message.session)
        if head is not None and head.attempt == message.attempt:
            head.result = message
            head.result_ready.set()

    async def handle_drop(self, message: Drop) -> None:
        """Discard a request and forward the message to the following stages."""
        self.discard(message.session, message.attempt)
        following = message.route[1:]
        if following:
            onward = Drop(session=message.session, attempt=message.attempt, route=following)
            await self.send(following[0].address, onward)

    def discard(self, session: str, attempt: int) -> None:
        """Discard the state of a request unless it belongs to a newer attempt."""
        state = self.sessions.get(session)
        if state is not None and state.attempt <= attempt:
            del self.sessions[session]
            self.forwarded.pop(session, None)
        self.lowest_attempts[session] = max(self.lowest_attempts.get(session, 0), attempt + 1)

    # -- running as the head ----------------------------------------------------------------

    async def run_as_head(self, request: RunRequest) -> AsyncIterator[bytes]:
        """Run an attempt as its head and stream the tokens."""
        head = HeadAttempt(attempt=request.attempt)
        self.head_attempts[request.session] = head
        complete = False
        try:
            async for line in self.generate(request, head):
                yield line
            complete = True
        finally:
            if self.head_attempts.get(request.session) is head:
                del self.head_attempts[request.session]
            if not complete:
                self.counts["heads-cancelled"] += 1

    async def generate(self, request: RunRequest, head: HeadAttempt) -> AsyncIterator[bytes]:
        """Run each position until the answer is complete or a stage fails."""
        stage = request.route[0]
        tokens = list(request.tokens)
        seed = prompt_seed(request.prompt)
        state = self.admit(request.session, request.attempt, stage.first, stage.end)
        while state is not None and len(tokens) < request.max_tokens:
            position = len(tokens)
            first = min(state.cache.positions, position)
            values = tuple(input_at(seed, tokens, at) for at in range(first, position + 1))
            if not await self.compute(state, request.attempt, first, values):
                return
            head.result, head.result_ready = None, anyio.Event()
            step = Step(
                session=request.session,
                attempt=request.attempt,
                head=self.address,
                position=position,
                values=(),
                route=request.route,
                receipt=(),
            )
            await self.forward(step, state)
            result = await self.wait_for_result(head, position)
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
        self.tasks.start_soon(self.handle_drop, drop)

    async def wait_for_result(self, head: HeadAttempt, position: int) -> StepDone | StepFailed:
        """Wait for the result of a position, ignoring late results of earlier ones."""
        while True:
            await head.result_ready.wait()
            head.result_ready = anyio.Event()
            result = head.result
            if isinstance(result, StepFailed):
                return result
            if result is not None and result.position == position:
                return result

    # -- housekeeping -----------------------------------------------------------------------

    async def expire_sessions(self) -> None:
        """Discard idle requests and refresh the reported load, until cancelled."""
        while True:
            await anyio.sleep(LOAD_REFRESH_SECONDS)
            self.reported_sessions = len(self.sessions)
            limit = anyio.current_time() - SESSION_IDLE_SECONDS
            for session in [s for s, state in self.sessions.items() if state.last_used_at < limit]:
                del self.sessions[session]
                self.counts["expired"] += 1
            while len(self.lowest_attempts) > 20_000:
                del self.lowest_attempts[next(iter(self.lowest_attempts))]

    def handle_order(self, order: OrderRequest) -> bool:
        """Apply a fenced order; True when its weights are loaded."""
        fence = (order.term, order.index)
        if self.check_fences and fence < self.highest_fence:
            self.counts["orders-refused"] += 1
            return False
        self.highest_fence = max(self.highest_fence, fence)
        ordered = (order.model, order.version, order.first, order.end)
        if self.ordered_weights != ordered:
            self.ordered_weights = ordered
            self.orders.append((order.term, order.index, order.version))
            self.loading = True
            self.tasks.start_soon(self.load, order)
            return False
        return not self.loading

    async def load(self, order: OrderRequest) -> None:
        """Load the weights from the store and switch to the ordered layers."""
        layers = order.end - order.first
        async with httpx.AsyncClient(verify=False, trust_env=False, timeout=60) as client:
            await client.get(f"http://{self.store}/weights?layers={layers}")
        if self.ordered_weights == (order.model, order.version, order.first, order.end):
            self.loading = False
            self.first, self.end = order.first, order.end
            self.counts["loads"] += 1


def build_app(engine: Engine) -> Starlette:
    """Build the engine's HTTP interface."""

    def refuse_for_backoff() -> Response:
        return Response(status_code=503, headers={"retry-after": engine.backoff})

    async def run(request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=RunRequest)
        stage = body.route[0]
        known = body.session in engine.sessions
        if engine.backoff and not known:
            engine.counts["refused"] += 1
            return refuse_for_backoff()
        if (engine.draining or engine.loading) and not known:
            refusal = RefusalBody(reason="leaving or loading", leaving=True)
            return Response(msgspec.json.encode(refusal), status_code=503)
        if stage.upstream != engine.name or stage.first < engine.first or stage.end > engine.end:
            engine.counts["foreign-steps"] += 1
            refusal = RefusalBody(reason="layers not held")
            return Response(msgspec.json.encode(refusal), status_code=409)
        if body.attempt < engine.lowest_attempts.get(body.session, 0):
            refusal = RefusalBody(reason="old attempt")
            return Response(msgspec.json.encode(refusal), status_code=409)
        if body.prompt == CRASH_WORD:
            os._exit(1)
        engine.counts["runs"] += 1
        headers = {"ledgeladder-rate-limit": engine.rate_limit} if engine.rate_limit else {}
        return StreamingResponse(
            engine.run_as_head(body), headers=headers, media_type="application/x-ndjson"
        )

    async def cancel(request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=CancelRequest)
        engine.discard(body.session, body.attempt)
        engine.counts["cancels"] += 1
        return Response()

    async def live(request: Request) -> Response:
        return Response("live")

    async def load(request: Request) -> Response:
        if engine.backoff:
            engine.counts["looks-refused"] += 1
            return refuse_for_backoff()
        return JSONResponse(
            {"running": engine.reported_sessions, "leaving": engine.draining or engine.loading}
        )

    async def order(request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=OrderRequest)
        done = engine.handle_order(body)
        return JSONResponse({"done": done}, status_code=200 if done else 409)

    async def control(request: Request) -> Response:
        body = await request.json()
        engine.draining = body.get("leaving", engine.draining)
        engine.backoff = body.get("rest", engine.backoff)
        engine.rate_limit = body.get("limit", engine.rate_limit)
        speed = engine.batcher.speed
        speed.slow_factor = body.get("slow_factor", speed.slow_factor)
        return Response()

    async def stats(request: Request) -> Response:
        return JSONResponse(
            {
                "counts": dict(engine.counts),
                "held": len(engine.sessions),
                "sessions": list(engine.sessions),
                "steps": engine.batcher.steps,
                "busy_seconds": engine.batcher.busy_seconds,
                "orders": engine.orders,
                "version": engine.ordered_weights[1] if engine.ordered_weights else "",
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
    """Serve until SIGTERM or SIGINT."""
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
        tasks.start_soon(engine.expire_sessions)
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
