"""Logged outcome of requests that were not answered."""

from __future__ import annotations

import logging
from types import SimpleNamespace

import anyio
import pytest

from ledgeladder.daemons.gateway import app
from ledgeladder.http1 import HttpRequest

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
