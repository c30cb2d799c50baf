"""Finds what waiting tasks need that no worker has.

A need is stalled if none of the workers that accept tasks could meet it, even
once all their tasks that end have ended. Jobs with stalled needs are no load
that others would have to wait for.
"""

from collections.abc import Set

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter
from clayfield.pool.fleet import Fleet
from clayfield.pool.job_table import JobTable
from clayfield.pool.needs import Need, count_fitting, need_of
from clayfield.pool.tasks import OpenJob
from clayfield.pool.worker import Worker

# Time between two determinations of the stalled needs, if there are many needs
# or workers; else they are determined at each tick.
REVIEW_MS = 100.0
MAX_GROUPS_AT_ONCE = 50
MAX_WORKERS_AT_ONCE = 64
# A need is logged once it has been stalled for this time.
LOG_AFTER_MS = 1000.0
LOG_INTERVAL_MS = 10_000.0

Capacity = tuple[int, int, int]


class StalledNeeds:
    """The stalled needs of the waiting jobs, and the jobs that have them."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_jobs",
        "_log_filter",
        "_logged",
        "_next_ms",
        "_since_ms",
    )

    def __init__(self, clock: Clock, fleet: Fleet, jobs: JobTable):
        """Creates it without stalled needs.

        Args:
            clock: source of the current time.
            fleet: the workers.
            jobs: the open jobs.
        """
        self._clock = clock
        self._fleet = fleet
        self._jobs = jobs
        self._next_ms = 0.0
        self._since_ms: dict[Need, float] = {}
        self._logged: set[Need] = set()
        self._log_filter = RepeatFilter(clock, LOG_INTERVAL_MS)

    @property
    def count(self) -> int:
        """Number of stalled needs."""
        return len(self._since_ms)

    @property
    def longest_ms(self) -> float:
        """Time for which a need has been stalled at most, in ms."""
        if not self._since_ms:
            return 0.0
        return self._clock.now_ms() - min(self._since_ms.values())

    @property
    def needs(self) -> Set[Need]:
        """The needs that were stalled at the last review."""
        return self._since_ms.keys()

    def would_include(self, open_job: OpenJob) -> bool:
        """Returns whether a need of a new job can't be met now."""
        capacities = UsableCapacities(self._fleet, self._clock.now_ms())
        return not all(
            capacities.can_meet(need_of(tasks[0])) for tasks in open_job.tasks
        )

    def review_if_due(self) -> bool:
        """Determines the stalled needs anew, at intervals.

        Returns:
            Whether it was due.
        """
        now_ms = self._clock.now_ms()
        groups = self._jobs.waiting.groups()
        is_quick = (
            len(groups) <= MAX_GROUPS_AT_ONCE
            and len(self._fleet.workers) <= MAX_WORKERS_AT_ONCE
        )
        if now_ms < self._next_ms and not is_quick:
            return False
        if not groups and not self._since_ms:
            return True
        self._next_ms = now_ms + REVIEW_MS
        capacities = UsableCapacities(self._fleet, now_ms)
        stalled_jobs: list[OpenJob] = []
        since_ms: dict[Need, float] = {}
        for needs, positions in groups.items():
            stalled = [need for need in needs if not capacities.can_meet(need)]
            for need in stalled:
                since_ms[need] = self._since_ms.get(need, now_ms)
            if len(stalled) == len(needs):
                stalled_jobs += [
                    self._jobs.waiting.job(position.key)
                    for position in positions
                ]
        ended = self._logged - since_ms.keys()
        self._since_ms = since_ms
        self._jobs.set_stalled(stalled_jobs)
        self._log(ended, now_ms)
        return True

    def _log(self, ended: set[Need], now_ms: float) -> None:
        """Logs the needs that are stalled for long, or not any more."""
        for need in ended:
            self._logged.discard(need)
            emit(Event.NEED_MET, **_need_fields(need))
        for need, since_ms in self._since_ms.items():
            is_long = now_ms - since_ms >= LOG_AFTER_MS
            if is_long and self._log_filter.is_due(_kind_of(need)):
                self._logged.add(need)
                self._log_unmet(need, now_ms - since_ms)

    def _log_unmet(self, need: Need, stalled_ms: float) -> None:
        of_service = [
            worker
            for worker in self._fleet.workers.values()
            if worker.info.service == need.service
        ]
        with_label = [
            worker
            for worker in of_service
            if not need.label or need.label in worker.info.labels
        ]
        now_ms = self._clock.now_ms()
        emit(
            Event.NEED_UNMET,
            **_need_fields(need),
            stalled_ms=round(stalled_ms),
            jobs=len(self._jobs.stalled),
            workers=len(of_service),
            with_label=len(with_label),
            accepting=sum(w.accepts_tasks(now_ms) for w in with_label),
        )


class UsableCapacities:
    """What each accepting worker could give to tasks that wait.

    That is its capacity less what its long-running tasks reserve.
    """

    __slots__ = ("_by_kind", "_largest")

    def __init__(self, fleet: Fleet, now_ms: float):
        self._by_kind: dict[tuple[str, str], list[Capacity]] = {}
        for worker in fleet.leasable_workers():
            if not worker.accepts_tasks(now_ms):
                continue
            capacity = usable_capacity(worker)
            for label in ("", *worker.info.labels):
                kind = (worker.info.service, label)
                self._by_kind.setdefault(kind, []).append(capacity)
        self._largest = {
            kind: tuple(map(max, zip(*capacities, strict=True)))
            for kind, capacities in self._by_kind.items()
        }

    def can_meet(self, need: Need) -> bool:
        """Returns whether the workers could meet a need once they are idle."""
        kind = (need.service, need.label)
        if kind not in self._by_kind:
            return False
        cpu, memory_mb, gpu = self._largest[kind]
        if need.cpu > cpu or need.memory_mb > memory_mb or need.gpu > gpu:
            return False
        missing = need.gang_size
        for capacity in self._by_kind[kind]:
            missing -= count_fitting(need, *capacity)
            if missing <= 0:
                return True
        return False


def usable_capacity(worker: Worker) -> Capacity:
    """Returns a worker's capacity less what its long-running tasks reserve."""
    cpu, memory_mb, gpu = (
        worker.info.cpu,
        worker.info.memory_mb,
        worker.info.gpu,
    )
    for run in worker.runs.values():
        if run.task is not None and run.task.step.is_long_running:
            cpu -= run.cpu
            memory_mb -= run.memory_mb
            gpu -= run.gpu
    return cpu, memory_mb, gpu


def _need_fields(need: Need) -> dict[str, object]:
    """Returns the log fields that describe a need."""
    return {
        "service": need.service,
        "label": need.label,
        "cpu": need.cpu,
        "memory_mb": need.memory_mb,
        "gpu": need.gpu,
        "gang_size": need.gang_size,
    }


def _kind_of(need: Need) -> str:
    """Returns the key by which the log lines of a need are limited."""
    return f"{need.service} {need.label} {need.gang_size}"
