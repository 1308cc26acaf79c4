"""Registrations under a pool that the published document does not contain."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ledgeladder.coordination.registrations import RegistrationTable, apply_registration
from ledgeladder.daemons.registry.http_api import _accepts_pool
from ledgeladder.model.registration import Registration, UpstreamState


def build_state(pools: tuple[str, ...] | None) -> Any:
    configuration = None if pools is None else SimpleNamespace(pools=dict.fromkeys(pools))
    return SimpleNamespace(configuration=configuration, table=RegistrationTable())


@pytest.mark.parametrize(
    ("pools", "pool", "state", "is_known", "is_accepted"),
    [
        (None, "engines", UpstreamState.READY, False, True),
        (("engines",), "engines", UpstreamState.READY, False, True),
        (("engines",), "of-another-writer", UpstreamState.READY, False, False),
        (("services",), "engines", UpstreamState.READY, True, True),
        (("services",), "engines", UpstreamState.DRAINING, False, True),
    ],
)
def test_registration_under_unknown_pool_is_rejected(
    pools: tuple[str, ...] | None,
    pool: str,
    state: UpstreamState,
    is_known: bool,
    is_accepted: bool,
) -> None:
    registry = build_state(pools)
    registration = Registration(instance="i-1", sequence=2, pool=pool, address="a:1", state=state)
    if is_known:
        apply_registration(registry.table, registration, 0.0)
    assert _accepts_pool(registry, registration) is is_accepted
