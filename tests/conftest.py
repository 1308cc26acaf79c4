"""The clock of event loops in tests."""

from __future__ import annotations

import asyncio

from ledgeladder.daemons import clock

# What the daemons run on keeps time by this clock. The loops of tests would differ from it by as
# long as their machine was ever suspended.
asyncio.BaseEventLoop.time = lambda _loop: clock.now()  # type: ignore[method-assign]
