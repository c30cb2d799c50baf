"""Workers that start again under the name that they had.

Guards against heartbeats and ends of runs of the new incarnation that count as
outdated, since its numbers start anew.
"""

import msgspec
import pytest

from clayfield.testbed.pool_site import make_granted_site

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
