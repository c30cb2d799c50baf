"""Shares the event loop between what clients send and all other work.

What a client sends may cost far more time than its size suggests. Reading it
is limited to a part of each short period; what is left over waits, and those
that have sent least for their request go first.
"""

import abc
import heapq
import itertools

from twisted.internet import interfaces

# Time that reading may take in each period.
PERIOD_MS = 50.0
READING_MS = 30.0
MS_PER_S = 1000.0


class Reader(abc.ABC):
    """A connection with received data that is not parsed yet."""

    @property
    @abc.abstractmethod
    def request_bytes(self) -> int:
        """Bytes that have arrived of the request that is being received."""

    @abc.abstractmethod
    def read_some(self) -> bool:
        """Parses a small part of the data.

        Returns:
            Whether more can be parsed.
        """


class ReadScheduler:
    """Runs readers while their share of the time lasts."""

    def __init__(self, reactor: interfaces.IReactorTime):
        """Creates a scheduler without readers.

        Args:
            reactor: the twisted reactor, whose clock is used.
        """
        self._reactor = reactor
        self._period_started_ms = -PERIOD_MS
        self._spent_ms = 0.0
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, Reader]] = []
        self._is_scheduled = False

    @property
    def waiting(self) -> int:
        """Number of readers that wait for their turn."""
        return len(self._waiting)

    def submit(self, reader: Reader) -> None:
        """Parses a reader's data, now or in a later turn of the event loop."""
        now_ms = self._now_ms()
        if self._waiting or not self._has_time(now_ms):
            self._defer(reader)
        else:
            self._run(reader, now_ms)

    def _now_ms(self) -> float:
        return self._reactor.seconds() * MS_PER_S

    def _has_time(self, now_ms: float) -> bool:
        # The reactor's clock is replaced when the process begins to run.
        if not 0.0 <= now_ms - self._period_started_ms < PERIOD_MS:
            self._period_started_ms = now_ms
            self._spent_ms = 0.0
        return self._spent_ms < READING_MS

    def _run(self, reader: Reader, started_ms: float) -> float:
        """Parses until the data or the time ends; returns the current time."""
        before_ms = self._spent_ms
        has_more = True
        now_ms = started_ms
        while has_more and self._spent_ms < READING_MS:
            has_more = reader.read_some()
            now_ms = self._now_ms()
            self._spent_ms = before_ms + now_ms - started_ms
        if has_more:
            self._defer(reader)
        return now_ms

    def _defer(self, reader: Reader) -> None:
        entry = (reader.request_bytes, next(self._numbers), reader)
        heapq.heappush(self._waiting, entry)
        self._schedule()

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        delay_ms = 0.0
        now_ms = self._now_ms()
        if not self._has_time(now_ms):
            delay_ms = self._period_started_ms + PERIOD_MS - now_ms
        self._reactor.callLater(max(0.0, delay_ms) / MS_PER_S, self._run_next)

    def _run_next(self) -> None:
        """Runs waiting readers while time is left in the period."""
        self._is_scheduled = False
        now_ms = self._now_ms()
        while self._waiting and self._has_time(now_ms):
            _, _, reader = heapq.heappop(self._waiting)
            now_ms = self._run(reader, now_ms)
        if self._waiting:
            self._schedule()
