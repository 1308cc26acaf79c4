"""Coordination logic without sockets or clocks, for the daemons and for embedding."""

from __future__ import annotations
