"""Contents that are sent nowhere, as a part of the replicated state."""

from __future__ import annotations

from ledgeladder.coordination.commands import Noted, QuarantineCommand
from ledgeladder.coordination.quarantine import (
    CONTENTS_REMEMBERED,
    QUARANTINE_MS,
    Quarantine,
    add_content,
    seconds_left,
)
from ledgeladder.coordination.state_machine import (
    COMMAND_DECODER,
    ClusterState,
    apply_command,
    decode_state,
    encode_command,
    encode_state,
)

CONTENT = b"content"
START_MS = 1_800_000_000_000


def test_content_survives_a_snapshot_and_expires() -> None:
    state = ClusterState()
    command = QuarantineCommand(content=CONTENT, time_ms=START_MS)
    decoded = COMMAND_DECODER.decode(encode_command(command))
    assert apply_command(state, decoded) == Noted(accepted=True)
    assert apply_command(state, decoded) == Noted(accepted=False)
    restored = decode_state(encode_state(state)).quarantine
    assert restored.changes == 1
    assert seconds_left(restored, START_MS + 1000) == {CONTENT: QUARANTINE_MS / 1000 - 1}
    assert seconds_left(restored, START_MS + QUARANTINE_MS) == {}


def test_snapshot_from_before_there_was_a_quarantine_can_be_read() -> None:
    import msgspec

    old = msgspec.msgpack.decode(encode_state(ClusterState()))
    del old["quarantine"]
    assert decode_state(msgspec.msgpack.encode(old)).quarantine.until_ms == {}


def test_the_newest_contents_are_kept() -> None:
    quarantine = Quarantine()
    for number in range(CONTENTS_REMEMBERED + 10):
        assert add_content(quarantine, number.to_bytes(8, "big"), START_MS)
    assert len(quarantine.until_ms) == CONTENTS_REMEMBERED
    assert (9).to_bytes(8, "big") not in quarantine.until_ms
