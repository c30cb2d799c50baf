"""Runs a user's mix of jobs on a simulated site and collects figures."""

import collections
from collections.abc import Callable

import numpy as np

from clayfield.base import Ran
from clayfield.box import BoxCore
from clayfield.config import (
    Configuration,
    Hall,
    Limits,
    Member,
    PriorityClass,
    Service,
)
from clayfield.dispatch import parse_problem
from clayfield.testbed import InvariantChecker, Site, SiteShape
from clayfield.testbed.mixes import MIXES, DrawnJob, Mix
from clayfield.wire.messages import Outcome

MS_PER_S = 1000.0
HTTP_OK = 200


class ClassStats:
    """Results of the jobs of one class.

    Attributes:
        submitted: number of jobs submitted.
        refused: number of jobs refused before any task ran.
        failed: number of other jobs that did not complete.
        tasks: number of tasks of completed jobs.
        slowdowns: response time over the time of the longest task, of each
            completed job.
    """

    __slots__ = ("failed", "refused", "slowdowns", "submitted", "tasks")

    def __init__(self) -> None:
        self.submitted = 0
        self.refused = 0
        self.failed = 0
        self.tasks = 0
        self.slowdowns: list[float] = []


def make_configuration(mix: str) -> Configuration:
    """Returns a configuration with the classes and services of a mix."""
    kinds = MIXES[mix]
    prices = {kind.priority: 1000 // 2**n for n, kind in enumerate(kinds)}
    return Configuration(
        replaces=0,
        halls={"h1": Hall()},
        classes={
            name: PriorityClass(price=price, first=n == 0)
            for n, (name, price) in enumerate(prices.items())
        },
        services={
            kind.service: Service(
                expected_ms=(kind.min_task_ms + kind.max_task_ms) // 2,
                timeout_ms=3000,
                retry_lost=kind.is_repeatable,
            )
            for kind in kinds
        },
        members={kind.member: Member() for kind in kinds},
        limits=Limits(),
    )


class Workload:
    """Submits the jobs of a mix to a site at a share of its capacity.

    Attributes:
        kinds: kinds of jobs in the mix.
        site: the simulated site.
        cfg: its configuration.
        class_stats: results of the jobs of the measured time, by class.
        time_factor: function that returns the factor for the time of a task.
        resubmit_share: share of the jobs that are submitted twice.
        load: function that returns the arriving work at a time in ms, as a
            share of the capacity.
        end_ms: time at which jobs stop arriving.
        refusals: time and response time of each refused job, in ms.
    """

    def __init__(
        self,
        mix: str,
        seed: int,
        shape: SiteShape,
        make_core: type[BoxCore] = BoxCore,
    ):
        self.kinds = MIXES[mix]
        self.site = Site(
            shape, seed, InvariantChecker(is_strict=False), make_core=make_core
        )
        self.cfg = make_configuration(mix)
        self.site.settle(self.cfg)
        self.class_stats: dict[str, ClassStats] = collections.defaultdict(
            ClassStats
        )
        self._mix = Mix(self.kinds, seed)
        self._rng = np.random.default_rng(seed + 1)
        self._number = 0
        self._open = 0
        self._is_measured = False
        self.time_factor: Callable[[], float] = lambda: 1.0
        self.resubmit_share = 0.0
        self.load: Callable[[float], float] = lambda now_ms: 0.7
        self.end_ms = 0.0
        self.refusals: list[tuple[float, float]] = []

    @property
    def slots(self) -> int:
        """Number of slots of all workers."""
        return sum(w.info.slots for w in self.site.workers.values())

    def run(self, warm_ms: float, duration_ms: float) -> None:
        """Submits jobs, then waits for the remaining ones to end.

        Args:
            warm_ms: time before the measurement.
            duration_ms: measured time.
        """
        start_ms = self.site.events.now_ms()
        self.end_ms = start_ms + warm_ms + duration_ms
        self._arrive()
        self.site.run(warm_ms)
        self._is_measured = True
        self.site.run(duration_ms)
        self.site.run(8000.0)

    def _arrive(self) -> None:
        """Submits the next job and schedules the one after it."""
        now_ms = self.site.events.now_ms()
        if now_ms >= self.end_ms:
            return
        self._submit(self._mix.draw())
        work_per_s = self.slots * MS_PER_S * self.load(now_ms)
        gap_ms = self._mix.draw_gap_ms(work_per_s / self._mix.mean_work_ms)
        self.site.events.call_later(gap_ms, self._arrive)

    def _submit(self, job: DrawnJob) -> None:
        """Submits a job under a new key, and again later for some jobs."""
        self._number += 1
        key = f"{self._next_hall()}:{self._number}"
        run_ms = [ms * self.time_factor() for ms in job.run_ms]
        self._send(key, job, run_ms, is_measured=self._is_measured)
        if self._rng.random() < self.resubmit_share:
            delay_ms = float(self._rng.uniform(1, 400))
            self.site.events.call_later(
                delay_ms, lambda: self._send(key, job, run_ms, False)
            )

    def _next_hall(self) -> str:
        """Returns the home hall of the latest key; halls take turns."""
        halls = list(self.site.shape.halls)
        return halls[self._number % len(halls)]

    def _send(
        self, key: str, job: DrawnJob, run_ms: list[float], is_measured: bool
    ) -> None:
        """Sends a job to a box of the key's home hall, if one is running."""
        running = [b for b in self.site.boxes.values() if b.core]
        hall = key.partition(":")[0]
        local = [
            b for b in running if self.site.hall_of(b.name) == hall
        ] or running
        box = local[int(self._rng.integers(len(local)))]
        sent_ms = self.site.events.now_ms()
        stats = self.class_stats[job.kind.priority]
        if is_measured:
            stats.submitted += 1

        def on_answer(outcome: Outcome) -> None:
            if is_measured:
                took_ms = self.site.events.now_ms() - sent_ms
                self._record(stats, outcome, took_ms, run_ms)

        self.site.submit(
            box.name,
            key,
            job.kind.priority,
            run_ms,
            on_answer,
            service=job.kind.service,
            is_repeatable=job.kind.is_repeatable,
            member=job.kind.member,
            is_first_attempt=True,
        )

    def _record(
        self,
        stats: ClassStats,
        outcome: Outcome,
        took_ms: float,
        run_ms: list[float],
    ) -> None:
        """Adds the outcome of a job to the results of its class."""
        if outcome.status == HTTP_OK:
            stats.tasks += len(run_ms)
            stats.slowdowns.append(took_ms / max(run_ms))
            return
        problem = parse_problem(outcome.body)
        if problem.ran == Ran.NO:
            stats.refused += 1
            self.refusals.append((self.site.events.now_ms(), took_ms))
        else:
            stats.failed += 1

    def count_wasted(self) -> tuple[int, int]:
        """Returns the numbers of wasted starts and of completed tasks."""
        boxes = [b.core for b in self.site.boxes.values() if b.core]
        wasted = sum(core.submissions.counters.wasted for core in boxes)
        answered = sum(core.submissions.counters.answered for core in boxes)
        return wasted, answered

    def summary(self) -> dict:
        """Returns the figures of each class and of all jobs."""
        wasted, answered = self.count_wasted()
        slowdowns = [
            s for stats in self.class_stats.values() for s in stats.slowdowns
        ]
        return {
            "classes": {
                kind.priority: _summarize(self.class_stats[kind.priority])
                for kind in self.kinds
            },
            "slowdown_mean": _round(np.mean(slowdowns)) if slowdowns else None,
            "wasted_per_task": _round(wasted / max(1, answered)),
            "violations": sum(self.site.checker.violation_counts.values()),
        }


def _summarize(stats: ClassStats) -> dict:
    """Returns the figures of a class; NaN becomes None."""
    slowdowns = stats.slowdowns or [float("nan")]
    return {
        "slowdown_p50": _round(np.percentile(slowdowns, 50)),
        "slowdown_p99": _round(np.percentile(slowdowns, 99)),
        "slowdown_mean": _round(np.mean(slowdowns)),
        "refused": stats.refused,
        "failed_maybe_ran": stats.failed,
        "completed": len(stats.slowdowns),
    }


def _round(value: float) -> float | None:
    """Rounds to 4 digits; returns None for NaN."""
    return None if np.isnan(value) else round(float(value), 4)
