"""Idempotency keys: version 7 UUIDs (RFC 9562), which the standard library cannot generate."""

from __future__ import annotations

import secrets
import time
import uuid


def new_key(timestamp_ms: int | None = None) -> str:
    """Return a new key with a timestamp in milliseconds since 1970, by default the current time."""
    milliseconds = time.time_ns() // 1_000_000 if timestamp_ms is None else timestamp_ms
    value = milliseconds << 80 | 7 << 76 | secrets.randbits(12) << 64
    value |= 0b10 << 62 | secrets.randbits(62)
    return str(uuid.UUID(int=value))
