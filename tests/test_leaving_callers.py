"""Tests of callers that leave while their job is submitted again."""

import msgspec
import pytest

from clayfield.pool import PoolTiming
from clayfield.testbed.pool_site import (
    DEFAULT_STEP,
    PoolSite,
    make_granted_site,
)
from clayfield.wire.jobs import Verdict

RESUBMIT_MS = PoolTiming().resubmit_ms
LONG_STEP = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=900.0)


def _make_site() -> PoolSite:
    return make_granted_site(task_ms=900.0)


@pytest.mark.parametrize("other", ["c-0/1", "b-0/1", "a-0/1"])
def test_caller_that_leaves_does_not_cancel_the_job_of_another_entry_node(
    other: str,
):
    site = _make_site()
    request_id = site.submit("c-1/1", "job", template=LONG_STEP)
    site.run(100)
    site.submit(other, "job", template=LONG_STEP)
    site.run(100)
    site.hang_up("c-1/1", request_id)
    site.run(3000)
    assert site.outcomes["job"][1].verdict is Verdict.COMPLETED
    assert len(site.runs) == 2


@pytest.mark.parametrize("late_ms", [30, 300])
def test_message_that_a_caller_has_left_does_not_cancel_a_later_submission(
    late_ms: float,
):
    site = _make_site()
    request_id = site.submit("c-1/1", "job", template=LONG_STEP)
    site.run(100)
    site.delay_messages("c-1/1", late_ms)
    site.hang_up("c-1/1", request_id)
    # The next messages take another connection and overtake the last one.
    site.delay_messages("c-1/1", 1)
    site.submit("c-1/1", "job", template=LONG_STEP)
    site.run(3000)
    assert site.outcomes["job"][1].verdict is Verdict.COMPLETED


def test_job_is_cancelled_once_the_callers_of_all_entry_nodes_have_left():
    site = _make_site()
    first = site.submit("c-1/1", "job", template=LONG_STEP)
    second = site.submit("b-1/1", "job", template=LONG_STEP)
    site.run(100)
    site.hang_up("c-1/1", first)
    site.hang_up("b-1/1", second)
    site.run(100)
    assert all(run.end_ms is not None for run in site.runs)
    site.run(2000)
    assert len(site.runs) == 2


@pytest.mark.parametrize("node", ["c-1/1", "b-0/1", "a-0/1"])
def test_job_whose_caller_left_runs_anew_when_it_is_submitted_again(node: str):
    site = _make_site()
    request_id = site.submit("c-1/1", "job", template=LONG_STEP)
    site.run(100)
    site.hang_up("c-1/1", request_id)
    site.run(RESUBMIT_MS)
    site.submit(node, "job", template=LONG_STEP)
    site.run(3000)
    assert site.outcomes["job"][1].verdict is Verdict.COMPLETED
    assert site.overlapping_runs() == []


@pytest.mark.parametrize("node", ["c-1/1", "b-0/1", "a-0/1"])
def test_abandoned_job_runs_anew_when_it_is_submitted_again(node: str):
    site = _make_site()
    for worker in site.workers.values():
        worker.task_ms = 10_000.0
    site.submit("c-1/1", "job", template=LONG_STEP)
    site.run(5500)
    assert site.outcomes["job"][1].verdict is Verdict.ABANDONED
    for worker in site.workers.values():
        worker.task_ms = 900.0
    site.run(RESUBMIT_MS)
    site.submit(node, "job", template=LONG_STEP)
    site.run(3000)
    assert site.outcomes["job"][1].verdict is Verdict.COMPLETED
    assert site.overlapping_runs() == []


def test_job_that_is_submitted_again_waits_for_a_start_without_a_reply():
    site = _make_site()
    step = msgspec.structs.replace(LONG_STEP, required_label="rack-b")
    for name in ("worker-b-0", "worker-b-1"):
        site.workers[name].delayed_start_share = 1.0
    request_id = site.submit("c-1/1", "job", count=1, template=step)
    site.run(100)
    site.hang_up("c-1/1", request_id)
    for name in ("worker-b-0", "worker-b-1"):
        site.isolate(name)
        site.workers[name].delayed_start_share = 0.0
    site.run(100)
    site.submit("c-1/1", "job", count=1, template=LONG_STEP)
    site.run(4000)
    assert site.overlapping_runs() == []


def test_job_that_was_cancelled_on_request_does_not_run_again():
    site = _make_site()
    site.submit("c-1/1", "job", template=LONG_STEP)
    site.run(100)
    site.cancel("b-1/1", "job")
    site.run(RESUBMIT_MS)
    site.submit("c-1/1", "job", template=LONG_STEP)
    site.run(3000)
    assert len(site.runs) == 2
    assert site.outcomes["job"][1].verdict is Verdict.CANCELLED
