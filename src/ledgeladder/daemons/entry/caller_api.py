"""HTTP API of an entry box for callers."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING, Any, Final, TypeVar

import anyio
from pydantic import BaseModel, ValidationError
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ...coordination.content_watch import compute_fingerprint
from ...http1.crowding import RequestBytes
from ...model import EXECUTION_HEADER, ProblemError, ResultCode
from ...upstreams.service import ServiceAnswer, ServiceCall
from ..http import CODE_HEADER, not_found, problem_response
from ..metrics_page import account_gauges
from ..supervisor import failing_children
from .answers import (
    AnswerWriter,
    answer_generation,
    cancel_on_disconnect,
    record_code,
    record_problem,
)
from .caller_models import AnswerMetadata, ChatBody, CompletionBody, chat_prompt
from .checks import admitted, check_configured, find_account, make_permit, read_body, refusal
from .crashes import refuse_quarantined
from .metrics import metrics_page
from .service_calls import run_service_call

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import Receive, Scope, Send

    from .context import EntryContext

REPEATABLE_HEADER: Final = "ledgeladder-repeatable"
"""Request header; `no` marks a call that may run at most once."""

_Body = TypeVar("_Body", bound=BaseModel)


def build_caller_app(context: EntryContext) -> Starlette:
    """Build the ASGI application.

    Args:
        context: The entry's state.

    Returns:
        The application.
    """

    def generation_endpoint(*, chat: bool) -> Any:
        async def endpoint(request: Request) -> Response:
            return _GenerationResponse(context, request, chat=chat)

        return endpoint

    async def service(request: Request) -> Response:
        return _ServiceResponse(context, request)

    async def pipelines(request: Request) -> Response:
        try:
            check_configured(context)
            account = find_account(context, request)
        except ProblemError as error:
            return problem_response(error.problem)
        names = account.pipelines or tuple(context.configuration.pipelines)
        data = [{"id": name, "object": "model"} for name in names]
        return JSONResponse({"object": "list", "data": data})

    async def live(request: Request) -> Response:
        return Response("live\n")

    async def ready(request: Request) -> Response:
        is_ready = context.synced.is_set() and not context.stopping
        state = "ready" if is_ready else "not ready"
        text = f"{state}, version {context.configuration.version}\n"
        return Response(text, status_code=200 if is_ready else 503)

    async def metrics(request: Request) -> Response:
        page = metrics_page(context.metrics) | {
            "version": context.configuration.version,
            "in_progress": context.in_progress,
            "failing_children": failing_children(context.children, anyio.current_time()),
            **account_gauges(context.bytes_held),
        }
        return JSONResponse(page)

    return Starlette(
        routes=[
            Route("/v1/completions", generation_endpoint(chat=False), methods=["POST"]),
            Route("/v1/chat/completions", generation_endpoint(chat=True), methods=["POST"]),
            Route("/v1/models", pipelines),
            Route(
                "/v1/services/{pipeline}/{path:path}",
                service,
                methods=["GET", "POST", "PUT", "DELETE"],
            ),
            Route("/live", live),
            Route("/ready", ready),
            Route("/metrics", metrics),
        ],
        exception_handlers={404: not_found, 405: not_found},
    )


def parse_body(model: type[_Body], content: bytes) -> _Body:
    """Parse and validate the body of a request.

    Raises:
        ProblemError: With code MALFORMED_REQUEST, naming the field.
    """
    try:
        return model.model_validate_json(content)
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "body"
        raise refusal(ResultCode.MALFORMED_REQUEST, f"{where}: {first['msg']}") from error


class _GenerationResponse(Response):
    """Answers one generation request."""

    def __init__(self, context: EntryContext, request: Request, *, chat: bool) -> None:
        self.context = context
        self.request = request
        self.chat = chat
        self.background = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        context = self.context
        request_id = f"req-{secrets.token_hex(10)}"
        context.in_progress += 1
        held = RequestBytes(account=context.bytes_held)
        try:
            check_configured(context)
            account = find_account(context, self.request)
            content = await read_body(context, self.request, held)
            body: ChatBody | CompletionBody
            if self.chat:
                body = parse_body(ChatBody, content)
                prompt = chat_prompt(body)
            else:
                body = parse_body(CompletionBody, content)
                prompt = body.prompt
            fingerprint = compute_fingerprint(
                account.name, b"POST", scope["path"].encode(), content
            )
            permit = make_permit(context, account, body.model, body.max_tokens, fingerprint)
            refuse_quarantined(context, permit.fingerprint)
            if not permit.pipeline.model:
                raise refusal(ResultCode.UNKNOWN_PIPELINE, f"{body.model} leads to services")
            writer = AnswerWriter(
                context=context,
                send=send,
                metadata=AnswerMetadata(
                    request_id=request_id,
                    model=body.model,
                    created=int(time.time()),
                    chat=self.chat,
                ),
                stream=body.stream,
            )
            await answer_generation(writer, permit, prompt, body.max_tokens, scope, receive)
        except ProblemError as error:
            record_problem(context, error.problem, request_id)
            await problem_response(error.problem)(scope, receive, send)
        finally:
            held.release()
            context.in_progress -= 1


class _ServiceResponse(Response):
    """Answers one call of a plain service."""

    def __init__(self, context: EntryContext, request: Request) -> None:
        self.context = context
        self.request = request
        self.background = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        context = self.context
        request_id = f"req-{secrets.token_hex(10)}"
        context.in_progress += 1

        async def work() -> None:
            try:
                response = await self.run(content)
            except ProblemError as error:
                record_problem(context, error.problem, request_id)
                response = problem_response(error.problem)
            await response(scope, receive, send)

        held = RequestBytes(account=context.bytes_held)
        try:
            content = await read_body(context, self.request, held)
            await cancel_on_disconnect(work, receive)
        except ProblemError as error:
            record_problem(context, error.problem, request_id)
            await problem_response(error.problem)(scope, receive, send)
        finally:
            held.release()
            context.in_progress -= 1

    async def run(self, content: bytes) -> Response:
        """Check the call and run it."""
        context, request = self.context, self.request
        check_configured(context)
        account = find_account(context, request)
        target = f"{request.url.path}?{request.url.query}".encode()
        fingerprint = compute_fingerprint(account.name, request.method.encode(), target, content)
        permit = make_permit(context, account, request.path_params["pipeline"], 0, fingerprint)
        if not permit.pipeline.services:
            detail = f"{permit.pipeline.name} leads to no service"
            raise refusal(ResultCode.UNKNOWN_PIPELINE, detail)
        path = request.path_params["path"]
        call = ServiceCall(
            method=request.method,
            path=f"{path}?{request.url.query}" if request.url.query else path,
            content_type=request.headers.get("content-type", "application/octet-stream"),
            body=content,
            key=request.headers.get("idempotency-key", ""),
        )
        repeatable = request.headers.get(REPEATABLE_HEADER, "yes").lower() != "no"
        async with admitted(context, permit, may_repeat=repeatable):
            answer = await run_service_call(context, permit, call, repeatable=repeatable)
        record_code(context, ResultCode.OK)
        return _service_response(context, answer)


def _service_response(context: EntryContext, answer: ServiceAnswer) -> Response:
    headers = {
        CODE_HEADER: str(int(ResultCode.OK)),
        EXECUTION_HEADER: "ran",
        "Ledgeladder-Served-By": context.settings.box.name,
    }
    return Response(
        answer.body,
        status_code=answer.status,
        media_type=answer.content_type,
        headers=headers,
    )
