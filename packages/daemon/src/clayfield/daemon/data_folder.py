"""File operations of a data folder.

No operation is durable by itself: the content of a file is durable once the
file was synced, and a rename or removal once the folder was synced.
"""

import abc
import contextlib
import os
import pathlib

FOLDER_MODE = 0o700
FILE_MODE = 0o600


class DataFolder(abc.ABC):
    """A folder whose files are addressed by their names."""

    @abc.abstractmethod
    def path_of(self, name: str) -> str:
        """Returns the path of a file, for messages."""

    @abc.abstractmethod
    def make(self) -> None:
        """Creates the folder unless it exists; it may not be durable."""

    @abc.abstractmethod
    def sync_folder_name(self) -> None:
        """Makes the folder itself durable in the folder that holds it."""

    @abc.abstractmethod
    def list_names(self) -> list[str]:
        """Returns the names of all files."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Returns the content of a file."""

    @abc.abstractmethod
    def open(self, name: str) -> int:
        """Opens a file for appending; returns its descriptor.

        The file is created unless it exists.
        """

    @abc.abstractmethod
    def append(self, fd: int, data: bytes) -> None:
        """Appends data to a file."""

    @abc.abstractmethod
    def truncate(self, fd: int, size: int) -> None:
        """Cuts a file to a size in bytes."""

    @abc.abstractmethod
    def sync(self, fd: int) -> None:
        """Makes the content of a file durable."""

    @abc.abstractmethod
    def close(self, fd: int) -> None:
        """Closes a file."""

    @abc.abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Renames a file; replaces a file of the new name."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Removes a file."""

    @abc.abstractmethod
    def sync_names(self) -> None:
        """Makes the renames and removals in the folder durable."""


class OsDataFolder(DataFolder):
    """A folder of the operating system."""

    __slots__ = ("_path",)

    def __init__(self, path: str):
        self._path = pathlib.Path(path)

    def path_of(self, name: str) -> str:
        """See base class."""
        return str(self._path / name)

    def make(self) -> None:
        """See base class."""
        _make_durably(self._path.parent)
        self._path.mkdir(FOLDER_MODE, exist_ok=True)

    def sync_folder_name(self) -> None:
        """See base class."""
        _sync_parent(self._path)

    def list_names(self) -> list[str]:
        """See base class."""
        return os.listdir(self._path)

    def read(self, name: str) -> bytes:
        """See base class."""
        return (self._path / name).read_bytes()

    def open(self, name: str) -> int:
        """See base class."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        return os.open(self._path / name, flags, FILE_MODE)

    def append(self, fd: int, data: bytes) -> None:
        """See base class."""
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]

    def truncate(self, fd: int, size: int) -> None:
        """See base class."""
        os.ftruncate(fd, size)

    def sync(self, fd: int) -> None:
        """See base class."""
        os.fdatasync(fd)

    def close(self, fd: int) -> None:
        """See base class."""
        os.close(fd)

    def rename(self, old: str, new: str) -> None:
        """See base class."""
        os.replace(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        """See base class."""
        os.unlink(self._path / name)

    def sync_names(self) -> None:
        """See base class."""
        _sync_folder(self._path)


def _make_durably(path: pathlib.Path) -> None:
    """Creates a folder and those that hold it, unless they exist."""
    if path.is_dir():
        return
    _make_durably(path.parent)
    path.mkdir(FOLDER_MODE, exist_ok=True)
    _sync_parent(path)


def _sync_parent(path: pathlib.Path) -> None:
    # The folder may be a mount point below one that cannot be read or synced.
    # A disk that fails also fails the syncs within the folder.
    with contextlib.suppress(OSError):
        _sync_folder(path.parent)


def _sync_folder(path: pathlib.Path) -> None:
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
