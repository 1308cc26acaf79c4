"""Forwarding streams over paths of engines, and carrying them on when an engine is lost."""

from __future__ import annotations

import logging
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import anyio

from ...http1 import AnswerBrokenError, read_part
from ...model import Execution, Problem, ProblemError, ResultCode
from ...model.exchange import Dispatch
from ...platform.exchange import caller_headers
from ...routing.event_stream import EventBuffer, EventOrder, take_events
from ...routing.forwarding_table import (
    doubt_domain,
    is_doubtful,
    note_failed,
    note_full,
    note_served,
)
from ...routing.link_doubts import doubt_links, link_penalties
from ...routing.pace import Pace, note_false_alarm, note_gap, stall_after
from ...routing.path_costs import OVERFULL_AT
from ...routing.paths import (
    ChosenPath,
    PathRequest,
    choose_path,
    explain_no_path,
    release,
    reserve,
)
from ...routing.repeat_window import note_first, take_repeat
from .asking import ask_paces
from .checks import Permit, refusal
from .notes import RequestNotes
from .probing import find_lost
from .state import budget_of, record
from .upstream_call import AnswerLostError, NotSentError, OpenAnswer, open_answer, read_whole

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...http1 import Exchange, HttpRequest
    from ...model.traffic import EngineProfile
    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)

GAP_FLOOR_SECONDS: Final = 0.07
"""Shorter pauses of a stream are never looked into. With 0.04 s for a probe and 0.08 s for a first
event elsewhere a replacement is just in time for the 0.2 s that callers accept. Half of all streams
have a pause this long, so it takes a probe, not a replacement."""

FIRST_FLOOR_SECONDS: Final = 0.35
"""Least time to wait for a first event before engines are probed."""

SILENCE_LIMIT_SECONDS: Final = 1.0
"""Silence after which a run is replaced although its engines answer. Callers leave after 2 s."""

SLOW_SILENCE_SECONDS: Final = 0.14
"""Silence on a path of engines that all answer, after which they are asked how slowly they work: 9
in 10 streams never pause for so long."""

LINK_SILENCE_SECONDS: Final = 0.3
"""Silence on a path of engines that all answer, after which the links that it passes are avoided:
twice the pauses of a busy engine on a slow card (0.15 s for 9 in 10 streams)."""

NO_PATH_RETRY_SECONDS: Final = 1.0
"""When to come back if no path was found: layers that were lost are back after a load of 1.6 s at
best, engines that were full have room sooner. Callers come back once, and earn as much after one
second as after a quarter."""

FULL_RETRY_SECONDS: Final = 0.6
"""When to come back if engines refused: about half of the time that a stream takes."""

REFUSALS_LIMIT: Final = 4
"""Paths that may refuse one request before the caller is told to come back."""

ANSWER_SHARE: Final = 0.5
"""Part of the most tokens of an answer that is expected where nothing better is known."""


class RunEnd(StrEnum):
    """How one run of a stream ended."""

    COMPLETE = "complete"
    """The last event was passed on."""

    REFUSED = "refused"
    """An engine refused before anything ran."""

    NOT_SENT = "not-sent"
    """The first engine could not be reached."""

    LOST = "lost"
    """The run broke off; some of it may have been passed on."""

    FAILED = "failed"
    """The engine answered with a failure of its own. No run ends so today: such a run counts as
    lost, and its answer is kept for the case that no other run succeeds."""


@dataclass(kw_only=True)
class StreamSession:
    """One caller's stream over all of its runs."""

    order: EventOrder
    """Position of the caller."""

    tokens: int
    """Tokens that the request is likely to hold on each engine."""

    excluded: set[str] = field(default_factory=set)
    """Runs of engines that failed or refused this request; used again only if no path is left
    without them."""

    failed_domains: set[str] = field(default_factory=set)
    """Other failure domains whose engines failed or refused this request."""

    dead: set[str] = field(default_factory=set)
    """Runs of engines that were found dead while they carried this request; never used again."""

    sent: int = 0
    """Times it was sent, refused ones included."""

    runs: int = 0
    """Runs that count towards the most attempts: those on first engines that are not dead."""

    refusals: int = 0
    """Paths that refused it."""

    notes: RequestNotes = field(default_factory=RequestNotes)
    """Takes what is learnt, for the log line at the end."""

    started: bool = False
    """True once the caller has a head."""

    no_path: str = ""
    """Why no further path was found; empty if one was found each time."""

    failure: OpenAnswer | None = None
    """Failure that an engine answered with."""

    failure_body: bytes = b""
    """Its body."""

    pace: Pace = field(default_factory=lambda: Pace(floor=GAP_FLOOR_SECONDS))
    """Gaps between events, in seconds."""

    moved_at: float = 0.0
    """When the newest event was passed on, or when the request arrived, on the monotonic clock."""

    emitting: bool = False
    """True while events that count as passed on are being written to the caller."""

    interrupted: bool = False
    """True if an engine of the current run was found dead; it passes on nothing more."""


async def forward_stream(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    notes: RequestNotes,
) -> None:
    """Forward a stream until it is complete or is given up.

    Args:
        state: The process's state.
        permit: What the request may do.
        request: The request.
        exchange: The answering side.
        notes: Takes what is learnt of the request.

    Raises:
        ProblemError: If it is given up before the caller has a head.
    """
    profile = permit.pool.engine
    assert profile is not None
    expected = _expected_answer(permit, profile)
    session = StreamSession(
        order=EventOrder(last_id=permit.facts.resume_after),
        tokens=permit.facts.prompt_tokens + expected,
        moved_at=request.arrived_at,
        notes=notes,
    )
    budget = budget_of(state, permit.pool.name)
    note_first(budget, anyio.current_time())
    with anyio.move_on_after(max(0.0, permit.deadline - anyio.current_time())) as scope:
        while _may_run_again(permit, session):
            path = _choose(state, permit, profile, session, expected)
            if path is None:
                session.no_path = _explain_no_path(state, permit, profile, session, expected)
                break
            if session.sent and not take_repeat(budget, anyio.current_time(), state.entries):
                state.metrics.counters["repeat-refused"] += 1
                break
            end = await _run(state, permit, request, exchange, session, path)
            if end in (RunEnd.COMPLETE, RunEnd.FAILED):
                break
    await _finish(permit, exchange, session, late=scope.cancelled_caught)


def _expected_answer(permit: Permit, profile: EngineProfile) -> int:
    """Return how many tokens an answer is likely to have."""
    most = permit.facts.answer_tokens
    usual = int(profile.usual_answer) or int(most * ANSWER_SHARE)
    return max(1, min(most, usual) if most else usual)


def _may_run_again(permit: Permit, session: StreamSession) -> bool:
    """Tell whether another run is allowed; the first one always is."""
    if session.refusals >= REFUSALS_LIMIT:
        return False
    if session.runs == 0:
        return True
    return permit.route.repeatable and session.runs < permit.route.max_attempts


def _choose(
    state: GatewayState,
    permit: Permit,
    profile: EngineProfile,
    session: StreamSession,
    expected: int,
) -> ChosenPath | None:
    """Choose the path of the next run, giving up one wish after the other until there is one.

    First other failure domains that seem cut off are left out, then only engines that failed this
    request, then only those that were found dead; at last engines that seem full are tried.
    """
    wanted = _wanted(state, permit, expected)
    engines = state.table.pools.get(permit.pool.name, [])
    now = anyio.current_time()
    excluded = session.excluded | session.dead
    near = [item for item in engines if not _is_avoided(state, session, item, now)]
    path = choose_path(profile, near, wanted, now, excluded=excluded, rng=state.rng)
    if path is None:
        path = choose_path(profile, engines, wanted, now, excluded=excluded, rng=state.rng)
    if path is None and excluded != session.dead:
        path = choose_path(profile, engines, wanted, now, excluded=session.dead, rng=state.rng)
    if path is None:
        wanted = replace(wanted, full_at=OVERFULL_AT)
        path = choose_path(profile, engines, wanted, now, excluded=excluded, rng=state.rng)
    return path


def _wanted(state: GatewayState, permit: Permit, expected: int) -> PathRequest:
    return PathRequest(
        prompt_tokens=permit.facts.prompt_tokens,
        answer_tokens=expected,
        failure_domain=state.settings.box.failure_domain,
        link_penalties=link_penalties(state.link_doubts, anyio.current_time()),
        sharers=max(1.0, state.entries / _domains(state, permit)),
    )


def _explain_no_path(
    state: GatewayState,
    permit: Permit,
    profile: EngineProfile,
    session: StreamSession,
    expected: int,
) -> str:
    return explain_no_path(
        profile,
        state.table.pools.get(permit.pool.name, []),
        _wanted(state, permit, expected),
        anyio.current_time(),
        excluded=session.excluded | session.dead,
    )


def _is_avoided(
    state: GatewayState, session: StreamSession, engine: ForwardedUpstream, now: float
) -> bool:
    """Tell whether an engine is in another failure domain that seems cut off."""
    domain = engine.registration.failure_domain
    if domain == state.settings.box.failure_domain:
        return False
    return domain in session.failed_domains or is_doubtful(state.doubts, domain, now)


def _domains(state: GatewayState, permit: Permit) -> int:
    engines = state.table.pools.get(permit.pool.name, [])
    return max(1, len({item.registration.failure_domain for item in engines}))


async def _run(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    session: StreamSession,
    path: ChosenPath,
) -> RunEnd:
    """Run a stream once over one path."""
    session.sent += 1
    session.runs += 1
    session.interrupted = False
    session.notes.runs += 1
    session.notes.path = _describe(path)
    reserve(path, session.tokens)
    detail = ""
    end = RunEnd.LOST
    try:
        with anyio.CancelScope() as scope, _told_of_losses(path, session, scope):
            end, detail = await _follow(state, permit, request, exchange, session, path)
        if scope.cancelled_caught:
            detail = "an engine of the path was found dead by another request"
    finally:
        release(path, session.tokens)
        _note_end(state, permit, session, path, end, detail)
    return end


@contextmanager
def _told_of_losses(
    path: ChosenPath, session: StreamSession, scope: anyio.CancelScope
) -> Iterator[None]:
    """Cancel the block if any request finds an engine of the path dead."""

    def lost(engine: ForwardedUpstream) -> None:
        session.dead.add(engine.registration.instance)
        session.interrupted = True
        if not session.emitting:
            # Cancelling a write would lose events that the next run does not send again.
            scope.cancel()

    for engine in path.engines:
        engine.on_lost.add(lost)
    try:
        yield
    finally:
        for engine in path.engines:
            engine.on_lost.discard(lost)


def _note_end(
    state: GatewayState,
    permit: Permit,
    session: StreamSession,
    path: ChosenPath,
    end: RunEnd,
    detail: str,
) -> None:
    """Count a run's end, take back what does not count as a run, and log all but whole ones.

    A run that is cancelled because the caller left or its time is over is logged as lost, without
    a detail.
    """
    state.metrics.counters[f"run-{end.value}"] += 1
    if end is RunEnd.COMPLETE:
        for engine in path.engines:
            note_served(engine)
        return
    if end is RunEnd.REFUSED:
        session.runs -= 1
        session.refusals += 1
    elif end is RunEnd.NOT_SENT:
        session.sent -= 1
        session.runs -= 1
        session.excluded.add(path.head.registration.instance)
    elif path.head.registration.instance in session.dead:
        # Upstreams that ended meanwhile do not count towards the most attempts.
        session.runs -= 1
    logger.warning(
        "run ended early",
        extra={
            "request": permit.facts.attempt_id,
            "end": end.value,
            "detail": detail,
            "path": _describe(path),
            "events": session.order.delivered,
            "dead": sorted(session.dead),
            "silent_for": round(anyio.current_time() - session.moved_at, 3),
        },
    )


def _describe(path: ChosenPath) -> list[str]:
    """Return the engines of a path with their layers, for logs."""
    return [f"{part.instance}={part.first}-{part.end}" for part in path.parts]


async def _follow(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    session: StreamSession,
    path: ChosenPath,
) -> tuple[RunEnd, str]:
    """Send the request and pass events on; returns how it ended, with a few words why."""
    resume_after = session.order.last_id
    dispatch = Dispatch(
        instance=path.head.registration.instance,
        account=permit.account,
        patience=max(0.0, permit.deadline - anyio.current_time()),
        priority=permit.priority,
        path=path.parts,
        resume_after=resume_after,
    )
    started_at = anyio.current_time()
    try:
        answer = await _open_watched(state, permit, request, session, path, dispatch)
    except NotSentError as error:
        now = anyio.current_time()
        note_failed(path.head, now)
        _doubt(state, session, path.head)
        return RunEnd.NOT_SENT, str(error)
    except AnswerLostError as error:
        await _blame(state, session, path)
        return RunEnd.LOST, str(error)
    if not answer.succeeded or not answer.facts.signed:
        return await _take_refusal(state, session, path, answer)
    try:
        return await _pass_events(state, exchange, session, path, answer, started_at)
    except (AnswerBrokenError, AnswerLostError, ValueError) as error:
        # ValueError: an event that never ends.
        await _blame(state, session, path)
        return RunEnd.LOST, str(error)
    finally:
        await answer.connection.close()


async def _open_watched(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    session: StreamSession,
    path: ChosenPath,
    dispatch: Dispatch,
) -> OpenAnswer:
    """Open the answer with a watch on its engines while it does not come.

    Raises:
        NotSentError: If nothing was sent.
        AnswerLostError: If the request may have run and no head came, or came too late.
    """
    answer: OpenAnswer | None = None
    failure: Exception = AnswerLostError("no answer in time")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_first, state, session, path, tasks.cancel_scope)
        try:
            answer = await open_answer(
                state,
                permit,
                request,
                dispatch,
                path.head,
                fresh_connection=not permit.route.repeatable,
            )
        except (NotSentError, AnswerLostError) as error:
            # Raised below: a task group would wrap it.
            failure = error
        tasks.cancel_scope.cancel()
    if answer is None:
        raise failure
    return answer


async def _watch_first(
    state: GatewayState, session: StreamSession, path: ChosenPath, scope: anyio.CancelScope
) -> None:
    """Probe the engines of a path when the head of the answer is overdue, and end the wait."""
    waited = 0.0
    while waited < SILENCE_LIMIT_SECONDS:
        patience = max(stall_after(state.first_pace), FIRST_FLOOR_SECONDS)
        patience = min(patience, SILENCE_LIMIT_SECONDS)
        await anyio.sleep(patience)
        waited += patience
        if await find_lost(state, path, session.dead):
            scope.cancel()
            return
        await ask_paces(state, path)
        _suspect_links(state, path, waited)
    session.excluded.update(item.registration.instance for item in path.engines)
    scope.cancel()


async def _take_refusal(
    state: GatewayState, session: StreamSession, path: ChosenPath, answer: OpenAnswer
) -> tuple[RunEnd, str]:
    """Take in an answer that is no stream."""
    status = answer.head.status_code
    try:
        body = await read_whole(state, answer)
    except AnswerLostError as error:
        return RunEnd.LOST, str(error)
    now = anyio.current_time()
    if answer.facts.not_run:
        culprit = answer.facts.culprit
        at_fault = [item for item in path.engines if item.registration.address == culprit] or [
            path.head
        ]
        for engine in at_fault:
            note_full(engine, now)
            session.excluded.add(engine.registration.instance)
            _doubt(state, session, engine)
        return RunEnd.REFUSED, f"status {status} at {at_fault[0].registration.instance}"
    if not answer.facts.signed:
        return RunEnd.LOST, f"unsigned answer with status {status}"
    note_failed(path.head, now)
    session.excluded.add(path.head.registration.instance)
    session.failure, session.failure_body = answer, body
    return RunEnd.LOST, f"status {status}"


async def _pass_events(
    state: GatewayState,
    exchange: Exchange,
    session: StreamSession,
    path: ChosenPath,
    answer: OpenAnswer,
    started_at: float,
) -> tuple[RunEnd, str]:
    """Pass whole events on until the answer ends; those that the caller has are left out.

    Raises:
        AnswerBrokenError: If the answer ends early.
        AnswerLostError: If an engine of the path is dead, or silent for too long.
        ValueError: If an event grows too long.
    """
    buffer = EventBuffer()
    while True:
        part = await _read_watched(state, session, path, answer)
        # A read that was done already returns although the run is cancelled; the cancellation would
        # then cut the write, and the next run would start after events that were never written.
        _end_if_interrupted(session)
        if part is None:
            if buffer.pending:
                return RunEnd.LOST, "the stream ended within an event"
            await _finish_events(exchange, session, answer)
            return RunEnd.COMPLETE, ""
        accepted, fault = take_events(session.order, buffer.feed(part))
        if accepted:
            _note_events(state, session, path, started_at)
            session.emitting = True
            await _emit(exchange, session, answer, b"".join(accepted))
            session.emitting = False
            _end_if_interrupted(session)
        if fault:
            return RunEnd.LOST, fault


def _end_if_interrupted(session: StreamSession) -> None:
    """Raise an error if an engine of the run was found dead.

    Raises:
        AnswerLostError: If so.
    """
    if session.interrupted:
        raise AnswerLostError("an engine of the path was found dead by another request")


def _note_events(
    state: GatewayState, session: StreamSession, path: ChosenPath, started_at: float
) -> None:
    now = anyio.current_time()
    for engine in path.engines:
        engine.proven_at = now
    gap = now - session.moved_at
    if not session.started:
        record(state.metrics.first_event, gap)
        session.notes.first_event = gap
        note_gap(state.first_pace, now - started_at)
    else:
        record(state.metrics.gap, gap)
        session.notes.longest_gap = max(session.notes.longest_gap, gap)
        note_gap(session.pace, gap)
    session.moved_at = now


async def _emit(
    exchange: Exchange, session: StreamSession, answer: OpenAnswer, data: bytes
) -> None:
    if session.started:
        await exchange.send(data)
        return
    session.started = True
    headers = caller_headers(answer.head.headers.raw_items())
    await exchange.begin(answer.head.status_code, headers, data)


async def _finish_events(exchange: Exchange, session: StreamSession, answer: OpenAnswer) -> None:
    if not session.started:
        session.started = True
        headers = caller_headers(answer.head.headers.raw_items())
        await exchange.begin(answer.head.status_code, headers, b"")
    await exchange.end()


async def _read_watched(
    state: GatewayState, session: StreamSession, path: ChosenPath, answer: OpenAnswer
) -> bytes | None:
    """Read the next part; a pause beyond the stream's own pace has the engines probed.

    Returns:
        The part, or None once the answer is complete.

    Raises:
        AnswerBrokenError: If the answer ends early.
        AnswerLostError: If an engine is dead, or none is and the silence lasts too long.
    """
    waited = 0.0
    while True:
        known = session.pace.mean > 0
        patience = stall_after(session.pace) if known else FIRST_FLOOR_SECONDS
        patience = min(patience, SILENCE_LIMIT_SECONDS)
        with anyio.move_on_after(patience):
            return await read_part(answer.connection)
        waited += patience
        if await find_lost(state, path, session.dead):
            raise AnswerLostError("an engine of the path does not answer")
        if waited >= SLOW_SILENCE_SECONDS:
            await ask_paces(state, path)
        _suspect_links(state, path, waited)
        if waited >= SILENCE_LIMIT_SECONDS:
            session.excluded.update(item.registration.instance for item in path.engines)
            raise AnswerLostError(f"silent for {waited:.2f} s")
        state.metrics.counters["false-alarm"] += 1
        note_false_alarm(session.pace)


def _suspect_links(state: GatewayState, path: ChosenPath, waited: float) -> None:
    """Avoid the links of a path that has stood still for long although all its engines answer."""
    if waited < LINK_SILENCE_SECONDS:
        return
    domains = [engine.registration.failure_domain for engine in path.engines]
    known = set(state.link_doubts.until)
    links = doubt_links(state.link_doubts, domains, anyio.current_time())
    if not known.issuperset(links):
        logger.warning(
            "links between failure domains avoided", extra={"links": links, "silent_for": waited}
        )


def _doubt(state: GatewayState, session: StreamSession, engine: ForwardedUpstream) -> None:
    """Hold a failure against the failure domain of an engine if it is not the own one."""
    domain = engine.registration.failure_domain
    if domain != state.settings.box.failure_domain:
        session.failed_domains.add(domain)
        doubt_domain(state.doubts, engine, anyio.current_time())


async def _blame(state: GatewayState, session: StreamSession, path: ChosenPath) -> None:
    """Find out which engines of a broken run are dead, and avoid those."""
    if not await find_lost(state, path, session.dead):
        session.excluded.add(path.head.registration.instance)


async def _finish(
    permit: Permit, exchange: Exchange, session: StreamSession, *, late: bool
) -> None:
    """Give the final answer of a stream of which the caller has no head yet.

    Raises:
        ProblemError: If no engine answered with a failure that can be passed on.
    """
    if session.started:
        # An answer that is not complete ends with its connection, which the caller notices.
        return
    if session.failure is not None:
        head = session.failure.head
        headers = caller_headers(head.headers.raw_items())
        await exchange.answer(head.status_code, headers, session.failure_body)
        return
    if session.runs <= 0 and session.sent == session.refusals:
        if session.refusals:
            detail = f"{session.refusals} paths refused; {session.no_path or 'too many'}"
            raise refusal(ResultCode.UPSTREAM_REFUSED, detail, FULL_RETRY_SECONDS)
        detail = f"no path over {permit.pool.name}; {session.no_path}"
        raise refusal(ResultCode.NO_ROUTE, detail, NO_PATH_RETRY_SECONDS)
    code = ResultCode.DEADLINE_EXCEEDED if late else ResultCode.UPSTREAM_LOST
    detail = f"sent {session.sent} times without a first event"
    raise ProblemError(Problem(code=code, detail=detail, execution=Execution.UNKNOWN))
