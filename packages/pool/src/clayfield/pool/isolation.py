"""Workers that are set aside for suspects, which run there one at a time.

A suspect is a task, or a gang, under which a worker has crashed. Alone on a
worker it endangers no other task, and what happens to the worker shows whether
the task was the cause. Only where long-running tasks are on every worker it
runs beside the fewest of them. Only a share of a service's workers is set
aside, or down because of suspects, at a time.
"""

from clayfield.base import Clock
from clayfield.pool.admission import idle_in_ms
from clayfield.pool.fleet import Fleet
from clayfield.pool.job_table import JobTable
from clayfield.pool.needs import Need, count_fitting, is_of_kind
from clayfield.pool.tasks import Suspicion
from clayfield.pool.worker import Worker

# Largest share of a service's workers that are set aside at a time, and largest
# share that are set aside or have crashed; at least one worker.
MAX_SHARE = 1 / 6
MAX_SHARE_WITH_CRASHED = 1 / 4
# How long a worker that has crashed counts; it is back by then, if at all.
DOWN_MS = 5000.0


class Isolation:
    """Sets workers aside for the suspects of one scheduler."""

    __slots__ = ("_clock", "_fleet", "_jobs", "_set_aside")

    def __init__(self, clock: Clock, fleet: Fleet, jobs: JobTable):
        """Creates it with no workers set aside.

        Args:
            clock: source of the current time.
            fleet: the workers.
            jobs: the open jobs.
        """
        self._clock = clock
        self._fleet = fleet
        self._jobs = jobs
        # The highest suspicion of the tasks that a worker is set aside for, by
        # name of the worker.
        self._set_aside: dict[str, Suspicion] = {}

    def includes(self, worker: Worker) -> bool:
        """Returns whether a worker is set aside, or runs a suspect."""
        return worker.name in self._set_aside or worker.has_suspect

    def permits(self, worker: Worker, isolation: Suspicion) -> bool:
        """Returns whether a task may be placed on a worker.

        Args:
            worker: the worker.
            isolation: see `Task.isolation`.
        """
        if not isolation:
            return not self.includes(worker)
        highest = self._set_aside.get(worker.name, Suspicion.NONE)
        is_free = _is_vacated(worker) and not worker.has_suspect
        return is_free and isolation <= highest

    def update(self) -> None:
        """Sets workers aside for the suspects that wait, and frees others."""
        waiting = [
            (need, len(positions))
            for needs, positions in self._jobs.waiting.isolated_groups().items()
            for need in needs
            if need.isolation
        ]
        waiting.sort(key=lambda pair: pair[0].isolation)
        former = self._set_aside
        self._set_aside = {}
        for service in {need.service for need, _ in waiting}:
            self._set_aside |= self._select(
                service,
                [pair for pair in waiting if pair[0].service == service],
                former,
            )

    def _select(
        self,
        service: str,
        waiting: list[tuple[Need, int]],
        former: dict[str, Suspicion],
    ) -> dict[str, Suspicion]:
        """Returns the workers of a service to set aside.

        Args:
            service: the service.
            waiting: the needs of waiting suspects in the order of their turn,
                and how many jobs have each.
            former: the workers that are set aside up to now.
        """
        now_ms = self._clock.now_ms()
        workers = [
            worker
            for worker in self._fleet.workers.values()
            if worker.info.service == service
        ]
        usable = [
            worker
            for worker in workers
            if worker.accepts_tasks(now_ms) and not worker.has_suspect
        ]
        # Workers that are set aside already come first, so that they get idle.
        usable.sort(
            key=lambda worker: (
                worker.name not in former,
                _count_long_running(worker),
                idle_in_ms(worker, now_ms),
            )
        )
        selected: dict[str, Suspicion] = {}
        for need, jobs in waiting:
            allowed = _count_allowed(workers, now_ms) - len(selected)
            rest = [w for w in usable if w.name not in selected]
            names = _names_for(need, min(allowed, jobs), rest)
            selected |= dict.fromkeys(names, need.isolation)
        return selected


def _count_allowed(workers: list[Worker], now_ms: float) -> int:
    """Returns how many more workers of a service may be set aside."""
    in_use = sum(worker.has_suspect for worker in workers)
    since_ms = now_ms - DOWN_MS
    crashed = sum(worker.has_crashed_since(since_ms) for worker in workers)
    most = max(1, int(len(workers) * MAX_SHARE))
    most_with_crashed = max(1, int(len(workers) * MAX_SHARE_WITH_CRASHED))
    return min(most, most_with_crashed - crashed) - in_use


def _names_for(need: Need, allowed: int, workers: list[Worker]) -> set[str]:
    """Returns the workers to set aside for the suspects with a need.

    Args:
        need: the need.
        allowed: most workers; a gang gets as many as it needs.
        workers: the workers, in order of preference.
    """
    names: set[str] = set()
    missing = need.gang_size
    for worker in workers:
        is_gang_complete = missing <= 0 or need.gang_size == 1
        if allowed <= 0 or (is_gang_complete and len(names) >= allowed):
            break
        capacity = (worker.info.cpu, worker.info.memory_mb, worker.info.gpu)
        fitting = count_fitting(need, *capacity)
        if fitting and is_of_kind(worker, need):
            names.add(worker.name)
            missing -= fitting
    return names


def _is_vacated(worker: Worker) -> bool:
    """Returns whether only long-running tasks are on a worker."""
    return len(worker.runs) == _count_long_running(worker)


def _count_long_running(worker: Worker) -> int:
    return sum(
        run.task is not None and run.task.step.is_long_running
        for run in worker.runs.values()
    )
