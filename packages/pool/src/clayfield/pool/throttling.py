"""Throttles batch tasks that run beside latency-sensitive tasks.

Batch tasks reserve no capacity and use what the others leave. How much they
disturb latency-sensitive tasks is unknown and changes within seconds, so their
speed is controlled by feedback: it is halved once a latency-sensitive task
exceeds its latency target, and raised in steps while all of these are well
below their targets. The interval between raises doubles whenever a target is
exceeded.
"""

from clayfield.pool.tasks import Run
from clayfield.pool.worker import Worker

# Least time between changes: workers report latencies of the last half
# second, so the effect of a change shows only after that.
SETTLE_MS = 600.0
# Bounds of the interval between raises: the usual one, and the longest after
# raises that were too much again and again.
MIN_RAISE_INTERVAL_MS = 600.0
MAX_RAISE_INTERVAL_MS = 9600.0
# Share of the latency target below which the speed may be raised.
RAISE_BELOW_SHARE = 0.8
# Speeds of batch tasks, in percent of their full speed. A speed of at most
# `MIN_PERCENT` is reduced to 0.
RAISE_PERCENT = 10
MIN_PERCENT = 20
MAX_PERCENT = 100


def choose_throttles(worker: Worker, now_ms: float) -> dict[Run, int]:
    """Returns the batch runs on a worker whose speed is to change.

    Adapts the worker's interval between raises.

    Args:
        worker: a worker that has just reported its latencies.
        now_ms: the current time.

    Returns:
        The new speed of each of these runs, in percent of full speed.
    """
    batch_runs = [run for run in worker.runs.values() if _is_batch(run)]
    if not batch_runs or now_ms - worker.throttled_ms < SETTLE_MS:
        return {}
    latency_share = _latency_share(worker)
    if latency_share > 1.0:
        doubled_ms = worker.raise_interval_ms * 2
        worker.raise_interval_ms = min(MAX_RAISE_INTERVAL_MS, doubled_ms)
        return {
            run: _reduce(run.speed_percent)
            for run in batch_runs
            if run.speed_percent
        }
    is_due = now_ms - worker.throttled_ms >= worker.raise_interval_ms
    if latency_share >= RAISE_BELOW_SHARE or not is_due:
        return {}
    halved_ms = worker.raise_interval_ms / 2
    worker.raise_interval_ms = max(MIN_RAISE_INTERVAL_MS, halved_ms)
    return {
        run: min(MAX_PERCENT, run.speed_percent + RAISE_PERCENT)
        for run in batch_runs
        if run.speed_percent < MAX_PERCENT
    }


def _is_batch(run: Run) -> bool:
    return run.task is not None and run.task.step.is_batch


def _latency_share(worker: Worker) -> float:
    """Returns the highest tail latency, as a share of its target."""
    shares = [
        run.tail_latency_ms / run.task.step.target_ms
        for run in worker.runs.values()
        if run.task
        and run.task.step.target_ms
        and run.tail_latency_ms is not None
    ]
    return max(shares, default=0.0)


def _reduce(percent: int) -> int:
    return percent // 2 if percent > MIN_PERCENT else 0
