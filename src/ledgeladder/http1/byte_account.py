"""One account of the bytes that a process holds for others.

Bounds for each body or answer do not bound their sum, which is what uses up the memory of a
machine. No sockets and no clocks: the time comes in as an argument, and a connection that has to
go is closed by its holder's callback.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec

SMALL_HOLDER_BYTES: Final = 65536
"""Size up to which a holder may use the reserved part."""

SMALL_HOLDER_SHARE: Final = 1 / 16
"""Most of the limit that such a holder may have, so that a low limit still has room for several."""

RESERVED_SHARE: Final = 1 / 8
"""Part of the limit that is reserved for small holders."""

STILL_SECONDS: Final = 1.0
"""Time without progress after which a holder makes way for another of the same size."""


class Holder(msgspec.Struct, kw_only=True, eq=False):
    """What one connection or exchange has taken."""

    key: int
    """Key in the account."""

    kind: str
    """What is held, such as `request`, `answer` or `relay`."""

    bytes: int = 0
    """Bytes that are taken and not given back."""

    moved_at: float
    """When it last made progress, on the clock of the caller."""

    pinned: bool = False
    """True while it must not make way, as its request may already run."""

    evict: Callable[[], None]
    """Closes the connection; called once at most, after its bytes are given back."""


class ByteAccount(msgspec.Struct, kw_only=True):
    """Bytes taken by all holders of a process, and the limit on their sum."""

    limit_bytes: int
    """Most bytes that are taken at once."""

    taken_bytes: int = 0
    """Bytes that are taken now."""

    holders: dict[int, Holder] = msgspec.field(default_factory=dict)
    """Open holders by key."""

    opened: int = 0
    """Number of holders so far, which gives the next key."""

    evicted: int = 0
    """Number of holders that made way for others."""

    refused: int = 0
    """Number of times that there was no room."""

    peak_bytes: int = 0
    """Most bytes that were taken at once."""

    @property
    def small_bytes(self) -> int:
        """Size up to which a holder may use the reserved part, in bytes."""
        return min(SMALL_HOLDER_BYTES, int(self.limit_bytes * SMALL_HOLDER_SHARE))

    @property
    def reserved_bytes(self) -> int:
        """Part of the limit that is reserved for small holders, in bytes."""
        return int(self.limit_bytes * RESERVED_SHARE)


def open_holder(account: ByteAccount, kind: str, now: float, evict: Callable[[], None]) -> Holder:
    """Open a holder without bytes.

    Args:
        account: The account.
        kind: What it will hold.
        now: Time, in seconds.
        evict: Closes the connection when it has to make way. It must not block.

    Returns:
        The holder, to be closed with `close_holder`.
    """
    account.opened += 1
    holder = Holder(key=account.opened, kind=kind, moved_at=now, evict=evict)
    account.holders[holder.key] = holder
    return holder


def take(account: ByteAccount, holder: Holder, count: int, now: float) -> bool:
    """Take bytes for a holder, and evict others if there is no room otherwise.

    The holders that have most and have made no progress for longest go first. None goes for
    another that would then have more than it has, unless both are small, and none goes in vain.

    Args:
        account: The account.
        holder: An open holder.
        count: Number of bytes.
        now: Time, in seconds.

    Returns:
        True if the bytes are taken; False if there is no room or the holder is closed.
    """
    if holder.key not in account.holders:
        return False
    size = holder.bytes + count
    missing = account.taken_bytes + count - _part_of(account, size)
    if missing > 0:
        victims = _choose_victims(account, holder, size, missing, now)
        if not victims:
            account.refused += 1
            return False
        for victim in victims:
            close_holder(account, victim)
        # The bytes are taken before any callback runs, which might take or give back itself.
        _add(account, holder, count, now)
        for victim in victims:
            account.evicted += 1
            victim.evict()
        return True
    _add(account, holder, count, now)
    return True


def give_back(account: ByteAccount, holder: Holder, count: int) -> None:
    """Give back bytes of a holder, at most those that it has; a closed holder has none.

    Args:
        account: The account.
        holder: The holder.
        count: Number of bytes.
    """
    count = min(count, holder.bytes)
    holder.bytes -= count
    account.taken_bytes -= count


def close_holder(account: ByteAccount, holder: Holder) -> None:
    """Give back all bytes of a holder and close it, unless it is closed already."""
    if account.holders.pop(holder.key, None) is not None:
        give_back(account, holder, holder.bytes)


def _part_of(account: ByteAccount, size: int) -> int:
    """Return the bytes that may be taken in all once a holder has this size."""
    reserved = 0 if size <= account.small_bytes else account.reserved_bytes
    return account.limit_bytes - reserved


def _choose_victims(
    account: ByteAccount, holder: Holder, size: int, missing: int, now: float
) -> list[Holder]:
    """Return the holders that make way, or none if they would not suffice."""
    if size > _part_of(account, size):
        return []
    small = size <= account.small_bytes
    candidates = [
        item
        for item in account.holders.values()
        if item is not holder
        and item.bytes > 0
        and not item.pinned
        and (small or item.bytes > size or (item.bytes == size and _is_still(item, now)))
    ]
    candidates.sort(key=lambda item: _weight(item, now), reverse=True)
    victims: list[Holder] = []
    for item in candidates:
        if missing <= 0:
            break
        victims.append(item)
        missing -= item.bytes
    return victims if missing <= 0 else []


def _is_still(holder: Holder, now: float) -> bool:
    return now - holder.moved_at >= STILL_SECONDS


def _weight(holder: Holder, now: float) -> tuple[float, int]:
    """Return what orders holders for eviction: byte-seconds without progress, then bytes."""
    return (holder.bytes * max(0.0, now - holder.moved_at), holder.bytes)


def _add(account: ByteAccount, holder: Holder, count: int, now: float) -> None:
    holder.bytes += count
    holder.moved_at = now
    account.taken_bytes += count
    account.peak_bytes = max(account.peak_bytes, account.taken_bytes)
