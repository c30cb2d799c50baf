"""When each worker is held, and how long its hold waits for an end.

A worker on which something runs always has a hold under way, which renews its
lease and waits for an end. One on which nothing runs is held just to hear
whether it is there; where there are many of those, seldom.
"""

from clayfield.pool.worker import Worker

HOLD_WAIT_MS = 400
# The longest that a worker lets a hold wait.
LONGEST_WAIT_MS = 2000
# Holds of workers on which nothing runs, over all of them.
IDLE_HOLDS_A_S = 80.0
# Holds under way to workers of which it is not known what runs there.
ASKING_AT_ONCE = 64
# Workers on which nothing runs that are looked at in one tick.
IDLE_A_TICK = 64
# Between holds that get no answer: at least, and as a share of the time
# between the holds of an idle worker.
RETRY_MS = 60.0
RETRY_SHARE = 0.2
# Between holds while a worker lists ends that are not stored yet.
UNSTORED_PAUSE_MS = 10.0
MS_PER_S = 1000.0


class HoldSchedule:
    """The order in which a holder holds its workers.

    Attributes:
        asked_ms: since when all workers are to be asked anew.
    """

    __slots__ = ("_asking", "_ticks", "_workers", "asked_ms")

    def __init__(self, workers: dict[str, Worker]):
        """Starts.

        Args:
            workers: by name; the fleet adds and drops them.
        """
        self.asked_ms = -1.0
        self._workers = workers
        self._asking: set[str] = set()
        self._ticks = 0

    # Times.

    @property
    def _idle_interval_ms(self) -> float:
        """Between the holds of a worker on which nothing runs."""
        return len(self._workers) / IDLE_HOLDS_A_S * MS_PER_S

    @property
    def retry_ms(self) -> float:
        """Between holds of a worker that does not answer."""
        return max(RETRY_MS, self._idle_interval_ms * RETRY_SHARE)

    def wait_ms(self, worker: Worker) -> int:
        """Returns how long the next hold of a worker may wait."""
        if not worker.is_reachable or not worker.is_adopted:
            return 0
        if worker.runs or worker.has_unstored_ends:
            return HOLD_WAIT_MS
        idle_ms = max(HOLD_WAIT_MS, self._idle_interval_ms)
        return int(min(LONGEST_WAIT_MS, idle_ms))

    def pause_ms(self, worker: Worker) -> float:
        """Returns how long to wait before a worker is held again."""
        if worker.has_unstored_ends:
            return UNSTORED_PAUSE_MS
        if worker.runs:
            return 0.0
        return max(0.0, self._idle_interval_ms - LONGEST_WAIT_MS)

    # Turns.

    def due_workers(self) -> list[Worker]:
        """Returns the workers to be looked at in this tick.

        Those on which nothing runs come by turns where there are many.
        """
        self._ticks += 1
        stride = 1 + len(self._workers) // IDLE_A_TICK
        return [
            worker
            for number, worker in enumerate(self._workers.values())
            if worker.runs or (number + self._ticks) % stride == 0
        ]

    def may_ask(self, worker: Worker) -> bool:
        """Tells whether a worker may be asked now what runs there.

        If so, it counts as asked until it has answered.
        """
        if len(self._asking) >= ASKING_AT_ONCE:
            return False
        self._asking.add(worker.name)
        return True

    def take_to_ask(self) -> list[Worker]:
        """Returns workers to be asked now that are to be asked anew."""
        return [
            worker
            for worker in self._workers.values()
            if worker.obeyed_ms <= self.asked_ms
            and worker.is_adopted
            and worker.is_reachable
            and worker.name not in self._asking
            and self.may_ask(worker)
        ]

    def on_answer(self, name: str) -> None:
        """Learns that a worker has answered a hold, or is gone."""
        self._asking.discard(name)
