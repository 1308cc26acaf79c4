"""Answers generation requests over plain ASGI, with server-sent events or one JSON object."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Final

import anyio
import msgspec

from ...model import EXECUTION_HEADER, Execution, Problem, ProblemError, ResultCode
from ..http import CODE_HEADER, problem_body, problem_response
from .branches import Generation
from .caller_models import AnswerMetadata, answer_object, chunk_object
from .checks import Permit, admitted
from .generation import generate

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.types import Receive, Scope, Send

    from ...routing.session import Session
    from .context import EntryContext

logger = logging.getLogger(__name__)

DONE_EVENT: Final = b"data: [DONE]\n\n"


class AnswerWriter(msgspec.Struct, kw_only=True):
    """Writes one answer to a caller."""

    context: EntryContext
    """The entry's state."""

    send: Send
    """ASGI send."""

    metadata: AnswerMetadata
    """Fields that every object of the answer repeats."""

    stream: bool
    """True for server-sent events."""

    started: bool = False
    """True once the head of the response was sent."""

    def build_object(self, text: str, finish: str | None) -> dict[str, Any]:
        """Build the object for a part of the answer."""
        build = chunk_object if self.stream else answer_object
        return build(self.metadata, text, finish)

    async def emit(self, texts: list[str]) -> None:
        """Forward texts to the caller if the answer is streamed."""
        if not self.stream:
            return
        await self.start(content_type="text/event-stream")
        await self.write_event(self.build_object("".join(texts), None))

    async def start(self, *, content_type: str) -> None:
        """Send the head of a successful response unless it was sent before."""
        if self.started:
            return
        self.started = True
        headers = {
            "content-type": content_type,
            "cache-control": "no-store",
            "x-request-id": self.metadata.request_id,
            "ledgeladder-served-by": self.context.settings.box.name,
            CODE_HEADER.lower(): str(int(ResultCode.OK)),
            EXECUTION_HEADER.lower(): Execution.RAN.value,
        }
        encoded = [(name.encode(), value.encode()) for name, value in headers.items()]
        await self.send({"type": "http.response.start", "status": 200, "headers": encoded})

    async def write_event(self, event: dict[str, Any]) -> None:
        """Send one server-sent event."""
        await self.write(b"data: " + msgspec.json.encode(event) + b"\n\n", more=True)

    async def write(self, body: bytes, *, more: bool) -> None:
        """Send a part of the body."""
        await self.send({"type": "http.response.body", "body": body, "more_body": more})

    async def finish(self, session: Session) -> None:
        """Send the rest of a complete answer."""
        usage = {"completion_tokens": len(session.tokens), "attempts": session.attempt}
        if self.stream:
            await self.start(content_type="text/event-stream")
            await self.write_event(self.build_object("", session.finish_reason) | {"usage": usage})
            await self.write(DONE_EVENT, more=False)
            return
        answer = self.build_object("".join(session.text), session.finish_reason) | {"usage": usage}
        await self.start(content_type="application/json")
        await self.write(msgspec.json.encode(answer), more=False)

    async def fail(self, problem: Problem, scope: Scope, receive: Receive) -> None:
        """Answer a failed request, with a final event if the response has started."""
        if not self.started:
            await problem_response(problem)(scope, receive, self.send)
            return
        await self.write_event(problem_body(problem))
        await self.write(b"", more=False)


async def answer_generation(
    writer: AnswerWriter,
    permit: Permit,
    prompt: str,
    max_tokens: int,
    scope: Scope,
    receive: Receive,
) -> None:
    """Run a request and answer it. If the caller disconnects, cancel it on every stage.

    Args:
        writer: Writes the answer.
        permit: Permit of the request.
        prompt: Its prompt.
        max_tokens: Maximum number of tokens of the answer.
        scope: ASGI scope.
        receive: ASGI receive, which reports when the caller disconnects.
    """

    async def work() -> None:
        try:
            session = await _run_admitted(writer.context, permit, prompt, max_tokens, writer.emit)
            await writer.finish(session)
            record_code(writer.context, ResultCode.OK)
        except ProblemError as error:
            record_problem(writer.context, error.problem, writer.metadata.request_id)
            await writer.fail(error.problem, scope, receive)

    await cancel_on_disconnect(work, receive)


async def _run_admitted(
    context: EntryContext,
    permit: Permit,
    prompt: str,
    max_tokens: int,
    emit: Callable[[list[str]], Awaitable[None]],
) -> Session:
    token_limit = min(max_tokens, permit.decision.max_tokens or max_tokens)
    async with admitted(context, permit, may_repeat=True):
        request = Generation(
            pipeline=permit.pipeline,
            prompt=prompt,
            max_tokens=token_limit,
            rank=permit.rank,
            deadline=permit.deadline,
            arrived_at=permit.arrived_at,
            allowed=permit.allowed,
            fingerprint=permit.fingerprint,
        )
        return await generate(context, request, emit)


async def cancel_on_disconnect(work: Callable[[], Awaitable[None]], receive: Receive) -> None:
    """Run a task, and cancel it if the caller closes the connection."""
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        await work()
        tasks.cancel_scope.cancel()


def record_code(context: EntryContext, code: ResultCode) -> None:
    """Count an answer with a result code."""
    context.metrics.codes[code.name] += 1


def record_problem(context: EntryContext, problem: Problem, request_id: str) -> None:
    """Count and log a refused or failed request."""
    record_code(context, problem.code)
    extra = {
        "request_id": request_id,
        "code": int(problem.code),
        "execution": problem.known_execution.value,
        "detail": problem.detail,
    }
    logger.info("request not answered", extra=extra)
