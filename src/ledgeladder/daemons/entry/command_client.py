"""The entry's way to the leader of the replicated log."""

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

RETRY_SECONDS: Final = 0.05
"""Pause before another control box is asked."""

ANSWER_SECONDS: Final = 0.7
"""How long the boxes asked may take to answer before all are asked again."""


class PendingCall(msgspec.Struct, kw_only=True):
    """A command that was sent and not answered."""

    done: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set once the reply is there."""

    waiting_for: int = 0
    """Boxes that were asked and have not replied."""

    reply: CommandReply | None = None
    """The reply with a result, or else the newest refusal."""


class CommandClient(msgspec.Struct, kw_only=True):
    """Links to all control boxes, of which one leads."""

    links: dict[str, Link] = msgspec.field(default_factory=dict)
    """Links that are up, by box."""

    leader: str = ""
    """Box that led when last heard of."""

    calls: dict[int, PendingCall] = msgspec.field(default_factory=dict)
    """Calls that wait for a reply."""

    term_checks: dict[int, TermCheck] = msgspec.field(default_factory=dict)
    """Questions for terms that wait for replies."""

    last_call: int = 0
    """Number of the last call."""


async def keep_command_link(
    client: CommandClient, box: str, address: str, identity: LinkIdentity
) -> None:
    """Keep a link to one control box up for commands, for ever."""

    async def serve(link: Link) -> None:
        client.links[box] = link
        try:
            while True:
                message = await link.receive()
                if isinstance(message, CommandReply):
                    _settle(client, box, message)
                elif isinstance(message, TermReply):
                    _take_term(client, box, message)
        finally:
            if client.links.get(box) is link:
                del client.links[box]

    await keep_link(address, identity, serve, rng=random.Random())


def _take_term(client: CommandClient, box: str, reply: TermReply) -> None:
    check = client.term_checks.get(reply.call)
    if check is not None:
        check.replies[box] = reply
        check.changed.set()


def _settle(client: CommandClient, box: str, reply: CommandReply) -> None:
    call = client.calls.get(reply.call)
    if call is None:
        return
    call.waiting_for -= 1
    if reply.result is not None:
        client.leader = box
        call.reply = reply
    elif call.reply is None or reply.leader:
        call.reply = reply
    if reply.result is not None or call.waiting_for <= 0:
        call.done.set()


async def commit(
    client: CommandClient, command: Command, *, seconds: float
) -> Result[CommandResult, Problem]:
    """Commit a command through the leader; while that is not known, all boxes are asked at once.

    Commands are safe to send again: each carries an id under which the state machine knows it, and
    only the leader takes them.

    Args:
        client: The links.
        command: The command.
        seconds: When to give up.

    Returns:
        The result. A problem with code NO_QUORUM does not exclude that the command is committed
        later.
    """
    with anyio.move_on_after(seconds):
        while True:
            known = client.leader in client.links
            boxes = [client.leader] if known else list(client.links)
            reply = await _ask(client, boxes, command) if boxes else None
            if reply is not None and reply.result is not None:
                return Success(reply.result)
            client.leader = reply.leader if reply is not None else ""
            await anyio.sleep(RETRY_SECONDS)
    detail = "no majority of control boxes answered"
    return Failure(Problem(code=ResultCode.NO_QUORUM, detail=detail, retry_after=2.0))


async def _ask(client: CommandClient, boxes: list[str], command: Command) -> CommandReply | None:
    client.last_call += 1
    number = client.last_call
    call = PendingCall(waiting_for=len(boxes))
    client.calls[number] = call
    try:
        for box in boxes:
            client.links[box].post(CommandRequest(call=number, command=command))
        with anyio.move_on_after(ANSWER_SECONDS):
            await call.done.wait()
    finally:
        del client.calls[number]
    return call.reply
