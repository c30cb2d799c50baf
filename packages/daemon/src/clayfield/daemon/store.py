"""Durable storage of a replicated log: checksummed records in a data folder.

The folder holds the file `made`, with the time when the folder was created,
and one file of records, `log-N`. A snapshot starts a new file, so that the
time to recover does not grow with the number of changes.

On opening, what is left of an interrupted write at the end is cut off. Damage
to anything that had been synced is an error.
"""

import time

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.base.events import Event, emit
from clayfield.daemon.data_folder import DataFolder, OsDataFolder
from clayfield.daemon.log_format import frame_record, read_records
from clayfield.state import (
    Append,
    HardState,
    LogCreated,
    Record,
    RestoredState,
    Snapshot,
    replay,
)

IDENTITY_FILE = "made"
LOG_PREFIX = "log-"
TEMPORARY_SUFFIX = ".new"


class Store:
    """The records of a replicated log in a data folder.

    Attributes:
        disk_id: identifies the folder: the time of its creation, in ns since
            the epoch, or the value it was created with. A box whose folder was
            replaced is recognized by it.
        state: state restored from the records when the folder was opened.
    """

    def __init__(self, folder: str | DataFolder, disk_id: int | None = None):
        """Opens a data folder, or creates it.

        Args:
            folder: the folder or its path.
            disk_id: identity of a new folder; None for its creation time, in
                ns.

        Raises:
            ClayfieldError: of kind STORE_DAMAGED, when the content is invalid;
                of kind STORE_FAILED, when it cannot be read or written.
        """
        is_path = isinstance(folder, str)
        self._folder = OsDataFolder(folder) if is_path else folder
        self._fd = -1
        self._log_number = 0
        self._size = 0
        try:
            self._folder.make()
            self._folder.sync_folder_name()
            self._remove_temporary_files()
            # What a killed process renamed may not be durable yet.
            self._folder.sync_names()
            self.disk_id = self._read_identity(disk_id)
            records = self._open_log()
        except OSError as exc:
            raise ClayfieldError(ErrorKind.STORE_FAILED, f"{exc}.") from exc
        # Two copies: the caller changes `state`, while `write`, in another
        # thread, keeps the second equal to the records on disk.
        self.state = replay(records)
        self._written_state = replay(records)

    def _remove_temporary_files(self) -> None:
        """Removes files whose writing was interrupted."""
        for name in self._folder.list_names():
            if name.endswith(TEMPORARY_SUFFIX):
                self._folder.remove(name)

    def _read_identity(self, disk_id: int | None) -> int:
        """Returns the identity of the folder; stores it in a new one."""
        if IDENTITY_FILE in self._folder.list_names():
            return int(self._folder.read(IDENTITY_FILE))
        if self._find_log_numbers():
            path = self._folder.path_of(IDENTITY_FILE)
            raise ClayfieldError(
                ErrorKind.STORE_DAMAGED,
                f"{path} is missing, but the folder has a log.",
            )
        new_id = time.time_ns() if disk_id is None else disk_id
        self._replace_file(IDENTITY_FILE, str(new_id).encode())
        return new_id

    def _find_log_numbers(self) -> list[int]:
        names = self._folder.list_names()
        logs = [name for name in names if name.startswith(LOG_PREFIX)]
        numbers = [name.removeprefix(LOG_PREFIX) for name in logs]
        return sorted(int(n) for n in numbers if n.isdigit())

    def _replace_file(self, name: str, data: bytes) -> None:
        """Replaces a file atomically and durably."""
        temporary_name = name + TEMPORARY_SUFFIX
        fd = self._folder.open(temporary_name)
        try:
            self._folder.truncate(fd, 0)
            self._folder.append(fd, data)
            self._folder.sync(fd)
        finally:
            self._folder.close(fd)
        self._folder.rename(temporary_name, name)
        self._folder.sync_names()

    def _open_log(self) -> list[Record]:
        """Opens the latest log for appending and returns its records."""
        numbers = self._find_log_numbers()
        self._log_number = numbers[-1] if numbers else 1
        name = _log_name(self._log_number)
        path = self._folder.path_of(name)
        data = self._folder.read(name) if numbers else b""
        records, valid_bytes = read_records(data, path)
        self._fd = self._folder.open(name)
        self._size = valid_bytes
        if valid_bytes < len(data):
            emit(
                Event.STORE_REPAIRED,
                path=path,
                bytes=len(data) - valid_bytes,
            )
            self._folder.truncate(self._fd, valid_bytes)
        # The caller takes what was read as stored, but a process that was
        # killed may have left it unsynced.
        self._folder.sync(self._fd)
        self._folder.sync_names()
        self._delete_logs(numbers[:-1])
        return records

    def _delete_logs(self, numbers: list[int]) -> None:
        for number in numbers:
            self._folder.remove(_log_name(number))

    def write(self, records: list[Record]) -> None:
        """Appends records and syncs them to disk; blocks.

        Raises:
            ClayfieldError: of kind STORE_FAILED. The records may or may not
                be on disk, and every later write fails, too.
        """
        if self._fd < 0:
            raise ClayfieldError(
                ErrorKind.STORE_FAILED, "An earlier write failed."
            )
        try:
            if any(isinstance(record, Snapshot) for record in records):
                self._start_new_log(records)
            else:
                self._append(records)
        except OSError as exc:
            self.close()
            raise ClayfieldError(ErrorKind.STORE_FAILED, f"{exc}.") from exc

    def _append(self, records: list[Record]) -> None:
        self._apply_records(records)
        frames = [frame_record(record, self._size) for record in records]
        data = b"".join(frames)
        self._folder.append(self._fd, data)
        self._folder.sync(self._fd)
        self._size += len(data)

    def _apply_records(self, records: list[Record]) -> None:
        """Applies records to the state that a new file starts with."""
        for record in records:
            match record:
                case LogCreated(instance=instance):
                    self._written_state = RestoredState()
                    self._written_state.instance = instance
                case HardState():
                    self._written_state.hard_state = record
                case Append(index=index, entry=entry):
                    self._written_state.log.truncate_and_append(index, entry)
                case Snapshot():
                    self._written_state.log.compact(record)

    def _start_new_log(self, records: list[Record]) -> None:
        """Writes the state after the records to a new file."""
        self._apply_records(records)
        old_number = self._log_number
        self._log_number += 1
        name = _log_name(self._log_number)
        data = self._make_initial_content()
        self._replace_file(name, data)
        self._size = len(data)
        self._folder.close(self._fd)
        self._fd = self._folder.open(name)
        self._folder.remove(_log_name(old_number))

    def _make_initial_content(self) -> bytes:
        """Returns the content that a new file starts with.

        Each record counts as a write of its own: the file gets its name once
        it is synced, so that invalid bytes between the records are damage.
        """
        content = bytearray()
        for record in self._make_initial_records():
            content += frame_record(record, len(content))
        return bytes(content)

    def _make_initial_records(self) -> list[Record]:
        """Returns the records that a new file starts with."""
        log = self._written_state.log
        records: list[Record] = [
            LogCreated(self._written_state.instance),
            self._written_state.hard_state,
        ]
        if log.snapshot:
            records.append(log.snapshot)
        for index in range(log.first_index, log.last_index + 1):
            records.append(Append(index, log.entry_at(index)))
        return records

    def close(self) -> None:
        """Closes the log; later writes fail."""
        if self._fd >= 0:
            self._folder.close(self._fd)
            self._fd = -1


def _log_name(number: int) -> str:
    return f"{LOG_PREFIX}{number}"
