"""Registrations that name no pool of the document."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ledgeladder.coordination.registrations import RegistrationTable, apply_registration
from ledgeladder.daemons.registry.http_api import _has_known_pool
from ledgeladder.model.registration import Registration, UpstreamState


def registry(pools: tuple[str, ...] | None) -> Any:
    configuration = None if pools is None else SimpleNamespace(pools=dict.fromkeys(pools))
    return SimpleNamespace(configuration=configuration, table=RegistrationTable())


@pytest.mark.parametrize(
    ("pools", "pool", "state", "is_known", "is_taken"),
    [
        (None, "engines", UpstreamState.READY, False, True),
        (("engines",), "engines", UpstreamState.READY, False, True),
        (("engines",), "of-another-writer", UpstreamState.READY, False, False),
        (("services",), "engines", UpstreamState.READY, True, True),
        (("services",), "engines", UpstreamState.LEAVING, False, True),
    ],
)
def test_pool_that_the_document_does_not_have(
    pools: tuple[str, ...] | None, pool: str, state: UpstreamState, is_known: bool, is_taken: bool
) -> None:
    held = registry(pools)
    said = Registration(instance="i-1", sequence=2, pool=pool, address="a:1", state=state)
    if is_known:
        apply_registration(held.table, said, 0.0)
    assert _has_known_pool(held, said) is is_taken
