"""Which jobs the holder takes, and which it refuses while that is free."""

from collections.abc import Callable

from clayfield.base import Clock
from clayfield.pool.admission import OVERHEAD_MS, Admission
from clayfield.pool.advice import Advisor
from clayfield.pool.fleet import Fleet
from clayfield.pool.forecast import Forecast
from clayfield.pool.jobtable import JobTable
from clayfield.pool.placement import MANY_WORKERS, RoomSearch
from clayfield.pool.tasks import OpenJob
from clayfield.wire.jobs import Job, Reason

# A job may be refused for free until it has waited for this part of its
# objective.
FREE_REFUSAL_SHARE = 0.2
LEAST_RETRY_MS = 50.0
LONGEST_RETRY_MS = 10_000.0

Refuse = Callable[[OpenJob, Reason, float], None]


class Intake:
    """Decides on new jobs, and again on those of which nothing has begun."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        jobs: JobTable,
        admission: Admission,
        advisor: Advisor,
        refuse: Refuse,
    ):
        """Starts.

        Args:
            clock: the time.
            fleet: the workers.
            jobs: the open jobs.
            admission: forecasts when a job would end.
            advisor: knows which workers may run advised jobs.
            refuse: ends a job, with the reason and when to come back, in ms.
        """
        self._clock = clock
        self._fleet = fleet
        self._jobs = jobs
        self._admission = admission
        self._advisor = advisor
        self._refuse = refuse

    def admit(self, opened: OpenJob) -> bool:
        """Tells whether a new job can be ended in time; if not, refuses it."""
        if not self._could_run(opened.job):
            self._refuse(opened, Reason.NO_WORKER, LEAST_RETRY_MS)
            return False
        now_ms = self._clock.now_ms()
        opened.late_at_ms = self._admission.late_at_ms(opened)
        if opened.is_lasting or opened.job.schedule:
            return True
        if not self._jobs.has_waiting and self._has_room(opened.job, now_ms):
            return True
        return self._ends_in_time(opened, now_ms)

    def _ends_in_time(self, opened: OpenJob, now_ms: float) -> bool:
        forecast = self._forecast(now_ms)
        if not forecast.has_places:
            return True
        is_late = now_ms > opened.late_at_ms
        for other in self._jobs.in_turn():
            is_before = is_late or other.turn <= opened.turn
            if other is not opened and is_before:
                self._admission.add_to(forecast, other, now_ms)
        return not self._is_refused(opened, forecast, now_ms)

    def _could_run(self, job: Job) -> bool:
        """Tells whether each step would fit a worker on which nothing runs."""
        workers = [
            worker
            for worker in self._fleet.workers.values()
            if worker.info.service == job.service
        ]
        if not workers:
            return True
        return all(
            any(worker.could_fit(step) for worker in workers)
            for step in job.steps
        )

    def _has_room(self, job: Job, now_ms: float) -> bool:
        """Tells whether all tasks of a job would find room at once.

        Asked only where there are so many workers that a forecast is dear.
        """
        workers = self._fleet.workers.values()
        if len(workers) <= MANY_WORKERS:
            return False
        return RoomSearch(workers, self._advisor, now_ms).has_room_for(job)

    def _forecast(self, now_ms: float) -> Forecast:
        return self._admission.places(
            self._fleet.workers.values(), self._jobs.usual_cpu, now_ms
        )

    def _is_refused(
        self, opened: OpenJob, forecast: Forecast, now_ms: float
    ) -> bool:
        """Refuses a job that would end late, while that is free.

        Args:
            opened: a job of which nothing was started.
            forecast: the places, with all that goes before it.
            now_ms: the time.
        """
        end_ms = self._admission.add_to(forecast, opened, now_ms)
        age_ms = now_ms - opened.arrived_ms
        opened.forecast_ms = age_ms + end_ms + OVERHEAD_MS
        objective_ms = self._admission.objective_ms(opened.job)
        is_free = age_ms <= objective_ms * FREE_REFUSAL_SHARE
        allowed_ms = self._admission.allowed_ms(opened.job, now_ms)
        if opened.forecast_ms <= allowed_ms or not is_free:
            return False
        retry_ms = min(LONGEST_RETRY_MS, max(LEAST_RETRY_MS, end_ms))
        self._refuse(opened, Reason.TOO_LATE, retry_ms)
        return True

    def review(self) -> None:
        """Refuses waiting jobs that will be late, while that is free."""
        if not self._jobs.has_waiting:
            return
        now_ms = self._clock.now_ms()
        forecast = self._forecast(now_ms)
        if not forecast.has_places:
            return
        for opened in self._jobs.in_turn():
            is_taken = opened.is_offered or opened.job.is_kept
            if is_taken or not opened.is_placeable:
                self._admission.add_to(forecast, opened, now_ms)
            else:
                self._is_refused(opened, forecast, now_ms)
