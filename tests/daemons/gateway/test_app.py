"""Logged outcome of requests that were not answered."""

from __future__ import annotations

import errno
import logging
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.gateway import app
from ledgeladder.http1 import HttpRequest
from ledgeladder.model import ResultCode
from ledgeladder.model.traffic import RequestKind

from .builders import gateway_state


@pytest.mark.parametrize(
    ("out_of_time", "outcome"), [(False, app.CALLER_DISCONNECTED), (True, app.STOPPED)]
)
def test_request_cancelled_by_a_stop_is_not_attributed_to_its_caller(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    out_of_time: bool,
    outcome: str,
) -> None:
    state = gateway_state()

    async def forward(*_: object) -> None:
        state.out_of_time = out_of_time
        await anyio.sleep_forever()

    monkeypatch.setattr(app, "permit_request", lambda *_: None)
    monkeypatch.setattr(app, "_forward", forward)
    request = HttpRequest(method=b"POST", target=b"/x", headers=[], fields={})
    exchange = SimpleNamespace(complete=False)

    async def run() -> None:
        with anyio.move_on_after(0.01):
            await app.build_caller_site(state).handler(request, exchange)

    with caplog.at_level(logging.INFO):
        anyio.run(run)
    lines = [record for record in caplog.records if record.message == "request"]
    assert [line.outcome for line in lines] == [outcome]  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("kind", "has_engine", "priority"),
    [
        (RequestKind.STREAM, True, 2),
        (RequestKind.STREAM, False, None),
        (RequestKind.REPEATABLE, True, None),
    ],
)
def test_only_streams_over_engines_are_logged_with_their_priority(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    kind: RequestKind,
    has_engine: bool,
    priority: int | None,
) -> None:
    """Reports tell by it whose streams were served, and leave other requests out."""
    permit = SimpleNamespace(
        route=SimpleNamespace(name="draft", kind=kind),
        pool=SimpleNamespace(name="p", engine=object() if has_engine else None),
        account="acme",
        priority=2,
    )

    async def forward(*_: object) -> None:
        pass

    monkeypatch.setattr(app, "permit_request", lambda *_: permit)
    monkeypatch.setattr(app, "refuse_quarantined", lambda *_: None)
    monkeypatch.setattr(app, "_forward", forward)
    request = HttpRequest(method=b"POST", target=b"/x", headers=[], fields={})
    exchange = SimpleNamespace(complete=True)

    async def run() -> None:
        await app.build_caller_site(gateway_state()).handler(request, exchange)

    with caplog.at_level(logging.INFO):
        anyio.run(run)
    (line,) = [record for record in caplog.records if record.message == "request"]
    assert getattr(line, "priority", None) == priority
    assert line.account == "acme"  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("error", "disconnected", "has_left"),
    [
        (ValueError("planted"), False, False),
        (ExceptionGroup("tasks", [KeyError("planted")]), False, False),
        (OSError(errno.EMFILE, "no descriptors"), False, False),
        (ExceptionGroup("tasks", [anyio.BrokenResourceError()]), False, False),
        (ValueError("planted"), True, False),
        (anyio.BrokenResourceError(), True, True),
        (ExceptionGroup("tasks", [OSError()]), True, True),
    ],
)
def test_unexpected_error_of_a_request_is_not_attributed_to_its_caller(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    error: Exception,
    disconnected: bool,
    has_left: bool,
) -> None:
    """Guards against requests without an answer that were logged as if their caller had left."""
    state = gateway_state()

    def permit(*_: object) -> None:
        raise error

    monkeypatch.setattr(app, "permit_request", permit)
    monkeypatch.setattr(app, "is_starting", lambda *_: False)
    request = HttpRequest(method=b"POST", target=b"/x", headers=[], fields={})
    exchange: Any = SimpleNamespace(complete=False, disconnected=disconnected)

    async def run() -> None:
        await app.build_caller_site(state).handler(request, exchange)

    # The server answers what is raised; `test_server` has that.
    with caplog.at_level(logging.INFO), pytest.raises(type(error)):
        anyio.run(run)
    lines = [record for record in caplog.records if record.message == "request"]
    assert (lines[0].outcome == app.CALLER_DISCONNECTED) == has_left  # type: ignore[attr-defined]
    code = ResultCode.UNEXPECTED_ERROR.name
    assert lines[0].outcome.startswith(code) != has_left  # type: ignore[attr-defined]
    assert state.metrics.counters[f"code-{code}"] == (not has_left)
