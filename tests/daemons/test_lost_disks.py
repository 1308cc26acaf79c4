"""Disks lost while all other boxes stop at the same moment, over real processes."""

from __future__ import annotations

import contextlib

import httpx

from standins.discovered_fleet import (
    HOST,
    KEY,
    DiscoveredFleet,
    running_discovered_fleet,
    wait_until,
)


def read_version(fleet: DiscoveredFleet, number: int) -> int:
    """Return the version that a registry reads back; 0 if it is not sure."""
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


def test_acknowledged_document_outlasts_a_lost_disk_and_the_stop_of_all_boxes() -> None:
    """The pattern: a document was just acknowledged by the box that loses its disk."""
    with running_discovered_fleet(engines=0) as fleet:
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
