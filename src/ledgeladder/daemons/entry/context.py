"""Shared state of an entry process."""

from __future__ import annotations

import random
import secrets
from typing import TYPE_CHECKING

import anyio
import httpx
import msgspec
from returns.result import Success

from ...coordination.content_watch import EntryQuarantine
from ...model import Configuration, digest
from ...routing.admission import Admission
from ...routing.pace import Pace
from ...routing.policy import CompiledPolicy, compile_policy
from ...routing.retry_budget import RetryBudget
from ...routing.upstream_table import UpstreamTable, update_upstreams
from ..supervisor import ChildState, run_contained
from .gate import Gate
from .metrics import EntryMetrics

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any

    from anyio.abc import TaskGroup

    from ...http1.byte_account import ByteAccount
    from ...links.messages import LinkMessage
    from ...model import ClientAccount
    from ...routing.admission import Ticket
    from ...routing.chain import EngineSelector
    from ...routing.planned_stop import StopWindow
    from ...settings import EntrySettings
    from ..limit_keeper import RateLimiter
    from .command_client import CommandClient


class EntryContext(msgspec.Struct, kw_only=True):
    """State of one entry process."""

    settings: EntrySettings
    """Settings of the process."""

    commands: CommandClient
    """Client for commands to the leader of the replicated log."""

    client: httpx.AsyncClient
    """HTTP client for upstreams."""

    background: TaskGroup
    """Tasks that outlive the request that started them."""

    admission: Admission
    """Admission limits and queue."""

    select_engine: EngineSelector
    """Chooses among candidate engines."""

    rng: random.Random
    """Random numbers for jitter and choices."""

    bytes_held: ByteAccount
    """Bytes that the process holds for its callers."""

    instance: str = msgspec.field(default_factory=lambda: secrets.token_hex(8))
    """Random id of this process instance."""

    configuration: Configuration = msgspec.field(default_factory=Configuration)
    """Configuration in force."""

    digest: bytes = b""
    """Digest of the configuration in force."""

    policies: dict[str, CompiledPolicy] = msgspec.field(default_factory=dict)
    """Compiled policies by name."""

    accounts_by_key: dict[str, ClientAccount] = msgspec.field(default_factory=dict)
    """Client accounts by the SHA-256 hash of their key."""

    upstreams: UpstreamTable = msgspec.field(default_factory=UpstreamTable)
    """Known state of each upstream."""

    first_pace: Pace = msgspec.field(default_factory=Pace)
    """Pace of first tokens, over all requests."""

    probe_pace: Pace = msgspec.field(default_factory=Pace)
    """Pace of answered probes."""

    quarantine: EntryQuarantine = msgspec.field(default_factory=EntryQuarantine)
    """Request contents that crash upstreams."""

    send_to_controls: Callable[[LinkMessage], None] = lambda _message: None
    """Sends a message to all connected control boxes."""

    rate_limiter: RateLimiter | None = None
    """Observes rate limits that upstreams advertise; None until the links are built."""

    budget: RetryBudget = msgspec.field(default_factory=RetryBudget)
    """Budget of retries."""

    metrics: EntryMetrics = msgspec.field(default_factory=EntryMetrics)
    """Counters and histograms."""

    tickets: dict[Ticket, anyio.Event] = msgspec.field(default_factory=dict)
    """Queued requests and the events that wake them."""

    synced: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set once the newest configuration known to the reachable boxes is in force."""

    children: dict[str, ChildState] = msgspec.field(default_factory=dict)
    """States of the supervised tasks by name."""

    stopping: bool = False
    """True once a planned stop has begun."""

    stop_window: StopWindow | None = None
    """Times of the planned stop; None before one."""

    out_of_time: bool = False
    """True once a planned stop has timed out and ends the requests in progress."""

    stop_scopes: set[anyio.CancelScope] = msgspec.field(default_factory=set)
    """Cancel scopes of the requests in progress."""

    gate: Gate = msgspec.field(default_factory=Gate)
    """Fences of orders that were forwarded to engines."""

    in_progress: int = 0
    """Number of requests that have not been answered completely."""


def rate_limiter_of(context: EntryContext) -> RateLimiter:
    """Return the rate limiter; the links must be built."""
    assert context.rate_limiter is not None
    return context.rate_limiter


def apply_configuration(context: EntryContext, configuration: Configuration) -> bool:
    """Apply a configuration if it is newer than the one in force.

    Args:
        context: The entry's state.
        configuration: The configuration.

    Returns:
        False if it is not newer.
    """
    if configuration.version <= context.configuration.version and context.digest:
        return False
    context.configuration = configuration
    context.digest = digest(configuration)
    context.accounts_by_key = {
        account.key_sha256: account for account in configuration.accounts.values()
    }
    context.policies = {}
    for policy in configuration.policies.values():
        compiled = compile_policy(policy.name, policy.source)
        if isinstance(compiled, Success):
            context.policies[policy.name] = compiled.unwrap()
    update_upstreams(context.upstreams, configuration)
    return True


def run_in_background(
    context: EntryContext, work: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    """Run a task that outlives the request; log its failure.

    Args:
        context: The entry's state.
        work: Function to run.
        arguments: Arguments of the function.
    """
    context.background.start_soon(run_contained, work, *arguments)
