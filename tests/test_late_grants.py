"""Tests of nodes that receive grants late, or not at all."""

import msgspec
import pytest

from clayfield.base import ManualClock
from clayfield.cluster.control_state import (
    ControlState,
    SetGrant,
    encode_command,
)
from clayfield.pool import EndKind
from clayfield.testbed.pool_site import (
    DEFAULT_STEP,
    HOLDER,
    STANDBYS,
    PoolSite,
    make_granted_site,
)
from clayfield.wire.cluster import Grant
from clayfield.wire.jobs import Verdict

LONG_STEP = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=900.0)


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
    site.deliver_grant("b-0/1")
    site.run(4000)
    assert _verdict(site) in (Verdict.COMPLETED, Verdict.ACCEPTED)
    assert len({run.task_id for run in site.runs}) == 2
    assert site.find_violations() == []


def test_job_cancelled_before_its_holder_gets_the_grant_is_not_run():
    site = _site_with_ungranted_holder()
    request_id = site.submit("c-1/1", "job")
    site.run(50)
    site.hang_up("c-1/1", request_id)
    site.run(50)
    site.deliver_grant("b-0/1")
    site.run(2000)
    assert site.runs == []


@pytest.mark.parametrize("missed", [1, 3])
@pytest.mark.parametrize("is_kept", [False, True])
def test_holder_that_missed_a_grant_to_itself_keeps_its_jobs(
    missed: int, is_kept: bool
):
    site = make_granted_site(task_ms=600.0)
    site.submit("c-1/1", "job", template=LONG_STEP, is_kept=is_kept)
    site.run(100)
    site.leader.unreachable_from.add(HOLDER)
    for _ in range(missed):
        site.grant(HOLDER, STANDBYS)
        site.run(50)
    site.leader.unreachable_from.clear()
    site.grant(HOLDER, STANDBYS)
    site.run(3000)
    assert _verdict(site) in (Verdict.COMPLETED, Verdict.ACCEPTED)
    assert [run.kind for run in site.runs] == [EndKind.DONE] * 2


def test_job_sent_under_a_grant_that_its_holder_missed_is_run():
    site = _site_with_ungranted_holder()
    site.submit("c-1/1", "job")
    site.run(50)
    for _ in range(2):
        site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
        site.run(50)
    site.deliver_grant("b-0/1")
    site.run(2000)
    assert _verdict(site) is Verdict.COMPLETED


@pytest.mark.parametrize(
    ("holders", "since_epoch"),
    [
        (["x"], 1),
        (["x", "x"], 1),
        (["x", "x", "y"], 3),
        (["x", "y", "x", "x", "x"], 3),
    ],
)
@pytest.mark.parametrize("is_restored", [False, True])
def test_grant_names_the_first_of_its_holders_successive_grants(
    holders: list[str], since_epoch: int, is_restored: bool
):
    state = ControlState(ManualClock())
    for epoch, holder in enumerate(holders):
        state.apply(encode_command(SetGrant(epoch, holder, {})))
        if is_restored:
            snapshot = state.snapshot()
            state = ControlState(ManualClock())
            state.restore(snapshot)
    assert state.grant == Grant(len(holders), holders[-1], {}, since_epoch)
