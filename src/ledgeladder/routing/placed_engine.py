"""An engine as placement sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ..model.registration import Holding


class PlacedEngine(msgspec.Struct, frozen=True, kw_only=True):
    """A registered engine and its layers."""

    instance: str
    """Instance of the engine."""

    failure_domain: str
    """Failure domain that it runs in."""

    card: str
    """Kind of its accelerator."""

    holding: Holding | None
    """Layers that it holds or was ordered to load; None if it has none."""

    is_loaded: bool = True
    """False until it reports the layers that it was ordered to load."""
