"""A link of limited rate on a manual clock."""

from collections.abc import Callable

from clayfield.testbed.timeline import Timeline

MS_PER_S = 1000.0
PROGRESS_MS = 50.0


class SlowLink:
    """A link that delivers messages in order, each after its bytes.

    Attributes:
        max_waiting_bytes: most bytes that have waited on the link at once.
        sent_bytes: bytes of all messages that were put on the link.
    """

    def __init__(self, timeline: Timeline, bytes_per_s: float, delay_ms: float):
        """Creates an idle link.

        Args:
            timeline: schedules the arrivals.
            bytes_per_s: rate of the link.
            delay_ms: time that each message takes beside its transmission.
        """
        self._timeline = timeline
        self._bytes_per_s = bytes_per_s
        self._delay_ms = delay_ms
        self._waiting_bytes = 0
        self._idle_at_ms = 0.0
        self._generation = 0
        self.max_waiting_bytes = 0
        self.sent_bytes = 0

    def drop_waiting(self) -> None:
        """Loses the messages that have not arrived."""
        self._generation += 1
        self._waiting_bytes = 0
        self._idle_at_ms = 0.0

    def send(
        self,
        size: int,
        arrive: Callable[[], None],
        on_progress: Callable[[], None] | None = None,
    ) -> None:
        """Puts a message on the link.

        Args:
            size: number of its bytes.
            arrive: called when all of them have arrived.
            on_progress: called at intervals while they arrive.
        """
        now_ms = self._timeline.clock.now_ms()
        transmission_ms = size / self._bytes_per_s * MS_PER_S
        start_ms = max(self._idle_at_ms, now_ms)
        self._idle_at_ms = start_ms + transmission_ms
        self.sent_bytes += size
        self._waiting_bytes += size
        self.max_waiting_bytes = max(
            self.max_waiting_bytes, self._waiting_bytes
        )

        generation = self._generation

        def report_progress() -> None:
            if generation == self._generation:
                on_progress()

        reports = int(transmission_ms / PROGRESS_MS) if on_progress else 0
        for number in range(1, reports + 1):
            arrival_ms = start_ms + number * PROGRESS_MS + self._delay_ms
            self._timeline.call_later(arrival_ms - now_ms, report_progress)

        def finish() -> None:
            if generation == self._generation:
                self._waiting_bytes -= size
                arrive()

        wait_ms = self._idle_at_ms - now_ms + self._delay_ms
        self._timeline.call_later(wait_ms, finish)
