"""Measures stream gaps after the loss of a stage, and the time without a leader.

Run as `python -m bench.recovery [ROUNDS]`.
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
FIXED_STALL_SECONDS = 2.0


class TimedStream:
    """Reads one stream and records the arrival times of its events."""

    def __init__(self, fleet: Fleet, entry: str, prompt: str) -> None:
        self.times: list[float] = []
        self.complete = False
        self.thread = threading.Thread(target=self.read, args=(fleet, entry, prompt), daemon=True)
        self.thread.start()

    def read(self, fleet: Fleet, entry: str, prompt: str) -> None:
        body = {"model": "captions", "prompt": prompt, "max_tokens": TOKENS, "stream": True}
        headers = {"authorization": "Bearer key-of-nilayam"}
        url = f"{fleet.url(entry)}/v1/completions"
        with fleet.client.stream("POST", url, json=body, headers=headers) as response:
            for line in response.iter_lines():
                if line == "data: [DONE]":
                    self.complete = True
                elif line.startswith("data: "):
                    self.times.append(time.monotonic())

    def longest_gap(self) -> float:
        return max(b - a for a, b in zip(self.times, self.times[1:], strict=False))


def session_count(fleet: Fleet, name: str) -> int:
    """Return how many requests have state in an engine."""
    return int(fleet.client.get(f"{fleet.url(name)}/standin/stats").json()["held"])


def run_round(fleet: Fleet, number: int, signal_number: signal.Signals) -> tuple[float, bool]:
    """Kill or stop a stage of a stream; returns its longest gap and whether it completed."""
    stream = TimedStream(fleet, fleet.entry_names[number % 3], f"recovery {signal_number} {number}")
    wait_until(lambda: len(stream.times) >= 30, 20, "tokens")
    busy = [spec.name for spec in fleet.engines if session_count(fleet, spec.name)]
    victim = busy[number % len(busy)]
    fleet.signal(victim, signal_number)
    stream.thread.join(60)
    if signal_number is signal.SIGKILL:
        fleet.kill(victim)
        fleet.launch(victim)
    else:
        fleet.signal(victim, signal.SIGCONT)
    fleet.wait_upstreams()
    time.sleep(0.5)
    return stream.longest_gap(), stream.complete


def row(title: str, gaps: list[float], completed: int) -> str:
    """Return a table row."""
    ordered = sorted(gaps)
    percentile_99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    median = statistics.median(ordered)
    return (
        f"| {title} | {len(gaps)} | {completed} | {median * 1000:.0f} | {percentile_99 * 1000:.0f} "
        f"| {ordered[-1] * 1000:.0f} |"
    )


def false_alarms(fleet: Fleet) -> tuple[int, int]:
    """Return the numbers of false and confirmed stall alarms of all entries."""
    false = confirmed = 0
    for name in fleet.entry_names:
        events = fleet.client.get(f"{fleet.url(name)}/metrics").json()["events"]
        false += events.get("stall-false-alarm", 0)
        confirmed += events.get("stall-confirmed", 0)
    return false, confirmed


def is_replaced(fleet: Fleet, previous: str) -> bool:
    """Return True if a box other than the previous leader leads."""
    return fleet.leader() not in (None, previous)


def leader_gaps(fleet: Fleet, rounds: int) -> list[float]:
    """Kill the leader in each round; returns the times until another box leads."""
    gaps = []
    for _ in range(rounds):
        leader = fleet.wait_leader()
        fleet.kill(leader)
        started = time.monotonic()
        wait_until(partial(is_replaced, fleet, leader), 30, "another leader")
        gaps.append(time.monotonic() - started)
        fleet.launch(leader)
        time.sleep(2.0)
    return gaps


def main() -> None:
    """Run the benchmark."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    print("| what is lost | rounds | whole | median ms | 99 in 100 ms | worst ms |")
    print("| --- | --- | --- | --- | --- | --- |")
    for title, fixed in (
        ("own pace", 0.0),
        (f"fixed {FIXED_STALL_SECONDS:g} s", FIXED_STALL_SECONDS),
    ):
        with running_fleet(entries_per_domain=(1, 1, 1), stall_seconds=fixed) as fleet:
            fleet.wait_leader()
            fleet.configure()
            fleet.wait_ready()
            fleet.wait_upstreams()
            for signal_number in (signal.SIGKILL, signal.SIGSTOP):
                results = [run_round(fleet, number, signal_number) for number in range(rounds)]
                gaps = [gap for gap, _ in results]
                completed = sum(completed for _, completed in results)
                print(row(f"stage, {signal_number.name}, {title}", gaps, completed), flush=True)
            false, confirmed = false_alarms(fleet)
            print(f"alarms with {title}: {false} false, {confirmed} confirmed", flush=True)
            if not fixed:
                gaps = leader_gaps(fleet, max(3, rounds // 2))
                print(row("leader of the control boxes, SIGKILL", gaps, len(gaps)), flush=True)


if __name__ == "__main__":
    main()
