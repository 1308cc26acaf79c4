"""An engine as placement sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ..model.registration import Holding


class PlacedEngine(msgspec.Struct, frozen=True, kw_only=True):
    """An engine that registered, with what it holds."""

    instance: str
    """Run of the engine."""

    failure_domain: str
    """Where it runs."""

    card: str
    """Kind of its accelerator."""

    holding: Holding | None
    """Layers that it holds or was ordered to hold; None if it has none."""

    is_loaded: bool = True
    """False while it has not reported the layers that it was ordered to hold."""
