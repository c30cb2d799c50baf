"""Workloads of the two example users.

A workload (mix) consists of several kinds of jobs. Tasks take 50 to 500 ms,
and a job has up to eight tasks. A mix draws jobs from a seeded generator, so
that each run gets the same jobs.
"""

import numpy as np


class JobKind:
    """A kind of job in a mix.

    Attributes:
        job: name of the job in the example configuration.
        member: name of the member (customer) who submits it.
        token: the example token of the member.
        priority: name of the priority class.
        service: name of the service.
        share: its share of all jobs of the mix.
        min_task_ms: duration of the shortest task, in ms.
        max_task_ms: duration of the longest task, in ms.
        max_tasks: largest number of tasks in a job.
        is_repeatable: whether a lost task may be started again.
    """

    __slots__ = (
        "max_task_ms",
        "is_repeatable",
        "job",
        "min_task_ms",
        "member",
        "max_tasks",
        "priority",
        "service",
        "share",
        "token",
    )

    def __init__(
        self,
        job: str,
        member: str,
        token: str,
        priority: str,
        service: str,
        share: float,
        min_task_ms: int,
        max_task_ms: int,
        max_tasks: int,
        is_repeatable: bool = False,
    ):
        self.job = job
        self.member = member
        self.token = token
        self.priority = priority
        self.service = service
        self.share = share
        self.min_task_ms = min_task_ms
        self.max_task_ms = max_task_ms
        self.max_tasks = max_tasks
        self.is_repeatable = is_repeatable

    @property
    def mean_work_ms(self) -> float:
        """The mean slot time of a job of this kind, in ms."""
        tasks = (1 + self.max_tasks) / 2
        return tasks * (self.min_task_ms + self.max_task_ms) / 2


class DrawnJob:
    """A job drawn from a mix.

    Attributes:
        kind: the kind of the job.
        run_ms: the duration of each task, in ms.
    """

    __slots__ = ("kind", "run_ms")

    def __init__(self, kind: JobKind, run_ms: list[float]):
        self.kind = kind
        self.run_ms = run_ms


ORDERVAART = (
    JobKind(
        "cancel-order",
        "amsterdam",
        "desk-amsterdam",
        "cancels",
        "cancel",
        0.15,
        50,
        80,
        1,
    ),
    JobKind(
        "amend-order",
        "rotterdam",
        "desk-rotterdam",
        "amendments",
        "amend",
        0.15,
        50,
        150,
        2,
    ),
    JobKind(
        "check-order",
        "amsterdam",
        "desk-amsterdam",
        "risk-checks",
        "risk-check",
        0.5,
        60,
        200,
        4,
    ),
    JobKind(
        "look-up-margin",
        "rotterdam",
        "desk-rotterdam",
        "margin",
        "margin-lookup",
        0.2,
        150,
        500,
        8,
        True,
    ),
)
VENTANAL = (
    JobKind(
        "cut",
        "workshops",
        "workshop",
        "cutting",
        "cutting-list",
        0.1,
        200,
        500,
        2,
    ),
    JobKind(
        "quote-openings",
        "showrooms",
        "showroom",
        "quotes",
        "quote",
        0.6,
        50,
        300,
        8,
    ),
    JobKind(
        "check-glazing",
        "workshops",
        "workshop",
        "fit-checks",
        "fit-check",
        0.3,
        100,
        300,
        4,
        True,
    ),
)
MIXES = {"ordervaart": ORDERVAART, "ventanal": VENTANAL}


class Mix:
    """Draws jobs and arrival times at random.

    Args:
        kinds: the kinds of jobs; their shares add up to 1.
        seed: the seed of the generator.
    """

    def __init__(self, kinds: tuple[JobKind, ...], seed: int):
        self._kinds = kinds
        self._rng = np.random.default_rng(seed)
        self._shares = [kind.share for kind in kinds]

    @property
    def mean_work_ms(self) -> float:
        """The mean slot time of a job of the mix, in ms."""
        return sum(kind.share * kind.mean_work_ms for kind in self._kinds)

    def draw(self) -> DrawnJob:
        """Returns the next job."""
        kind = self._kinds[self._rng.choice(len(self._kinds), p=self._shares)]
        tasks = int(self._rng.integers(1, kind.max_tasks + 1))
        run_ms = self._rng.uniform(kind.min_task_ms, kind.max_task_ms, tasks)
        return DrawnJob(kind, [round(float(task_ms), 1) for task_ms in run_ms])

    def draw_gap_ms(self, jobs_per_s: float) -> float:
        """Draws the time to the next arrival at a rate, in ms."""
        return float(self._rng.exponential(1000.0 / jobs_per_s))
