"""Decisions about requests: admission, routes, sessions, retries, policies."""

from __future__ import annotations
