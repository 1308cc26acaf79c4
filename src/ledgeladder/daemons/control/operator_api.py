"""HTTP API of a control box for operators."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any, Final

import anyio
import msgspec
from returns.result import Failure, Result, Success
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ...coordination.commands import ChangeCommand, ChangeResult, RefusalCommand
from ...coordination.orders import pending_orders
from ...coordination.state_machine import check_base_version, previous_result
from ...http1.crowding import RequestBytes, build_account
from ...model import (
    MALFORMED_ERRORS,
    ChangeDocument,
    Problem,
    ProblemError,
    ResultCode,
    apply_objects,
    find_problems,
)
from ...model.validation import check_model
from ...routing.policy import validate_policies
from ..clock import wall_clock_ms
from ..held_body import read_held_body
from ..http import not_found, problem_response
from ..supervisor import failing_children
from .hub import connected_boxes
from .leadership_transfer import start_leadership_transfer
from .node import submit

if TYPE_CHECKING:
    from starlette.requests import Request

    from ...model.validation import Fault
    from ...settings import ControlSettings
    from .hub import Hub
    from .node import ControlNode

MAX_CHANGE_BYTES: Final = 4 * 1024 * 1024
"""Maximum size of a change document."""


def build_operator_app(settings: ControlSettings, node: ControlNode, hub: Hub) -> Starlette:
    """Build the ASGI application.

    Args:
        settings: Settings of the control box.
        node: Replica of the cluster state.
        hub: Links of the box.

    Returns:
        The application.
    """
    operators = {operator.token_sha256: operator.name for operator in settings.operators}
    addresses = {peer.name: peer.operator_address for peer in settings.controls}
    account = build_account(settings.control.memory_mb)

    def operator_of(request: Request) -> str | None:
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return None
        return operators.get(hashlib.sha256(token.encode()).hexdigest())

    def guarded(handler: Any) -> Any:
        async def guard(request: Request) -> Response:
            operator = operator_of(request)
            if operator is None:
                return problem_response(Problem(code=ResultCode.OPERATOR_UNKNOWN))
            return await handler(request, operator)

        return guard

    def leader_hint() -> dict[str, Any]:
        return {"leader": addresses.get(node.leader_box, "")}

    def refuse(problem: Problem) -> Response:
        extra = leader_hint() | {"version": node.state.configuration.version}
        return problem_response(problem, extra=extra)

    async def change(request: Request, operator: str) -> Response:
        if not node.replica.is_leader:
            return refuse(_not_leader(node))
        held = RequestBytes(account=account)
        try:
            document = await _read_change(request, held)
            if isinstance(document, Failure):
                return refuse(document.failure())
            outcome = await decide_change(node, document.unwrap(), operator)
        finally:
            held.release()
        if isinstance(outcome, Failure):
            return refuse(outcome.failure())
        result = outcome.unwrap()
        return JSONResponse({"version": result.version, "repeated": result.repeated})

    async def configuration(request: Request, operator: str) -> Response:
        return JSONResponse(msgspec.to_builtins(node.state.configuration))

    async def audit(request: Request, operator: str) -> Response:
        entries = [
            msgspec.structs.asdict(entry) | {"name": entry.code.name} for entry in node.state.audit
        ]
        return JSONResponse({"entries": entries})

    async def status(request: Request, operator: str) -> Response:
        return JSONResponse(_status(node, hub) | leader_hint())

    async def transfer_leadership(request: Request, operator: str) -> Response:
        started = start_leadership_transfer(node)
        return JSONResponse({"started": started})

    async def live(request: Request) -> Response:
        return Response("live\n")

    async def ready(request: Request) -> Response:
        known = bool(node.replica.leader_id)
        return Response("ready\n" if known else "no leader\n", status_code=200 if known else 503)

    return Starlette(
        routes=[
            Route("/v1/changes", guarded(change), methods=["POST"]),
            Route("/v1/configuration", guarded(configuration)),
            Route("/v1/audit", guarded(audit)),
            Route("/v1/status", guarded(status)),
            Route("/v1/handover", guarded(transfer_leadership), methods=["POST"]),
            Route("/live", live),
            Route("/ready", ready),
        ],
        exception_handlers={404: not_found, 405: not_found},
    )


def _not_leader(node: ControlNode) -> Problem:
    leader = node.leader_box
    if leader:
        return Problem(code=ResultCode.NOT_LEADER, detail=f"the leader is {leader}", retry_after=1)
    detail = "no leader is known; a majority of control boxes must be reachable"
    return Problem(code=ResultCode.NO_QUORUM, detail=detail, retry_after=2)


async def _read_change(request: Request, held: RequestBytes) -> Result[ChangeDocument, Problem]:
    try:
        body = await read_held_body(request, held, limit_bytes=MAX_CHANGE_BYTES)
    except ProblemError as error:
        return Failure(error.problem)
    try:
        content = msgspec.json.decode(body)
    except MALFORMED_ERRORS as error:
        return Failure(Problem(code=ResultCode.CHANGE_INVALID, detail=f"body: {error}"))
    return check_model(content, ChangeDocument).alt(_change_problem)


def _change_problem(faults: list[Fault]) -> Problem:
    lines = [f"{fault.key or 'body'}: {fault.message}" for fault in faults[:10]]
    return Problem(code=ResultCode.CHANGE_INVALID, detail="; ".join(lines))


async def decide_change(
    node: ControlNode, change: ChangeDocument, operator: str
) -> Result[ChangeResult, Problem]:
    """Check a change against the current version and commit it.

    The check remains valid until the commit: the state machine accepts the change only if its base
    is still the current version, against which it was checked.

    Args:
        node: The leader's node.
        change: The change.
        operator: Name of the operator.

    Returns:
        The accepted result, or the reason for the refusal. Refusals are recorded in the audit log.
    """
    state = node.state
    if previous_result(state, change) is None and check_base_version(state, change) is None:
        problem = _find_change_problem(node, change)
        if problem is not None:
            refusal = RefusalCommand(
                change_id=change.change_id,
                operator=operator,
                code=problem.code,
                detail=problem.detail,
                time_ms=wall_clock_ms(),
            )
            await submit(node, refusal)
            return Failure(problem)
    command = ChangeCommand(change=change, operator=operator, time_ms=wall_clock_ms())
    outcome = await submit(node, command)
    if isinstance(outcome, Failure):
        return outcome
    result = outcome.unwrap()
    assert isinstance(result, ChangeResult)
    if result.code is not ResultCode.OK:
        return Failure(Problem(code=result.code, detail=result.detail))
    return Success(result)


def _find_change_problem(node: ControlNode, change: ChangeDocument) -> Problem | None:
    proposed = apply_objects(node.state.configuration, change.put, change.remove)
    inconsistent = find_problems(proposed)
    if inconsistent:
        return Problem(code=ResultCode.CHANGE_INVALID, detail="; ".join(inconsistent[:10]))
    bad_policies = validate_policies(proposed)
    if bad_policies:
        detail = "; ".join(problem.detail for problem in bad_policies[:5])
        return Problem(code=ResultCode.POLICY_INVALID, detail=detail)
    return None


def _status(node: ControlNode, hub: Hub) -> dict[str, Any]:
    replica = node.replica
    boxes = connected_boxes(hub, anyio.current_time())
    return {
        "box": node.identity.box,
        "member": replica.member_id,
        "role": replica.role.value,
        "term": replica.term,
        "commit_index": replica.commit_index,
        "applied_index": node.applied_index,
        "voters": list(replica.log.members.voters),
        "learners": list(replica.log.members.learners),
        "version": node.state.configuration.version,
        "orders_pending": sorted(pending_orders(node.state.orders)),
        "claims": node.state.claims.count,
        "journal_bytes": node.journal.size,
        "syncs": node.syncs,
        "failing_children": failing_children(hub.children, anyio.current_time()),
        "boxes": {
            name: {"version": box.version, "failure_domain": box.failure_domain}
            for name, box in sorted(boxes.items())
        },
    }
