"""A user's mix on the real decisions, with faults at the interfaces."""

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
from clayfield.dispatch import read_problem
from clayfield.testbed import Ledger, Site, SiteShape
from clayfield.testbed.mixes import MIXES, Job, Mix
from clayfield.wire.messages import Outcome

MS_PER_S = 1000.0
HTTP_OK = 200


class ClassFigures:
    """What became of the jobs of one class."""

    __slots__ = ("failed", "refused", "slowdowns", "submitted", "tasks")

    def __init__(self) -> None:
        self.submitted = 0
        self.refused = 0
        self.failed = 0
        self.tasks = 0
        self.slowdowns: list[float] = []


def make_configuration(mix: str) -> Configuration:
    """Returns a configuration with the services and classes of a mix."""
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
                expected_ms=(kind.low_ms + kind.high_ms) // 2,
                timeout_ms=3000,
                retry_lost=kind.is_repeatable,
            )
            for kind in kinds
        },
        members={kind.member: Member() for kind in kinds},
        limits=Limits(),
    )


class Workload:
    """A mix that arrives at a site at a share of its capacity.

    Attributes:
        site: the site.
        figures: by class, of the measured time.
        refused_late: tasks refused of a class while a cheaper one of the same
            service started later.
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
            shape, seed, Ledger(is_strict=False), make_core=make_core
        )
        self.cfg = make_configuration(mix)
        self.site.settle(self.cfg)
        self.figures: dict[str, ClassFigures] = collections.defaultdict(
            ClassFigures
        )
        self._mix = Mix(self.kinds, seed)
        self._rng = np.random.default_rng(seed + 1)
        self._number = 0
        self._open = 0
        self._is_measured = False
        self.stretch: Callable[[], float] = lambda: 1.0
        self.resend_share = 0.0
        self.load: Callable[[float], float] = lambda now_ms: 0.7
        self.end_ms = 0.0
        self.refused_at_ms: list[tuple[float, float]] = []

    @property
    def slots(self) -> int:
        """The slots of all workers."""
        return sum(w.info.slots for w in self.site.workers.values())

    def run(self, warm_ms: float, duration_ms: float) -> None:
        """Lets jobs arrive, then lets the rest come to an end."""
        start_ms = self.site.events.now_ms()
        self.end_ms = start_ms + warm_ms + duration_ms
        self._arrive()
        self.site.run(warm_ms)
        self._is_measured = True
        self.site.run(duration_ms)
        self.site.run(8000.0)

    def _arrive(self) -> None:
        now_ms = self.site.events.now_ms()
        if now_ms >= self.end_ms:
            return
        self._submit(self._mix.draw())
        work_per_s = self.slots * MS_PER_S * self.load(now_ms)
        gap_ms = self._mix.gap_ms(work_per_s / self._mix.mean_work_ms)
        self.site.events.after(gap_ms, self._arrive)

    def _submit(self, job: Job) -> None:
        self._number += 1
        key = f"{self._hall()}:{self._number}"
        run_ms = [one * self.stretch() for one in job.run_ms]
        self._send(key, job, run_ms, is_measured=self._is_measured)
        if self._rng.random() < self.resend_share:
            delay_ms = float(self._rng.uniform(1, 400))
            self.site.events.after(
                delay_ms, lambda: self._send(key, job, run_ms, False)
            )

    def _hall(self) -> str:
        halls = list(self.site.shape.halls)
        return halls[self._number % len(halls)]

    def _send(
        self, key: str, job: Job, run_ms: list[float], is_measured: bool
    ) -> None:
        up = [b for b in self.site.boxes.values() if b.core]
        hall = key.partition(":")[0]
        own = [b for b in up if self.site.hall_of(b.name) == hall] or up
        box = own[int(self._rng.integers(len(own)))]
        sent_ms = self.site.events.now_ms()
        one = self.figures[job.kind.priority]
        if is_measured:
            one.submitted += 1

        def answered(outcome: Outcome) -> None:
            if is_measured:
                took_ms = self.site.events.now_ms() - sent_ms
                self._note(one, outcome, took_ms, run_ms)

        self.site.submit(
            box.name,
            key,
            job.kind.priority,
            run_ms,
            answered,
            service=job.kind.service,
            is_repeatable=job.kind.is_repeatable,
            member=job.kind.member,
            is_first=True,
        )

    def _note(
        self,
        one: ClassFigures,
        outcome: Outcome,
        took_ms: float,
        run_ms: list[float],
    ) -> None:
        if outcome.status == HTTP_OK:
            one.tasks += len(run_ms)
            one.slowdowns.append(took_ms / max(run_ms))
            return
        problem = read_problem(outcome.body)
        if problem.ran == Ran.NO:
            one.refused += 1
            self.refused_at_ms.append((self.site.events.now_ms(), took_ms))
        else:
            one.failed += 1

    def wasted(self) -> tuple[int, int]:
        """Returns wasted starts and completed tasks, over all boxes."""
        boxes = [b.core for b in self.site.boxes.values() if b.core]
        wasted = sum(core.entry.counters.wasted for core in boxes)
        answered = sum(core.entry.counters.answered for core in boxes)
        return wasted, answered

    def summary(self) -> dict:
        """Returns the figures of each class, and of all."""
        wasted, answered = self.wasted()
        every = [s for one in self.figures.values() for s in one.slowdowns]
        return {
            "classes": {
                kind.priority: _figures_of(self.figures[kind.priority])
                for kind in self.kinds
            },
            "slowdown_mean": _round(np.mean(every)) if every else None,
            "wasted_per_task": _round(wasted / max(1, answered)),
            "violations": sum(self.site.ledger.violations.values()),
        }


def _figures_of(one: ClassFigures) -> dict:
    slowdowns = one.slowdowns or [float("nan")]
    return {
        "slowdown_p50": _round(np.percentile(slowdowns, 50)),
        "slowdown_p99": _round(np.percentile(slowdowns, 99)),
        "slowdown_mean": _round(np.mean(slowdowns)),
        "refused": one.refused,
        "failed_maybe_ran": one.failed,
        "completed": len(one.slowdowns),
    }


def _round(value: float) -> float | None:
    return None if np.isnan(value) else round(float(value), 4)
