"""A simulated data folder, for tests of what a loss of power leaves.

The folder keeps its content as processes see it, in the system's cache, and as
the disk holds it. A process that is killed changes neither. A loss of power
keeps what was synced; of the rest it keeps any part:

- each page of a file that was written since its last sync is kept, lost (its
  earlier content, or zeros where it had none) or torn;
- a file that was made and not synced is kept or lost;
- each rename and each removal since the last sync of the folder is kept or
  lost, independently of the others.
"""

import dataclasses
import errno
import itertools
import os
import random

from clayfield.daemon.data_folder import DataFolder

PAGE_BYTES = 4096
# Shares of the pages that are kept whole, one of them per file and loss.
KEPT_SHARES = (0.0, 0.5, 0.9, 1.0)


class ProcessKilledError(Exception):
    """Ends a process in the middle of its file operations."""


@dataclasses.dataclass(slots=True, eq=False)
class _File:
    """A file.

    Attributes:
        cached: content as processes see it.
        durable: content as of the last sync.
        name: name under which it was made.
        is_made_durable: whether its being made survives a loss of power.
    """

    name: str
    cached: bytes = b""
    durable: bytes = b""
    is_made_durable: bool = False


@dataclasses.dataclass(slots=True)
class _NameChange:
    """A rename, or a removal if the new name is empty."""

    old: str
    new: str
    file: _File


class SimulatedFolder(DataFolder):
    """A data folder in memory that can lose what was not synced.

    Attributes:
        operations: number of changes and syncs begun so far.
        capacity_bytes: total size of all files beyond which writes fail, None
            for no limit.
    """

    def __init__(self, rng: random.Random, exists: bool = False):
        """Creates an empty folder.

        Args:
            rng: decides what a loss of power keeps.
            exists: whether the folder is there before it is first opened.
        """
        self.operations = 0
        self.capacity_bytes: int | None = None
        self._rng = rng
        self._kill_at: int | None = None
        self._exists = exists
        self._exists_durably = exists
        self._names: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}
        self._made: list[_File] = []
        self._changes: list[_NameChange] = []
        self._open_files: dict[int, _File] = {}
        self._descriptors = itertools.count(3)

    # Faults.

    def kill_after(self, operations: int | None) -> None:
        """Kills the process within its next operation but `operations`.

        Args:
            operations: number of operations that still succeed; None for all.
        """
        is_set = operations is not None
        self._kill_at = self.operations + operations if is_set else None

    def end_process(self) -> None:
        """Closes all files; the system's cache stays."""
        self._kill_at = None
        self._open_files.clear()

    def lose_power(self) -> None:
        """Ends the process and drops any part of what was not synced."""
        self.end_process()
        if not self._exists_durably and self._rng.random() < 0.5:
            self._exists = False
            self._made.clear()
            self._changes.clear()
            self._names = {}
            self._durable_names = {}
            return
        names = self._choose_names()
        for file in {id(file): file for file in names.values()}.values():
            file.cached = self._choose_content(file)
            file.durable = file.cached
            file.is_made_durable = True
        self._names = names
        self._durable_names = dict(names)
        self._exists_durably = self._exists
        self._made.clear()
        self._changes.clear()

    def _choose_names(self) -> dict[str, _File]:
        names = dict(self._durable_names)
        for file in self._made:
            if file.is_made_durable or self._rng.random() < 0.5:
                names[file.name] = file
        for change in self._changes:
            if self._rng.random() < 0.5:
                _apply_change(names, change)
        return names

    def _choose_content(self, file: _File) -> bytes:
        """Returns what is kept of a file: page by page, old, new or torn."""
        if file.cached == file.durable:
            return file.durable
        sizes = [len(file.durable), len(file.cached)]
        old = file.durable.ljust(max(sizes), b"\0")
        new = file.cached.ljust(max(sizes), b"\0")
        share = self._rng.choice(KEPT_SHARES)
        kept = [
            self._choose_page(
                share,
                old[start : start + PAGE_BYTES],
                new[start : start + PAGE_BYTES],
            )
            for start in range(0, max(sizes), PAGE_BYTES)
        ]
        some = self._rng.randint(*sorted(sizes))
        size = self._rng.choice([*sizes, sizes[1], some])
        return b"".join(kept)[:size]

    def _choose_page(self, share: float, old: bytes, new: bytes) -> bytes:
        if self._rng.random() < share:
            return new
        cut = self._rng.randrange(len(new) + 1)
        torn = [new[:cut] + old[cut:], old[:cut] + new[cut:]]
        return self._rng.choice([old, *torn])

    def _begin(self) -> None:
        """Counts an operation; kills the process if it is due."""
        if self.operations == self._kill_at:
            raise ProcessKilledError
        self.operations += 1

    # Operations.

    def path_of(self, name: str) -> str:
        """See base class."""
        return f"simulated/{name}"

    def make(self) -> None:
        """See base class."""
        self._begin()
        self._exists = True

    def sync_folder_name(self) -> None:
        """See base class."""
        self._begin()
        self._exists_durably = self._exists

    def list_names(self) -> list[str]:
        """See base class."""
        return list(self._names)

    def read(self, name: str) -> bytes:
        """See base class."""
        return self._names[name].cached

    def open(self, name: str) -> int:
        """See base class."""
        self._begin()
        if name not in self._names:
            self._names[name] = _File(name)
            self._made.append(self._names[name])
        fd = next(self._descriptors)
        self._open_files[fd] = self._names[name]
        return fd

    def append(self, fd: int, data: bytes) -> None:
        """See base class."""
        file = self._open_files[fd]
        if self.operations == self._kill_at:
            file.cached += data[: self._rng.randrange(len(data) + 1)]
        self._begin()
        fitting = data[: self._free_bytes(len(data))]
        file.cached += fitting
        if len(fitting) < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def _free_bytes(self, wanted: int) -> int:
        """Returns how many bytes of a write fit."""
        if self.capacity_bytes is None:
            return wanted
        used = sum(len(file.cached) for file in self._names.values())
        return min(wanted, max(0, self.capacity_bytes - used))

    def truncate(self, fd: int, size: int) -> None:
        """See base class."""
        self._begin()
        file = self._open_files[fd]
        file.cached = file.cached[:size].ljust(size, b"\0")

    def sync(self, fd: int) -> None:
        """See base class."""
        self._begin()
        file = self._open_files[fd]
        file.durable = file.cached
        file.is_made_durable = True

    def close(self, fd: int) -> None:
        """See base class."""
        self._open_files.pop(fd, None)

    def rename(self, old: str, new: str) -> None:
        """See base class."""
        self._begin()
        self._change(_NameChange(old, new, self._names[old]))

    def remove(self, name: str) -> None:
        """See base class."""
        self._begin()
        self._change(_NameChange(name, "", self._names[name]))

    def _change(self, change: _NameChange) -> None:
        _apply_change(self._names, change)
        self._changes.append(change)

    def sync_names(self) -> None:
        """See base class."""
        self._begin()
        self._durable_names = dict(self._names)
        self._made.clear()
        self._changes.clear()


def _apply_change(names: dict[str, _File], change: _NameChange) -> None:
    """Applies a rename or removal, unless the old name is another file's."""
    if names.get(change.old) is change.file:
        del names[change.old]
    if change.new:
        names[change.new] = change.file
