"""Throttling of batch tasks, simulated with a manual clock.

Guards against batch tasks that keep latency-sensitive tasks over their latency
target, or that stay throttled without need.
"""

import msgspec
import pytest

from clayfield.testbed.pool_site import (
    DEFAULT_STEP,
    HOLDER,
    SLOT_CPU,
    make_granted_site,
)

LONG_MS = 1_000_000
TARGET_MS = 100.0
# Longest time for which a tail latency may exceed its target.
MAX_VIOLATION_MS = 4000
LATENCY_STEP = msgspec.structs.replace(
    DEFAULT_STEP, is_long_running=True, target_ms=TARGET_MS
)
BATCH_STEP = msgspec.structs.replace(
    DEFAULT_STEP, is_long_running=True, is_batch=True, cpu=2 * SLOT_CPU
)


def _site(seed=1, serving_count=6, batch_count=12):
    site = make_granted_site(seed, task_ms=LONG_MS)
    site.submit(
        "a-1/1", "latency", serving_count, is_kept=True, template=LATENCY_STEP
    )
    site.run(200)
    site.submit(
        "a-1/1", "batch", batch_count, is_kept=True, template=BATCH_STEP
    )
    site.run(200)
    return site


def _running(site, job):
    return [
        run
        for run in site.runs
        if run.task_id.job == job and run.end_ms is None
    ]


def _batch_percents(site):
    return [run.speed_percent for run in _running(site, "batch")]


def _measure_violations(site, duration_ms):
    """Measures how tail latencies exceed their target.

    Returns:
        The longest violation on a worker, in ms, and the share of samples over
        the target.
    """
    longest_ms = 0
    samples_over = 0
    violation_ms = dict.fromkeys(site.workers, 0)
    rounds = int(duration_ms // 100)
    for _ in range(rounds):
        site.run(100)
        for name, worker in site.workers.items():
            is_over = worker.tail_ms > TARGET_MS
            violation_ms[name] = violation_ms[name] + 100 if is_over else 0
            longest_ms = max(longest_ms, violation_ms[name])
            samples_over += is_over
    return longest_ms, samples_over / (rounds * len(site.workers))


def test_batch_tasks_reserve_no_capacity_and_spread_over_workers():
    site = _site(serving_count=12, batch_count=12)
    assert len(_running(site, "latency")) == 12
    assert len(_running(site, "batch")) == 12
    by_worker = {}
    for run in _running(site, "batch"):
        by_worker[run.worker] = by_worker.get(run.worker, 0) + 1
    assert set(by_worker.values()) == {2}
    site.submit("a-1/1", "job", 1)
    site.run(20)
    assert site.outcomes["job"][1].retry_after_ms > 0


@pytest.mark.parametrize("interference_ms", [20.0, 60.0, 200.0, 2000.0])
def test_latency_target_is_exceeded_only_briefly(interference_ms):
    site = _site(serving_count=12)
    for worker in site.workers.values():
        worker.interference_ms = interference_ms
    longest_ms, share = _measure_violations(site, 30_000)
    assert longest_ms < MAX_VIOLATION_MS
    assert share < 0.3


def test_batch_tasks_regain_full_speed_once_they_cause_no_latency():
    site = _site(serving_count=12)
    for worker in site.workers.values():
        worker.interference_ms = 500.0
    site.run(5000)
    assert max(_batch_percents(site)) < 20
    for worker in site.workers.values():
        worker.interference_ms = 1.0
    site.run(30_000)
    assert set(_batch_percents(site)) == {100}


def test_batch_tasks_are_not_throttled_without_latency_sensitive_tasks():
    site = make_granted_site(task_ms=LONG_MS)
    site.submit("a-1/1", "batch", 6, is_kept=True, template=BATCH_STEP)
    for worker in site.workers.values():
        worker.interference_ms = 500.0
    site.run(5000)
    assert set(_batch_percents(site)) == {100}


def test_new_holder_continues_from_the_speeds_that_workers_report():
    site = _site(serving_count=12)
    for worker in site.workers.values():
        worker.interference_ms = 200.0
    site.run(5000)
    site.kill(HOLDER)
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    longest_ms, _ = _measure_violations(site, 10_000)
    assert longest_ms < MAX_VIOLATION_MS
    assert site.find_violations() == []
