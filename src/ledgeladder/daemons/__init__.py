"""The daemons: wiring of the parts to sockets, files and clocks."""

from __future__ import annotations
