"""The entries of a replicated log, behind the latest snapshot."""

from clayfield.base import ClayfieldError, Kind
from clayfield.state._members import decode_members, is_members
from clayfield.state.records import (
    Append,
    Born,
    HardState,
    Record,
    Snapshot,
)
from clayfield.wire.messages import ENTRY_COMMAND, LogEntry, Members


class Log:
    """A log in memory, made from records and giving records.

    Indices start at 1; 0 means before the first entry.

    Attributes:
        snapshot: the latest snapshot, or None.
        size: bytes of data in the entries that are held.
    """

    __slots__ = ("_entries", "size", "snapshot")

    def __init__(self) -> None:
        self._entries: list[LogEntry] = []
        self.snapshot: Snapshot | None = None
        self.size = 0

    @property
    def first_index(self) -> int:
        """The index of the first entry that is held."""
        return (self.snapshot.index if self.snapshot else 0) + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.first_index + len(self._entries) - 1

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.term_at(self.last_index) or 0

    def __len__(self) -> int:
        return len(self._entries)

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, None when it is not held."""
        if self.snapshot and index == self.snapshot.index:
            return self.snapshot.term
        if index == 0 and self.snapshot is None:
            return 0
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entry_at(self, index: int) -> LogEntry:
        """Returns the entry at an index that is held."""
        return self._entries[index - self.first_index]

    def entries_from(self, index: int, max_bytes: int) -> list[LogEntry]:
        """Returns entries from `index` on, at least one if there is one."""
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
        """Returns the commands that are held, oldest first."""
        return [e.data for e in self._entries if e.kind == ENTRY_COMMAND]

    def put(self, index: int, entry: LogEntry) -> None:
        """Sets the entry at `index` and drops all behind it."""
        position = index - self.first_index
        self.size -= _size_of(self._entries[position:])
        del self._entries[position:]
        self._entries.append(entry)
        self.size += len(entry.data)

    def compact(self, snapshot: Snapshot) -> None:
        """Takes a snapshot and drops the entries that it covers."""
        if self.term_at(snapshot.index) == snapshot.term:
            keep = snapshot.index - self.first_index + 1
            del self._entries[:keep]
        else:
            self._entries.clear()
        self.size = _size_of(self._entries)
        self.snapshot = snapshot

    def members(self) -> tuple[int, Members] | None:
        """Returns the latest members in the log, with their index."""
        for index in range(self.last_index, self.first_index - 1, -1):
            entry = self.entry_at(index)
            if is_members(entry):
                return index, decode_members(entry)
        if self.snapshot:
            return self.snapshot.index, self.snapshot.members
        return None


def _size_of(entries: list[LogEntry]) -> int:
    return sum(len(entry.data) for entry in entries)


class Replayed:
    """What records left behind.

    Attributes:
        instance: the group instance that they belong to, or "".
        hard: the term and vote.
        log: the log.
    """

    __slots__ = ("hard", "instance", "log")

    def __init__(self) -> None:
        self.instance = ""
        self.hard = HardState(0, "")
        self.log = Log()


def replay(records: list[Record]) -> Replayed:
    """Rebuilds hard state and log from records.

    Raises:
        ClayfieldError: of kind STORE_DAMAGED, when an entry is missing.
    """
    state = Replayed()
    for record in records:
        match record:
            case Born(instance=instance):
                state = Replayed()
                state.instance = instance
            case HardState():
                state.hard = record
            case Append(index=index, entry=entry):
                _replay_entry(state.log, index, entry)
            case Snapshot():
                state.log.compact(record)
    return state


def _replay_entry(log: Log, index: int, entry: LogEntry) -> None:
    if index > log.last_index + 1:
        raise ClayfieldError(
            Kind.STORE_DAMAGED,
            f"Entry {index} follows entry {log.last_index}.",
        )
    if index >= log.first_index:
        log.put(index, entry)
