"""The in-memory part of the replicated log."""

from __future__ import annotations

import msgspec

from .messages import EntryKind, LogEntry, Members


class RaftLog(msgspec.Struct, kw_only=True):
    """Entries after the last snapshot, with the members in force at each index."""

    base_index: int = 0
    """Index of the last entry that the snapshot contains."""

    base_term: int = 0
    """Term of that entry."""

    base_members: Members = msgspec.field(default_factory=lambda: Members(voters=()))
    """Members in force at `base_index`."""

    entries: list[LogEntry] = msgspec.field(default_factory=list)
    """Entries after `base_index`, with consecutive indexes."""

    member_changes: list[tuple[int, Members]] = msgspec.field(default_factory=list)
    """Index and members of each members entry in `entries`."""

    def __post_init__(self) -> None:
        self._record_members(self.entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if the log is empty."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def members(self) -> Members:
        """The newest members in the log, committed or not."""
        return self.member_changes[-1][1] if self.member_changes else self.base_members

    @property
    def members_index(self) -> int:
        """Index of the newest members entry."""
        return self.member_changes[-1][0] if self.member_changes else self.base_index

    def members_at(self, index: int) -> Members:
        """Return the members in force at one index.

        Args:
            index: An index at or after the snapshot.

        Returns:
            The newest members at or before it.
        """
        found = self.base_members
        for change_index, members in self.member_changes:
            if change_index <= index:
                found = members
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of one entry.

        Args:
            index: Any index.

        Returns:
            The term, or None if the entry is not in the log.
        """
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def slice(self, first: int, limit: int) -> tuple[LogEntry, ...]:
        """Return up to `limit` entries, starting at index `first`."""
        start = first - self.base_index - 1
        return tuple(self.entries[start : start + limit])

    def between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, inclusive."""
        return tuple(self.entries[first - self.base_index - 1 : last - self.base_index])

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries that follow the last one."""
        self.entries.extend(entries)
        self._record_members(entries)

    def truncate(self, first: int) -> None:
        """Remove the entry at `first` and all after it."""
        del self.entries[first - self.base_index - 1 :]
        self.member_changes = [item for item in self.member_changes if item[0] < first]

    def compact(self, index: int) -> None:
        """Remove the entries up to `index`, which a snapshot now contains."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        members = self.members_at(index)
        del self.entries[: index - self.base_index]
        self.member_changes = [item for item in self.member_changes if item[0] > index]
        self.base_index, self.base_term, self.base_members = index, term, members

    def reset(self, index: int, term: int, members: Members) -> None:
        """Replace the log by a snapshot from the leader."""
        self.entries.clear()
        self.member_changes.clear()
        self.base_index, self.base_term, self.base_members = index, term, members

    def _record_members(self, entries: list[LogEntry] | tuple[LogEntry, ...]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.MEMBERS:
                members = msgspec.msgpack.decode(entry.data, type=Members)
                self.member_changes.append((entry.index, members))
