"""Gangs, simulated with a manual clock.

Guards against gangs of which only some tasks run.
"""

import msgspec
import pytest

from clayfield.pool import EndKind
from clayfield.testbed.pool_site import DEFAULT_STEP, HOLDER, make_granted_site
from clayfield.wire.jobs import JobState, Verdict

GANG = msgspec.structs.replace(DEFAULT_STEP, is_gang=True)
KEPT = pytest.mark.parametrize("is_kept", [True, False])


def _verdicts(site):
    return {key: ended.verdict for key, (_, ended) in site.outcomes.items()}


def _assert_no_violations(site):
    assert site.find_violations() == []
    assert site.find_restarts_after_end() == []


def _assert_completed(site, key, is_kept):
    if not is_kept:
        assert _verdicts(site)[key] is Verdict.COMPLETED
        return
    site.request_state("c-1/1", key)
    site.run(300)
    assert site.reported_states[key] is JobState.COMPLETED


@KEPT
def test_gang_runs_under_one_run_number_and_completes(is_kept):
    site = make_granted_site(task_ms=100)
    site.submit("a-1/1", "gang", 8, 2, is_kept, GANG)
    site.run(1000)
    _assert_no_violations(site)
    _assert_completed(site, "gang", is_kept)
    assert len(site.runs_ended_as("gang", EndKind.DONE)) == 16
    assert {run.number for run in site.runs} == {1}


@KEPT
def test_gangs_that_do_not_fit_at_once_run_one_after_the_other(is_kept):
    site = make_granted_site(task_ms=100)
    for number in range(3):
        site.submit("a-1/1", f"gang-{number}", 8, 1, is_kept, GANG)
    site.run(1500)
    _assert_no_violations(site)
    for number in range(3):
        verdict = _verdicts(site)[f"gang-{number}"]
        if verdict is not Verdict.REFUSED:
            _assert_completed(site, f"gang-{number}", is_kept)
    assert len(site.runs_ended_as("gang-0", EndKind.DONE)) == 8


@KEPT
def test_failed_gang_run_counts_as_one_failure(is_kept):
    site = make_granted_site(task_ms=100)
    for worker in site.workers.values():
        worker.is_failing = True
    site.submit("a-1/1", "gang", 6, 1, is_kept, GANG)
    site.run(6000)
    _assert_no_violations(site)
    failed = site.runs_ended_as("gang", EndKind.FAILED)
    assert len({run.number for run in failed}) == 3
    if is_kept:
        site.request_state("c-1/1", "gang")
        site.run(300)
        assert site.reported_states["gang"] is JobState.FAILED
    else:
        assert _verdicts(site)["gang"] is Verdict.FAILED


@KEPT
@pytest.mark.parametrize("seed", range(12))
def test_starts_without_reply_leave_no_partial_gang(seed, is_kept):
    site = make_granted_site(seed, task_ms=100)
    for worker in site.workers.values():
        worker.delayed_start_share = 0.1
    for number in range(8):
        site.submit("b-1/1", f"gang-{number}", 4, 1, is_kept, GANG)
        site.run(250)
    site.run(12_000)
    _assert_no_violations(site)
    if is_kept:
        accepted = _verdicts(site)
        for key in accepted:
            _assert_completed(site, key, is_kept)


@pytest.mark.parametrize("seed", range(12))
def test_new_holder_keeps_complete_gangs_and_restarts_partial_ones(seed):
    site = make_granted_site(seed, task_ms=700)
    for number in range(2):
        site.submit("b-1/1", f"gang-{number}", 5, 1, True, GANG)
        site.run(20)
    site.run(seed * 10)
    site.kill(HOLDER)
    if seed % 2:
        site.isolate("worker-a-1")
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    site.run(8000)
    _assert_no_violations(site)
    for number in range(2):
        _assert_completed(site, f"gang-{number}", True)


@KEPT
def test_gang_that_prefers_one_rack_gets_one_if_it_fits(is_kept):
    site = make_granted_site(task_ms=100)
    template = msgspec.structs.replace(GANG, prefers_one_rack=True)
    site.submit("a-1/1", "gang", 4, 1, is_kept, template)
    site.run(50)
    halls = {site.workers[run.worker].info.hall for run in site.runs}
    assert len(halls) == 1
    site.submit("a-1/1", "wide", 6, 1, is_kept, template)
    site.run(800)
    _assert_no_violations(site)
    _assert_completed(site, "wide", is_kept)


@KEPT
@pytest.mark.parametrize("after_ms", [150, 300])
def test_tasks_of_a_gang_resume_from_the_same_checkpoint(is_kept, after_ms):
    # Each was started again with its own, which differ by when they began.
    site = make_granted_site(task_ms=600)
    template = msgspec.structs.replace(
        GANG, is_checkpointing=True, estimate_ms=600
    )
    site.submit("c-1/1", "gang", 4, 1, is_kept, template)
    site.run(after_ms)
    site.restart_worker(site.runs[0].worker)
    site.run(4000)
    later = [run for run in site.runs if run.number > 1]
    assert len({run.checkpoint for run in later}) == 1
    assert later[0].checkpoint
    _assert_completed(site, "gang", is_kept)
    assert site.overlapping_runs() == []
