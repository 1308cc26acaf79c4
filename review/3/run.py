"""A control node loses power right after it acknowledged that a replica deregistered."""

from __future__ import annotations

import json
import os
import secrets
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from fleet import BOUNDS, CannotRunError, Fleet, document, route, run_case, wait_until  # noqa: E402

REPLICAS = 14
PER_SECOND = 240.0
STAY_SECONDS = 8.0
DARK_SECONDS = 3.5
DRAIN = BOUNDS["drainMs"] / 1000
CONTACT = BOUNDS["contactMs"] / 1000
DEADLINE_MS = 1500


class Load:
    """Clients that send requests at a steady rate, on a connection each."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.running = True
        self.lock = threading.Lock()
        self.answers: dict[int, int] = {}
        self.threads = [
            threading.Thread(target=self.run, args=(number,), daemon=True) for number in range(36)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, number: int) -> None:
        due = time.monotonic() + number / PER_SECOND
        while self.running:
            time.sleep(max(0.0, due - time.monotonic()))
            due += len(self.threads) / PER_SECOND
            front = self.fleet.front(number % self.fleet.gateways)
            attempt = secrets.token_hex(8)
            headers = self.fleet.headers(attempt, DEADLINE_MS)
            path = f"/shown/{attempt}"
            status, _, _ = self.fleet.call(front, "GET", path, headers=headers, seconds=2.0)
            with self.lock:
                self.answers[status] = self.answers.get(status, 0) + 1

    def stop(self) -> None:
        self.running = False
        for thread in self.threads:
            thread.join(4)


def case(fleet: Fleet, trouble: bool) -> bool:
    names = [
        fleet.start_replica(
            f"preview-{number}", number, "previews", kind="", slots=6, work_ms=60, spread=1
        )
        for number in range(REPLICAS)
    ]
    fleet.publish(
        document(7, [route("shown", "safe", "previews", timeoutMs=4000, targetLatencyMs=300)])
    )

    def serves(number: int) -> bool:
        headers = fleet.headers(secrets.token_hex(8), DEADLINE_MS)
        return fleet.call(fleet.front(number), "GET", "/shown/0", headers=headers)[0] == 200

    for number in range(fleet.gateways):
        wait_until(lambda: serves(number), 30, "requests served")  # noqa: B023
    load = Load(fleet)
    time.sleep(4.5)
    ids = {line["name"]: line["replica"] for line in fleet.ledgers() if line["event"] == "started"}
    # Two replicas are told to leave at the same time, just after a heartbeat of
    # the second one, which another control node acknowledged.
    first, second = names[0], names[1]
    until = time.monotonic() + 20

    def beat_at(name: str) -> float:
        return max(
            (
                line["at"]
                for line in fleet.ledgers()
                if line["event"] == "beat"
                and line["name"] == name
                and line["acknowledged_by"] != fleet.controls[0]
            ),
            default=0.0,
        )

    while time.monotonic() - beat_at(second) > 0.15:
        if time.monotonic() > until:
            raise CannotRunError("no heartbeat seen")
        time.sleep(0.02)
    for name in (first, second):
        os.kill(fleet.processes[name].pid, signal.SIGUSR1)
    time.sleep(0.02)
    host, _, port = fleet.controls[0].rpartition(":")
    control = (host, int(port))
    statuses = [
        fleet.call(control, "DELETE", f"/api/replicas/{ids[name]}")[0] for name in (first, second)
    ]
    acknowledged_at = time.monotonic()
    if trouble:
        fleet.processes["registry-0"].kill()
    killed_at = time.monotonic()
    fleet.note(f"registry-0 answers {statuses} to DELETE of {first}, {second}")
    if trouble:
        late = (killed_at - acknowledged_at) * 1000
        fleet.note(
            f"SIGKILL to registry-0, {late:.1f} ms after its second answer; dark for {DARK_SECONDS} s"
        )
    if statuses != [200, 200]:
        raise CannotRunError(f"DELETE answered with {statuses}")
    beat_age = acknowledged_at - beat_at(second)
    # The core had its last event when the node was killed; all others are in touch CONTACT later.
    in_touch_from = acknowledged_at + CONTACT + 0.05 if trouble else acknowledged_at
    in_touch_until = acknowledged_at + (DARK_SECONDS if trouble else STAY_SECONDS)
    time.sleep(DARK_SECONDS)
    if trouble:
        fleet.processes["registry-0"].wait()
        fleet.start_box("registry", 0, bootstrap=False)
    time.sleep(STAY_SECONDS - DARK_SECONDS)
    load.stop()
    fleet.note(f"answers by status: {load.answers}")
    late_runs = []
    for line in fleet.ledgers():
        if line["name"] not in (first, second):
            continue
        if line["event"] != "beat":
            line["since_ack"] = round(line["at"] - acknowledged_at, 3)
            if line["since_ack"] > -0.5:
                fleet.note(f"replica: {json.dumps(line)}")
        late_from = max(acknowledged_at + DRAIN, in_touch_from)
        if line["event"] == "run" and late_from < line["at"] < in_touch_until:
            late_runs.append(line)
    counts = {name: sum(line["name"] == name for line in late_runs) for name in (first, second)}
    text = f"{counts}; heartbeat {beat_age:.2f} s before"
    fleet.note(f"runs later than drainMs after the acknowledgement, machines in touch: {text}")
    print(f"late runs: {text}")
    return bool(late_runs)


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).with_name("record.txt")))
