"""HTTP API of a registry process: registration of upstreams, publishing and reading documents."""

from __future__ import annotations

import logging
import zlib
from collections import Counter
from typing import TYPE_CHECKING, Final

import anyio
from returns.result import Failure

from ...coordination.hold_receipts import count_holders
from ...coordination.registrations import apply_registration, resolve_instance
from ...http1 import HttpSite
from ...links import AcceptQueue
from ...model import Problem, ResultCode
from ...model.registration import UpstreamState
from ...model.traffic import CallerLimits
from ...platform.configuration import decode_configuration
from ...platform.control_calls import (
    ACKNOWLEDGED,
    JSON_HEADERS,
    Publish,
    ReadDocument,
    Register,
    read_control_call,
)
from ..plain_problems import write_problem
from .published_version import publish, wait_until_fresh
from .telling import broadcast_registration

if TYPE_CHECKING:
    from ...http1 import Exchange, HttpRequest
    from ...model.registration import Registration
    from .state import RegistryState

logger = logging.getLogger(__name__)

MAX_DOCUMENT_BYTES: Final = 16 * 1024 * 1024
"""Largest document that an operator may publish."""

MAX_WAIT_SECONDS: Final = 0.5
"""How long a connection waits to be read. Upstreams and operators try another box after 1 s; all of
them call at once after a loss of power, and few other boxes could take their calls."""

READ_TIMEOUT_SECONDS: Final = 0.8
"""Timeout of a read for confirming the newest version. Shorter than the 1 s after which operators
try another box."""

OK: Final = 200


def build_site(state: RegistryState, counters: Counter[str]) -> HttpSite:
    """Build the HTTP site of a registry process.

    Args:
        state: State of the process.
        counters: Number of calls by outcome.
    """

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        call = read_control_call(request)
        match call:
            case Register():
                await _register(state, counters, call, exchange)
            case Publish():
                await _publish(state, counters, call, exchange)
            case ReadDocument():
                await _read(state, counters, request, exchange)
            case Problem():
                counters[call.code.name] += 1
                logger.info("call rejected", extra={"code": call.code.name, "detail": call.detail})
                await write_problem(exchange, call)

    limits = CallerLimits(body_bytes=MAX_DOCUMENT_BYTES)
    return HttpSite(
        handler=handle,
        write_problem=write_problem,
        limits=lambda: limits,
        cancels_on_disconnect=False,
        accept_queue=AcceptQueue(max_wait_seconds=MAX_WAIT_SECONDS),
    )


async def _register(
    state: RegistryState, counters: Counter[str], call: Register, exchange: Exchange
) -> None:
    """Apply a registration, broadcast it if it is new, then acknowledge it.

    A departure is acknowledged once enough other control boxes hold it, because the upstream does
    not repeat it. Heartbeats that change nothing wait for nobody: the next one follows anyway.
    """
    registration = call.registration
    counters["registrations"] += 1
    if not _accepts_pool(state, registration):
        detail = f"{registration.instance}: no pool {registration.pool!r}"
        await write_problem(exchange, Problem(code=ResultCode.REGISTRATION_INVALID, detail=detail))
        return
    registration = resolve_instance(state.table, registration)
    if apply_registration(state.table, registration, anyio.current_time()):
        broadcast_registration(state, registration, to_peers=True)
        if registration.state is not UpstreamState.READY or registration.sequence <= 1:
            logger.info(
                "upstream registered",
                extra={
                    "upstream": registration.instance,
                    "state": registration.state.value,
                    "pool": registration.pool,
                    "address": registration.address,
                    "sequence": registration.sequence,
                },
            )
    if registration.state is UpstreamState.READY or await _is_held(state, registration):
        await exchange.answer(OK, JSON_HEADERS, ACKNOWLEDGED)
        return
    counters[ResultCode.DEPARTURE_UNCONFIRMED.name] += 1
    logger.warning(
        "departure not held by other control boxes",
        extra={
            "upstream": registration.instance,
            "holders": count_holders(state.receipts, registration.instance),
        },
    )
    code = ResultCode.DEPARTURE_UNCONFIRMED
    await write_problem(exchange, Problem(code=code, detail=registration.instance))


async def _is_held(state: RegistryState, departure: Registration) -> bool:
    """Wait until enough other control boxes hold a departure; return False if they do not."""
    # Imported here because few calls are departures.
    from .departures import wait_until_held

    return await wait_until_held(state, departure)


def _accepts_pool(state: RegistryState, registration: Registration) -> bool:
    """Return whether a registration is acceptable with the pools of the document.

    A registration for an unknown pool is accepted while there is no document, if the upstream is
    draining or has exited, or if it registered before the document dropped the pool.
    """
    if state.configuration is None or registration.state is not UpstreamState.READY:
        return True
    known = state.table.known.get(registration.instance)
    known_before = known is not None and known.registration.pool == registration.pool
    return known_before or registration.pool in state.configuration.pools


async def _publish(
    state: RegistryState, counters: Counter[str], call: Publish, exchange: Exchange
) -> None:
    decoded = decode_configuration(call.body)
    if isinstance(decoded, Failure):
        problem = decoded.failure()
        counters[problem.code.name] += 1
        logger.warning(
            "document rejected", extra={"code": problem.code.name, "detail": problem.detail}
        )
        await write_problem(exchange, problem)
        return
    version = decoded.unwrap().version
    if version <= state.node.state.published.version:
        logger.info("document is not newer than the published one", extra={"version": version})
        await exchange.answer(OK, JSON_HEADERS, ACKNOWLEDGED)
        return
    outcome = await publish(state, version, call.body)
    if isinstance(outcome, Failure):
        counters[ResultCode.NO_QUORUM.name] += 1
        logger.warning("document not confirmed by a leader", extra={"version": version})
        await write_problem(exchange, outcome.failure())
        return
    result = outcome.unwrap()
    logger.info("document accepted", extra={"version": version, "newest": result.version})
    await exchange.answer(OK, JSON_HEADERS, ACKNOWLEDGED)


async def _read(
    state: RegistryState, counters: Counter[str], request: HttpRequest, exchange: Exchange
) -> None:
    if not await wait_until_fresh(state, request.arrived_at, READ_TIMEOUT_SECONDS):
        counters[ResultCode.BELIEF_STALE.name] += 1
        logger.warning(
            "read rejected: newest version is not confirmed",
            extra={"version": state.node.state.published.version},
        )
        await write_problem(exchange, Problem(code=ResultCode.BELIEF_STALE, retry_after=0.5))
        return
    published = state.node.state.published
    if published.version == 0:
        await write_problem(exchange, Problem(code=ResultCode.STARTING, retry_after=0.5))
        return
    await exchange.answer(OK, JSON_HEADERS, zlib.decompress(published.body))
