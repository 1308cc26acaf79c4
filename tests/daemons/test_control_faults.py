"""Faults of control boxes: lost disks, paused leaders, concurrent operators, full restarts."""

from __future__ import annotations

import shutil
import signal
import threading
import time
from collections.abc import Iterator
from typing import Any

import httpx
import pytest

from standins.fleet import Fleet, running_fleet, wait_until

from .callers import answer_is_right, complete
from .conftest import configure_and_wait


@pytest.fixture
def fresh() -> Iterator[Fleet]:
    with running_fleet(entries_per_domain=(1, 1, 1), services=1) as running:
        yield configure_and_wait(running)


def priority_change(change_id: str, base: int, rank: int, name: str = "raced") -> dict[str, Any]:
    return {
        "change_id": change_id,
        "base_version": base,
        "put": {"priorities": [{"name": name, "rank": rank}]},
    }


def submit(fleet: Fleet, change: dict[str, Any], seconds: float = 20.0) -> dict[str, Any]:
    """Send a change until a leader decides it, as an operator whose responses are lost."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for name in fleet.control_names:
            try:
                answer: dict[str, Any] = fleet.operator(name, "/v1/changes", change).json()
            except (httpx.HTTPError, ValueError):
                continue
            kind = answer.get("error", {}).get("type", "")
            if kind not in ("not_leader", "no_quorum", "change_unknown"):
                return answer
        time.sleep(0.05)
    raise TimeoutError("no control box decided the change")


def version(fleet: Fleet) -> int:
    status = fleet.status(fleet.wait_leader())
    assert status is not None
    return int(status["version"])


def entry_versions(fleet: Fleet) -> set[int]:
    return {
        fleet.client.get(f"{fleet.url(name)}/metrics", timeout=5).json()["version"]
        for name in fleet.entry_names
    }


def test_lost_disk_then_another_voter_killed(fresh: Fleet) -> None:
    accepted = submit(fresh, priority_change("before-loss", version(fresh), 7))
    lost = next(name for name in fresh.control_names if name != fresh.wait_leader())
    fresh.kill(lost)
    shutil.rmtree(fresh.folder / lost)
    after = submit(fresh, priority_change("while-down", accepted["version"], 8))
    fresh.launch(lost)

    def is_voter_again() -> bool:
        status = fresh.status(fresh.wait_leader())
        return status is not None and any(
            voter.startswith(f"{lost}/") and not voter.endswith("/initial")
            for voter in status["voters"]
        )

    wait_until(is_voter_again, 20, "the repaired box to vote under its new id")
    other = next(name for name in fresh.control_names if name not in (lost, fresh.leader()))
    fresh.kill(other)
    assert version(fresh) == after["version"]
    last = submit(fresh, priority_change("after-second-loss", after["version"], 9))
    assert last["version"] == after["version"] + 1
    wait_until(lambda: entry_versions(fresh) == {last["version"]}, 20, "entries to follow")


def test_disk_lost_and_another_voter_killed_at_once(fresh: Fleet) -> None:
    """The repaired box must not complete a majority before it has the accepted changes."""
    lost = next(name for name in fresh.control_names if name != fresh.wait_leader())
    fresh.kill(lost)
    accepted = submit(fresh, priority_change("only-on-two", version(fresh), 7))
    shutil.rmtree(fresh.folder / lost)
    leader = fresh.wait_leader()
    other = next(name for name in fresh.control_names if name not in (lost, leader))
    fresh.kill(leader)
    fresh.launch(lost)
    time.sleep(3)
    # The empty box and the remaining one are no majority: nothing may be decided.
    assert fresh.leader() is None
    fresh.launch(leader)
    assert version(fresh) == accepted["version"]
    assert other in fresh.control_names


def test_frozen_leader_thaws(fresh: Fleet) -> None:
    leader = fresh.wait_leader()
    base = version(fresh)
    fresh.signal(leader, signal.SIGSTOP)
    try:
        others = [name for name in fresh.control_names if name != leader]
        wait_until(
            lambda: any((fresh.status(name) or {}).get("role") == "leader" for name in others),
            20,
            "another leader",
        )
        elected = next(
            name for name in others if (fresh.status(name) or {}).get("role") == "leader"
        )
        answer = fresh.operator(
            elected, "/v1/changes", priority_change("while-frozen", base, 3)
        ).json()
        assert answer["version"] == base + 1
    finally:
        fresh.signal(leader, signal.SIGCONT)
    # Sent to the resumed box immediately: it must not accept a change on the old version.
    late = fresh.operator(leader, "/v1/changes", priority_change("after-thaw", base, 4)).json()
    assert late["error"]["type"] in (
        "not_leader",
        "no_quorum",
        "version_conflict",
        "change_unknown",
    )
    assert version(fresh) == base + 1
    wait_until(lambda: entry_versions(fresh) == {base + 1}, 20, "entries to follow")


def test_operators_race_while_leader_is_killed(fresh: Fleet) -> None:
    base = version(fresh)
    answers: dict[str, list[dict[str, Any]]] = {}

    def operate(number: int) -> None:
        change = priority_change(f"racing-{number}", base, number, name=f"raced-{number}")
        answers[f"racing-{number}"] = [submit(fresh, change, 40), submit(fresh, change, 40)]

    threads = [threading.Thread(target=operate, args=(number,)) for number in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.02)
    leader = fresh.leader()
    if leader is not None:
        fresh.kill(leader)
    for thread in threads:
        thread.join(60)
    accepted = [
        name for name, pair in answers.items() if "version" in pair[0] and "error" not in pair[0]
    ]
    assert len(accepted) == 1
    for first, second in answers.values():
        # The second submission gets the same response.
        assert first.get("version") == second.get("version")
        assert first.get("error", {}).get("type") == second.get("error", {}).get("type")
    assert version(fresh) == base + 1
    if leader is not None:
        fresh.launch(leader)


def test_500_changes_then_everything_is_killed(fresh: Fleet) -> None:
    base = version(fresh)
    for number in range(500):
        answer = submit(fresh, priority_change(f"change-{number:04}", base + number, number % 100))
        assert answer["version"] == base + number + 1
    for name in fresh.processes:
        fresh.kill(name)
    for name in fresh.processes:
        fresh.launch(name)
    fresh.wait_ready()
    assert version(fresh) == base + 500
    assert entry_versions(fresh) == {base + 500}
    audit = fresh.operator(fresh.wait_leader(), "/v1/audit").json()["entries"]
    assert [entry["version"] for entry in audit][-500:] == list(range(base + 1, base + 501))
    fresh.wait_upstreams()
    assert answer_is_right(complete(fresh, "entry-b1", "after", 4), "after", 4)


def test_same_id_other_content_and_future_version(fresh: Fleet) -> None:
    base = version(fresh)
    first = submit(fresh, priority_change("one-change", base, 1))
    assert submit(fresh, priority_change("one-change", base, 1))["version"] == first["version"]
    reused = submit(fresh, priority_change("one-change", base, 2))
    assert reused["error"]["type"] == "change_id_reused"
    future = submit(fresh, priority_change("too-early", base + 50, 2))
    assert future["error"]["type"] == "version_future"
    old = submit(fresh, priority_change("too-late", base, 2))
    assert old["error"]["type"] == "version_conflict"
    assert version(fresh) == base + 1
    kinds = [
        entry["name"]
        for entry in fresh.operator(fresh.wait_leader(), "/v1/audit").json()["entries"]
    ]
    assert kinds[-4:] == ["OK", "CHANGE_ID_REUSED", "VERSION_FUTURE", "VERSION_CONFLICT"]
