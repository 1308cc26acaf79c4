"""Sets the clock of event loops in tests."""

from __future__ import annotations

import asyncio

from ledgeladder.daemons import clock

# Event loops of the daemons use this clock. The default clock of test loops differs from it by the
# time that the machine was suspended.
asyncio.BaseEventLoop.time = lambda _loop: clock.now()  # type: ignore[method-assign]
