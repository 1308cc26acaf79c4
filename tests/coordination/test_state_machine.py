"""Concurrent changes, resends and deltas."""

from __future__ import annotations

import random

from ledgeladder.coordination.commands import ChangeCommand, ChangeResult
from ledgeladder.coordination.state_machine import (
    ClusterState,
    apply_command,
    apply_delta,
    decode_state,
    deltas_after,
    encode_state,
)
from ledgeladder.model import ChangeDocument, Configuration, ObjectSet, Priority, ResultCode, digest


def change(change_id: str, base: int, rank: int = 1) -> ChangeCommand:
    put = ObjectSet(priorities=(Priority(name=f"p{rank}", rank=rank),))
    document = ChangeDocument(change_id=change_id, base_version=base, put=put)
    return ChangeCommand(change=document, operator="op", time_ms=1)


def decide(state: ClusterState, command: ChangeCommand) -> ChangeResult:
    result = apply_command(state, command)
    assert isinstance(result, ChangeResult)
    return result


def test_first_change_wins_and_resends_get_the_first_answer() -> None:
    state = ClusterState()
    won = decide(state, change("change-one", 0, 1))
    lost = decide(state, change("change-two", 0, 2))
    assert (won.code, won.version) == (ResultCode.OK, 1)
    assert (lost.code, lost.version) == (ResultCode.VERSION_CONFLICT, 1)
    decide(state, change("change-three", 1, 3))
    again = decide(state, change("change-one", 0, 1))
    assert (again.code, again.version, again.repeated) == (ResultCode.OK, 1, True)
    assert decide(state, change("change-two", 0, 2)).code is ResultCode.VERSION_CONFLICT
    assert decide(state, change("change-one", 0, 9)).code is ResultCode.CHANGE_ID_REUSED
    assert decide(state, change("change-four", 7)).code is ResultCode.VERSION_FUTURE
    assert state.configuration.version == 2


def test_random_concurrent_changes_never_skip_or_revert_a_version() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        state = ClusterState()
        known: list[ChangeCommand] = []
        for number in range(60):
            before = state.configuration.version
            if known and rng.random() < 0.4:
                command = rng.choice(known)
            else:
                base = max(0, before - rng.choice([0, 0, 1, 5, -3]))
                command = change(f"change-{number:04}", base, rng.randrange(50))
                known.append(command)
            result = decide(state, command)
            fresh = result.code is ResultCode.OK and not result.repeated
            assert state.configuration.version == before + (1 if fresh else 0), seed
        assert decode_state(encode_state(state)) == state


def test_deltas_lead_to_the_same_configuration() -> None:
    state = ClusterState()
    configuration = Configuration()
    for number in range(300):
        decide(state, change(f"change-{number:04}", number, number % 100))
        if number % 7 == 0:
            for delta in deltas_after(state, configuration.version) or []:
                configuration = apply_delta(configuration, delta) or configuration
    for delta in deltas_after(state, configuration.version) or []:
        configuration = apply_delta(configuration, delta) or configuration
    assert digest(configuration) == digest(state.configuration)
    assert deltas_after(state, 0) is None
    assert deltas_after(state, 301) is None
    assert apply_delta(configuration, state.deltas[0]) is None
