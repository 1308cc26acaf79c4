"""Quarantined request content as part of the replicated state."""

from __future__ import annotations

from ledgeladder.coordination.commands import Acknowledgement, QuarantineCommand
from ledgeladder.coordination.quarantine import (
    MAX_FINGERPRINTS,
    QUARANTINE_MS,
    Quarantine,
    add_fingerprint,
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

FINGERPRINT = b"content"
START_MS = 1_800_000_000_000


def test_fingerprint_survives_a_snapshot_and_expires() -> None:
    state = ClusterState()
    command = QuarantineCommand(fingerprint=FINGERPRINT, time_ms=START_MS)
    decoded = COMMAND_DECODER.decode(encode_command(command))
    assert apply_command(state, decoded) == Acknowledgement(accepted=True)
    assert apply_command(state, decoded) == Acknowledgement(accepted=False)
    restored = decode_state(encode_state(state)).quarantine
    assert restored.changes == 1
    assert seconds_left(restored, START_MS + 1000) == {FINGERPRINT: QUARANTINE_MS / 1000 - 1}
    assert seconds_left(restored, START_MS + QUARANTINE_MS) == {}


def test_snapshot_without_a_quarantine_is_decoded() -> None:
    import msgspec

    old = msgspec.msgpack.decode(encode_state(ClusterState()))
    del old["quarantine"]
    assert decode_state(msgspec.msgpack.encode(old)).quarantine.until_ms == {}


def test_newest_fingerprints_are_kept() -> None:

    quarantine = Quarantine()
    for number in range(MAX_FINGERPRINTS + 10):
        assert add_fingerprint(quarantine, number.to_bytes(8, "big"), START_MS)
    assert len(quarantine.until_ms) == MAX_FINGERPRINTS
    assert (9).to_bytes(8, "big") not in quarantine.until_ms
