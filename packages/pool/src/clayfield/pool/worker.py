"""One worker as its holder sees it: room, lease, clock and health."""

from clayfield.base.events import Event, emit
from clayfield.pool.tasks import Run, TaskId
from clayfield.wire.jobs import Step, WorkerInfo, WorkerState

# Leases, in ms on the worker's clock; it may run this much slow.
CLOCK_DRIFT = 0.02
# What an order may spend on its way and still count from its sending.
TRANSIT_MS = 60.0
# Share of a new value in the running mean of a worker's speed; a run that took
# much longer than it should says more than one that did not.
SPEED_WEIGHT = 0.15
SLOW_WEIGHT = 0.5
SLOW_PACE = 0.25
SLOW_SPEED = 0.5
FASTEST = 3.0
SLOWEST = 0.1
# Jobs in a row that failed here before the worker is set aside.
FAILED_JOBS = 2
FIRST_PAUSE_MS = 700.0
LONGEST_PAUSE_MS = 2800.0


class Worker:
    """A worker's life.

    Attributes:
        info: what it said of itself.
        runs: what is reserved there, by task.
        noted_upto: the number of the latest end that was listed.
        is_lease_withheld: whether its lease is let lapse, since nobody may
            vouch for what runs there.
        is_adopted: whether it has obeyed this holder yet.
        is_gone: whether this life is surely over.
        is_reachable: whether the latest hold was answered.
        hold_call: the number of the latest hold.
        open_hold: the number of the waiting hold, 0 while there is none.
        hold_wait_ms: how long the waiting hold waits.
        next_hold_ms: when to hold again.
        lease_ends_ms: when, on the holder's clock, all that it was told to
            run has surely lapsed.
        paced_ms: when tasks that fill were last paced here.
        raise_pause_ms: how long after that their pace may be raised.
        foreign_end_ms: when it last listed an end that another holder is to
            take note of, as a stand-by sees it.
        lapsed_ms: when its lease was last known to have lapsed.
        answered_ms: when it last answered anything.
        obeyed_ms: when the latest hold was sent that it obeyed.
        speed: how fast it works against what was expected.
    """

    __slots__ = (
        "_clock_offset_ms",
        "_failed_jobs",
        "_free_cpu",
        "_free_gpu",
        "_free_memory_mb",
        "_pause_ms",
        "_paused_until_ms",
        "_unstored_ends",
        "answered_ms",
        "foreign_end_ms",
        "hold_call",
        "hold_wait_ms",
        "info",
        "is_adopted",
        "is_gone",
        "is_lease_withheld",
        "is_reachable",
        "lapsed_ms",
        "lease_ends_ms",
        "next_hold_ms",
        "noted_upto",
        "obeyed_ms",
        "open_hold",
        "paced_ms",
        "raise_pause_ms",
        "runs",
        "speed",
        "unreachable_since_ms",
    )

    def __init__(self, info: WorkerInfo, now_ms: float, first_call: int = 0):
        self.info = info
        self.runs: dict[TaskId, Run] = {}
        self.noted_upto = 0
        self._unstored_ends: set[int] = set()
        self.is_lease_withheld = False
        self.lapsed_ms = 0.0
        self.paced_ms = 0.0
        self.raise_pause_ms = 600.0
        self.foreign_end_ms = 0.0
        self.is_adopted = False
        self.is_gone = False
        self.is_reachable = True
        self.unreachable_since_ms = now_ms
        self.hold_call = first_call
        self.open_hold = 0
        self.hold_wait_ms = 0
        self.next_hold_ms = now_ms
        self.lease_ends_ms = now_ms
        self.answered_ms = now_ms
        self.obeyed_ms = -1.0
        self.speed = 1.0
        self._clock_offset_ms: float | None = None
        self._free_cpu = info.cpu
        self._free_memory_mb = info.memory_mb
        self._free_gpu = info.gpu
        self._failed_jobs: list[str] = []
        self._pause_ms = FIRST_PAUSE_MS
        self._paused_until_ms = 0.0

    @property
    def name(self) -> str:
        """The name of this life."""
        return self.info.name

    @property
    def free_cpu(self) -> int:
        """Thousandths of a core that are not reserved."""
        return self._free_cpu

    @property
    def is_draining(self) -> bool:
        """Whether it takes no new tasks."""
        return self.info.state is WorkerState.DRAINING

    # Room.

    def fits(self, step: Step) -> bool:
        """Tells whether there is room for a task of a step."""
        return (
            step.room_cpu <= self._free_cpu
            and step.memory_mb <= self._free_memory_mb
            and step.gpu <= self._free_gpu
        )

    def could_fit(self, step: Step) -> bool:
        """Tells whether there would be room if nothing else ran."""
        return (
            step.room_cpu <= self.info.cpu
            and step.memory_mb <= self.info.memory_mb
            and step.gpu <= self.info.gpu
        )

    def reserve(self, run: Run) -> None:
        """Takes the room of a run."""
        self.runs[run.task_id] = run
        self._shift(run, -1)

    def release(self, run: Run) -> None:
        """Gives the room of a run back."""
        if self.runs.get(run.task_id) is run:
            del self.runs[run.task_id]
            self._shift(run, 1)

    def _shift(self, run: Run, sign: int) -> None:
        self._free_cpu += sign * run.cpu
        self._free_memory_mb += sign * run.memory_mb
        self._free_gpu += sign * run.gpu

    # Ends.

    @property
    def seen_upto(self) -> int:
        """The number of the latest end that the worker may forget."""
        if not self._unstored_ends:
            return self.noted_upto
        return min(self._unstored_ends) - 1

    @property
    def has_unstored_ends(self) -> bool:
        """Whether it must list ends again until they are stored."""
        return bool(self._unstored_ends)

    def await_storing(self, sequence: int) -> None:
        """Has the worker go on listing an end that is not stored yet."""
        self._unstored_ends.add(sequence)

    def on_stored(self, sequence: int) -> None:
        """Learns that an end is stored."""
        self._unstored_ends.discard(sequence)

    # Clock and lease.

    def on_clock(self, clock_ms: float, now_ms: float) -> None:
        """Takes a reading of its clock from an answer that just came."""
        self._clock_offset_ms = clock_ms - now_ms

    def lease_until(self, now_ms: float, lease_ms: float) -> float | None:
        """Returns the end of a lease from now on, on the worker's clock."""
        if self._clock_offset_ms is None:
            return None
        return now_ms + self._clock_offset_ms + lease_ms

    def on_lease_sent(self, now_ms: float, lease_ms: float) -> None:
        """Notes that an order that renews the lease was sent."""
        ends_ms = now_ms + lease_ms * (1 + CLOCK_DRIFT) + TRANSIT_MS
        self.lease_ends_ms = max(self.lease_ends_ms, ends_ms)

    def withhold_lease(self, since_ms: float, now_ms: float) -> None:
        """Lets its lease lapse once after a time, then renews it again.

        What it lists as ended can then be started elsewhere: an end that is
        taken note of only after the lease has lapsed does not count.
        """
        if self.is_lease_withheld and now_ms > self.lease_ends_ms:
            self.lapsed_ms = now_ms
        self.is_lease_withheld = self.lapsed_ms < since_ms

    # Health.

    def on_success(self, took_ms: float, work_ms: float) -> None:
        """Learns that a run ended well.

        Args:
            took_ms: how long it took here.
            work_ms: how long it should take on a worker of usual speed.
        """
        self._failed_jobs.clear()
        self._pause_ms = FIRST_PAUSE_MS
        if work_ms <= 0 or took_ms <= 0:
            return
        self._learn_pace(work_ms / took_ms)

    def on_stuck(self, passed_ms: float, work_ms: float, now_ms: float) -> None:
        """Learns that a run takes far too long; it is not over yet."""
        self._learn_pace(work_ms / passed_ms)
        self.set_aside(now_ms, "run stuck")

    def _learn_pace(self, pace: float) -> None:
        pace = min(FASTEST, max(SLOWEST, pace))
        is_slow = pace < SLOW_PACE * self.speed
        weight = SLOW_WEIGHT if is_slow else SPEED_WEIGHT
        self.speed += weight * (pace - self.speed)

    @property
    def is_slow(self) -> bool:
        """Whether it works at less than half of the usual speed."""
        return self.speed < SLOW_SPEED

    def on_failure(self, job: str, now_ms: float) -> None:
        """Learns that a run failed, by its own fault or the worker's."""
        if job not in self._failed_jobs:
            self._failed_jobs.append(job)
        if len(self._failed_jobs) >= FAILED_JOBS:
            self.set_aside(now_ms, f"{len(self._failed_jobs)} jobs failed")

    def set_aside(self, now_ms: float, cause: str) -> None:
        """Gives it no new tasks for a while, longer each time."""
        if now_ms < self._paused_until_ms:
            return
        emit(
            Event.WORKER_SET_ASIDE,
            worker=self.name,
            cause=cause,
            pause_ms=round(self._pause_ms),
        )
        self._paused_until_ms = now_ms + self._pause_ms
        self._pause_ms = min(LONGEST_PAUSE_MS, self._pause_ms * 2)

    @property
    def is_known(self) -> bool:
        """Whether the size of everything that runs here is known."""
        return not any(run.is_foreign for run in self.runs.values())

    def is_open(self, now_ms: float) -> bool:
        """Tells whether new tasks may be placed here."""
        return (
            self.is_adopted
            and self.is_reachable
            and not self.is_gone
            and not self.is_draining
            and not self.is_lease_withheld
            and now_ms >= self._paused_until_ms
            and self.is_known
            and not any(run.is_stuck(now_ms) for run in self.runs.values())
        )
