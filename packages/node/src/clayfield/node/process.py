"""What both kinds of process share: signals, ticks, logs and their end."""

import abc
import gc
import signal
import traceback
from collections.abc import Callable

from twisted.internet import interfaces, reactor
from twisted.logger import LogEvent, globalLogBeginner

from clayfield.base.events import Event, emit

TICK_S = 0.02
MS_PER_S = 1000.0
GC_ALLOCATIONS = 20_000


class NodeProcess(abc.ABC):
    """A process that ticks until it is told to stop.

    Attributes:
        failure: why it could not go on, or "".
    """

    def __init__(self, name: str, role: str):
        self.failure = ""
        self._name = name
        self._role = role
        self._is_due = False
        self._is_ended = False

    def run(self) -> None:
        """Runs until stopped."""
        globalLogBeginner.beginLoggingTo(
            [_log_failure], redirectStandardIO=False, discardBuffer=True
        )
        gc.freeze()
        gc.set_threshold(GC_ALLOCATIONS)
        reactor.callWhenRunning(self._begin)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, _calling(self.begin_stop))
        signal.signal(signal.SIGHUP, _calling(self.reload))
        reactor.run(installSignalHandlers=False)

    def _begin(self) -> None:
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
        self._contain(self.tick)
        self.kick()

    def _contain(self, act: Callable[[], None]) -> None:
        """Does something; an unexpected error is logged and goes no further."""
        try:
            act()
        except Exception:
            emit(Event.INTERNAL, error=traceback.format_exc(limit=-4))

    def kick(self) -> None:
        """Has what was decided carried out in this turn of the loop."""
        if not self._is_due:
            self._is_due = True
            reactor.callLater(0, self._carry_out)

    def _carry_out(self) -> None:
        self._is_due = False
        self._contain(self.carry_out)

    def fail(self, reason: str) -> None:
        """Ends the process because it cannot go on."""
        self.failure = reason
        emit(Event.NODE_FAILED, node=self._name, error=reason)
        self.end()

    def end(self) -> None:
        """Ends the process."""
        if self._is_ended:
            return
        self._is_ended = True
        emit(Event.NODE_STOPPED, node=self._name)
        reactor.stop()

    def call_later(
        self, delay_s: float, act: Callable[[], None]
    ) -> interfaces.IDelayedCall:
        """Has something done later."""
        return reactor.callLater(delay_s, act)

    @abc.abstractmethod
    def start(self) -> None:
        """Listens and connects."""

    @abc.abstractmethod
    def tick(self) -> None:
        """Lets time act."""

    @abc.abstractmethod
    def carry_out(self) -> None:
        """Carries out what was decided."""

    @abc.abstractmethod
    def begin_stop(self) -> None:
        """Begins a planned stop."""

    @abc.abstractmethod
    def reload(self) -> None:
        """Reads the settings again."""


def _log_failure(event: LogEvent) -> None:
    """Passes on errors that twisted has caught."""
    failure = event.get("log_failure")
    if failure is not None:
        emit(Event.INTERNAL, error=failure.getTraceback(elideFrameworkCode=1))


def _calling(act: Callable[[], None]) -> Callable[[int, object], None]:
    return lambda number, frame: reactor.callFromThread(act)
