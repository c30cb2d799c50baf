"""The two users' mixes of work, from the figures of their brief.

Tasks take 50 to 500 ms, jobs have one to a few tasks. A mix draws jobs at
random from a seeded generator, so that each run gives the same.
"""

import numpy as np


class Kind:
    """A kind of job in a mix.

    Attributes:
        job: its name in the example configuration.
        member: who submits it.
        token: the member's example token.
        priority: its class.
        service: its service.
        share: of all jobs.
        low_ms: shortest task.
        high_ms: longest task.
        most_tasks: of a job.
        is_repeatable: whether it may run twice.
    """

    __slots__ = (
        "high_ms",
        "is_repeatable",
        "job",
        "low_ms",
        "member",
        "most_tasks",
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
        low_ms: int,
        high_ms: int,
        most_tasks: int,
        is_repeatable: bool = False,
    ):
        self.job = job
        self.member = member
        self.token = token
        self.priority = priority
        self.service = service
        self.share = share
        self.low_ms = low_ms
        self.high_ms = high_ms
        self.most_tasks = most_tasks
        self.is_repeatable = is_repeatable

    @property
    def mean_work_ms(self) -> float:
        """The mean slot time of a job."""
        tasks = (1 + self.most_tasks) / 2
        return tasks * (self.low_ms + self.high_ms) / 2


class Job:
    """One job of a mix.

    Attributes:
        kind: what it is.
        run_ms: the time of each task.
    """

    __slots__ = ("kind", "run_ms")

    def __init__(self, kind: Kind, run_ms: list[float]):
        self.kind = kind
        self.run_ms = run_ms


ORDERVAART = (
    Kind(
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
    Kind(
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
    Kind(
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
    Kind(
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
    Kind(
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
    Kind(
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
    Kind(
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
    """Draws jobs of a mix."""

    def __init__(self, kinds: tuple[Kind, ...], seed: int):
        self._kinds = kinds
        self._rng = np.random.default_rng(seed)
        self._shares = [kind.share for kind in kinds]

    @property
    def mean_work_ms(self) -> float:
        """The mean slot time of a job."""
        return sum(kind.share * kind.mean_work_ms for kind in self._kinds)

    def draw(self) -> Job:
        """Returns the next job."""
        kind = self._kinds[self._rng.choice(len(self._kinds), p=self._shares)]
        tasks = int(self._rng.integers(1, kind.most_tasks + 1))
        run_ms = self._rng.uniform(kind.low_ms, kind.high_ms, tasks)
        return Job(kind, [round(float(one), 1) for one in run_ms])

    def gap_ms(self, jobs_per_s: float) -> float:
        """Returns the time to the next arrival at a rate."""
        return float(self._rng.exponential(1000.0 / jobs_per_s))
