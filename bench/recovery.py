"""Gap that a caller sees when a stage dies or freezes, and time without a leader.

`python -m bench.recovery [ROUNDS]`
"""

from __future__ import annotations

import signal
import statistics
import sys
import threading
import time
from functools import partial

from standins.fleet import Fleet, running_fleet, wait_until

TOKENS = 150
FIXED_SECONDS = 2.0


class TimedStream:
    """Reads one stream and keeps when its tokens came."""

    def __init__(self, fleet: Fleet, entry: str, prompt: str) -> None:
        self.times: list[float] = []
        self.whole = False
        self.thread = threading.Thread(target=self.read, args=(fleet, entry, prompt), daemon=True)
        self.thread.start()

    def read(self, fleet: Fleet, entry: str, prompt: str) -> None:
        body = {"model": "captions", "prompt": prompt, "max_tokens": TOKENS, "stream": True}
        headers = {"authorization": "Bearer key-of-nilayam"}
        url = f"{fleet.url(entry)}/v1/completions"
        with fleet.client.stream("POST", url, json=body, headers=headers) as response:
            for line in response.iter_lines():
                if line == "data: [DONE]":
                    self.whole = True
                elif line.startswith("data: "):
                    self.times.append(time.monotonic())

    def longest_gap(self) -> float:
        return max(b - a for a, b in zip(self.times, self.times[1:], strict=False))


def held(fleet: Fleet, name: str) -> int:
    """Return how many requests an engine holds."""
    return int(fleet.client.get(f"{fleet.url(name)}/standin/stats").json()["held"])


def one_round(fleet: Fleet, number: int, how: signal.Signals) -> tuple[float, bool]:
    """Lose one stage of a stream; returns the longest gap and whether the answer was whole."""
    stream = TimedStream(fleet, fleet.entry_names[number % 3], f"recovery {how} {number}")
    wait_until(lambda: len(stream.times) >= 30, 20, "tokens")
    busy = [spec.name for spec in fleet.engines if held(fleet, spec.name)]
    victim = busy[number % len(busy)]
    fleet.signal(victim, how)
    stream.thread.join(60)
    if how is signal.SIGKILL:
        fleet.kill(victim)
        fleet.launch(victim)
    else:
        fleet.signal(victim, signal.SIGCONT)
    fleet.wait_upstreams()
    time.sleep(0.5)
    return stream.longest_gap(), stream.whole


def row(title: str, gaps: list[float], whole: int) -> str:
    """Return a table row."""
    ordered = sorted(gaps)
    high = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    middle = statistics.median(ordered)
    return (
        f"| {title} | {len(gaps)} | {whole} | {middle * 1000:.0f} | {high * 1000:.0f} "
        f"| {ordered[-1] * 1000:.0f} |"
    )


def false_alarms(fleet: Fleet) -> tuple[int, int]:
    """Return false and confirmed alarms of all entries."""
    false = confirmed = 0
    for name in fleet.entry_names:
        events = fleet.client.get(f"{fleet.url(name)}/metrics").json()["events"]
        false += events.get("stall-false-alarm", 0)
        confirmed += events.get("stall-confirmed", 0)
    return false, confirmed


def another_leads(fleet: Fleet, gone: str) -> bool:
    """Tell whether a box other than the one that is gone leads."""
    return fleet.leader() not in (None, gone)


def leader_gaps(fleet: Fleet, rounds: int) -> list[float]:
    """Kill the leader again and again; returns the times until another one led."""
    gaps = []
    for _ in range(rounds):
        leader = fleet.wait_leader()
        fleet.kill(leader)
        began = time.monotonic()
        wait_until(partial(another_leads, fleet, leader), 30, "another leader")
        gaps.append(time.monotonic() - began)
        fleet.launch(leader)
        time.sleep(2.0)
    return gaps


def main() -> None:
    """Run the benchmark."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    print("| what is lost | rounds | whole | median ms | 99 in 100 ms | worst ms |")
    print("| --- | --- | --- | --- | --- | --- |")
    for title, fixed in (("own pace", 0.0), (f"fixed {FIXED_SECONDS:g} s", FIXED_SECONDS)):
        with running_fleet(entries_per_domain=(1, 1, 1), stall_seconds=fixed) as fleet:
            fleet.wait_leader()
            fleet.configure()
            fleet.wait_ready()
            fleet.wait_upstreams()
            for how in (signal.SIGKILL, signal.SIGSTOP):
                results = [one_round(fleet, number, how) for number in range(rounds)]
                gaps = [gap for gap, _ in results]
                whole = sum(good for _, good in results)
                print(row(f"stage, {how.name}, {title}", gaps, whole), flush=True)
            false, confirmed = false_alarms(fleet)
            print(f"alarms with {title}: {false} false, {confirmed} confirmed", flush=True)
            if not fixed:
                gaps = leader_gaps(fleet, max(3, rounds // 2))
                print(row("leader of the control boxes, SIGKILL", gaps, len(gaps)), flush=True)


if __name__ == "__main__":
    main()
