"""Starts a fleet, sends requests through it, and prints the answers and latencies.

`python -m standins.demo` runs once and exits non-zero if an answer is wrong; with `--stay` the
fleet runs until interrupted.
"""

from __future__ import annotations

import signal
import sys
import time

import anyio
import httpx

from .fleet import LAYERS, Fleet, describe, running_fleet
from .load import LoadResult, describe_result, run_burst
from .model_function import reference_answer


def show_answers(fleet: Fleet) -> bool:
    """Send one request through each entry and print its answer; returns True if all are right."""
    all_right = True
    for name in fleet.entry_names:
        prompt = f"a headline for {name}"
        body = {"model": "captions", "prompt": prompt, "max_tokens": 8}
        started = time.perf_counter()
        response = httpx.post(
            f"{fleet.url(name)}/v1/completions",
            json=body,
            headers={"authorization": "Bearer key-of-nilayam"},
            timeout=30,
            trust_env=False,
        )
        duration = time.perf_counter() - started
        text = response.json()["choices"][0]["text"] if response.status_code == 200 else ""
        right = text == reference_answer(prompt, LAYERS, 8)
        all_right = all_right and right
        served = response.headers.get("ledgeladder-served-by")
        print(f"{name}: {text!r} served by {served} in {duration * 1000:.0f} ms, right: {right}")
    return all_right


def main() -> int:
    """Run the demonstration; returns the exit code."""
    stay = "--stay" in sys.argv[1:]
    with running_fleet() as fleet:
        leader = fleet.wait_leader()
        print(f"leader of the control boxes: {leader}")
        applied = fleet.configure()
        print(applied.stdout or applied.stderr)
        if applied.returncode != 0:
            return 1
        fleet.wait_ready()
        if stay:
            print(describe(fleet))
            print("interrupt to stop", flush=True)
            signal.sigwait({signal.SIGINT, signal.SIGTERM})
            return 0
        all_right = show_answers(fleet)
        urls = [fleet.url(name) for name in fleet.entry_names]
        result: LoadResult = anyio.run(run_burst, urls, 40, 16)
        print("40 streams at once through 8 entries:")
        print(describe_result(result))
        return 0 if all_right and result.outcomes == {"whole": 40} else 1


if __name__ == "__main__":
    sys.exit(main())
