"""What all parts of an entry process share."""

from __future__ import annotations

import logging
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
from ...routing.upstream_table import UpstreamTable, adopt_configuration
from .gate import Gate
from .metrics import EntryMetrics

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any

    from anyio.abc import TaskGroup

    from ...links.messages import LinkMessage
    from ...model import ClientAccount
    from ...routing.admission import Ticket
    from ...routing.chain import EngineSelector
    from ...settings import EntrySettings
    from ..limit_keeper import RateLimiter
    from .command_client import CommandClient

logger = logging.getLogger(__name__)


class EntryContext(msgspec.Struct, kw_only=True):
    """State of one entry process."""

    settings: EntrySettings
    """Its settings."""

    commands: CommandClient
    """Way to the leader of the replicated log."""

    client: httpx.AsyncClient
    """HTTP client for upstreams."""

    background: TaskGroup
    """Tasks that outlive the request that started them."""

    admission: Admission
    """Limits and queue."""

    pick: EngineSelector
    """Choice among engines."""

    rng: random.Random
    """Source of jitter and choices."""

    instance: str = msgspec.field(default_factory=lambda: secrets.token_hex(8))
    """Random name of this run of the process."""

    configuration: Configuration = msgspec.field(default_factory=Configuration)
    """The configuration in force."""

    digest: bytes = b""
    """Digest of the configuration in force."""

    policies: dict[str, CompiledPolicy] = msgspec.field(default_factory=dict)
    """Compiled policies."""

    accounts_by_key: dict[str, ClientAccount] = msgspec.field(default_factory=dict)
    """Client accounts by the SHA-256 of their key."""

    upstreams: UpstreamTable = msgspec.field(default_factory=UpstreamTable)
    """What is known of each upstream."""

    first_pace: Pace = msgspec.field(default_factory=Pace)
    """Times to the first token, over all requests."""

    probe_pace: Pace = msgspec.field(default_factory=Pace)
    """Times of answered probes."""

    contents: EntryQuarantine = msgspec.field(default_factory=EntryQuarantine)
    """Contents under which upstreams end."""

    tell_controls: Callable[[LinkMessage], None] = lambda _message: None
    """Tells the control boxes that are linked."""

    limit_keeper: RateLimiter | None = None
    """Keeps to the requests a second that upstreams name; None until the links are built."""

    budget: RetryBudget = msgspec.field(default_factory=RetryBudget)
    """Retries that may be made."""

    metrics: EntryMetrics = msgspec.field(default_factory=EntryMetrics)
    """Counters and histograms."""

    tickets: dict[Ticket, anyio.Event] = msgspec.field(default_factory=dict)
    """Waiting requests and what wakes them."""

    synced: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set once the newest configuration known to this side is in force."""

    stopping: bool = False
    """True once a planned stop has begun."""

    gate: Gate = msgspec.field(default_factory=Gate)
    """Fences of orders that passed here."""

    in_progress: int = 0
    """Requests of callers that have not been answered in full."""


def limit_keeper_of(context: EntryContext) -> RateLimiter:
    """Return what keeps to the requests a second that upstreams name."""
    assert context.limit_keeper is not None
    return context.limit_keeper


def put_in_force(context: EntryContext, configuration: Configuration) -> bool:
    """Put a configuration into force if it is newer than the one that is.

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
    adopt_configuration(context.upstreams, configuration)
    return True


def in_background(
    context: EntryContext, work: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    """Run work that outlives the request; its failure is logged and ends nothing else.

    Args:
        context: The entry's state.
        work: What to run.
        arguments: What to pass to it.
    """

    async def run() -> None:
        try:
            await work(*arguments)
        except Exception:
            logger.exception("background work failed")

    context.background.start_soon(run)
