"""The workers that announce themselves to a control node."""

from clayfield.base import Clock
from clayfield.wire.heartbeats import log_ignored
from clayfield.wire.jobs import WorkerInfo

# Number of missed heartbeats after which a worker is removed.
MAX_MISSED_HEARTBEATS = 5


class WorkerDirectory:
    """The latest heartbeat of each worker, by the name of its incarnation."""

    __slots__ = (
        "_clock",
        "_expiry_ms",
        "_infos",
        "_last_heartbeat_ms",
        "_left_ms",
    )

    def __init__(self, clock: Clock, heartbeat_ms: float):
        """Sets up an empty directory.

        Args:
            clock: source of the current time.
            heartbeat_ms: time between the heartbeats of a worker.
        """
        self._clock = clock
        self._expiry_ms = heartbeat_ms * MAX_MISSED_HEARTBEATS
        self._infos: dict[str, WorkerInfo] = {}
        self._last_heartbeat_ms: dict[str, float] = {}
        self._left_ms: dict[str, float] = {}

    def on_heartbeat(self, info: WorkerInfo) -> bool:
        """Records a heartbeat of a worker.

        Returns:
            Whether the worker is new or has changed; False for an outdated
            heartbeat and for one of a worker that has left.
        """
        if info.name in self._left_ms:
            return False
        previous = self._infos.get(info.name)
        if previous and info.sequence <= previous.sequence:
            log_ignored(info, previous)
            return False
        self._last_heartbeat_ms[info.name] = self._clock.now_ms()
        self._infos[info.name] = info
        return previous is None or _has_changed(previous, info)

    def on_leave(self, name: str) -> None:
        """Removes a worker that has left."""
        self._infos.pop(name, None)
        self._last_heartbeat_ms.pop(name, None)
        self._left_ms[name] = self._clock.now_ms()

    def remove_expired(self) -> None:
        """Removes the workers that missed too many heartbeats."""
        cutoff_ms = self._clock.now_ms() - self._expiry_ms
        for name, last_ms in list(self._last_heartbeat_ms.items()):
            if last_ms < cutoff_ms:
                del self._last_heartbeat_ms[name]
                del self._infos[name]
        for name, left_ms in list(self._left_ms.items()):
            if left_ms < cutoff_ms:
                del self._left_ms[name]

    def all(self) -> tuple[WorkerInfo, ...]:
        """Returns the latest heartbeats."""
        return tuple(self._infos.values())

    def __contains__(self, name: str) -> bool:
        return name in self._infos


def _has_changed(previous: WorkerInfo, info: WorkerInfo) -> bool:
    """Returns whether heartbeats differ in more than the sequence number."""
    return (
        previous.state is not info.state
        or previous.address != info.address
        or previous.cpu != info.cpu
        or previous.memory_mb != info.memory_mb
        or previous.gpu != info.gpu
        or previous.labels != info.labels
    )
