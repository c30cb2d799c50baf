"""How fast tasks that fill may work beside tasks that serve.

What fills disturbs what serves by amounts that nobody tells and that change
within seconds, so the pace is found by trial: it is halved as soon as a task
that serves is over its target, and given back in steps while all are well
below theirs. Each time that a step up was too much the next one waits twice
as long.
"""

from clayfield.pool.tasks import Run
from clayfield.pool.worker import Worker

# A figure is of the last half second, so a change shows only after that.
SETTLE_MS = 600.0
# Between steps up: at first, and where they were too much again and again.
FIRST_RAISE_MS = 600.0
LONGEST_RAISE_MS = 9600.0
# A tail below this share of its target leaves room for more.
CALM_SHARE = 0.8
STEP_UP = 10
LEAST_PERCENT = 20
FULL_PERCENT = 100


def choose_pace(worker: Worker, now_ms: float) -> dict[Run, int]:
    """Returns the runs on a worker whose pace is to change, with the new one.

    Args:
        worker: whose figures were just told.
        now_ms: the time.
    """
    filling = [run for run in worker.runs.values() if _fills(run)]
    if not filling or now_ms - worker.paced_ms < SETTLE_MS:
        return {}
    strain = _strain(worker)
    if strain > 1.0:
        doubled_ms = worker.raise_pause_ms * 2
        worker.raise_pause_ms = min(LONGEST_RAISE_MS, doubled_ms)
        return {run: _less(run.percent) for run in filling if run.percent}
    is_time = now_ms - worker.paced_ms >= worker.raise_pause_ms
    if strain >= CALM_SHARE or not is_time:
        return {}
    halved_ms = worker.raise_pause_ms / 2
    worker.raise_pause_ms = max(FIRST_RAISE_MS, halved_ms)
    return {
        run: min(FULL_PERCENT, run.percent + STEP_UP)
        for run in filling
        if run.percent < FULL_PERCENT
    }


def _fills(run: Run) -> bool:
    return run.task is not None and run.task.step.fills


def _strain(worker: Worker) -> float:
    """Returns the highest tail of what serves, as a share of its target."""
    shares = [
        run.figure / run.task.step.target_ms
        for run in worker.runs.values()
        if run.task and run.task.step.target_ms and run.figure is not None
    ]
    return max(shares, default=0.0)


def _less(percent: int) -> int:
    return percent // 2 if percent > LEAST_PERCENT else 0
