"""The control log on disk: checksummed records in one data folder.

The folder holds `made` (when it was made, which names the disk) and one file
of records, `log-N`. A snapshot starts a new file, so that the time to recover
does not grow with the number of changes.

A record is its length (4 bytes), a checksum of its content (8 bytes) and the
content. An unfinished record at the end, as a crash leaves it, is cut off;
damage with sound records behind it is refused.
"""

import os
import pathlib
import struct
import time

import msgspec
import xxhash

from clayfield.base import ClayfieldError, Kind
from clayfield.base.events import Event, emit
from clayfield.state import (
    ANY_RECORD,
    Append,
    Born,
    HardState,
    Record,
    Replayed,
    Snapshot,
    replay,
)

HEADER = struct.Struct("<IQ")
MAX_RECORD_BYTES = 256 * 1024 * 1024
MADE_NAME = "made"
LOG_PREFIX = "log-"
FOLDER_MODE = 0o700

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ANY_RECORD)


class Store:
    """A data folder.

    Attributes:
        made: when the folder was made, in ns of the box's wall clock; it only
            tells a new disk of this box from an older one.
        state: what the records added up to when it was opened.
    """

    def __init__(self, folder: str, identity: int | None = None):
        """Opens a folder, or makes it.

        Args:
            folder: its path.
            identity: what a new folder is named by, None for the time.

        Raises:
            ClayfieldError: of kind STORE_DAMAGED or STORE_FAILED.
        """
        self._folder = pathlib.Path(folder)
        self._fd = -1
        self._number = 0
        self._path = self._folder
        try:
            self._folder.mkdir(FOLDER_MODE, parents=True, exist_ok=True)
            self.made = self._read_made(identity)
            records = self._open_log()
        except OSError as exc:
            raise ClayfieldError(Kind.STORE_FAILED, f"{exc}.") from exc
        # Two of them: the box goes on with one while writes, on another
        # thread, bring the other up to date.
        self.state = replay(records)
        self._written = replay(records)

    def _read_made(self, identity: int | None) -> int:
        path = self._folder / MADE_NAME
        if path.exists():
            return int(path.read_text())
        if self._log_numbers():
            raise ClayfieldError(
                Kind.STORE_DAMAGED, f"{path} is missing beside a log."
            )
        made = time.time_ns() if identity is None else identity
        self._write_whole(path, str(made).encode())
        return made

    def _log_numbers(self) -> list[int]:
        names = (p.name for p in self._folder.glob(LOG_PREFIX + "*"))
        numbers = [n.removeprefix(LOG_PREFIX) for n in names]
        return sorted(int(n) for n in numbers if n.isdigit())

    def _write_whole(self, path: pathlib.Path, data: bytes) -> None:
        """Puts a whole file in place, synced, or leaves the old one."""
        scratch = path.with_name(path.name + ".new")
        with open(scratch, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(scratch, path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        fd = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def _open_log(self) -> list[Record]:
        numbers = self._log_numbers()
        self._number = numbers[-1] if numbers else 1
        self._path = self._folder / f"{LOG_PREFIX}{self._number}"
        data = self._path.read_bytes() if numbers else b""
        records, sound = read_records(data, str(self._path))
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._fd = os.open(self._path, flags, 0o600)
        if sound < len(data):
            emit(
                Event.STORE_REPAIRED,
                path=str(self._path),
                bytes=len(data) - sound,
            )
            os.ftruncate(self._fd, sound)
            os.fsync(self._fd)
        self._sync_folder()
        self._drop_older(numbers[:-1])
        return records

    def _drop_older(self, numbers: list[int]) -> None:
        for number in numbers:
            (self._folder / f"{LOG_PREFIX}{number}").unlink()

    def write(self, records: list[Record]) -> None:
        """Writes records and syncs; blocks, so not for the loop's thread.

        Raises:
            ClayfieldError: of kind STORE_FAILED; the records may be on disk
                or not, and nothing may be written after them.
        """
        if self._fd < 0:
            raise ClayfieldError(Kind.STORE_FAILED, "An earlier write failed.")
        try:
            if any(isinstance(one, Snapshot) for one in records):
                self._start_new_log(records)
            else:
                self._append(records)
        except OSError as exc:
            self.close()
            raise ClayfieldError(Kind.STORE_FAILED, f"{exc}.") from exc

    def _append(self, records: list[Record]) -> None:
        self._note(records)
        data = b"".join(map(frame_record, records))
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]
        os.fdatasync(self._fd)

    def _note(self, records: list[Record]) -> None:
        """Keeps what a new file must start with."""
        for record in records:
            match record:
                case Born(instance=instance):
                    self._written = Replayed()
                    self._written.instance = instance
                case HardState():
                    self._written.hard = record
                case Append(index=index, entry=entry):
                    self._written.log.put(index, entry)
                case Snapshot():
                    self._written.log.compact(record)

    def _start_new_log(self, records: list[Record]) -> None:
        self._note(records)
        old = self._path
        self._number += 1
        self._path = self._folder / f"{LOG_PREFIX}{self._number}"
        self._write_whole(
            self._path, b"".join(map(frame_record, self._image()))
        )
        os.close(self._fd)
        self._fd = os.open(self._path, os.O_WRONLY | os.O_APPEND)
        old.unlink()

    def _image(self) -> list[Record]:
        """Returns the fewest records that give the present state."""
        log = self._written.log
        image: list[Record] = [Born(self._written.instance), self._written.hard]
        if log.snapshot:
            image.append(log.snapshot)
        for index in range(log.first_index, log.last_index + 1):
            image.append(Append(index, log.entry_at(index)))
        return image

    def close(self) -> None:
        """Closes the log; nothing can be written any more."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


def frame_record(record: Record) -> bytes:
    """Returns a record with its length and checksum."""
    content = _encoder.encode(record)
    checksum = xxhash.xxh3_64_intdigest(content)
    return HEADER.pack(len(content), checksum) + content


def read_records(data: bytes, path: str) -> tuple[list[Record], int]:
    """Returns the records of a file and how many of its bytes are sound.

    Raises:
        ClayfieldError: of kind STORE_DAMAGED, when a record that is not sound
            has a sound one behind it.
    """
    records: list[Record] = []
    offset = 0
    while offset < len(data):
        content = _content_at(data, offset)
        if content is None:
            if _has_sound_record(data, offset + 1):
                raise ClayfieldError(
                    Kind.STORE_DAMAGED, f"{path}, byte {offset}."
                )
            break
        records.append(_decode_record(content, path, offset))
        offset += HEADER.size + len(content)
    return records, offset


def _decode_record(content: bytes, path: str, offset: int) -> Record:
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError as exc:
        raise ClayfieldError(
            Kind.STORE_DAMAGED, f"{path}, byte {offset}: {exc}."
        ) from exc


def _content_at(data: bytes, offset: int) -> bytes | None:
    """Returns the content of the record at an offset, None if not sound."""
    start = offset + HEADER.size
    if start > len(data):
        return None
    length, checksum = HEADER.unpack_from(data, offset)
    end = start + length
    if not 0 < length <= MAX_RECORD_BYTES or end > len(data):
        return None
    content = data[start:end]
    if xxhash.xxh3_64_intdigest(content) != checksum:
        return None
    return content


def _has_sound_record(data: bytes, offset: int) -> bool:
    return any(
        _content_at(data, start) is not None
        for start in range(offset, len(data) - HEADER.size)
    )
