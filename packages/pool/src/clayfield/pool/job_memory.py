"""The memory of the jobs that a node has accepted.

A job may have thousands of steps and tasks, and then takes many times the size
of its request. Jobs beyond the limit are refused before any task of them runs.
"""

from clayfield.wire.jobs import Job

# Memory of a job, a step and a task, in bytes, with their strings and runs.
JOB_BYTES = 4096
STEP_BYTES = 300
PREDECESSOR_BYTES = 8
TASK_BYTES = 700
# Size from which on a job counts as large.
LARGE_BYTES = 65_536
# Share of the limit that large jobs may use together; the rest is left to
# ordinary ones.
LARGE_SHARE = 0.75
DEFAULT_LIMIT_BYTES = 100 * 1024 * 1024
# Most steps of all jobs with over `MANY_STEPS` of them: forecasts and placement
# read the steps of the open jobs again and again.
MAX_LONG_STEPS = 20_000
MANY_STEPS = 64


def message_bytes(job: Job) -> int:
    """Returns the memory of a job as it was decoded."""
    step_bytes = sum(
        STEP_BYTES + PREDECESSOR_BYTES * len(step.after) for step in job.steps
    )
    return JOB_BYTES + len(job.spec) + step_bytes


def open_bytes(job: Job) -> int:
    """Returns the memory of a job with its tasks, at the holder."""
    return message_bytes(job) + TASK_BYTES * job.task_count


class JobLedger:
    """The memory of some jobs.

    Attributes:
        total_bytes: memory of all jobs.
        large_bytes: memory of the large ones.
        long_steps: steps of the jobs with over `MANY_STEPS` of them.
    """

    __slots__ = ("_sizes", "large_bytes", "long_steps", "total_bytes")

    def __init__(self) -> None:
        self.total_bytes = 0
        self.large_bytes = 0
        self.long_steps = 0
        # Memory and number of steps by key.
        self._sizes: dict[str, tuple[int, int]] = {}

    def add(self, key: str, byte_count: int, step_count: int) -> None:
        """Adds a job, or replaces what was recorded for it."""
        self.remove(key)
        self._sizes[key] = (byte_count, step_count)
        self._change(byte_count, step_count, 1)

    def remove(self, key: str) -> None:
        """Removes a job, if present."""
        self._change(*self._sizes.pop(key, (0, 0)), -1)

    def _change(self, byte_count: int, step_count: int, sign: int) -> None:
        self.total_bytes += sign * byte_count
        if byte_count >= LARGE_BYTES:
            self.large_bytes += sign * byte_count
        if step_count > MANY_STEPS:
            self.long_steps += sign * step_count

    def bytes_of(self, key: str) -> int:
        """Returns the memory of a job, 0 if it is not recorded."""
        return self._sizes.get(key, (0, 0))[0]


class JobMemory:
    """The memory of all jobs of a node.

    Attributes:
        limit_bytes: most memory of all jobs. A job alone may take more.
        pending: the jobs whose callers wait at the node.
        open: the jobs that the node schedules.
    """

    __slots__ = ("limit_bytes", "open", "pending")

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES):
        self.limit_bytes = limit_bytes
        self.pending = JobLedger()
        self.open = JobLedger()

    @property
    def total_bytes(self) -> int:
        """Memory of all jobs."""
        return self.pending.total_bytes + self.open.total_bytes

    def has_room_for(self, job: Job, byte_count: int) -> bool:
        """Returns whether one more job is within the limits, or is alone.

        Args:
            job: a job that is not recorded yet where it is to be recorded.
            byte_count: its memory there.
        """
        long_steps = self.open.long_steps + len(job.steps)
        is_alone = not self.open.long_steps or len(job.steps) <= MANY_STEPS
        if long_steps > MAX_LONG_STEPS and not is_alone:
            return False
        if byte_count < LARGE_BYTES:
            return self.total_bytes + byte_count <= self.limit_bytes
        own_bytes = self.pending.bytes_of(job.key)
        large_bytes = self.pending.large_bytes + self.open.large_bytes
        if own_bytes >= LARGE_BYTES:
            large_bytes -= own_bytes
        limit_bytes = LARGE_SHARE * self.limit_bytes
        return not large_bytes or large_bytes + byte_count <= limit_bytes

    def clear_open(self) -> None:
        """Forgets the jobs that the node has scheduled until now."""
        self.open = JobLedger()
