"""The format of a log file: records in checksummed frames.

A frame consists of a header and the content of one record. The header has a
magic number, the length of the content, the offset in the file at which the
write that the frame belongs to starts, a checksum of the content and one of
the header itself.

A write starts only after all earlier ones were synced. Invalid bytes are thus
damage if a frame of a write that starts after them follows. Otherwise they
belong to the last write, which was interrupted.

Earlier releases wrote frames without a magic number: length, checksum and
content. A file may start with such frames. Since they don't tell one write
from the next, any whole frame after invalid bytes makes these damage.
"""

import re
import struct

import msgspec
import xxhash

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.state import ANY_RECORD, Record

# Read as the length in an older frame, it exceeds the maximum.
MAGIC = b"\xc1CFR"
_FIELDS = struct.Struct("<4sIQQ")
_CHECKSUM = struct.Struct("<Q")
HEADER_BYTES = _FIELDS.size + _CHECKSUM.size
OLD_HEADER = struct.Struct("<IQ")
MAX_RECORD_BYTES = 256 * 1024 * 1024
# Start of the content of each record in an older frame: array and tag.
_OLD_CONTENT = re.compile(
    rb"[\x90-\x9f](?:\xa4Born|\xa9HardState|\xa6Append|\xa8Snapshot)"
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ANY_RECORD)


class _Header(msgspec.Struct, frozen=True):
    """The header of a frame.

    Attributes:
        size: length of the header in bytes.
        length: length of the content in bytes.
        write_start: offset at which the write of the frame starts.
        checksum: checksum of the content.
    """

    size: int
    length: int
    write_start: int
    checksum: int


def frame_record(record: Record, write_start: int = 0) -> bytes:
    """Returns the frame of a record.

    Args:
        record: the record.
        write_start: offset in the file at which its write starts.
    """
    content = _encoder.encode(record)
    checksum = xxhash.xxh3_64_intdigest(content)
    fields = _FIELDS.pack(MAGIC, len(content), write_start, checksum)
    header_checksum = xxhash.xxh3_64_intdigest(fields)
    return fields + _CHECKSUM.pack(header_checksum) + content


def read_records(data: bytes, path: str) -> tuple[list[Record], int]:
    """Returns the records of a file and the number of bytes they take.

    Bytes after that number belong to an interrupted write.

    Args:
        data: content of the file.
        path: path of the file, for error messages.

    Raises:
        ClayfieldError: of kind STORE_DAMAGED, when bytes that were synced are
            invalid.
    """
    records: list[Record] = []
    offset = 0
    while offset < len(data):
        content, end = _read_frame(data, offset)
        if content is None:
            if _was_synced(data, offset):
                raise ClayfieldError(
                    ErrorKind.STORE_DAMAGED,
                    f"{path}: invalid record at byte {offset}.",
                )
            break
        records.append(_decode_record(content, path, offset))
        offset = end
    return records, offset


def _decode_record(content: bytes, path: str, offset: int) -> Record:
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError as exc:
        raise ClayfieldError(
            ErrorKind.STORE_DAMAGED, f"{path}: record at byte {offset}: {exc}."
        ) from exc


def _read_frame(data: bytes, offset: int) -> tuple[bytes | None, int]:
    """Returns the content of the frame at an offset, and the frame's end.

    The content is None if the frame is invalid.
    """
    if data.startswith(MAGIC, offset):
        header = _read_header(data, offset)
    else:
        header = _read_old_header(data, offset)
    if header is None:
        return None, offset
    start = offset + header.size
    end = start + header.length
    if not 0 < header.length <= MAX_RECORD_BYTES or end > len(data):
        return None, offset
    content = data[start:end]
    if xxhash.xxh3_64_intdigest(content) != header.checksum:
        return None, offset
    return content, end


def _read_header(data: bytes, offset: int) -> _Header | None:
    """Returns the header at an offset, None if it is invalid."""
    if offset + HEADER_BYTES > len(data):
        return None
    fields = data[offset : offset + _FIELDS.size]
    checksum = _CHECKSUM.unpack_from(data, offset + _FIELDS.size)[0]
    if xxhash.xxh3_64_intdigest(fields) != checksum:
        return None
    return _Header(HEADER_BYTES, *_FIELDS.unpack(fields)[1:])


def _read_old_header(data: bytes, offset: int) -> _Header | None:
    """Returns the header of an older frame, None if it is incomplete."""
    if offset + OLD_HEADER.size > len(data):
        return None
    length, checksum = OLD_HEADER.unpack_from(data, offset)
    return _Header(OLD_HEADER.size, length, offset, checksum)


def _was_synced(data: bytes, offset: int) -> bool:
    """Returns whether a frame shows that invalid bytes had been synced."""
    return _has_later_write(data, offset) or _has_old_frame(data, offset)


def _has_later_write(data: bytes, offset: int) -> bool:
    """Returns whether a write that starts after an offset has a frame."""
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        header = _read_header(data, position)
        if header is not None and header.write_start > offset:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def _has_old_frame(data: bytes, offset: int) -> bool:
    """Returns whether a whole older frame starts after an offset."""
    return any(
        _read_frame(data, match.start() - OLD_HEADER.size)[0] is not None
        for match in _OLD_CONTENT.finditer(data, offset + 1 + OLD_HEADER.size)
    )
