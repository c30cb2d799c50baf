"""Places the waiting tasks on workers, in passes of bounded cost.

A pass reads the waiting jobs in placement order and starts what fits. It tries
each need once: a job that no worker can take now never keeps another from
being tried. With very many different needs one pass does not reach all of
them. Each pass then begins with the first jobs in order, and goes on after the
last one that the pass before it has reached.
"""

from collections.abc import Callable, Set

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter
from clayfield.pool.admission import Admission
from clayfield.pool.fleet import Fleet
from clayfield.pool.isolation import Isolation
from clayfield.pool.job_table import JobTable
from clayfield.pool.needs import need_of
from clayfield.pool.placement import WorkerSelector
from clayfield.pool.reservations import Reservations
from clayfield.pool.tasks import OpenJob, Task, TaskState
from clayfield.pool.tickets import TicketCache
from clayfield.pool.waiting_jobs import Position, WaitingScan
from clayfield.pool.worker import Worker

# Bounds of the cost of a pass for tasks that do not fit, in workers that are
# examined: for the first jobs in order, and for those that it goes on with.
MAX_EXAMINED_FIRST = 300
MAX_EXAMINED_NEXT = 700
# Least time between two log lines about passes that did not reach all jobs.
LOG_INTERVAL_MS = 10_000.0

MayStart = Callable[[OpenJob], bool]


class Placer:
    """Starts waiting tasks on the workers of one scheduler.

    Attributes:
        reservations: the workers that are reserved for jobs.
        isolation: the workers that are set aside for suspects.
        is_unfinished: whether the last pass did not reach all waiting jobs.
        examined: cost of the last pass; see `WorkerSelector.examined`.
    """

    __slots__ = (
        "_admission",
        "_clock",
        "_fleet",
        "_jobs",
        "_log_filter",
        "_may_start",
        "_reached",
        "_tickets",
        "examined",
        "is_unfinished",
        "isolation",
        "reservations",
    )

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        jobs: JobTable,
        admission: Admission,
        tickets: TicketCache,
        may_start: MayStart,
    ):
        """Creates a placer.

        Args:
            clock: source of the current time.
            fleet: the workers.
            jobs: the open jobs.
            admission: expected durations of tasks.
            tickets: tickets that permit workers to run advised jobs.
            may_start: returns whether tasks of a job may be started now.
        """
        self.reservations = Reservations()
        self.isolation = Isolation(clock, fleet, jobs)
        self.is_unfinished = False
        self.examined = 0
        self._clock = clock
        self._fleet = fleet
        self._jobs = jobs
        self._admission = admission
        self._tickets = tickets
        self._may_start = may_start
        self._reached: Position | None = None
        self._log_filter = RepeatFilter(clock, LOG_INTERVAL_MS)

    def run_pass(self, blocked_keys: Set[str]) -> None:
        """Starts the waiting tasks that fit a worker now.

        Args:
            blocked_keys: keys of jobs whose tasks must not be started.
        """
        waiting = self._jobs.waiting
        waiting.update()
        self.isolation.update()
        selector = WorkerSelector(
            self._fleet.leasable_workers(),
            self._tickets,
            self._clock.now_ms(),
            self.reservations,
            self.isolation,
            self._fleet.open_starts,
        )
        reached = self._place(
            waiting.scan(), selector, blocked_keys, MAX_EXAMINED_FIRST
        )
        if reached is not None:
            if self._reached is not None:
                reached = max(reached, self._reached)
            limit = selector.examined + MAX_EXAMINED_NEXT
            scan = waiting.scan(after=reached)
            reached = self._place(scan, selector, blocked_keys, limit)
        self.examined = selector.examined
        self._reached = reached
        self.is_unfinished = reached is not None
        if self.is_unfinished and not self._fleet.open_starts.is_full:
            self._log_unfinished(selector)

    def _place(
        self,
        scan: WaitingScan,
        selector: WorkerSelector,
        blocked_keys: Set[str],
        max_examined: int,
    ) -> Position | None:
        """Places the tasks of a scan's jobs while the cost is within a limit.

        Args:
            scan: the jobs.
            selector: selects the workers.
            blocked_keys: keys of jobs whose tasks must not be started.
            max_examined: value of `WorkerSelector.examined` at which to end.

        Returns:
            The position of the last job that was tried, None if none is left.
        """
        while place := scan.next():
            position, needs = place
            if self._fleet.open_starts.is_full:
                return position
            is_blocked = position.key in blocked_keys
            if not is_blocked and not selector.have_missed(needs):
                self._try_job(self._jobs.waiting.job(position.key), selector)
            if is_blocked or not selector.have_missed(needs):
                scan.proceed(position, needs)
            if selector.examined >= max_examined:
                return position
        return None

    def _log_unfinished(self, selector: WorkerSelector) -> None:
        if self._log_filter.is_due(""):
            emit(
                Event.PASS_CUT_SHORT,
                examined=selector.examined,
                waiting=len(self._jobs.waiting),
                needs=len(self._jobs.waiting.groups()),
            )

    def _try_job(self, open_job: OpenJob, selector: WorkerSelector) -> None:
        """Starts the tasks of a job that fit, if they may be started."""
        if not self._may_start(open_job):
            return
        steps = open_job.ready_tasks()
        started = 0
        for tasks in steps:
            if tasks[0].step.is_gang:
                started += self._place_gang(tasks, selector)
            else:
                started += self._place_each(tasks, selector)
        if started == sum(len(tasks) for tasks in steps):
            self._jobs.dequeue(open_job)
        elif started:
            # Which needs are left may have changed.
            self._jobs.enqueue(open_job)

    def _place_each(self, tasks: list[Task], selector: WorkerSelector) -> int:
        """Starts those of several tasks with the same need that fit."""
        started = 0
        need = need_of(tasks[0])
        for task in tasks:
            if self._fleet.open_starts.is_full or selector.has_missed(need):
                break
            worker = selector.find(task, need)
            if worker is not None:
                self._start(worker, task)
                started += 1
        return started

    def _place_gang(self, tasks: list[Task], selector: WorkerSelector) -> int:
        """Starts all tasks of a gang with the same run number, or none.

        They resume from the same checkpoint; that of any of them holds for the
        whole gang.
        """
        workers = selector.find_for_gang(tasks)
        if workers is None:
            return 0
        last_run = max(task.last_run for task in tasks)
        checkpoints = (task.checkpoint for task in tasks if task.checkpoint)
        checkpoint = next(checkpoints, "")
        for worker, task in zip(workers, tasks, strict=True):
            task.last_run = last_run
            task.checkpoint = checkpoint
            self._start(worker, task)
        return len(tasks)

    def _start(self, worker: Worker, task: Task) -> None:
        """Starts the next run of a task on a worker."""
        open_job = task.job
        expected_ms = self._admission.expected_ms(open_job.job, task)
        ticket = ""
        if open_job.job.is_advised:
            ticket = self._tickets.ticket(task, worker.name)
        self._fleet.start(worker, task, expected_ms, ticket)
        task.state = TaskState.PLACED
        open_job.is_started = True
        open_job.start_count += 1
        open_job.used_workers.add(worker.name)
