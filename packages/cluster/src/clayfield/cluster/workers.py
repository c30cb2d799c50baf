"""The workers that a control node has heard of."""

from clayfield.base import Clock
from clayfield.wire.jobs import WorkerInfo

# Heartbeats that may be missed before a worker is forgotten.
FORGET_BEATS = 5


class WorkerDirectory:
    """Statements of workers, the latest of each life."""

    __slots__ = ("_clock", "_forget_ms", "_heard_ms", "_infos", "_left")

    def __init__(self, clock: Clock, heartbeat_ms: float):
        self._clock = clock
        self._forget_ms = heartbeat_ms * FORGET_BEATS
        self._infos: dict[str, WorkerInfo] = {}
        self._heard_ms: dict[str, float] = {}
        self._left: dict[str, float] = {}

    def on_statement(self, info: WorkerInfo) -> bool:
        """Takes a statement.

        Returns:
            Whether it says something new; a late one or a repetition does
            not.
        """
        if info.name in self._left:
            return False
        known = self._infos.get(info.name)
        if known and info.sequence <= known.sequence:
            return False
        self._heard_ms[info.name] = self._clock.now_ms()
        self._infos[info.name] = info
        return known is None or _without_sequence(known, info)

    def on_leave(self, name: str) -> None:
        """Learns that a worker has taken its leave."""
        self._infos.pop(name, None)
        self._heard_ms.pop(name, None)
        self._left[name] = self._clock.now_ms()

    def forget_silent(self) -> None:
        """Drops workers that were not heard of for long."""
        since_ms = self._clock.now_ms() - self._forget_ms
        for name, heard_ms in list(self._heard_ms.items()):
            if heard_ms < since_ms:
                del self._heard_ms[name]
                del self._infos[name]
        for name, left_ms in list(self._left.items()):
            if left_ms < since_ms:
                del self._left[name]

    def all(self) -> tuple[WorkerInfo, ...]:
        """Returns the latest statements."""
        return tuple(self._infos.values())

    def __contains__(self, name: str) -> bool:
        return name in self._infos


def _without_sequence(known: WorkerInfo, info: WorkerInfo) -> bool:
    """Tells whether two statements differ in more than their number."""
    return (
        known.state is not info.state
        or known.address != info.address
        or known.cpu != info.cpu
        or known.memory_mb != info.memory_mb
        or known.gpu != info.gpu
        or known.labels != info.labels
    )
