"""The replicated log of a stand-in database server."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One committed transaction: its term and its statements."""

    term: int
    statements: tuple[str, ...]


class ReplicatedLog:
    """Entries in order; index 1 is the first entry."""

    def __init__(self) -> None:
        self._entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, zero when empty."""
        return len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, zero when empty."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Return the term of one entry, zero for index zero."""
        if index == 0:
            return 0
        return self._entries[index - 1].term

    def append(self, entry: Entry) -> int:
        """Add an entry and return its index."""
        self._entries.append(entry)
        return self.last_index

    def after(self, index: int, limit: int) -> list[Entry]:
        """Return at most `limit` entries that follow an index."""
        return self._entries[index : index + limit]

    def truncate(self, index: int) -> None:
        """Drop every entry after an index."""
        del self._entries[index:]

    def matches(self, index: int, term: int) -> bool:
        """Tell whether this log holds the entry of a term at an index."""
        return index <= self.last_index and self.term_at(index) == term
