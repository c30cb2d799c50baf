"""Times that a pool is configured with at its start."""

# Greatest relative drift of a worker's clock against the holder's.
MAX_CLOCK_DRIFT = 0.02
# Allowance for the transit of a command that renews a lease.
MAX_TRANSIT_MS = 60.0
# Time that remains from the latest end of a run to a job's next submission.
RUN_LIMIT_MARGIN_MS = 30.0
# Time for a stop request to be sent, retried and confirmed by a poll.
STOP_ALLOWANCE_MS = 200.0
# Shorter times would stop runs whenever a single message is delayed.
MIN_ENTRY_TIMEOUT_MS = 400.0
# The same for the starts of tasks; more than the interval of the probes.
MIN_START_LIMIT_MS = 160.0


class PoolTiming:
    """Times that a pool is configured with.

    Attributes:
        lease_ms: longest lease that a worker accepts, in ms.
        stop_ms: longest time that a worker needs to stop a run, in ms.
        keep_ended_ms: how long the end state of a kept job can be queried, in
            ms.
        resubmit_ms: how long a caller that has lost its connection waits
            before it submits the same job again, in ms.
    """

    __slots__ = ("keep_ended_ms", "lease_ms", "resubmit_ms", "stop_ms")

    def __init__(
        self,
        lease_ms: float = 1000.0,
        stop_ms: float = 50.0,
        keep_ended_ms: float = 120_000.0,
        resubmit_ms: float = 1300.0,
    ):
        self.lease_ms = lease_ms
        self.stop_ms = stop_ms
        self.keep_ended_ms = keep_ended_ms
        self.resubmit_ms = resubmit_ms

    @property
    def entry_timeout_ms(self) -> float:
        """Time after the last sign of an entry node to stop its jobs' runs."""
        run_limit_ms = self.resubmit_ms - self._margin_ms
        return max(MIN_ENTRY_TIMEOUT_MS, run_limit_ms - self._stop_allowance_ms)

    @property
    def run_limit_ms(self) -> float:
        """Time after the last sign of an entry node when no run remains.

        The leases of workers are not renewed beyond it, so the runs end even
        if the stop requests are lost.
        """
        return self.entry_timeout_ms + self._stop_allowance_ms

    @property
    def start_limit_ms(self) -> float:
        """Time after the last sign of an entry node to start its tasks.

        A worker may have been given a full lease just before it gets a task,
        and a lease can't be shortened.
        """
        limit_ms = self.resubmit_ms - self.max_lease_ms
        limit_ms = min(limit_ms, self.entry_timeout_ms)
        return max(MIN_START_LIMIT_MS, limit_ms)

    @property
    def min_resubmit_ms(self) -> float:
        """Shortest `resubmit_ms` before which runs are certain to end."""
        return max(
            MIN_ENTRY_TIMEOUT_MS + self._stop_allowance_ms + self._margin_ms,
            MIN_START_LIMIT_MS + self.max_lease_ms,
        )

    @property
    def max_lease_ms(self) -> float:
        """Longest time for which a worker keeps a lease once it is sent."""
        return self.lease_ms * (1 + MAX_CLOCK_DRIFT) + MAX_TRANSIT_MS

    @property
    def _stop_allowance_ms(self) -> float:
        return self.stop_ms + STOP_ALLOWANCE_MS

    @property
    def _margin_ms(self) -> float:
        return self.lease_ms * MAX_CLOCK_DRIFT + RUN_LIMIT_MARGIN_MS
