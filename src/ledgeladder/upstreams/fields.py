"""Header fields of answers as the package's own HTTP client gives them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import httpx


def raw_fields(response: httpx.Response) -> list[tuple[bytes, bytes]]:
    """Return the header fields of an answer with lower-case names, in order, none joined."""
    return [(name.lower(), value) for name, value in response.headers.raw]
