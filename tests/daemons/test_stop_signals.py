"""Stop signals that are sent again and again to a process."""

from __future__ import annotations

import signal
import time

import pytest

from standins.discovered_fleet import running_discovered_fleet


@pytest.mark.parametrize("name", ["registry-0", "gateway-0"])
def test_repeated_stop_signal_does_not_end_a_planned_stop(name: str) -> None:
    """Guards against a second signal that ends a process before it has written its last line."""
    with running_discovered_fleet(engines=2, services=1) as fleet:
        popen = fleet.boxes[name].popen
        assert popen is not None
        while popen.poll() is None:
            fleet.signal(name, signal.SIGTERM)
            time.sleep(0.002)
        assert popen.returncode == 0
        assert fleet.log(name)[-1]["message"] == "process ends"
        assert fleet.log(name)[-1]["reason"] == "stop signal"
