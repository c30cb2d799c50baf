"""What consensus must have on stable storage before its messages leave."""

import msgspec

from clayfield.wire.messages import LogEntry, Members


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base of all records."""


class Born(Record, frozen=True):
    """A log starts here; all before it belonged to another instance."""

    instance: str


class HardState(Record, frozen=True):
    """The term, and whom this node voted for in it ("" for nobody)."""

    term: int
    vote: str


class Append(Record, frozen=True):
    """An entry at `index`; whatever stood there or behind it is void."""

    index: int
    entry: LogEntry


class Snapshot(Record, frozen=True):
    """The state after `index`; the log up to there is no longer needed."""

    index: int
    term: int
    members: Members
    data: bytes


ANY_RECORD = Born | HardState | Append | Snapshot
