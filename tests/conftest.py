"""Sets the clock of event loops in tests, and keeps the logs of tests that fail."""

from __future__ import annotations

import asyncio
from collections.abc import Generator

import pytest

from ledgeladder.daemons import clock
from standins.kept_logs import keep_logs

# Event loops of the daemons use this clock. The default clock of test loops differs from it by the
# time that the machine was suspended.
asyncio.BaseEventLoop.time = lambda _loop: clock.now()  # type: ignore[method-assign]


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Keep the logs of running processes when a test fails, which cannot be traced without them."""
    report = yield
    if report.failed:
        for folder in keep_logs(item.nodeid):
            report.sections.append(("logs of the processes", str(folder)))
    return report
