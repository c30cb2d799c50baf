"""Simulated workers with slots, for sites of boxes."""

from collections.abc import Callable

from clayfield.dispatch import TaskOutcome, WorkerInfo
from clayfield.testbed.events import EventQueue
from clayfield.testbed.invariants import InvariantChecker

Report = Callable[[TaskOutcome, bytes, float], None]


class FakeWorker:
    """A worker with a fixed number of slots.

    Attributes:
        info: its description in the worker list.
        is_alive: whether it accepts connections.
        is_leaving: whether it rejects starts because it is being removed.
        is_frozen: whether it accepts starts but never replies.
        seen_leaving_ms: time at which the worker list first showed the boxes
            that it is leaving, in ms; infinite if it did not.
        slowdown: factor applied to the duration of tasks.
        busy_ms: slot time spent on completed tasks, in ms.
    """

    def __init__(
        self, info: WorkerInfo, events: EventQueue, checker: InvariantChecker
    ):
        self.info = info
        self.is_alive = True
        self.is_leaving = False
        self.is_frozen = False
        self.seen_leaving_ms = float("inf")
        self.slowdown = 1.0
        self.busy_ms = 0.0
        self._events = events
        self._checker = checker
        self._running: dict[int, Report] = {}
        self._last_number = 0

    def start(
        self, key: str, task: int, payload: bytes, run_ms: float, report: Report
    ) -> None:
        """Handles a start request.

        Args:
            key: the key of the job.
            task: the number of the task in the job.
            payload: the payload of the task, which is also its answer.
            run_ms: the duration of the task, in ms.
            report: called once with the end, never if the worker is frozen.
        """
        if not self.is_alive:
            report(TaskOutcome.UNREACHED, b"", 0.0)
            return
        if self.is_leaving:
            seen_for_ms = self._events.now_ms() - self.seen_leaving_ms
            self._checker.on_leaving_start(self.info.name, seen_for_ms)
            report(TaskOutcome.LEAVING, b"", 0.0)
            return
        if len(self._running) >= self.info.slots:
            report(TaskOutcome.REFUSED, b"", 0.0)
            return
        self._checker.on_start(key, task, self.info.name)
        self._last_number += 1
        number = self._last_number
        self._running[number] = report
        if not self.is_frozen:
            duration_ms = run_ms * self.slowdown
            self._events.call_later(
                duration_ms, lambda: self._end(number, payload, duration_ms)
            )

    def _end(self, number: int, payload: bytes, duration_ms: float) -> None:
        report = self._running.pop(number, None)
        if report and not self.is_frozen:
            self.busy_ms += duration_ms
            report(TaskOutcome.ANSWERED, payload, duration_ms)

    def kill(self) -> None:
        """Ends the process: running tasks are lost, connections break."""
        self.is_alive = False
        running = list(self._running.values())
        self._running.clear()
        for report in running:
            report(TaskOutcome.LOST, b"", 0.0)

    def revive(self) -> None:
        """Restarts the process, without running tasks."""
        self.is_alive = True
        self.is_frozen = False
        self._running.clear()
