"""The daemons, which connect the other packages to sockets, files and clocks."""

from __future__ import annotations
