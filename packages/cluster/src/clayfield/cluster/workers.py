"""The workers that announce themselves to a control node."""

from clayfield.base import Clock
from clayfield.wire.heartbeats import log_ignored
from clayfield.wire.jobs import WorkerInfo

# Number of missed heartbeats after which a worker is removed.
MAX_MISSED_HEARTBEATS = 5


class _Left:
    """An incarnation of a worker that has left.

    Attributes:
        born_ms: its start time, in ms since 1970; 0 if unknown.
        since_ms: when it left, in ms.
    """

    __slots__ = ("born_ms", "since_ms")

    def __init__(self, born_ms: int, since_ms: float):
        self.born_ms = born_ms
        self.since_ms = since_ms


# Name, service and address, which identify the sender of a heartbeat.
_Writer = tuple[str, str, str]


class WorkerDirectory:
    """The latest heartbeat of each worker, by name and writer.

    A heartbeat of another writer under the name of a worker neither replaces
    the worker's own heartbeats nor makes them count as outdated.
    """

    __slots__ = (
        "_clock",
        "_expiry_ms",
        "_infos",
        "_last_heartbeat_ms",
        "_left",
    )

    def __init__(self, clock: Clock, heartbeat_ms: float):
        """Sets up an empty directory.

        Args:
            clock: source of the current time.
            heartbeat_ms: time between the heartbeats of a worker.
        """
        self._clock = clock
        self._expiry_ms = heartbeat_ms * MAX_MISSED_HEARTBEATS
        self._infos: dict[_Writer, WorkerInfo] = {}
        self._last_heartbeat_ms: dict[_Writer, float] = {}
        self._left: dict[str, _Left] = {}

    def on_heartbeat(self, info: WorkerInfo) -> bool:
        """Records a heartbeat of a worker.

        Returns:
            Whether the worker is new or has changed; False for an outdated
            heartbeat and for one of a worker that has left.
        """
        left = self._left.get(info.name)
        if left and info.born_ms <= left.born_ms:
            return False
        writer = (info.name, info.service, info.address)
        previous = self._infos.get(writer)
        if previous and not previous.is_older_than(info):
            log_ignored(info, previous)
            return False
        self._last_heartbeat_ms[writer] = self._clock.now_ms()
        self._infos[writer] = info
        return previous is None or info.has_other_content(previous)

    def on_leave(self, name: str) -> int:
        """Removes a worker that has left.

        Returns:
            The start time of the incarnation that has left, in ms since 1970;
            0 if it is unknown.
        """
        born_ms = 0
        for writer, info in list(self._infos.items()):
            if info.name == name:
                born_ms = max(born_ms, info.born_ms)
                self._remove(writer)
        self._left[name] = _Left(born_ms, self._clock.now_ms())
        return born_ms

    def remove_expired(self) -> None:
        """Removes the workers that missed too many heartbeats."""
        cutoff_ms = self._clock.now_ms() - self._expiry_ms
        for writer, last_ms in list(self._last_heartbeat_ms.items()):
            if last_ms < cutoff_ms:
                self._remove(writer)
        for name, left in list(self._left.items()):
            if left.since_ms < cutoff_ms:
                del self._left[name]

    def _remove(self, writer: _Writer) -> None:
        del self._last_heartbeat_ms[writer]
        del self._infos[writer]

    def all(self) -> tuple[WorkerInfo, ...]:
        """Returns the latest heartbeats."""
        return tuple(self._infos.values())
