"""Tests of workers whose capacity changes while they run.

They guard against jobs that are accepted by the present capacity of a worker
and never placed by a former one, and against starts beyond a shrunk capacity.
"""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clayfield.testbed.pool_site import (
    DEFAULT_STEP,
    HOLDER,
    make_granted_site,
)
from clayfield.wire.cluster import WorkersPush
from clayfield.wire.jobs import JobState, Schedule, Verdict

NEXT = "b-0/1"
SLOTS = 2


def _resize_all(site, slots):
    for name in site.workers:
        site.resize_worker(name, slots)
    site.run(50)


def _change_holder(site):
    site.kill(HOLDER)
    site.run(200)
    site.grant(NEXT, {"a": "a-1/1", "c": "c-0/1"})
    site.run(4000)


def _assert_job_runs(site, is_kept, key="job"):
    count = SLOTS * len(site.workers)
    site.submit("c-1/1", key, count=count, is_kept=is_kept)
    site.run(1000)
    if is_kept:
        site.request_state("c-1/1", key)
        site.run(300)
        assert site.reported_states[key] is JobState.COMPLETED
    else:
        assert site.outcomes[key][1].verdict is Verdict.COMPLETED
    assert site.find_violations() == []


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("small", [0, 1])
def test_worker_that_a_holder_knew_shrunk_only_is_used_once_it_has_grown(
    is_kept, small
):
    # review/3: placement went by the capacity of the first heartbeat.
    site = make_granted_site(workers=1)
    _resize_all(site, small)
    _change_holder(site)
    _resize_all(site, SLOTS)
    _assert_job_runs(site, is_kept)


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("small", [0, 1])
def test_worker_whose_first_heartbeat_states_less_is_used_as_it_states_later(
    is_kept, small
):
    site = make_granted_site(workers=1)
    for worker in site.workers.values():
        site.leave(worker.info.name)
    site.run(3000)
    for worker in site.workers.values():
        worker.restart()
    _resize_all(site, small)
    site.run(1000)
    _resize_all(site, SLOTS)
    _assert_job_runs(site, is_kept)


@pytest.mark.parametrize("small", [0, 1])
@pytest.mark.parametrize("enforces", [False, True])
def test_no_task_starts_beyond_a_capacity_that_has_shrunk(small, enforces):
    site = make_granted_site(workers=1, task_ms=300)
    for worker in site.workers.values():
        worker.enforces_capacity = enforces
    template = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=300)
    count = SLOTS * len(site.workers)
    site.submit("c-1/1", "job", count, 2, is_kept=True, template=template)
    site.run(100)
    _resize_all(site, small)
    # The second step is due meanwhile.
    site.run(400)
    assert site.over_capacity == []
    started = len(site.runs)
    _resize_all(site, SLOTS)
    site.run(4000)
    site.request_state("c-1/1", "job")
    site.run(300)
    assert site.reported_states["job"] is JobState.COMPLETED
    assert site.find_violations() == []
    assert started < len(site.runs) == 2 * count


def test_late_heartbeat_with_a_former_capacity_is_ignored():
    site = make_granted_site(workers=1)
    shrunk = {
        name: msgspec.structs.replace(worker.info, cpu=0)
        for name, worker in site.workers.items()
    }
    for name in site.workers:
        site.send_heartbeat(name)
    for info in shrunk.values():
        site.entries[HOLDER].on_message("control", WorkersPush((info,)))
    _assert_job_runs(site, is_kept=False)


@pytest.mark.parametrize("small", [0, 1])
def test_runs_that_a_new_holder_takes_over_count_against_a_shrunk_capacity(
    small,
):
    site = make_granted_site(workers=1, task_ms=6000)
    template = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=6000)
    site.submit("c-1/1", "long", 3 * SLOTS, is_kept=True, template=template)
    site.run(200)
    for worker in site.workers.values():
        worker.enforces_capacity = False
        worker.task_ms = 60
    _resize_all(site, small)
    _change_holder(site)
    # Scheduled jobs are admitted however late they may end.
    schedule = Schedule(1, site.clock.wall_ms(), 0)
    site.submit("c-1/1", "job", 3, is_kept=True, schedule=schedule)
    site.run(500)
    assert site.over_capacity == []
    assert len(site.runs) == 3 * SLOTS
    _resize_all(site, SLOTS)
    site.run(5000)
    site.request_state("c-1/1", "long")
    site.run(300)
    assert site.reported_states == {"long": JobState.COMPLETED}
    assert site.find_violations() == []


_EVENTS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 3), st.integers(10, 400)),
    min_size=3,
    max_size=12,
)


@given(_EVENTS, st.booleans(), st.sampled_from([0.0, 0.3]))
@settings(derandomize=True, database=None, max_examples=40, deadline=None)
def test_no_order_of_statements_starts_and_ends_exceeds_a_capacity(
    events, enforces, delayed_share
):
    site = make_granted_site(workers=1, task_ms=150, settle_ms=1000)
    names = list(site.workers)
    for worker in site.workers.values():
        worker.enforces_capacity = enforces
        worker.duration_spread = 0.5
    for number, (worker, slots, pause_ms) in enumerate(events):
        site.workers[names[worker]].delayed_start_share = delayed_share
        site.submit("c-1/1", f"job-{number}", 3, is_kept=True)
        site.resize_worker(names[worker], slots)
        # Starts that were on their way when the worker shrunk.
        site.run(5)
        if not delayed_share:
            site.over_capacity.clear()
        site.run(pause_ms)
        if not delayed_share:
            assert site.over_capacity == []
    for name in names:
        site.workers[name].delayed_start_share = 0.0
        site.resize_worker(name, SLOTS)
    site.run(9000)
    accepted = [
        key
        for key, (_, ended) in site.outcomes.items()
        if ended.verdict is Verdict.ACCEPTED
    ]
    for key in accepted:
        site.request_state("c-1/1", key)
    site.run(500)
    assert {site.reported_states[key] for key in accepted} <= {
        JobState.COMPLETED
    }
    assert site.overlapping_runs() == []
    assert site.find_restarts_after_end() == []
