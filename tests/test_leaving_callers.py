"""Tests of callers that leave while their job is submitted again."""

import msgspec
import pytest

from clayfield.testbed.pool_site import (
    DEFAULT_STEP,
    PoolSite,
    make_granted_site,
)
from clayfield.wire.jobs import Verdict

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
