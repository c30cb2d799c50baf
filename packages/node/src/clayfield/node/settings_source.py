"""Where a running node reads its settings again."""

import os
from collections.abc import Callable

from clayfield.base import ClayfieldError
from clayfield.base.events import Event, emit
from clayfield.node.settings import NodeSettings


class SettingsSource:
    """Reads a node's settings again, and notices changes of their file.

    Another program may replace or rewrite the file, with or without a signal
    to the node.
    """

    __slots__ = ("_load", "_path", "_seen")

    def __init__(self, load: Callable[[], NodeSettings], path: str = ""):
        """Notes the file as it is now.

        Args:
            load: returns the settings, read anew.
            path: path of the file; "" if the settings have none.
        """
        self._load = load
        self._path = path
        self._seen = self._read_identity()

    def reload(self) -> NodeSettings | None:
        """Returns the settings, read anew; None, with a log line, on errors."""
        try:
            cfg = self._load()
        except ClayfieldError as exc:
            emit(Event.RELOAD_FAILED, path=self._path, error=str(exc))
            return None
        emit(Event.RELOADED, node=cfg.name)
        return cfg

    def has_changed(self) -> bool:
        """Returns whether the file differs from that at the call before.

        A file that is missing counts as unchanged until it is back.
        """
        identity = self._read_identity()
        if identity is None or identity == self._seen:
            return False
        self._seen = identity
        return True

    def _read_identity(self) -> tuple[int, int, int] | None:
        """Returns inode, size and time of change; None if there is no file."""
        if not self._path:
            return None
        try:
            stat = os.stat(self._path)
        except OSError:
            return None
        return stat.st_ino, stat.st_size, stat.st_mtime_ns
