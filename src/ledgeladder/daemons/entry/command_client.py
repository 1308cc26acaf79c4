"""The entry's way to the leader of the replicated log."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import anyio
from returns.result import Failure, Result, Success

from ...links import keep_link
from ...links.messages import CommandReply, CommandRequest
from ...model import Problem, ResultCode

if TYPE_CHECKING:
    from ...coordination.commands import Command
    from ...coordination.commands import Result as CommandResult
    from ...links import Link, LinkIdentity

RETRY_SECONDS: Final = 0.05
"""Pause before another control box is asked."""

ANSWER_SECONDS: Final = 1.5
"""How long one control box may take to answer."""


@dataclass(kw_only=True)
class PendingCall:
    """A command that was sent and not answered."""

    done: anyio.Event = field(default_factory=anyio.Event)
    """Set once the reply is there."""

    reply: CommandReply | None = None
    """The reply."""


@dataclass(kw_only=True)
class CommandClient:
    """Links to all control boxes, of which one leads."""

    links: dict[str, Link] = field(default_factory=dict)
    """Links that are up, by box."""

    leader: str = ""
    """Box that led when last heard of."""

    calls: dict[int, PendingCall] = field(default_factory=dict)
    """Calls that wait for a reply."""

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
                    _settle(client, message)
        finally:
            if client.links.get(box) is link:
                del client.links[box]

    await keep_link(address, identity, serve, rng=random.Random())


def _settle(client: CommandClient, reply: CommandReply) -> None:
    call = client.calls.pop(reply.call, None)
    if call is not None:
        call.reply = reply
        call.done.set()


async def commit(
    client: CommandClient, command: Command, *, seconds: float
) -> Result[CommandResult, Problem]:
    """Commit a command, going from box to box until the leader answers.

    Commands are safe to send again: each carries an id under which the state machine knows it.

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
            box = _box_to_ask(client)
            reply = await _ask(client, box, command) if box else None
            if reply is not None and reply.result is not None:
                client.leader = box
                return Success(reply.result)
            client.leader = reply.leader if reply is not None else ""
            await anyio.sleep(RETRY_SECONDS)
    detail = "no majority of control boxes answered"
    return Failure(Problem(code=ResultCode.NO_QUORUM, detail=detail, retry_after=2.0))


def _box_to_ask(client: CommandClient) -> str:
    if client.leader in client.links:
        return client.leader
    boxes = sorted(client.links)
    if not boxes:
        return ""
    return boxes[client.last_call % len(boxes)]


async def _ask(client: CommandClient, box: str, command: Command) -> CommandReply | None:
    client.last_call += 1
    number = client.last_call
    call = PendingCall()
    client.calls[number] = call
    client.links[box].post(CommandRequest(call=number, command=command))
    with anyio.move_on_after(ANSWER_SECONDS):
        await call.done.wait()
    client.calls.pop(number, None)
    return call.reply
