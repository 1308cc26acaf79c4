"""Demand for pools of engines, by priority and client account."""

from __future__ import annotations

import msgspec


class ClassDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Demand of the requests of one priority for one pool."""

    asked: float = 0.0
    """New requests per second, including refused ones."""

    admitted: float = 0.0
    """Those that were admitted, per second."""

    tokens: float = 0.0
    """Prompt and expected answer tokens of the new requests, per second."""

    accounts: dict[str, float] = {}
    """Tokens per second of the heaviest client accounts; the others are only part of `tokens`."""


class PoolDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Demand for one pool."""

    classes: dict[int, ClassDemand] = {}
    """Demand by priority; 0 is the most urgent."""
