"""Pauses the jobs that no entry node is known to wait for.

The caller of such a job may submit it to another scheduler after a fixed time,
so its runs must have ended by then. A paused job continues if one of its entry
nodes replies again.
"""

import math

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.pool.entry_sessions import EntrySession, EntrySessions
from clayfield.pool.fleet import Fleet
from clayfield.pool.job_table import JobTable
from clayfield.pool.tasks import OpenJob, Run, RunState
from clayfield.pool.timing import PoolTiming
from clayfield.wire.cluster import SessionReply, SubmitJob


class Pausing:
    """Tracks who waits for the open jobs, and pauses and resumes them.

    Attributes:
        sessions: the sessions of the entry nodes.
    """

    def __init__(
        self,
        clock: Clock,
        timing: PoolTiming,
        node: str,
        fleet: Fleet,
        jobs: JobTable,
    ):
        """Creates the record of a scheduler without sessions.

        Args:
            clock: source of the current time.
            timing: the times until the runs of a silent entry node end.
            node: name of the scheduler's own node.
            fleet: the workers.
            jobs: the open jobs.
        """
        self.sessions = EntrySessions(clock, node)
        self._clock = clock
        self._timing = timing
        self._fleet = fleet
        self._jobs = jobs
        self._has_paused_jobs = False

    def add_entry(
        self, open_job: OpenJob, entry: str, submit: SubmitJob
    ) -> None:
        """Adds an entry node that has sent a job and waits for its end."""
        session = self.sessions.on_submit(entry, submit)
        open_job.add_entry(entry, submit.number, session)

    def on_reply(self, entry: str, reply: SessionReply) -> None:
        """Handles the confirmation that an entry node waits for its jobs."""
        self.sessions.on_reply(entry, reply)
        self._fleet.renew_withheld_leases()

    def may_start(self, open_job: OpenJob) -> bool:
        """Returns whether tasks of a job may be started now."""
        silent_ms = self._clock.now_ms() - open_job.confirmed_ms
        return silent_ms <= self._timing.start_limit_ms

    def lease_limit_ms(self, run: Run) -> float:
        """Returns the time to which a lease may be renewed beside a run.

        An earlier holder may have started the run for an entry node that is
        lost, so the lease is not renewed until the job is known here.
        """
        open_job = self._jobs.by_key.get(run.task_id.job)
        if run.task is not None:
            open_job = run.task.job
        if open_job is None:
            return -math.inf
        return open_job.confirmed_ms + self._timing.run_limit_ms

    def tick(self) -> None:
        """Sends probes, and pauses and resumes jobs."""
        sessions = dict.fromkeys(
            session
            for open_job in self._jobs.by_key.values()
            for session in open_job.sessions.values()
        )
        self.sessions.probe_due(sessions)
        if not self._has_paused_jobs and not any(
            map(self._is_silent, sessions)
        ):
            return
        self._has_paused_jobs = False
        for open_job in self._jobs.by_key.values():
            if open_job.is_started:
                self._update(open_job)
            self._has_paused_jobs |= open_job.is_paused

    def _is_silent(self, waiting: EntrySession | OpenJob) -> bool:
        """Returns whether a session, or all of a job's, are without a sign."""
        silent_ms = self._clock.now_ms() - waiting.silent_since_ms
        return silent_ms > self._timing.entry_timeout_ms

    def _update(self, open_job: OpenJob) -> None:
        """Pauses or resumes a job, if its entry nodes are silent or not."""
        is_silent = self._is_silent(open_job)
        if is_silent == open_job.is_paused:
            return
        open_job.is_paused = is_silent
        runs = [task.run for task in open_job.all_tasks() if task.run]
        for run in runs if is_silent else ():
            if run.state in (RunState.STARTING, RunState.RUNNING):
                self._fleet.stop(run)
        silent_ms = self._clock.now_ms() - open_job.silent_since_ms
        emit(
            Event.JOB_PAUSED if is_silent else Event.JOB_RESUMED,
            job=open_job.job.key,
            entries=sorted(open_job.entries),
            silent_ms=round(max(0.0, silent_ms)),
            runs=len(runs),
            fence=self._fleet.fence,
        )
