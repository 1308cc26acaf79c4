"""Tasks that a message of a peer begins, and their failures."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.control import hub
from ledgeladder.daemons.gateway import control_link, loss_updates
from ledgeladder.daemons.registry import peer_links
from ledgeladder.links.messages import CommandRequest, LossUpdate, PeerRole

MESSAGES = 3


class EndlessLink:
    """Link on which the same message arrives a number of times, and then nothing."""

    def __init__(self, message: object) -> None:
        self.message = message
        self.received = 0
        self.peer = SimpleNamespace(role=PeerRole.CONTROL)
        self.peer_box = "10.0.0.1"

    async def receive(self) -> object:
        await anyio.sleep(0.01)
        self.received += 1
        if self.received > MESSAGES:
            await anyio.sleep_forever()
        return self.message


async def fail(*_: object) -> None:
    raise KeyError("planted")


async def do_nothing(*_: object) -> None:
    pass


COMMAND: Any = CommandRequest(call=1, command=None)

Serve = Callable[[pytest.MonkeyPatch], tuple[EndlessLink, Awaitable[None]]]


def serve_gateway(monkeypatch: pytest.MonkeyPatch) -> tuple[EndlessLink, Awaitable[None]]:
    for name in ("_poll_version", "_report_load", "report_demand"):
        monkeypatch.setattr(control_link, name, do_nothing)
    monkeypatch.setattr(loss_updates, "handle_loss_update", lambda *_: object())
    monkeypatch.setattr(loss_updates, "confirm_loss", fail)
    link: Any = EndlessLink(LossUpdate(instance="i"))
    state: Any = SimpleNamespace()
    return link, control_link.serve_control_link(state, "10.0.0.1", link)


def serve_registry(monkeypatch: pytest.MonkeyPatch) -> tuple[EndlessLink, Awaitable[None]]:
    monkeypatch.setattr(peer_links, "handle_command_request", fail)
    link: Any = EndlessLink(COMMAND)
    state: Any = SimpleNamespace()

    async def serve() -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                message = await link.receive()
                peer_links._handle_message(state, tasks, link, message, is_control=True)

    return link, serve()


def serve_control(monkeypatch: pytest.MonkeyPatch) -> tuple[EndlessLink, Awaitable[None]]:
    monkeypatch.setattr(hub, "_handle_command_request", fail)
    link: Any = EndlessLink(COMMAND)
    links: Any = SimpleNamespace(follower_links={}, local_boxes={})
    node: Any = SimpleNamespace()
    return link, hub.serve_accepted_link(links, node, set(), link)


@pytest.mark.parametrize("serve", [serve_gateway, serve_registry, serve_control])
def test_task_that_fails_does_not_end_the_link_of_its_message(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, serve: Serve
) -> None:
    """Guards against a link, and all that runs on it, lost by one command or one check."""
    link, serving = serve(monkeypatch)

    async def play() -> None:
        with anyio.move_on_after(5):
            async with anyio.create_task_group() as tasks:

                async def run() -> None:
                    await serving

                tasks.start_soon(run)
                while link.received <= MESSAGES:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    anyio.run(play)
    assert link.received == MESSAGES + 1
    failed = [line for line in caplog.records if line.message == "background task failed"]
    assert len(failed) == MESSAGES
