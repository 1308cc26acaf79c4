"""Clients for engines, plain services and the platform."""

from __future__ import annotations
