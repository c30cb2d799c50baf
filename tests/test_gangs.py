"""Gangs on a manual clock: all tasks of a run at once, or none."""

import msgspec
import pytest

from clayfield.pool import EndKind
from clayfield.testbed.poolsite import HOLDER, USUAL_STEP, granted_site
from clayfield.wire.jobs import JobState, Verdict

GANG = msgspec.structs.replace(USUAL_STEP, is_gang=True)
KEPT = pytest.mark.parametrize("is_kept", [True, False])


def _verdicts(site):
    return {key: ended.verdict for key, (_, ended) in site.ended.items()}


def _assert_sound(site):
    assert site.faults() == []
    assert site.started_after_done() == []


def _assert_completed(site, key, is_kept):
    if not is_kept:
        assert _verdicts(site)[key] is Verdict.COMPLETED
        return
    site.ask("c-1/1", key)
    site.run(300)
    assert site.states[key] is JobState.COMPLETED


@KEPT
def test_a_gang_starts_under_one_number_and_ends_together(is_kept):
    site = granted_site(task_ms=100)
    site.submit("a-1/1", "gang", 8, 2, is_kept, GANG)
    site.run(1000)
    _assert_sound(site)
    _assert_completed(site, "gang", is_kept)
    assert len(site.ends("gang", EndKind.DONE)) == 16
    assert {ran.number for ran in site.ran} == {1}


@KEPT
def test_two_gangs_that_do_not_fit_together_run_one_after_the_other(is_kept):
    site = granted_site(task_ms=100)
    for number in range(3):
        site.submit("a-1/1", f"gang-{number}", 8, 1, is_kept, GANG)
    site.run(1500)
    _assert_sound(site)
    for number in range(3):
        verdict = _verdicts(site)[f"gang-{number}"]
        if verdict is not Verdict.REFUSED:
            _assert_completed(site, f"gang-{number}", is_kept)
    assert len(site.ends("gang-0", EndKind.DONE)) == 8


@KEPT
def test_a_gang_fails_once_a_run_however_many_tasks_failed(is_kept):
    site = granted_site(task_ms=100)
    for worker in site.workers.values():
        worker.is_failing = True
    site.submit("a-1/1", "gang", 6, 1, is_kept, GANG)
    site.run(6000)
    _assert_sound(site)
    failed = site.ends("gang", EndKind.FAILED)
    assert len({ran.number for ran in failed}) == 3
    if is_kept:
        site.ask("c-1/1", "gang")
        site.run(300)
        assert site.states["gang"] is JobState.FAILED
    else:
        assert _verdicts(site)["gang"] is Verdict.FAILED


@KEPT
@pytest.mark.parametrize("seed", range(12))
def test_starts_without_an_answer_leave_no_task_alone(seed, is_kept):
    site = granted_site(seed, task_ms=100)
    for worker in site.workers.values():
        worker.late_share = 0.1
    for number in range(8):
        site.submit("b-1/1", f"gang-{number}", 4, 1, is_kept, GANG)
        site.run(250)
    site.run(12_000)
    _assert_sound(site)
    if is_kept:
        taken = _verdicts(site)
        for key in taken:
            _assert_completed(site, key, is_kept)


@pytest.mark.parametrize("seed", range(12))
def test_a_new_holder_goes_on_with_whole_gangs_and_restarts_others(seed):
    site = granted_site(seed, task_ms=700)
    for number in range(2):
        site.submit("b-1/1", f"gang-{number}", 5, 1, True, GANG)
        site.run(20)
    site.run(seed * 10)
    site.kill(HOLDER)
    if seed % 2:
        site.silence("worker-a-1")
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    site.run(8000)
    _assert_sound(site)
    for number in range(2):
        _assert_completed(site, f"gang-{number}", True)


@KEPT
def test_a_gang_that_wants_one_rack_gets_one_where_it_fits(is_kept):
    site = granted_site(task_ms=100)
    template = msgspec.structs.replace(GANG, wants_one_rack=True)
    site.submit("a-1/1", "gang", 4, 1, is_kept, template)
    site.run(50)
    halls = {site.workers[ran.worker].info.hall for ran in site.ran}
    assert len(halls) == 1
    site.submit("a-1/1", "wide", 6, 1, is_kept, template)
    site.run(800)
    _assert_sound(site)
    _assert_completed(site, "wide", is_kept)
