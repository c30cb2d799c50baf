"""Tests of requests to cancel jobs that the holder does not know.

They guard against the reply that there is no such job, while another holder
has accepted it and runs it.
"""

import pytest

from clayfield.testbed.pool_site import HOLDER, make_granted_site
from clayfield.wire.jobs import JobState, Verdict

NEXT = "b-0/1"


def _site_with_two_holders(pause_ms):
    """Returns a site whose former holder has missed the next grant."""
    site = make_granted_site(task_ms=600)
    site.partition("a")
    site.run(pause_ms)
    site.grant(NEXT, {"c": "c-0/1"})
    site.run(300)
    return site


@pytest.mark.parametrize("pause_ms", [20, 150, 400, 900])
@pytest.mark.parametrize("wait_ms", [0, 100, 300, 600])
def test_former_holder_denies_no_job_that_the_next_one_has_accepted(
    pause_ms, wait_ms
):
    # The job ran on, though its caller was told that it does not exist.
    site = _site_with_two_holders(pause_ms)
    site.submit("b-1/1", "job", count=2, is_kept=True)
    site.run(30 + wait_ms)
    assert site.outcomes["job"][1].verdict is Verdict.ACCEPTED
    site.cancel("a-1/1", "job")
    site.run(1000)
    assert site.cancel_replies["job"] is None


@pytest.mark.parametrize("node", ["a-0/1", "a-1/1", "c-1/1"])
def test_request_to_cancel_an_unknown_job_is_answered_at_the_next_status(node):
    site = make_granted_site()
    site.cancel(node, "none")
    site.run(300)
    assert site.cancel_replies == {"none": False}


def test_job_that_is_accepted_while_its_cancel_waits_is_cancelled():
    site = make_granted_site()
    site.cancel("c-1/1", "job")
    site.run(5)
    site.submit("b-1/1", "job", count=2, is_kept=True)
    site.run(600)
    assert site.cancel_replies == {"job": True}
    assert site.find_violations() == []


def test_job_is_not_cancelled_by_callers_that_left_before_it_was_accepted():
    site = make_granted_site()
    request = site.submit("c-1/1", "job", count=1)
    site.hang_up("c-1/1", request)
    site.run(5)
    site.submit("b-1/1", "job", count=2, is_kept=True)
    site.run(1000)
    site.request_state("b-1/1", "job")
    site.run(300)
    assert site.reported_states == {"job": JobState.COMPLETED}


@pytest.mark.parametrize("stall_ms", [600, 3000])
def test_request_to_cancel_gets_an_answer_without_a_leader(stall_ms):
    site = make_granted_site()
    site.leader.is_unresponsive = True
    site.run(10)
    site.cancel(HOLDER, "none")
    site.run(stall_ms)
    assert site.cancel_replies == {"none": None}
