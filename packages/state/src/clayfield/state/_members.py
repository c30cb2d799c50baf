"""Members entries of a log."""

import msgspec

from clayfield.wire.messages import ENTRY_MEMBERS, LogEntry, Members

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Members)


def is_members(entry: LogEntry) -> bool:
    """Tells whether an entry changes the members."""
    return entry.kind == ENTRY_MEMBERS


def decode_members(entry: LogEntry) -> Members:
    """Returns the members that an entry sets."""
    return _decoder.decode(entry.data)


def encode_members(term: int, members: Members) -> LogEntry:
    """Returns the entry that sets the members."""
    return LogEntry(term, ENTRY_MEMBERS, _encoder.encode(members))
