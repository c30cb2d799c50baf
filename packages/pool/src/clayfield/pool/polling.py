"""When each worker is polled, and how long the worker may delay its reply.

A worker that has runs always has one poll open, which renews its lease and
returns when a run ends. An idle worker is polled just to check that it is
reachable; the more workers there are, the less often.
"""

from clayfield.pool.worker import Worker

# How long a worker with runs may delay its reply to a poll.
POLL_WAIT_MS = 400
# Longest delay that a worker supports.
MAX_POLL_WAIT_MS = 2000
# Rate of the polls of idle workers, over all of them.
IDLE_POLLS_PER_S = 80.0
# Limit of concurrent polls of workers whose runs are not known.
MAX_SYNCS = 64
# Number of idle workers that are checked in one tick.
IDLE_WORKERS_PER_TICK = 64
# Pause after a failed poll: the larger of a time and a share of the interval
# between the polls of an idle worker.
MIN_RETRY_MS = 60.0
RETRY_SHARE = 0.2
# Pause between polls while a worker lists ends that are not stored yet.
UNSTORED_PAUSE_MS = 10.0
# Pause between polls of a worker that lists rows which can't be read; it may
# reply to every poll at once.
UNREADABLE_PAUSE_MS = 50.0
MS_PER_S = 1000.0


class PollSchedule:
    """Decides when the holder polls its workers.

    Attributes:
        sync_after_ms: time after which every worker is to accept a poll, in
            ms; -1 before the first request for that.
    """

    __slots__ = ("_syncing", "_ticks", "_workers", "sync_after_ms")

    def __init__(self, workers: dict[str, Worker]):
        """Creates a schedule.

        Args:
            workers: the workers by name; the fleet adds and removes them.
        """
        self.sync_after_ms = -1.0
        self._workers = workers
        self._syncing: set[str] = set()
        self._ticks = 0

    # Intervals.

    @property
    def _idle_interval_ms(self) -> float:
        """Interval between the polls of an idle worker."""
        return len(self._workers) / IDLE_POLLS_PER_S * MS_PER_S

    @property
    def retry_ms(self) -> float:
        """Pause after a failed poll of a worker, in ms."""
        return max(MIN_RETRY_MS, self._idle_interval_ms * RETRY_SHARE)

    def wait_ms(self, worker: Worker) -> int:
        """Returns how long a worker may delay its next reply, in ms."""
        if not worker.is_reachable or not worker.is_synced:
            return 0
        if worker.runs or worker.has_unstored_ends:
            return POLL_WAIT_MS
        idle_ms = max(POLL_WAIT_MS, self._idle_interval_ms)
        return int(min(MAX_POLL_WAIT_MS, idle_ms))

    def pause_ms(self, worker: Worker) -> float:
        """Returns the time from a reply to the next poll, in ms."""
        if worker.has_unstored_ends:
            return UNSTORED_PAUSE_MS
        if worker.runs or worker.has_unlisted_ends:
            return 0.0
        return max(0.0, self._idle_interval_ms - MAX_POLL_WAIT_MS)

    # Selection of workers.

    def due_workers(self) -> list[Worker]:
        """Returns the workers to check in this tick.

        These are all workers with runs and, of the idle ones, a different
        part in each tick if there are many.
        """
        self._ticks += 1
        stride = 1 + len(self._workers) // IDLE_WORKERS_PER_TICK
        return [
            worker
            for number, worker in enumerate(self._workers.values())
            if worker.runs or (number + self._ticks) % stride == 0
        ]

    def try_start_sync(self, worker: Worker) -> bool:
        """Reserves one of the concurrent polls that determine a worker's runs.

        The reservation ends with `on_reply`.

        Returns:
            Whether there was a free one.
        """
        if len(self._syncing) >= MAX_SYNCS:
            return False
        self._syncing.add(worker.name)
        return True

    def take_unsynced(self) -> list[Worker]:
        """Reserves polls for workers that have accepted none lately.

        Returns:
            Workers to poll now whose latest accepted poll was sent no later
            than `sync_after_ms`.
        """
        return [
            worker
            for worker in self._workers.values()
            if worker.synced_ms <= self.sync_after_ms
            and worker.is_synced
            and worker.is_reachable
            and worker.name not in self._syncing
            and self.try_start_sync(worker)
        ]

    def on_reply(self, name: str) -> None:
        """Handles the reply to a poll, or the removal of the worker."""
        self._syncing.discard(name)
