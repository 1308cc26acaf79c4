"""Crashes that a box records and reports by part of the prompts."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ledgeladder.coordination.content_watch import (
    ANSWERED_LATELY_SECONDS,
    MAX_ANSWERED_PARTS,
    compute_part_fingerprint,
    record_own_part_answered,
)
from ledgeladder.coordination.crash_book import CRASH_LIMIT
from ledgeladder.coordination.part_crashes import MOMENT_SECONDS, SETTLE_SECONDS
from ledgeladder.daemons.gateway import crashes as gateway_crashes
from ledgeladder.daemons.gateway.crashes import (
    ANSWERED_EVENTS,
    count_crashes,
    handle_suspect_update,
    record_crash,
    record_parts_answered,
    refuse_quarantined,
)
from ledgeladder.daemons.gateway.notes import RequestTrace
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.links.messages import ContentServed, CrashReport, SuspectUpdate
from ledgeladder.model import Execution, ProblemError, ResultCode

from .builders import engine, gateway_state

READER = "10.0.0.1"
OLD_CONTROL = "10.0.0.2"
"""Control box of an earlier version, which knows no parts."""


class Box:
    """An entry box with links to two control boxes, at a time that tests set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *, linked: bool = True) -> None:
        self.now = 100.0
        self.state: GatewayState = gateway_state()
        self.posted: dict[str, list[Any]] = {READER: [], OLD_CONTROL: []}
        links = {
            address: SimpleNamespace(post=messages.append)
            for address, messages in self.posted.items()
        }
        self.state.peers = SimpleNamespace(  # type: ignore[assignment]
            links=links if linked else {}, ranked=[READER, OLD_CONTROL], part_readers={READER}
        )
        monkeypatch.setattr(gateway_crashes.anyio, "current_time", lambda: self.now)

    def crash(self, number: int, *parts: str, events: int = 0) -> None:
        upstream = engine(f"i-{number}")
        upstream.exited_at = self.now
        record_crash(
            self.state,
            permit(*parts),
            request(number),
            RequestTrace(),
            [upstream],
            self.now - 0.1,
            events=events,
        )

    def reported_parts(self, address: str) -> set[bytes]:
        return {
            item.fingerprint
            for item in self.posted[address]
            if isinstance(item, CrashReport) and item.content
        }


def permit(*parts: str) -> Any:
    facts = SimpleNamespace(attempt_id="a", key="k", prompt_parts=parts)
    return SimpleNamespace(facts=facts, account="account", pool=SimpleNamespace(name="p"))


def request(number: int) -> Any:
    return SimpleNamespace(method=b"POST", target=b"/x", body=b"%d" % number)


def fingerprint(part: str) -> bytes:
    return compute_part_fingerprint("p", part)


def test_crash_before_an_answer_implicates_all_parts_of_the_prompt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    box = Box(monkeypatch)
    box.crash(1, "shared", "bad")
    assert box.reported_parts(READER) == {fingerprint("shared"), fingerprint("bad")}


def test_crash_in_the_middle_of_an_answer_implicates_no_part(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    box = Box(monkeypatch)
    box.crash(1, "shared", events=ANSWERED_EVENTS)
    assert box.reported_parts(READER) == set()
    assert len(box.posted[READER]) == 1


def test_control_box_of_an_earlier_version_is_told_whole_contents_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It would blame a part as soon as a whole content, and with it sound requests."""
    box = Box(monkeypatch)
    box.crash(1, "shared")
    record_parts_answered(box.state, permit("shared"))
    assert box.reported_parts(OLD_CONTROL) == set()
    assert [type(item) for item in box.posted[OLD_CONTROL]] == [CrashReport]


def test_report_tells_whether_the_part_was_answered_shortly_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    box = Box(monkeypatch)
    record_parts_answered(box.state, permit("shared"))
    box.crash(1, "shared", "bad")
    box.now += ANSWERED_LATELY_SECONDS
    box.crash(2, "shared")
    parts = [item for item in box.posted[READER] if item.content]
    assert [item.answered_lately for item in parts] == [True, False, False]


def test_answer_clears_the_parts_that_any_box_suspects(monkeypatch: pytest.MonkeyPatch) -> None:
    box = Box(monkeypatch)
    update = SuspectUpdate(fingerprint=fingerprint("shared"), crashes=CRASH_LIMIT - 1)
    handle_suspect_update(box.state, update)
    record_parts_answered(box.state, permit("shared", "own"))
    assert box.posted[READER] == [ContentServed(fingerprint=fingerprint("shared"))]
    record_parts_answered(box.state, permit("shared", "own"))
    assert len(box.posted[READER]) == 1


def test_blamed_part_is_refused_as_not_run_whatever_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    box = Box(monkeypatch)
    update = SuspectUpdate(fingerprint=fingerprint("bad"), crashes=CRASH_LIMIT)
    handle_suspect_update(box.state, update)
    for number in range(3):
        with pytest.raises(ProblemError) as caught:
            refuse_quarantined(
                box.state, permit("shared", "bad", str(number)), request(number), RequestTrace()
            )
        problem = caught.value.problem
        assert problem.code is ResultCode.QUARANTINED
        assert problem.known_execution is Execution.NOT_RUN
        assert problem.retry_after is not None
        assert "bad" in problem.detail
    # Attempts that are under way go to no further upstream.
    crashes = count_crashes(box.state, permit("bad"), request(9), RequestTrace())
    assert crashes == CRASH_LIMIT
    refuse_quarantined(box.state, permit("shared"), request(9), RequestTrace())


@pytest.mark.parametrize("linked", [True, False])
def test_box_without_control_boxes_blames_parts_by_its_own_crashes(
    monkeypatch: pytest.MonkeyPatch, linked: bool
) -> None:
    """A linked box leaves it to control boxes, which know of answers at other boxes."""
    box = Box(monkeypatch, linked=linked)
    for number in range(CRASH_LIMIT):
        box.crash(number, "bad", f"own-{number}")
        box.now += 2 * MOMENT_SECONDS
    box.now += SETTLE_SECONDS
    if linked:
        refuse_quarantined(box.state, permit("bad"), request(9), RequestTrace())
        return
    with pytest.raises(ProblemError):
        refuse_quarantined(box.state, permit("bad"), request(9), RequestTrace())


def test_answered_parts_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    box = Box(monkeypatch)
    for number in range(2 * MAX_ANSWERED_PARTS):
        record_own_part_answered(box.state.quarantine, b"%d" % number, 1.0)
    assert len(box.state.quarantine.parts_answered_at) == MAX_ANSWERED_PARTS
