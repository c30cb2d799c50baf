"""Selects the workers that an entry node passes on to the holder.

A worker sends its heartbeats to one control node, which may have no connection
to the holder. An entry node that receives them passes on what the holder does
not report as its own within a time.
"""

from collections.abc import Iterable

from clayfield.base import Clock
from clayfield.wire.jobs import WorkerInfo

# Time in which the holder's own report of a worker arrives, if it has one.
CONFIRM_MS = 200.0

# Name, service and address, which identify the sender of a heartbeat.
_Writer = tuple[str, str, str]


class WorkerRelay:
    """The heartbeats that the holder has reported, and those it may lack."""

    __slots__ = ("_clock", "_holder", "_reports", "_unconfirmed")

    def __init__(self, clock: Clock):
        """Creates a relay without a holder.

        Args:
            clock: source of the current time.
        """
        self._clock = clock
        self._holder = ""
        # What each entry node that schedules workers is known to have. A new
        # holder may report its workers before its grant arrives here.
        self._reports: dict[str, dict[_Writer, WorkerInfo]] = {}
        self._unconfirmed: dict[_Writer, tuple[float, WorkerInfo]] = {}

    def on_report(self, node: str, info: WorkerInfo) -> None:
        """Records a heartbeat that another entry node has."""
        writer = _writer_of(info)
        self._reports.setdefault(node, {})[writer] = info
        if node == self._holder:
            self._unconfirmed.pop(writer, None)

    def on_heartbeat(self, info: WorkerInfo) -> None:
        """Records a heartbeat that the holder may lack."""
        writer = _writer_of(info)
        reported = self._reports.get(self._holder, {}).get(writer)
        if reported is None or info.has_other_content(reported):
            self._unconfirmed[writer] = (self._clock.now_ms(), info)

    def on_removed(self, info: WorkerInfo) -> None:
        """Drops the heartbeats of a worker that has left."""
        writer = _writer_of(info)
        self._unconfirmed.pop(writer, None)
        for report in self._reports.values():
            report.pop(writer, None)

    def on_disconnected(self, node: str) -> None:
        """Handles the loss of the connection to a node.

        What was sent to the holder may be lost with it.
        """
        self._reports.pop(node, None)
        if node == self._holder:
            self._holder = ""

    def set_holder(self, node: str, known: Iterable[WorkerInfo]) -> None:
        """Sets the node to pass workers on to.

        Args:
            node: name of the connected holder, "" for none.
            known: the heartbeats of all workers that this node knows.
        """
        if node == self._holder:
            return
        self._holder = node
        self._unconfirmed.clear()
        for info in known:
            self.on_heartbeat(info)

    def take_due(self) -> tuple[WorkerInfo, ...]:
        """Returns the heartbeats to pass on now, each of them once."""
        if not self._holder:
            return ()
        cutoff_ms = self._clock.now_ms() - CONFIRM_MS
        due = tuple(
            info
            for since_ms, info in self._unconfirmed.values()
            if since_ms <= cutoff_ms
        )
        for info in due:
            self.on_report(self._holder, info)
        return due


def _writer_of(info: WorkerInfo) -> _Writer:
    return info.name, info.service, info.address
