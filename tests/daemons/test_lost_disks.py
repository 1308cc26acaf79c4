"""Loss of a disk while all other boxes stop at the same time, with real processes."""

from __future__ import annotations

import contextlib

import httpx
import pytest

from standins.discovered_fleet import (
    HOST,
    KEY,
    DiscoveredFleet,
    running_discovered_fleet,
    wait_until,
)


def read_version(fleet: DiscoveredFleet, number: int) -> int:
    """Return the version that a registry confirms as the newest; 0 if it confirms none."""
    with contextlib.suppress(httpx.HTTPError):
        answer = fleet.client.get(f"http://{fleet.control_addresses[number]}/api/config")
        if answer.status_code == 200:
            return int(answer.json()["version"])
    return 0


def serves(fleet: DiscoveredFleet, gateway: int) -> bool:
    fields = {"Host": HOST, "Attempt-Id": "a", "Authorization": f"Token {KEY}"}
    with contextlib.suppress(httpx.HTTPError):
        url = f"http://{fleet.caller_address(gateway)}/status/x"
        return fleet.client.get(url, headers=fields).status_code == 200
    return False


@pytest.mark.parametrize("registries", [3, 5])
def test_acknowledged_document_survives_disk_loss_and_restart_of_all_boxes(registries: int) -> None:
    """An acknowledged document must not exist only on the disk of the box that acknowledged it, nor
    on those of boxes that do not vote: of five, three do."""
    with running_discovered_fleet(engines=0, registries=registries) as fleet:
        for wiped in range(fleet.registries):
            fleet.publish_next()
            boxes = [name for name in fleet.boxes if name.startswith(("registry", "gateway"))]
            for name in boxes:
                fleet.kill(name)
            for path in (fleet.folder / f"registry-{wiped}").iterdir():
                path.unlink()
            fleet.add_registry(wiped, bootstrap=False)
            for name in boxes:
                fleet.restart(name)
            for number in range(fleet.registries):
                wait_until(
                    lambda: read_version(fleet, number) == fleet.version,  # noqa: B023
                    30,
                    f"version {fleet.version} read back at registry {number}",
                )
            for gateway in range(fleet.gateways):
                wait_until(lambda: serves(fleet, gateway), 30, "served")  # noqa: B023
