"""Records that a node stores before it sends the messages based on them."""

import msgspec

from clayfield.wire.messages import LogEntry, Members


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all records."""


class LogCreated(Record, frozen=True, tag="Born"):
    """Start of a new log; earlier records belong to another instance.

    Attributes:
        instance: name of the group instance.
    """

    instance: str


class HardState(Record, frozen=True):
    """The persistent state of Raft besides the log.

    Attributes:
        term: current term.
        vote: node that this node voted for in the term, "" for none.
    """

    term: int
    vote: str


class Append(Record, frozen=True):
    """An entry of the log; it replaces all entries from its index on.

    Attributes:
        index: index of the entry.
        entry: the entry.
    """

    index: int
    entry: LogEntry


class Snapshot(Record, frozen=True):
    """A snapshot; it replaces the log up to and including its index.

    Attributes:
        index: index of the last entry covered.
        term: term of that entry.
        members: members of the group as of that entry.
        data: encoded state of the state machine.
    """

    index: int
    term: int
    members: Members
    data: bytes


ANY_RECORD = LogCreated | HardState | Append | Snapshot
