"""The control daemon."""

from __future__ import annotations
