"""Three model replicas crash at the same moment, each with a stream of the same content on it."""

from __future__ import annotations

import secrets
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

from fleet import CannotRunError, Fleet, document, route, run_case, wait_until  # noqa: E402

ENGINES = 20
CRASHED = 3
"""Share 0.15 of the service's replicas, as `srv_crash` has by default."""

DOWN_SECONDS = 4.5
EVENTS = 100
CALM_SECONDS = 9.0
AFTER_SECONDS = 64.0
DEADLINE_SECONDS = 20.0
HOT_PER_SECOND = 1.5
OTHER_PER_SECOND = 6.0


class Client:
    """Sends one request, and again once if it may; as PROTOCOL.md says of clients."""

    def __init__(self, fleet: Fleet, kind: str, number: int, body: bytes) -> None:
        self.fleet, self.kind, self.number, self.body = fleet, kind, number, body
        self.sent_at = time.monotonic()
        self.served = False
        self.ends: list[str] = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        for attempt in range(2):
            left = DEADLINE_SECONDS - (time.monotonic() - self.sent_at)
            wait = self.send(self.number + attempt, left)
            if self.served or wait is None or attempt:
                break
            left = DEADLINE_SECONDS - (time.monotonic() - self.sent_at)
            if wait > left / 3:
                break
            time.sleep(wait)
        outcome = "served" if self.served else "not served"
        self.fleet.note(f"{self.kind} {self.number}: {outcome}; {'; '.join(self.ends)}")

    def send(self, number: int, seconds: float) -> float | None:
        """Send one attempt; return after how long to try again, None for not at all."""
        attempt = secrets.token_hex(8)
        front = self.fleet.front(number % self.fleet.gateways)
        headers = self.fleet.headers(attempt, int(seconds * 1000), f"100,{EVENTS}")
        events: list[str] = []
        status, fields, content, whole = self.fleet.stream(
            front, f"/{self.kind}/1", self.body, headers, max(0.1, seconds), events.append
        )
        if status not in (0, 200):
            reason = content.decode("latin-1").partition('"type":"')[2].partition('"')[0]
            retry_after = fields.get("retry-after")
            self.ends.append(
                f"{attempt} at {front[0]} gets {status} {reason}, Retry-After {retry_after}"
            )
            return float(retry_after or 0.1)
        how = "whole" if whole else "broken off"
        self.ends.append(f"{attempt} at {front[0]} gets {status}, {how}, {len(events)} events")
        self.served = whole and len(events) == EVENTS
        return 0.1


def running_headlines(fleet: Fleet) -> Counter[str]:
    """Return how many headlines run on each replica as the first of their path."""
    running: Counter[str] = Counter()
    for line in fleet.ledgers():
        if line["event"] in ("run", "run ends") and line["target"].startswith("/headlines/"):
            running[line["name"]] += 1 if line["event"] == "run" else -1
    return running


def case(fleet: Fleet, trouble: bool) -> bool:
    for number in range(ENGINES):
        fleet.start_replica(f"engine-{number}", number, "writers", kind="a100")
    more = {"gap_aim_ms": 200, "resumable": True}
    routes = [
        route("headlines", "streaming", "writers", **more),
        route("letters", "streaming", "writers", **more),
    ]
    fleet.publish(document(7, routes))

    def serves(number: int) -> bool:
        headers = fleet.headers(secrets.token_hex(8), 5000, "100,3")
        body = secrets.token_bytes(16)
        return fleet.call(fleet.front(number), "POST", "/letters/0", body, headers)[0] == 200

    for number in range(fleet.gateways):
        wait_until(lambda: serves(number), 40, "streams served")  # noqa: B023
    time.sleep(3.2)

    clients: list[Client] = []
    begun_at = time.monotonic()
    due = {"headlines": 0.0, "letters": 0.0}
    per_second = {"headlines": HOT_PER_SECOND, "letters": OTHER_PER_SECOND}

    def send_until(seconds: float) -> None:
        """Send both kinds at their rates: headlines of one content, letters of their own each."""
        while (now := time.monotonic() - begun_at) < seconds:
            for kind in due:
                if now >= due[kind]:
                    due[kind] += 1 / per_second[kind]
                    body = b"a headline, please" if kind == "headlines" else secrets.token_bytes(16)
                    clients.append(Client(fleet, kind, len(clients), body))
            time.sleep(0.005)

    send_until(CALM_SECONDS)
    # A rack of three replicas, each with one running headline.
    heads: list[str] = []
    while len(heads) < CRASHED:
        if time.monotonic() - begun_at > CALM_SECONDS + 5:
            raise CannotRunError("headlines do not run on three replicas")
        send_until(time.monotonic() - begun_at + 0.02)
        running = running_headlines(fleet)
        heads = [name for name, count in running.items() if count == 1][:CRASHED]
    fleet.note(f"running headlines by first replica: {dict(running)}")
    if trouble:
        for name in heads:
            fleet.processes[name].kill()
        fleet.note(f"SIGKILL to {heads}")
    send_until(CALM_SECONDS + DOWN_SECONDS)
    if trouble:
        for name in heads:
            fleet.processes[name].wait()
            number = int(name.partition("-")[2])
            fleet.start_replica(name, number, "writers", kind="a100")
    send_until(CALM_SECONDS + AFTER_SECONDS)
    for client in clients:
        client.thread.join(DEADLINE_SECONDS + 2)
    for line in fleet.ledgers():
        if line["event"] in ("run", "run ends"):
            fleet.note(f"replica: {line}")
    shares = {}
    for kind in due:
        own = [client for client in clients if client.kind == kind]
        shares[kind] = sum(client.served for client in own) / len(own)
        fleet.note(f"{kind}: {sum(client.served for client in own)} of {len(own)} served")
    everything = sum(client.served for client in clients) / len(clients)
    fleet.note(f"all: {everything:.3f} served; a quarter of it is {everything / 4:.3f}")
    print(f"served: {shares}, all {everything:.3f}")
    return min(shares.values()) < everything / 4


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).with_name("record.txt")))
