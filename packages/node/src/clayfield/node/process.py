"""Base class of node processes: signals, periodic work, logging, exit.

Periodic work runs in ticks. A node's logic queues actions, such as messages
to send; they run in the next iteration of the event loop.
"""

import abc
import gc
import signal
import traceback
from collections.abc import Callable

from twisted.internet import interfaces, reactor
from twisted.logger import LogEvent, globalLogBeginner

from clayfield.base import MonotonicClock, use_monotonic_timers
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter

TICK_S = 0.02
MS_PER_S = 1000.0
# Net allocations between garbage collections; keeps their pauses rare.
GC_ALLOCATIONS = 20_000
# Least time between two log lines about the same exception.
LOG_INTERVAL_MS = 1000.0


class NodeProcess(abc.ABC):
    """A process that runs until it is stopped by a signal or fails.

    SIGTERM and SIGINT start a planned stop, SIGHUP reloads the settings.

    Attributes:
        failure: reason for which the process ended itself, "" for none.
    """

    def __init__(self, name: str, role: str):
        self.failure = ""
        self._name = name
        self._role = role
        self._is_scheduled = False
        self._is_ended = False
        self._log_filter = RepeatFilter(MonotonicClock(), LOG_INTERVAL_MS)

    def run(self) -> None:
        """Runs the event loop until the process ends."""
        use_monotonic_timers(reactor, MonotonicClock())
        globalLogBeginner.beginLoggingTo(
            [_log_failure], redirectStandardIO=False, discardBuffer=True
        )
        gc.freeze()
        gc.set_threshold(GC_ALLOCATIONS)
        reactor.callWhenRunning(self._on_running)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, _make_signal_handler(self.begin_stop))
        signal.signal(signal.SIGHUP, _make_signal_handler(self.reload))
        reactor.run(installSignalHandlers=False)

    def _on_running(self) -> None:
        try:
            self.start()
        except Exception as exc:
            self.fail(str(exc))
            return
        emit(Event.NODE_STARTED, node=self._name, role=self._role)
        reactor.callLater(TICK_S, self._tick)

    def _tick(self) -> None:
        if self._is_ended:
            return
        reactor.callLater(TICK_S, self._tick)
        self.run_guarded(self.tick)
        self.schedule_actions()

    def run_guarded(self, function: Callable[[], None]) -> None:
        """Calls a function; logs an unexpected exception and drops it.

        The caller then goes on with the next message or action, which may be
        about another job or worker.
        """
        try:
            function()
        except Exception:
            error = traceback.format_exc(limit=-4)
            if self._log_filter.is_due(error):
                emit(Event.INTERNAL, error=error)

    def schedule_actions(self) -> None:
        """Schedules `run_actions` for the next iteration of the event loop."""
        if not self._is_scheduled:
            self._is_scheduled = True
            reactor.callLater(0, self._run_scheduled_actions)

    def _run_scheduled_actions(self) -> None:
        self._is_scheduled = False
        self.run_guarded(self.run_actions)

    def fail(self, reason: str) -> None:
        """Ends the process after an error from which it can't recover."""
        self.failure = reason
        emit(Event.NODE_FAILED, node=self._name, error=reason)
        self.end()

    def end(self) -> None:
        """Stops the event loop, which ends the process."""
        if self._is_ended:
            return
        self._is_ended = True
        emit(Event.NODE_STOPPED, node=self._name)
        reactor.stop()

    def call_later(
        self, delay_s: float, function: Callable[[], None]
    ) -> interfaces.IDelayedCall:
        """Schedules a function call after a delay."""
        return reactor.callLater(delay_s, function)

    @abc.abstractmethod
    def start(self) -> None:
        """Starts to listen and connects to other nodes."""

    @abc.abstractmethod
    def tick(self) -> None:
        """Runs the periodic work; called every `TICK_S`."""

    @abc.abstractmethod
    def run_actions(self) -> None:
        """Runs the queued actions."""

    @abc.abstractmethod
    def begin_stop(self) -> None:
        """Starts a planned stop."""

    @abc.abstractmethod
    def reload(self) -> None:
        """Reads the settings again."""


def _log_failure(event: LogEvent) -> None:
    """Logs exceptions that twisted has caught."""
    failure = event.get("log_failure")
    if failure is not None:
        emit(Event.INTERNAL, error=failure.getTraceback(elideFrameworkCode=1))


def _make_signal_handler(
    function: Callable[[], None],
) -> Callable[[int, object], None]:
    return lambda number, frame: reactor.callFromThread(function)
