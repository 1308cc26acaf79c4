"""Prediction of how long an engine takes to load layers.

Separate from placement, since gateways use only this part of it, for retry delays.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.traffic import EngineProfile


def load_seconds(profile: EngineProfile, layers: int, concurrent_loads: int) -> float:
    """Predict the duration of a load, in seconds.

    Args:
        profile: Performance figures of the engines.
        layers: Number of layers to load.
        concurrent_loads: Loads that run at a time; beyond `parallel_loads` they slow each other
            down.
    """
    slowdown = max(1.0, concurrent_loads / max(1, profile.parallel_loads))
    return profile.load_seconds * layers / profile.layers * slowdown
