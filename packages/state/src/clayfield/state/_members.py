"""Log entries that set the members of a group."""

import msgspec

from clayfield.wire.messages import ENTRY_MEMBERS, LogEntry, Members

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Members)


def is_members(entry: LogEntry) -> bool:
    """Returns whether an entry sets the members."""
    return entry.kind == ENTRY_MEMBERS


def decode_members(entry: LogEntry) -> Members:
    """Returns the members that a members entry sets."""
    return _decoder.decode(entry.data)


def encode_members(term: int, members: Members) -> LogEntry:
    """Returns a log entry that sets the members."""
    return LogEntry(term, ENTRY_MEMBERS, _encoder.encode(members))
