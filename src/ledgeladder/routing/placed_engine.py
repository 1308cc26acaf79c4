"""An engine as placement sees it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.registration import Holding


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacedEngine:
    """An engine that registered, with what it holds."""

    instance: str
    """Run of the engine."""

    failure_domain: str
    """Where it runs."""

    card: str
    """Kind of its accelerator."""

    holding: Holding | None
    """Layers that it holds or was ordered to hold; None if it has none."""

    settled: bool = True
    """False while it has not reported the layers that it was ordered to hold."""
