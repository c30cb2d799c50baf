"""Jobs with a schedule, simulated with a manual clock.

Guards against iterations that start too early, are lost or run twice.
"""

import msgspec
import pytest

from clayfield.pool import EndKind
from clayfield.testbed.pool_site import DEFAULT_STEP, HOLDER, make_granted_site
from clayfield.wire.jobs import JobState, Schedule

WALL_MS = 1_700_000_000_000.0
TICK_MS = 25
INTERVAL_MS = 1000.0
FIRST_DELAY_MS = 500.0


def _site(seed=1):
    site = make_granted_site(seed)
    site.clock.wall_offset_ms = WALL_MS
    return site


def _submit(site, repeats=4, steps=1, estimate_ms=60.0):
    start_ms = site.clock.wall_ms() + FIRST_DELAY_MS
    template = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=estimate_ms)
    schedule = Schedule(repeats, start_ms, INTERVAL_MS)
    site.submit("b-1/1", "job", 2, steps, True, template, schedule)
    return start_ms - WALL_MS


def _starts(site):
    """Returns the earliest start of each iteration, on the monotonic clock."""
    starts = {}
    for run in site.runs:
        iteration = run.task_id.iteration
        starts[iteration] = min(
            starts.get(iteration, run.start_ms), run.start_ms
        )
    return starts


def _state(site):
    site.request_state("c-1/1", "job")
    site.run(250)
    return site.reported_states["job"]


def _assert_no_violations(site):
    assert site.find_violations() == []
    assert site.find_restarts_after_end() == []


def test_each_iteration_starts_when_it_is_due():
    site = _site()
    first_ms = _submit(site, steps=2)
    site.run(300)
    assert site.runs == []
    assert _state(site) is JobState.QUEUED
    site.run(2500)
    assert _state(site) is JobState.RUNNING
    site.run(2000)
    for iteration, start_ms in _starts(site).items():
        due_ms = first_ms + iteration * INTERVAL_MS
        assert due_ms <= start_ms <= due_ms + TICK_MS
    assert len(site.runs_ended_as("job", EndKind.DONE)) == 16
    assert _state(site) is JobState.COMPLETED
    _assert_no_violations(site)


def test_iterations_may_overlap():
    site = _site()
    for worker in site.workers.values():
        worker.task_ms = 2500
    _submit(site, repeats=3, estimate_ms=2500.0)
    site.run(2900)
    assert {run.task_id.iteration for run in site.runs} == {0, 1, 2}
    assert all(run.end_ms is None for run in site.runs)
    site.run(3000)
    assert _state(site) is JobState.COMPLETED


@pytest.mark.parametrize("jump_ms", [-3000.0, 3000.0])
def test_all_iterations_complete_if_the_wall_clock_jumps_and_returns(jump_ms):
    site = _site()
    first_ms = _submit(site)
    site.run(1000)
    site.clock.wall_offset_ms += jump_ms
    site.run(1000)
    site.clock.wall_offset_ms -= jump_ms
    site.run(6000)
    for iteration, start_ms in _starts(site).items():
        assert start_ms >= first_ms + iteration * INTERVAL_MS - max(
            0.0, jump_ms
        )
    assert len(site.runs_ended_as("job", EndKind.DONE)) == 8
    assert _state(site) is JobState.COMPLETED
    _assert_no_violations(site)


@pytest.mark.parametrize("seed", range(10))
def test_new_holder_runs_the_remaining_iterations(seed):
    site = _site(seed)
    first_ms = _submit(site, steps=2)
    site.run(300 + 250 * seed)
    site.kill(HOLDER)
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    site.run(9000)
    _assert_no_violations(site)
    for iteration, start_ms in _starts(site).items():
        assert start_ms >= first_ms + iteration * INTERVAL_MS
    done = {run.task_id for run in site.runs_ended_as("job", EndKind.DONE)}
    assert len(done) == 16
    assert _state(site) is JobState.COMPLETED


def test_cancelled_job_runs_no_further_iterations():
    site = _site()
    _submit(site)
    site.run(1000)
    site.cancel("a-1/1", "job")
    site.run(6000)
    assert {run.task_id.iteration for run in site.runs} == {0}
    assert _state(site) is JobState.CANCELLED
