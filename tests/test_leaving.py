"""Tests of workers that announce that they leave."""

import msgspec
import pytest

from clayfield.testbed.pool_site import (
    DEFAULT_STEP,
    HOLDER,
    STANDBYS,
    PoolSite,
    make_granted_site,
)
from clayfield.wire.jobs import Verdict


def _used_workers(site: PoolSite) -> list[str]:
    return sorted({run.worker for run in site.runs})


@pytest.mark.parametrize("is_kept", [False, True])
def test_task_on_a_leaving_worker_starts_elsewhere_only_after_it_has_ended(
    is_kept: bool,
):
    site = make_granted_site(task_ms=600.0)
    site.submit("b-1/1", "job", count=4, is_kept=is_kept, template=DEFAULT_STEP)
    site.run(200)
    for name in _used_workers(site):
        site.leave(name)
    site.run(4000)
    assert site.overlapping_runs() == []
    assert site.find_restarts_after_end() == []


def test_task_on_a_leaving_worker_that_is_gone_starts_once_its_lease_lapsed():
    site = make_granted_site(task_ms=600.0)
    site.submit("b-1/1", "job", count=1)
    site.run(200)
    (name,) = _used_workers(site)
    site.leave(name)
    site.isolate(name)
    site.run(4000)
    assert site.overlapping_runs() == []
    assert site.outcomes["job"][1].verdict is Verdict.COMPLETED
    assert site.runs[-1].worker != name
    assert name not in site.entries[HOLDER].dispatcher.fleet.workers


def test_idle_worker_that_leaves_is_removed_at_once():
    site = make_granted_site()
    name = next(iter(site.workers))
    site.leave(name)
    site.run(20)
    assert name not in site.entries[HOLDER].dispatcher.fleet.workers


@pytest.mark.parametrize("heal_ms", [0, 200, 500])
def test_holder_awaits_a_leaving_worker_that_a_standby_used(heal_ms: float):
    site = make_granted_site(workers=1)
    step = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=900.0)
    site.partition("b")
    site.run(1500)
    for worker in site.workers.values():
        worker.task_ms = 3000.0
    site.submit("b-1/1", "job", count=1, template=step)
    site.run(100)
    (name,) = _used_workers(site)
    site.kill("b-0/1")
    site.leave(name)
    site.run(heal_ms)
    site.heal("b")
    site.grant(HOLDER, STANDBYS)
    site.run(4000)
    assert site.overlapping_runs() == []


@pytest.mark.parametrize("holder_lost_ms", [0, 300, 600])
def test_next_holder_awaits_a_worker_that_left_before_its_grant(
    holder_lost_ms: float,
):
    site = make_granted_site(task_ms=3000.0)
    step = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=900.0)
    site.submit("b-1/1", "job", count=1, template=step)
    site.run(350)
    (name,) = _used_workers(site)
    site.leave(name)
    site.run(holder_lost_ms)
    site.kill(HOLDER)
    site.run(160)
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(6000)
    assert site.overlapping_runs() == []
    assert site.outcomes["job"][1].verdict is Verdict.COMPLETED


def test_next_holder_awaits_a_leaving_worker_whose_runs_it_does_not_know():
    site = make_granted_site(task_ms=900.0)
    site.submit("b-1/1", "job", count=2)
    site.run(200)
    (name,) = _used_workers(site)
    site.kill(HOLDER)
    site.run(160)
    site.isolate(name)
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.leave(name)
    site.run(4000)
    assert site.overlapping_runs() == []
