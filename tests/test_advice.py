"""Tests that advised jobs run only with valid tickets of the advisor."""

import msgspec
import pytest

from clayfield.testbed.poolsite import HOLDER, USUAL_STEP, granted_site
from clayfield.wire.jobs import JobState


def _submit(site, key, count=2, steps=1, template=USUAL_STEP):
    site.submit("b-1/1", key, count, steps, True, template, is_advised=True)


def _assert_completed(site, *keys):
    for key in keys:
        site.ask("c-1/1", key)
    site.run(300)
    assert {site.states[key] for key in keys} == {JobState.COMPLETED}
    assert site.faults() == []
    assert site.started_after_done() == []


@pytest.mark.parametrize("seed", range(10))
def test_advised_jobs_run_only_with_valid_tickets(seed):
    site = granted_site(seed, workers=3)
    keys = [f"job-{number}" for number in range(6)]
    for key in keys:
        _submit(site, key, steps=2)
        site.run(100)
    site.run(4000)
    _assert_completed(site, *keys)
    assert site.advisor.rejected == 0
    assert site.advisor.asked <= 2 * len(keys) * 2


def test_one_request_covers_all_tasks_of_a_step():
    site = granted_site(workers=3)
    _submit(site, "job", count=6)
    site.run(1500)
    _assert_completed(site, "job")
    assert site.advisor.asked == 1


def test_expired_ticket_is_requested_again():
    site = granted_site(workers=3, task_ms=1500)
    template = msgspec.structs.replace(USUAL_STEP, estimate_ms=1500.0)
    _submit(site, "job", count=16, template=template)
    site.run(9000)
    _assert_completed(site, "job")
    assert site.advisor.rejected == 0
    assert site.advisor.asked > 1


def test_job_waits_while_the_advisor_is_busy():
    site = granted_site(workers=3)
    site.advisor.is_busy = True
    _submit(site, "job")
    site.run(1000)
    assert site.ran == []
    site.advisor.is_busy = False
    site.run(1000)
    _assert_completed(site, "job")


def test_gang_runs_only_with_valid_tickets():
    site = granted_site(workers=3)
    template = msgspec.structs.replace(USUAL_STEP, is_gang=True)
    _submit(site, "job", count=4, template=template)
    site.run(1000)
    _assert_completed(site, "job")
    assert site.advisor.rejected == 0


@pytest.mark.parametrize("seed", range(6))
def test_new_holder_requests_tickets_again(seed):
    site = granted_site(seed, workers=3)
    _submit(site, "job", steps=3)
    site.run(50 + 20 * seed)
    site.kill(HOLDER)
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    site.run(6000)
    _assert_completed(site, "job")
    assert site.advisor.rejected == 0
