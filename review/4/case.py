"""An acknowledged departure is forgotten when all registries and a gateway are killed at once."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.lib2.client import Sent, document, steady
from review.lib2.fleet import CONTACT_S, DRAIN_S, CannotRun, Fleet, call
from review.lib2.replica import Replica

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 4.0
SERVES_S = 16.0
DOWN_S = 0.7


async def run(fleet: Fleet) -> int:
    fleet.start()
    replicas = [Replica(fleet, "app", number) for number in range(3)]
    await fleet.publish(document(1))
    for replica in replicas:
        await replica.start()
    await fleet.wait_ready()
    kept: list[Sent] = []
    traffic = asyncio.create_task(
        steady(fleet, "/status/1", 20.0, time.monotonic() + 30.0, kept)
    )
    await asyncio.sleep(5.0)

    leaving = replicas[0]
    # Its last heartbeat before the departure is held up on its way to the last node.
    late_beat = leaving.heartbeat()
    late_sequence = leaving.sequence
    node, acknowledged_at = await leaving.leave()
    if node is None:
        raise CannotRun("the departure was not acknowledged")
    fleet.note(f"DELETE of {leaving.id} (heartbeats to {late_sequence}) acknowledged by {node}")

    calm_at = acknowledged_at
    if TROUBLE:
        await asyncio.sleep(0.2)
        # All of the core, and half of the gateways: the site file kills 0.55 of the machines.
        killed = [*fleet.registries, fleet.gateways[0]]
        for box in killed:
            box.signal(9)
        for box in killed:
            box.kill()
        fleet.note(f"killed: {', '.join(box.name for box in killed)}")
        await asyncio.sleep(DOWN_S)
        for box in killed:
            box.start(bootstrap=False)
        fleet.note("started again")
        # Calm machines are in touch `contactMs` after that; half a second is added for the start.
        calm_at = time.monotonic() + 0.5 + CONTACT_S
    await asyncio.sleep(max(0.0, acknowledged_at + LATE_S - time.monotonic()))
    for box in reversed(fleet.registries):
        path = f"/api/replicas/{leaving.id}"
        status, _, _ = await call(box.address, "PUT", path, late_beat, seconds=1.0)
        fleet.note(f"heartbeat {late_sequence} of {leaving.id} arrives late at {box.name}: {status}")
        if status == 200:
            break
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_S - time.monotonic()))
    leaving.crash()
    fleet.note(f"{leaving.id} has ended")
    await traffic
    for replica in replicas:
        replica.crash()

    begin = max(acknowledged_at + DRAIN_S, calm_at)
    sent_at = {item["attempt"]: item["at"] for item in kept}
    late = [
        run
        for run in leaving.runs
        if run["at"] > begin and sent_at.get(run["attempt"], 0.0) > begin
    ]
    for item in kept:
        fleet.note(
            f"sent {item['at'] - fleet.started_at:.3f} {item['attempt']} to {item['gateway']}:"
            f" {item['status']}"
        )
    for replica in replicas:
        for run in replica.runs:
            fleet.note(f"run {run['at'] - fleet.started_at:.3f} {run['attempt']} at {replica.id}")
    served = sum(item["status"] == 200 for item in kept)
    after_six = sum(run["at"] > calm_at - 0.5 + CONTACT_S for run in late)
    text = (
        f"{len(kept)} sent, {served} served; {len(late)} requests reached {leaving.id} later than"
        f" drainMs after its departure was acknowledged, from machines in touch"
    )
    if late:
        text += f" (first {late[0]['at'] - acknowledged_at:.1f} s after, "
        text += f"last {late[-1]['at'] - acknowledged_at:.1f} s after;"
        text += f" {after_six} of them later than twice contactMs after the start)"
    fleet.note(text)
    print(text)
    if served < len(kept) / 2:
        raise CannotRun("less than half was served")
    return 1 if late else 0


def main() -> int:
    fleet = Fleet()
    try:
        return asyncio.run(asyncio.wait_for(run(fleet), 110.0))
    except (CannotRun, TimeoutError, OSError) as error:
        fleet.note(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        return 2
    finally:
        fleet.close(Path(__file__).with_name("record.txt"))


if __name__ == "__main__":
    sys.exit(main())
