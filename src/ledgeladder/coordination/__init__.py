"""Coordination parts without sockets or clocks, for the daemons and for others to embed."""

from __future__ import annotations
