"""Sends commands of an entry box to the leader of the replicated log."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import anyio
import msgspec
from returns.result import Failure, Result, Success

from ...links import keep_link
from ...links.messages import CommandReply, CommandRequest, TermReply
from ...model import Problem, ResultCode

if TYPE_CHECKING:
    from ...coordination.commands import Command
    from ...coordination.commands import Result as CommandResult
    from ...links import Link, LinkIdentity
    from .gate import TermCheck

RETRY_DELAY_SECONDS: Final = 0.05
"""Delay before a command is sent again."""

REPLY_TIMEOUT_SECONDS: Final = 0.7
"""Timeout for a reply, after which the command is sent to all control boxes."""


class PendingCall(msgspec.Struct, kw_only=True):
    """A command that was sent and waits for its reply."""

    done: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set once the reply is final."""

    pending_replies: int = 0
    """Number of boxes that have not replied yet."""

    reply: CommandReply | None = None
    """Reply with a result, or else a refusal, preferably one that names the leader."""


class CommandClient(msgspec.Struct, kw_only=True):
    """Links to all control boxes."""

    links: dict[str, Link] = msgspec.field(default_factory=dict)
    """Established links by control box."""

    leader: str = ""
    """Last known leader, or empty."""

    calls: dict[int, PendingCall] = msgspec.field(default_factory=dict)
    """Pending calls by number."""

    term_checks: dict[int, TermCheck] = msgspec.field(default_factory=dict)
    """Pending term queries by number."""

    last_call: int = 0
    """Number of the last call or term query."""


async def keep_command_link(
    client: CommandClient, box: str, address: str, identity: LinkIdentity
) -> None:
    """Keep a command link to a control box established; runs until cancelled."""

    async def serve(link: Link) -> None:
        client.links[box] = link
        try:
            while True:
                message = await link.receive()
                if isinstance(message, CommandReply):
                    _handle_command_reply(client, box, message)
                elif isinstance(message, TermReply):
                    _handle_term_reply(client, box, message)
        finally:
            if client.links.get(box) is link:
                del client.links[box]

    await keep_link(address, identity, serve, rng=random.Random())


def _handle_term_reply(client: CommandClient, box: str, reply: TermReply) -> None:
    check = client.term_checks.get(reply.call)
    if check is not None:
        check.replies[box] = reply
        check.changed.set()


def _handle_command_reply(client: CommandClient, box: str, reply: CommandReply) -> None:
    call = client.calls.get(reply.call)
    if call is None:
        return
    call.pending_replies -= 1
    if reply.result is not None:
        client.leader = box
        call.reply = reply
    elif call.reply is None or reply.leader:
        call.reply = reply
    if reply.result is not None or call.pending_replies <= 0:
        call.done.set()


async def commit(
    client: CommandClient, command: Command, *, seconds: float
) -> Result[CommandResult, Problem]:
    """Commit a command through the leader, or send it to all boxes while the leader is unknown.

    Commands may be sent repeatedly: each carries an id by which the state machine detects
    duplicates, and only the leader accepts them.

    Args:
        client: The links.
        command: The command.
        seconds: Timeout.

    Returns:
        The result. After a problem with code NO_QUORUM, the command may still be committed.
    """
    with anyio.move_on_after(seconds):
        while True:
            leader_is_linked = client.leader in client.links
            boxes = [client.leader] if leader_is_linked else list(client.links)
            reply = await _send_command(client, boxes, command) if boxes else None
            if reply is not None and reply.result is not None:
                return Success(reply.result)
            client.leader = reply.leader if reply is not None else ""
            await anyio.sleep(RETRY_DELAY_SECONDS)
    detail = "no majority of control boxes answered"
    return Failure(Problem(code=ResultCode.NO_QUORUM, detail=detail, retry_after=2.0))


async def _send_command(
    client: CommandClient, boxes: list[str], command: Command
) -> CommandReply | None:
    client.last_call += 1
    number = client.last_call
    call = PendingCall(pending_replies=len(boxes))
    client.calls[number] = call
    try:
        for box in boxes:
            client.links[box].post(CommandRequest(call=number, command=command))
        with anyio.move_on_after(REPLY_TIMEOUT_SECONDS):
            await call.done.wait()
    finally:
        del client.calls[number]
    return call.reply
