"""Long-running tasks, simulated with a manual clock.

Such a task runs until its job is cancelled and is restarted whenever it ends.
Guards against lost tasks, and tasks that are wrongly treated as hung.
"""

import msgspec
import pytest

from clayfield.pool import EndKind
from clayfield.testbed.pool_site import DEFAULT_STEP, HOLDER, make_granted_site
from clayfield.wire.jobs import JobState, Verdict

LONG_MS = 100_000
LONG_RUNNING_STEP = msgspec.structs.replace(DEFAULT_STEP, is_long_running=True)


def _running(site, key):
    return [
        run
        for run in site.runs
        if run.task_id.job == key and run.end_ms is None
    ]


@pytest.mark.parametrize("is_failing", [True, False])
def test_long_running_task_is_restarted_after_success_or_failure(is_failing):
    site = make_granted_site(task_ms=300)
    for worker in site.workers.values():
        worker.is_failing = is_failing
    site.submit("a-1/1", "job", 3, is_kept=True, template=LONG_RUNNING_STEP)
    site.run(4000)
    kind = EndKind.FAILED if is_failing else EndKind.DONE
    assert len(site.runs_ended_as("job", kind)) >= 30
    assert len(_running(site, "job")) == 3
    site.request_state("b-1/1", "job")
    site.run(200)
    assert site.reported_states == {"job": JobState.RUNNING}
    assert site.find_violations() == []


def test_long_running_task_is_never_treated_as_hung():
    site = make_granted_site(task_ms=LONG_MS)
    site.submit("a-1/1", "job", 3, is_kept=True, template=LONG_RUNNING_STEP)
    site.run(20_000)
    assert len(site.runs) == 3
    assert len(_running(site, "job")) == 3


def test_forecast_excludes_slots_of_long_running_tasks():
    site = make_granted_site(task_ms=LONG_MS)
    site.submit("a-1/1", "job", 11, is_kept=True, template=LONG_RUNNING_STEP)
    site.run(100)
    for worker in site.workers.values():
        worker.task_ms = 60
    for number in range(3):
        site.submit("a-1/1", f"small-{number}", 2)
    site.run(400)
    verdicts = [site.outcomes[f"small-{n}"][1].verdict for n in range(3)]
    assert verdicts[0] is Verdict.COMPLETED
    assert verdicts[2] is Verdict.REFUSED
    assert 0 < site.outcomes["small-2"][1].retry_after_ms <= 10_000


@pytest.mark.parametrize("seed", range(10))
def test_long_running_tasks_continue_under_a_new_holder(seed):
    site = make_granted_site(seed, task_ms=LONG_MS)
    site.submit("b-1/1", "job", 5, is_kept=True, template=LONG_RUNNING_STEP)
    site.run(500 + seed)
    site.kill(HOLDER)
    if seed % 2:
        site.isolate("worker-a-1")
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    site.run(6000)
    assert site.find_violations() == []
    assert len(_running(site, "job")) == 5
    failures = 1 + (seed % 2)
    assert len(site.runs) <= 5 + 2 * failures


def test_cancelled_long_running_job_stops():
    site = make_granted_site(task_ms=LONG_MS)
    site.submit("b-1/1", "job", 5, is_kept=True, template=LONG_RUNNING_STEP)
    site.run(500)
    site.cancel("c-1/1", "job")
    site.run(300)
    assert list(site.cancelled_ms) == ["job"]
    assert _running(site, "job") == []
    site.run(5000)
    assert len(site.runs) == 5
