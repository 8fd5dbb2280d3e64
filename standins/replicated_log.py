"""The replicated log of a stand-in database server."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A transaction in the log: its term and its statements.

    An entry without statements marks the start of a term.
    """

    term: int
    statements: tuple[str, ...]


class ReplicatedLog:
    """The log of one server in memory; the first entry has index 1."""

    def __init__(self) -> None:
        self._entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, 0 if the log is empty."""
        return len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, 0 if the log is empty."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index, 0 for index 0.

        Raises `IndexError` if the log is shorter.
        """
        if index == 0:
            return 0
        return self._entries[index - 1].term

    def append(self, entry: Entry) -> int:
        """Add an entry and return its index."""
        self._entries.append(entry)
        return self.last_index

    def entries_after(self, index: int, limit: int) -> list[Entry]:
        """Return up to `limit` entries after an index, oldest first."""
        return self._entries[index : index + limit]

    def truncate(self, index: int) -> None:
        """Delete the entries after an index."""
        del self._entries[index:]

    def matches(self, index: int, term: int) -> bool:
        """Return whether the entry at an index exists and has this term."""
        return index <= self.last_index and self.term_at(index) == term
