"""Workers that start again under the name that they had.

Guards against heartbeats and ends of runs of the new incarnation that count as
outdated, since its numbers start anew.
"""

import msgspec
import pytest

from clayfield.pool import EndKind, StartRun, TaskId
from clayfield.testbed.pool_site import HOLDER, make_granted_site
from clayfield.wire.cluster import WorkerLeft, WorkersPush
from clayfield.wire.jobs import Verdict, WorkerState

WORKER = "worker-b-0"
# Longest time from the acknowledgement of a drain to the last start.
DRAIN_MS = 2000.0


def _site():
    """Returns a site with a worker that has been up for some time."""
    site = make_granted_site(settle_ms=200)
    worker = site.workers[WORKER]
    worker.info = msgspec.structs.replace(worker.info, sequence=60)
    site.send_heartbeat(WORKER)
    for number in range(4):
        site.submit("a-1/1", f"former-{number}", count=12)
        site.run(200)
    assert any(run.worker == WORKER for run in site.runs)
    return site


def _submit_jobs(site, count, is_kept=False):
    for number in range(count):
        site.submit("c-1/1", f"job-{number}", count=6, is_kept=is_kept)
        site.run(100)


@pytest.mark.parametrize("up_ms", [5, 500, 3000])
def test_worker_that_restarted_gets_no_tasks_once_it_drains(up_ms):
    site = _site()
    site.restart_worker(WORKER)
    site.run(up_ms)
    site.drain_worker(WORKER)
    site.run(DRAIN_MS)
    drained_ms = site.clock.now_ms()
    _submit_jobs(site, 20)
    late = [
        run
        for run in site.runs
        if run.worker == WORKER and run.start_ms > drained_ms
    ]
    assert late == []


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("down_ms", [0, 50, 400, 3000])
def test_tasks_that_end_on_a_restarted_worker_run_once(is_kept, down_ms):
    site = _site()
    site.isolate(WORKER)
    site.run(down_ms)
    site.rejoin(WORKER)
    site.restart_worker(WORKER)
    site.run(1500)
    _submit_jobs(site, 20, is_kept)
    site.run(4000)
    runs = [run for run in site.runs if run.task_id.job.startswith("job-")]
    assert len(runs) == 20 * 6
    assert any(run.worker == WORKER for run in runs)


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("seed", range(6))
def test_tasks_on_a_worker_that_restarts_run_again_elsewhere(is_kept, seed):
    site = _site()
    for worker in site.workers.values():
        worker.task_ms = 300.0
        worker.delayed_start_share = 0.1 * (seed % 2)
    for number in range(12):
        site.submit("c-1/1", f"job-{number}", count=6, is_kept=is_kept)
        site.run(70 + 11 * seed)
        if number % 4 == 3:
            site.restart_worker(WORKER)
    site.run(20_000)
    assert site.overlapping_runs() == []
    assert site.find_restarts_after_end() == []
    verdicts = {
        ended.verdict
        for key, (_, ended) in site.outcomes.items()
        if key.startswith("job-")
    }
    expected = Verdict.ACCEPTED if is_kept else Verdict.COMPLETED
    assert expected in verdicts


def _push(site, *messages):
    """Delivers messages of a control node to the holder."""
    for message in messages:
        site.entries[HOLDER].on_message("control", message)
    site.run(50)


def test_delayed_heartbeat_of_the_former_incarnation_is_ignored():
    site = _site()
    former = site.workers[WORKER].info
    site.restart_worker(WORKER)
    site.run(50)
    site.drain_worker(WORKER)
    site.run(50)
    _push(
        site,
        WorkersPush((msgspec.structs.replace(former, sequence=1000),)),
        WorkerLeft(WORKER, former.born_ms or 1),
    )
    fleet = site.entries[HOLDER].dispatcher.fleet
    assert fleet.workers[WORKER].info == site.workers[WORKER].info
    assert fleet.workers[WORKER].is_draining
    assert WORKER in site.entries[HOLDER].known_workers
    _push(site, WorkerLeft(WORKER, site.workers[WORKER].info.born_ms))
    assert WORKER not in fleet.workers


def test_restart_that_a_poll_shows_first_is_known_before_its_heartbeat():
    site = _site()
    site.workers[WORKER].restart()
    site.run(1000)
    worker = site.entries[HOLDER].dispatcher.fleet.workers[WORKER]
    assert worker.info.born_ms == site.workers[WORKER].info.born_ms
    assert worker.is_synced
    _submit_jobs(site, 5)
    site.run(1000)
    runs = [run for run in site.runs if run.task_id.job.startswith("job-")]
    assert len(runs) == 5 * 6


def test_restarted_worker_counts_as_unknown_until_it_accepts_a_poll():
    site = _site()
    fleet = site.entries[HOLDER].dispatcher.fleet
    before_ms = site.clock.now_ms() - 1000
    site.run(1000)
    assert fleet.is_synced_since(before_ms)
    site.isolate(WORKER)
    site.restart_worker(WORKER)
    site.run(50)
    assert not fleet.is_synced_since(before_ms)
    site.rejoin(WORKER)
    site.run(1000)
    assert fleet.is_synced_since(before_ms)


def test_restarted_worker_of_another_size_gets_tasks_that_fit():
    site = _site()
    worker = site.workers[WORKER]
    worker.info = msgspec.structs.replace(worker.info, cpu=100)
    worker.enforces_capacity = False
    site.restart_worker(WORKER)
    site.run(500)
    started = len(site.runs)
    _submit_jobs(site, 10)
    assert not [run for run in site.runs[started:] if run.worker == WORKER]
    assert site.over_capacity == []


def test_worker_that_drained_accepts_tasks_after_its_restart():
    site = _site()
    site.drain_worker(WORKER)
    site.run(500)
    worker = site.workers[WORKER]
    worker.info = msgspec.structs.replace(worker.info, state=WorkerState.READY)
    site.restart_worker(WORKER)
    site.run(500)
    started = len(site.runs)
    _submit_jobs(site, 10)
    assert any(run.worker == WORKER for run in site.runs[started:])


def test_runs_on_a_restarted_stand_in_worker_end_when_its_lease_lapses():
    # Times since its start are rounded.
    site = _site()
    site.isolate(WORKER)
    worker = site.workers[WORKER]
    worker.task_ms = 60_000.0
    for number in range(200):
        site.run(site.rng.uniform(0, 10))
        worker.restart()
        site.run(site.rng.uniform(0, 10))
        until_ms = worker.clock_ms + 998.0
        task_id = TaskId(f"task-{number}", 0, 0)
        worker.start(StartRun(WORKER, "", task_id, 1, "", until_ms, 1))
        site.run(999)
        assert site.runs[-1].kind is EndKind.LAPSED, number
