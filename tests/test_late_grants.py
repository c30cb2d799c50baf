"""Tests of nodes that receive grants late, or not at all."""

import pytest

from clayfield.testbed.pool_site import (
    HOLDER,
    PoolSite,
    make_granted_site,
)
from clayfield.wire.jobs import Verdict


def _verdict(site: PoolSite) -> Verdict | None:
    return site.outcomes["job"][1].verdict if site.outcomes else None


def _site_with_ungranted_holder() -> PoolSite:
    """Returns a site whose new holder, b-0, has not received its grant."""
    site = make_granted_site()
    site.leader.unreachable_from.add("b-0/1")
    site.kill(HOLDER)
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(20)
    return site


@pytest.mark.parametrize("late_ms", [500, 1100, 2500])
@pytest.mark.parametrize("is_kept", [False, True])
def test_job_sent_before_its_holder_gets_the_grant_is_run_in_the_end(
    late_ms: float, is_kept: bool
):
    site = _site_with_ungranted_holder()
    site.submit("c-1/1", "job", is_kept=is_kept)
    site.run(late_ms)
    site.leader.unreachable_from.clear()
    site._deliver("b-0/1", "control", site._grant)
    site.run(4000)
    assert _verdict(site) in (Verdict.COMPLETED, Verdict.ACCEPTED)
    assert len({run.task_id for run in site.runs}) == 2
    assert site.find_violations() == []
