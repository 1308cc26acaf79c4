"""A model replica crashes under streams that may not be resumed."""

from __future__ import annotations

import secrets
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from fleet import Fleet, document, route, run_case, wait_until  # noqa: E402

STREAMS = 24
EVENTS = 120
ENGINES = 7


class Stream:
    """One client attempt."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.attempt = secrets.token_hex(8)
        self.front = fleet.front(number % fleet.gateways)
        self.status = 0
        self.events: list[str] = []
        self.end = "no answer"
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def take_event(self, event: str) -> None:
        self.events.append(event.partition("data: ")[2])

    def read(self) -> None:
        self.fleet.note(f"client sends {self.attempt} to {self.front[0]}")
        headers = self.fleet.headers(self.attempt, 20000, f"100,{EVENTS}")
        self.status, _, _, whole = self.fleet.stream(
            self.front, "/letters/1", b"write", headers, 21, self.take_event
        )
        self.end = "whole" if whole else "broken off"
        writers = Counter(event.split()[0] for event in self.events)
        self.fleet.note(
            f"client gets {self.attempt}: {self.status}, {len(self.events)} events, {self.end}, "
            f"written by {dict(writers)}"
        )


def case(fleet: Fleet, trouble: bool) -> bool:
    engines = [
        fleet.start_replica(f"engine-{number}", number, "writers", kind="a100")
        for number in range(ENGINES)
    ]
    # A streaming route without "resumable".
    fleet.publish(document(7, [route("letters", "streaming", "writers", gap_aim_ms=200)]))

    def serves(number: int) -> bool:
        headers = fleet.headers(secrets.token_hex(8), 5000, "100,3")
        return fleet.call(fleet.front(number), "POST", "/letters/0", b"", headers)[0] == 200

    for number in range(fleet.gateways):
        wait_until(lambda: serves(number), 40, "streams served")  # noqa: B023
    time.sleep(3.2)
    streams = []
    for number in range(STREAMS):
        streams.append(Stream(fleet, number))
        time.sleep(0.02)
    wait_until(lambda: all(len(item.events) >= 10 for item in streams), 10, "all streams running")
    own = {item.attempt for item in streams}
    heads = Counter(
        line["name"]
        for line in fleet.ledgers()
        if line["event"] == "run" and line["attempt"] in own
    )
    fleet.note(f"streams by first replica of their path: {dict(heads)}")
    crashed = heads.most_common(1)[0][0]
    if trouble:
        fleet.kill(crashed)
    for item in streams:
        item.thread.join(25)
    if trouble:
        number = engines.index(crashed)
        fleet.start_replica(crashed, number, "writers", kind="a100")
    time.sleep(0.5)
    runs: dict[str, list[str]] = {}
    for line in fleet.ledgers():
        if line["event"] in ("run", "run ends") and line["attempt"] in own:
            fleet.note(f"replica: {line}")
        if line["event"] == "run" and line["attempt"] in own:
            runs.setdefault(line["attempt"], []).append(line["name"])
    twice = {attempt: names for attempt, names in runs.items() if len(names) > 1}
    fleet.note(f"{len(runs)} of {STREAMS} requests ran; ran more than once: {len(twice)} {twice}")
    print(f"ran more than once: {len(twice)} of {len(runs)}")
    return bool(twice)


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).with_name("record.txt")))
