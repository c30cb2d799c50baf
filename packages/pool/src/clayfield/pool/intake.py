"""Admission decisions: which jobs the holder accepts and which it refuses.

A job may be refused early in its life at no cost, since its caller still has
time to try elsewhere. Later, or once a task of it may have been started, here
or by another scheduler, it runs on even if it will end late.
"""

import math
from collections.abc import Callable

from clayfield.base import Clock
from clayfield.pool.admission import TASK_OVERHEAD_MS, Admission
from clayfield.pool.fleet import Fleet
from clayfield.pool.forecast import Forecast
from clayfield.pool.isolation import Isolation
from clayfield.pool.job_table import JobTable
from clayfield.pool.placement import SAMPLING_THRESHOLD, WorkerSelector
from clayfield.pool.reservations import Reservations
from clayfield.pool.stalls import StalledNeeds
from clayfield.pool.tasks import OpenJob
from clayfield.pool.tickets import TicketCache
from clayfield.pool.worker import Worker
from clayfield.wire.jobs import Job, Reason

# A job may be refused at no cost until it has waited for this share of its
# objective.
FREE_REFUSAL_SHARE = 0.2
# Bounds of the time after which a caller is asked to retry.
MIN_RETRY_MS = 50.0
MAX_RETRY_MS = 10_000.0
# The same if no worker is suitable; workers report their capacity less often.
NO_WORKER_RETRY_MS = 1000.0
# Most kept jobs that may wait for what no worker has, half of all kept jobs, so
# that they never keep others from being accepted.
MAX_STALLED_JOBS = 1000

# Share of the time that reviews may take if one takes over `LONG_REVIEW_MS`, as
# with jobs of thousands of steps.
REVIEW_SHARE = 0.2
LONG_REVIEW_MS = 5.0

Refuse = Callable[[OpenJob, Reason, float], None]


class Intake:
    """Admits or refuses new jobs, and reviews those surely not started."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        jobs: JobTable,
        admission: Admission,
        tickets: TicketCache,
        stalled: StalledNeeds,
        reservations: Reservations,
        isolation: Isolation,
        refuse: Refuse,
    ):
        """Creates the admission decisions of one holder.

        Args:
            clock: source of the current time.
            fleet: the workers.
            jobs: the open jobs.
            admission: objectives and forecasts of jobs.
            tickets: tickets that permit workers to run advised jobs.
            stalled: the needs of waiting tasks that no worker can meet.
            reservations: the workers that are reserved for jobs.
            isolation: the workers that are set aside for suspects.
            refuse: ends a job with a reason and the time after which to
                retry, in ms.
        """
        self._clock = clock
        self._fleet = fleet
        self._jobs = jobs
        self._admission = admission
        self._tickets = tickets
        self._stalled = stalled
        self._reservations = reservations
        self._isolation = isolation
        self._refuse = refuse
        self._next_review_ms = -math.inf

    def admit(self, open_job: OpenJob) -> bool:
        """Returns whether a new job can end in time; refuses it if not.

        Long-running and scheduled jobs are admitted if a worker is large
        enough for them.
        """
        if not self._could_run(open_job.job):
            self._refuse(open_job, Reason.NO_WORKER, NO_WORKER_RETRY_MS)
            return False
        if self._stalls_too_many(open_job):
            self._refuse(open_job, Reason.TOO_MANY, NO_WORKER_RETRY_MS)
            return False
        now_ms = self._clock.now_ms()
        open_job.late_at_ms = self._admission.late_at_ms(open_job)
        if open_job.is_long_running or open_job.job.schedule:
            return True
        if not self._jobs.has_waiting and self._has_capacity(
            open_job.job, now_ms
        ):
            return True
        return self._can_end_in_time(open_job, now_ms)

    def _can_end_in_time(self, open_job: OpenJob, now_ms: float) -> bool:
        """Returns whether a job is forecast to end in time; else refuses it."""
        service = open_job.job.service
        forecast = self._forecast(service, now_ms)
        if not forecast.has_slots:
            return True
        is_late = now_ms > open_job.late_at_ms
        for other in self._jobs.on_time_jobs():
            if other is open_job or other.job.service != service:
                continue
            if is_late or other.sort_key <= open_job.sort_key:
                self._add(forecast, other, now_ms)
        return not self._is_refused(open_job, forecast, now_ms)

    def _add(
        self, forecast: Forecast, open_job: OpenJob, now_ms: float
    ) -> None:
        """Adds the load to a forecast that a job is for others."""
        self._admission.add_to_forecast(
            forecast, open_job, now_ms, self._stalled.needs
        )

    def _could_run(self, job: Job) -> bool:
        """Returns whether each step would fit some worker if that was idle.

        A kept job may wait until a worker has a label that it needs. Also true
        while no worker of the job's service is known.
        """
        workers = self._workers_of(job.service)
        if not workers:
            return True
        return all(
            any(
                worker.fits_when_idle(step)
                and (job.is_kept or worker.has_label(step))
                for worker in workers
            )
            for step in job.steps
        )

    def _stalls_too_many(self, open_job: OpenJob) -> bool:
        """Returns whether a job would be one stalled job too many."""
        return len(self._jobs.stalled) >= MAX_STALLED_JOBS and (
            self._stalled.would_include(open_job)
        )

    def _workers_of(self, service: str) -> list[Worker]:
        return [
            worker
            for worker in self._fleet.workers.values()
            if worker.info.service == service
        ]

    def _has_capacity(self, job: Job, now_ms: float) -> bool:
        """Returns whether free capacity suffices for all tasks of a job.

        Checked only with many workers, where it saves a costly forecast.
        """
        workers = self._fleet.workers.values()
        if len(workers) <= SAMPLING_THRESHOLD:
            return False
        return WorkerSelector(workers, self._tickets, now_ms).has_capacity_for(
            job
        )

    def _forecast(self, service: str, now_ms: float) -> Forecast:
        """Returns a service's forecast without any waiting tasks."""
        reserved = self._reservations.reserved_workers(service)
        workers = [
            worker
            for worker in self._workers_of(service)
            if worker.name not in reserved
            and not self._isolation.includes(worker)
        ]
        return self._admission.make_forecast(
            workers, self._jobs.mean_cpu(service), now_ms
        )

    def _is_refused(
        self, open_job: OpenJob, forecast: Forecast, now_ms: float
    ) -> bool:
        """Refuses a job that would end late, if it still may be refused.

        Adds the job to the forecast.

        Args:
            open_job: a job of which surely no task was started.
            forecast: the slots, with the work that goes before the job.
            now_ms: the current time, in ms.

        Returns:
            Whether the job was refused.
        """
        end_ms = self._admission.add_to_forecast(forecast, open_job, now_ms)
        age_ms = now_ms - open_job.arrived_ms
        open_job.forecast_ms = age_ms + end_ms + TASK_OVERHEAD_MS
        objective_ms = self._admission.objective_ms(open_job.job)
        may_refuse = age_ms <= objective_ms * FREE_REFUSAL_SHARE
        max_forecast_ms = self._admission.max_forecast_ms(open_job.job, now_ms)
        if open_job.forecast_ms <= max_forecast_ms or not may_refuse:
            return False
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, end_ms))
        self._refuse(open_job, Reason.TOO_LATE, retry_ms)
        return True

    def review(self) -> None:
        """Refuses waiting jobs that will end late and still may be refused."""
        if self._stalled.review_if_due():
            self._refuse_unsuited()
        now_ms = self._clock.now_ms()
        if not self._jobs.has_waiting or now_ms < self._next_review_ms:
            return
        self._refuse_late(now_ms)
        took_ms = self._clock.now_ms() - now_ms
        if took_ms > LONG_REVIEW_MS:
            self._next_review_ms = now_ms + took_ms / REVIEW_SHARE

    def _refuse_late(self, now_ms: float) -> None:
        """Refuses the jobs that are forecast to end late and may be refused."""
        forecasts: dict[str, Forecast] = {}
        for open_job in self._jobs.on_time_jobs():
            service = open_job.job.service
            if service not in forecasts:
                forecasts[service] = self._forecast(service, now_ms)
            forecast = forecasts[service]
            if not forecast.has_slots:
                continue
            if (
                open_job.is_surely_unstarted
                and open_job.is_placeable
                and not open_job.job.is_kept
                and open_job.job.key not in self._jobs.stalled
            ):
                self._is_refused(open_job, forecast, now_ms)
            else:
                self._add(forecast, open_job, now_ms)

    def _refuse_unsuited(self) -> None:
        """Refuses the stalled jobs for which no known worker is suitable."""
        for open_job in list(self._jobs.stalled.values()):
            if (
                open_job.is_surely_unstarted
                and open_job.is_placeable
                and not open_job.job.is_kept
                and not self._could_run(open_job.job)
            ):
                self._refuse(open_job, Reason.NO_WORKER, NO_WORKER_RETRY_MS)
