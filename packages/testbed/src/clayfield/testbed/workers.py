"""Stand-in workers."""

from collections.abc import Callable

from clayfield.dispatch import TaskEnd, WorkerInfo
from clayfield.testbed.events import EventQueue
from clayfield.testbed.ledger import Ledger

Report = Callable[[TaskEnd, bytes, float], None]


class FakeWorker:
    """A worker with a fixed number of slots.

    Attributes:
        info: as the platform list will show it.
        is_alive: refuses connections when not.
        is_leaving: refuses starts when so.
        is_frozen: takes starts and never answers.
        seen_leaving_ms: since when boxes could see that it leaves.
        slowdown: multiplies the time of tasks.
        busy_ms: slot time spent on tasks that ended.
    """

    def __init__(self, info: WorkerInfo, events: EventQueue, ledger: Ledger):
        self.info = info
        self.is_alive = True
        self.is_leaving = False
        self.is_frozen = False
        self.seen_leaving_ms = float("inf")
        self.slowdown = 1.0
        self.busy_ms = 0.0
        self._events = events
        self._ledger = ledger
        self._running: dict[int, Report] = {}
        self._next = 0

    def start(
        self, key: str, task: int, payload: bytes, run_ms: float, report: Report
    ) -> None:
        """Takes a start; `report` is called once, unless it is frozen."""
        if not self.is_alive:
            report(TaskEnd.UNREACHED, b"", 0.0)
            return
        if self.is_leaving:
            asked_late = self._events.now_ms() - self.seen_leaving_ms
            self._ledger.on_leaving_start(self.info.name, asked_late)
            report(TaskEnd.LEAVING, b"", 0.0)
            return
        if len(self._running) >= self.info.slots:
            report(TaskEnd.REFUSED, b"", 0.0)
            return
        self._ledger.on_start(key, task, self.info.name)
        self._next += 1
        number = self._next
        self._running[number] = report
        if not self.is_frozen:
            took_ms = run_ms * self.slowdown
            self._events.after(
                took_ms, lambda: self._end(number, payload, took_ms)
            )

    def _end(self, number: int, payload: bytes, took_ms: float) -> None:
        report = self._running.pop(number, None)
        if report and not self.is_frozen:
            self.busy_ms += took_ms
            report(TaskEnd.ANSWERED, payload, took_ms)

    def kill(self) -> None:
        """Dies; whatever runs is lost, and the connections break."""
        self.is_alive = False
        running = list(self._running.values())
        self._running.clear()
        for report in running:
            report(TaskEnd.LOST, b"", 0.0)

    def revive(self) -> None:
        """Comes back, empty."""
        self.is_alive = True
        self.is_frozen = False
        self._running.clear()
