"""Links between the system's own processes: msgpack frames over TCP."""

from __future__ import annotations

from .endpoint import keep_link, open_link, serve_links, split_address
from .link import Link, LinkIdentity

__all__ = ["Link", "LinkIdentity", "keep_link", "open_link", "serve_links", "split_address"]
