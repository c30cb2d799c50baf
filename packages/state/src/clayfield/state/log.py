"""The in-memory log of a node: its latest snapshot and the entries after it."""

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.state._members import decode_members, is_members
from clayfield.state.records import (
    Append,
    HardState,
    LogCreated,
    Record,
    Snapshot,
)
from clayfield.wire.messages import ENTRY_COMMAND, LogEntry, Members


class Log:
    """The entries of a log that follow its latest snapshot.

    Indices start at 1; 0 stands for the position before the first entry. The
    length is the number of entries held.

    Attributes:
        snapshot: latest snapshot, None if there is none.
        size_bytes: number of bytes of data in the entries held.
    """

    __slots__ = ("_entries", "size_bytes", "snapshot")

    def __init__(self) -> None:
        self._entries: list[LogEntry] = []
        self.snapshot: Snapshot | None = None
        self.size_bytes = 0

    @property
    def first_index(self) -> int:
        """Index of the first entry held, or of the next one if none is."""
        return (self.snapshot.index if self.snapshot else 0) + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, 0 for a new log."""
        return self.first_index + len(self._entries) - 1

    @property
    def last_term(self) -> int:
        """Term of the last entry, 0 for a new log."""
        return self.term_at(self.last_index) or 0

    def __len__(self) -> int:
        return len(self._entries)

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, None if it is not held.

        The term of the entry that the snapshot ends with is held, too.
        """
        if self.snapshot and index == self.snapshot.index:
            return self.snapshot.term
        if index == 0 and self.snapshot is None:
            return 0
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entry_at(self, index: int) -> LogEntry:
        """Returns the entry at an index, which must be held."""
        return self._entries[index - self.first_index]

    def entries_from(self, index: int, max_bytes: int) -> list[LogEntry]:
        """Returns entries from `index` on, up to `max_bytes` of data.

        The first entry is returned even if it is larger.
        """
        chosen: list[LogEntry] = []
        size = 0
        position = index - self.first_index
        while position < len(self._entries):
            entry = self._entries[position]
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
            position += 1
        return chosen

    def commands(self) -> list[bytes]:
        """Returns the commands in the entries held, oldest first."""
        return [e.data for e in self._entries if e.kind == ENTRY_COMMAND]

    def truncate_and_append(self, index: int, entry: LogEntry) -> None:
        """Writes the entry at `index` and drops all entries after it."""
        position = index - self.first_index
        self.size_bytes -= _size_of(self._entries[position:])
        del self._entries[position:]
        self._entries.append(entry)
        self.size_bytes += len(entry.data)

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the latest snapshot and drops the entries it covers.

        All entries are dropped if the log does not agree with the snapshot.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            covered = snapshot.index - self.first_index + 1
            del self._entries[:covered]
        else:
            self._entries.clear()
        self.size_bytes = _size_of(self._entries)
        self.snapshot = snapshot

    def find_members(self) -> tuple[int, Members] | None:
        """Returns the index and content of the latest members entry.

        Members from the snapshot have the index of the snapshot. None if the
        log sets no members.
        """
        for index in range(self.last_index, self.first_index - 1, -1):
            entry = self.entry_at(index)
            if is_members(entry):
                return index, decode_members(entry)
        if self.snapshot:
            return self.snapshot.index, self.snapshot.members
        return None


def _size_of(entries: list[LogEntry]) -> int:
    return sum(len(entry.data) for entry in entries)


class RestoredState:
    """State restored from stored records.

    Attributes:
        instance: group instance that the records belong to, "" for none.
        hard_state: latest term and vote.
        log: restored log.
    """

    __slots__ = ("hard_state", "instance", "log")

    def __init__(self) -> None:
        self.instance = ""
        self.hard_state = HardState(0, "")
        self.log = Log()


def replay(records: list[Record]) -> RestoredState:
    """Restores the hard state and the log from records.

    Args:
        records: all stored records, in the order in which they were stored.

    Raises:
        ClayfieldError: an entry is missing (kind `STORE_DAMAGED`).
    """
    state = RestoredState()
    for record in records:
        match record:
            case LogCreated(instance=instance):
                state = RestoredState()
                state.instance = instance
            case HardState():
                state.hard_state = record
            case Append(index=index, entry=entry):
                _replay_entry(state.log, index, entry)
            case Snapshot():
                state.log.compact(record)
    return state


def _replay_entry(log: Log, index: int, entry: LogEntry) -> None:
    if index > log.last_index + 1:
        raise ClayfieldError(
            ErrorKind.STORE_DAMAGED,
            f"Entry {index} follows entry {log.last_index}; the log entries"
            " in between are missing.",
        )
    if index >= log.first_index:
        log.truncate_and_append(index, entry)
