"""Tests with more ends on a worker than one reply to a poll lists.

They guard against a task that runs twice because its end was not listed yet,
and against jobs that don't end after many ends have waited.
"""

import msgspec
import pytest

from clayfield.testbed.pool_site import DEFAULT_STEP, PoolSite
from clayfield.wire.jobs import JobState, Schedule, Verdict

HOLDER = "a-0/1"
OTHER = "a-1/1"
COUNTS = [499, 500, 501, 1000, 5000]
TASKS_PER_JOB = 500
TASK_MS = 300
# Short enough for the holder to keep its authority.
STALL_MS = 900


def _site(count, workers=1):
    """Returns a site with one hall whose workers have room for all tasks."""
    site = PoolSite(("a",), workers, seed=1, slots=count + 10)
    site.grant(HOLDER, {})
    site.run(4000)
    for worker in site.workers.values():
        worker.task_ms = TASK_MS
    return site


def _submit(site, count, is_kept=True, node=OTHER, **fields):
    """Submits tasks in jobs of equal size; returns the keys of the jobs."""
    template = msgspec.structs.replace(
        DEFAULT_STEP, estimate_ms=TASK_MS, memory_mb=1, **fields
    )
    keys = []
    while count:
        part = min(count, TASKS_PER_JOB)
        keys.append(f"job-{count}")
        site.submit(node, keys[-1], part, is_kept=is_kept, template=template)
        count -= part
    return keys


def _states(site, keys, node=OTHER):
    for key in keys:
        site.request_state(node, key)
    site.run(500)
    return {site.reported_states.get(key) for key in keys}


def _assert_each_ran_once(site, count):
    assert site.find_violations() == []
    assert site.find_restarts_after_end() == []
    assert len(site.runs) == count


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("stall_ms", [0, STALL_MS])
def test_task_whose_end_is_not_listed_yet_does_not_start_again(count, stall_ms):
    # review/1: runs beyond the first 500 ends counted as lost.
    site = _site(count)
    keys = _submit(site, count)
    site.run(200)
    site.leader.is_unresponsive = stall_ms > 0
    site.run(STALL_MS)
    site.leader.is_unresponsive = False
    site.run(8000)
    _assert_each_ran_once(site, count)
    assert _states(site, keys) == {JobState.COMPLETED}


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("commit_ms", [12, 400])
def test_new_holder_starts_no_task_whose_end_is_not_listed_yet(
    count, commit_ms
):
    site = _site(count)
    keys = _submit(site, count)
    site.run(200)
    site.leader.is_unresponsive = True
    site.run(TASK_MS + 100)
    site.kill(HOLDER)
    site.leader.is_unresponsive = False
    site.leader.commit_ms = commit_ms
    site.grant(OTHER, {})
    site.run(12_000)
    _assert_each_ran_once(site, count)
    assert _states(site, keys) == {JobState.COMPLETED}


@pytest.mark.parametrize("count", COUNTS)
def test_new_holder_takes_unlisted_ends_of_jobs_that_are_not_kept(count):
    site = _site(count)
    keys = _submit(site, count, is_kept=False)
    site.run(200)
    site.freeze(HOLDER, 10_000)
    site.run(TASK_MS)
    site.kill(HOLDER)
    site.grant(OTHER, {})
    site.run(4000)
    _assert_each_ran_once(site, count)
    verdicts = {site.outcomes[key][1].verdict for key in keys}
    assert verdicts == {Verdict.COMPLETED}


@pytest.mark.parametrize("count", [499, 501, 1000])
@pytest.mark.parametrize(
    "fields", [{"is_gang": True}, {"is_checkpointing": True}]
)
def test_gangs_and_checkpointing_tasks_do_not_start_again(count, fields):
    site = _site(count)
    keys = _submit(site, count, **fields)
    site.run(200)
    site.leader.is_unresponsive = True
    site.run(STALL_MS)
    site.leader.is_unresponsive = False
    site.run(5000)
    _assert_each_ran_once(site, count)
    assert _states(site, keys) == {JobState.COMPLETED}


@pytest.mark.parametrize("tasks", [170, 300])
def test_iterations_of_a_scheduled_job_do_not_start_again(tasks):
    site = _site(3 * tasks)
    template = msgspec.structs.replace(DEFAULT_STEP, memory_mb=1)
    schedule = Schedule(3, site.clock.wall_ms() + 100, 20)
    site.submit(
        OTHER, "job", tasks, is_kept=True, template=template, schedule=schedule
    )
    site.run(250)
    site.leader.is_unresponsive = True
    site.run(STALL_MS)
    site.leader.is_unresponsive = False
    site.run(5000)
    _assert_each_ran_once(site, 3 * tasks)
    assert _states(site, ["job"]) == {JobState.COMPLETED}


@pytest.mark.parametrize("count", [501, 1000])
def test_cancelled_job_with_unlisted_ends_starts_nothing_again(count):
    site = _site(count)
    keys = _submit(site, count)
    site.run(200)
    site.leader.is_unresponsive = True
    site.run(TASK_MS + 100)
    for key in keys:
        site.cancel(OTHER, key)
    site.run(300)
    site.leader.is_unresponsive = False
    site.run(3000)
    assert set(site.cancelled_ms) == set(keys)
    _assert_each_ran_once(site, count)


@pytest.mark.parametrize("count", [499, 501, 1000])
def test_ends_on_a_worker_that_leaves_are_taken_by_a_new_holder(count):
    site = _site(2 * count, workers=2)
    keys = _submit(site, count)
    site.run(200)
    site.leader.is_unresponsive = True
    site.run(TASK_MS)
    site.kill(HOLDER)
    site.leader.is_unresponsive = False
    site.grant(OTHER, {})
    for name in site.workers:
        site.leave(name)
    site.run(900)
    assert site.find_restarts_after_end() == []
    assert len(site.runs) == count
    assert _states(site, keys) == {JobState.COMPLETED}


@pytest.mark.parametrize("count", [499, 501, 1200])
def test_jobs_end_at_a_standby_beside_many_ends_left_to_the_holder(count):
    # Their own ends were behind more than one reply of ends that stay.
    site = PoolSite(("a", "b", "c"), 1, seed=1, slots=count + 10)
    site.grant(HOLDER, {"b": "b-0/1"})
    site.run(4000)
    for worker in site.workers.values():
        worker.task_ms = TASK_MS
    keys = _submit(site, 3 * count)
    site.run(200)
    site.leader.is_unresponsive = True
    site.partition("b")
    site.run(4000)
    site.leader.is_unresponsive = False
    site.workers["worker-b-0"].task_ms = 60
    site.submit("b-1/1", "local", 5)
    site.run(5500)
    assert site.outcomes["local"][1].verdict is Verdict.COMPLETED
    site.heal("b")
    site.run(10)
    site.grant(HOLDER, {"b": "b-0/1"})
    site.run(12_000)
    assert site.find_violations() == []
    assert site.find_restarts_after_end() == []
    assert _states(site, keys, "c-1/1") == {JobState.COMPLETED}
