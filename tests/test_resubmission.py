"""Tests of callers that submit a job again after they lost their entry node.

A caller whose connection breaks waits for `RESUBMIT_MS` before it submits the
same job again, at any entry node that it can reach.
"""

import msgspec
import pytest

from clayfield.pool import EndKind, PoolTiming
from clayfield.testbed.pool_plays import PoolPlay
from clayfield.testbed.pool_site import (
    DEFAULT_STEP,
    HOLDER,
    STANDBYS,
    PoolSite,
    make_granted_site,
)
from clayfield.wire.jobs import Verdict

RESUBMIT_MS = PoolTiming().resubmit_ms
# Time after which nodes treat a silent connection as lost.
PEER_TIMEOUT_MS = 1100.0
LONG_STEP = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=900.0)


def _make_site(task_ms: float = 4000.0, seed: int = 1) -> PoolSite:
    return make_granted_site(seed=seed, task_ms=task_ms, settle_ms=200)


def _submit(site: PoolSite, node: str, count: int = 2) -> None:
    site.submit(node, "job", count=count, template=LONG_STEP)


def _lose_entry(
    site: PoolSite, hall: str, cut_ms: float, detected_after_ms: float
) -> None:
    """Kills an entry node and cuts its hall off, then waits to resubmit.

    Args:
        site: the site.
        hall: the hall.
        cut_ms: time from the kill to the cut, in ms; negative if the hall is
            cut off first.
        detected_after_ms: see `PoolSite.partition`.
    """
    if cut_ms < 0:
        site.partition(hall, detected_after_ms)
        site.run(-cut_ms)
    site.kill(f"{hall}-1/1")
    if cut_ms >= 0:
        site.run(cut_ms)
        site.partition(hall, detected_after_ms)
    site.run(RESUBMIT_MS - max(0.0, cut_ms))


@pytest.mark.parametrize("hall", ["b", "c"])
@pytest.mark.parametrize("cut_ms", [-900, -300, 0, 300, 900, 1290])
@pytest.mark.parametrize("detected_after_ms", [0, PEER_TIMEOUT_MS])
@pytest.mark.parametrize("late_ms", [0, 400])
def test_resubmitted_job_runs_once_when_its_entry_node_is_lost_behind_a_cut(
    hall: str, cut_ms: float, detected_after_ms: float, late_ms: float
):
    site = _make_site()
    _submit(site, f"{hall}-1/1")
    site.run(150)
    _lose_entry(site, hall, cut_ms, detected_after_ms)
    site.run(late_ms)
    _submit(site, f"{hall}-0/1")
    _submit(site, f"{hall}-0/1")
    site.run(5000)
    assert site.overlapping_runs() == []


@pytest.mark.parametrize("seed", range(6))
def test_resubmitted_jobs_run_once_on_busy_workers(seed: int):
    site = _make_site(seed=seed)
    for number in range(8):
        node = ("a-1/1", "b-1/1", "c-0/1", "c-1/1")[number % 4]
        site.submit(node, f"job-{number}", count=1, template=LONG_STEP)
    site.run(site.rng.uniform(20, 400))
    _lose_entry(site, "c", site.rng.uniform(-1000, 1200), PEER_TIMEOUT_MS)
    for number in (3, 7):
        site.submit("c-0/1", f"job-{number}", count=1, template=LONG_STEP)
    site.run(6000)
    assert site.overlapping_runs() == []


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("delayed_start_share", [0.0, 0.1])
def test_no_task_runs_twice_at_once_in_a_random_play(
    seed: int, delayed_start_share: float
):
    play = PoolPlay(seed, delayed_start_share)
    assert play.site.overlapping_runs() == []
    assert play.counts["completed"] > 0


def test_runs_end_before_the_resubmission_when_the_holder_freezes_meanwhile():
    site = _make_site()
    _submit(site, "c-1/1")
    site.run(150)
    lost_ms = site.clock.now_ms()
    site.kill("c-1/1")
    site.partition("c")
    site.run(900)
    site.freeze(HOLDER, 3000)
    site.run(RESUBMIT_MS - 900)
    assert [run for run in site.runs if run.end_ms is None] == []
    assert all(run.end_ms < lost_ms + RESUBMIT_MS for run in site.runs)


@pytest.mark.parametrize("freed_ms", [100, 300, 500, 700, 900])
def test_job_queued_at_the_cut_starts_on_no_worker_with_a_longer_lease(
    freed_ms: float,
):
    site = _make_site(task_ms=400.0 + freed_ms)
    short = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=400.0)
    site.submit("a-1/1", "other", count=12, template=short)
    site.run(50)
    _submit(site, "c-1/1")
    site.run(350)
    assert {run.task_id.job for run in site.runs} == {"other"}
    for worker in site.workers.values():
        worker.task_ms = 4000.0
    site.kill("c-1/1")
    site.partition("c")
    site.run(freed_ms + 20)
    for name in ("worker-a-0", "worker-a-1", "worker-b-0", "worker-b-1"):
        site.isolate(name)
    site.run(RESUBMIT_MS - freed_ms - 20)
    _submit(site, "c-0/1")
    site.run(6000)
    assert site.overlapping_runs() == []


def test_holder_starts_no_job_of_a_lost_entry_node_when_it_thaws():
    site = _make_site()
    site.freeze(HOLDER, 3000)
    _submit(site, "c-1/1")
    site.run(50)
    site.kill("c-1/1")
    site.partition("c")
    site.run(RESUBMIT_MS)
    _submit(site, "c-0/1")
    site.run(5000)
    assert site.overlapping_runs() == []


def test_replaced_holder_behind_a_cut_ends_the_jobs_of_other_halls():
    site = _make_site()
    _submit(site, "b-1/1", count=8)
    site.run(150)
    site.partition("a", PEER_TIMEOUT_MS)
    site.kill("b-1/1")
    site.run(RESUBMIT_MS)
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(20)
    _submit(site, "b-0/1", count=8)
    site.run(6000)
    assert site.overlapping_runs() == []


@pytest.mark.parametrize("cut_ms", [1600, 2500, 3500])
@pytest.mark.parametrize("detected_after_ms", [0, PEER_TIMEOUT_MS])
@pytest.mark.parametrize("grant_after_ms", [0, 300])
def test_holder_starts_no_job_that_the_standby_runs_when_the_hall_rejoins(
    cut_ms: float, detected_after_ms: float, grant_after_ms: float
):
    site = _make_site(task_ms=3000.0)
    _submit(site, "c-1/1")
    site.run(150)
    _lose_entry(site, "c", 0, detected_after_ms)
    _submit(site, "c-0/1")
    site.run(cut_ms - RESUBMIT_MS)
    site.heal("c")
    site.run(grant_after_ms)
    site.grant(HOLDER, STANDBYS)
    site.run(6000)
    assert site.overlapping_runs() == []
    assert site.outcomes["job"][1].verdict is Verdict.COMPLETED


@pytest.mark.parametrize("entry", ["c-1/1", HOLDER])
@pytest.mark.parametrize("holder_lost_ms", [0, 200, 500, 800])
@pytest.mark.parametrize("grant_after_ms", [160, 400, 700])
def test_next_holder_prolongs_no_run_of_a_lost_entry_node(
    entry: str, holder_lost_ms: float, grant_after_ms: float
):
    site = _make_site()
    _submit(site, entry)
    site.run(150)
    site.partition("c")
    if entry == HOLDER:
        site.run(holder_lost_ms)
    lost_ms = site.clock.now_ms()
    site.kill(entry)
    if entry != HOLDER:
        site.run(holder_lost_ms)
        site.kill(HOLDER)
    site.run(grant_after_ms)
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(max(0.0, lost_ms + RESUBMIT_MS - site.clock.now_ms()))
    _submit(site, "c-0/1")
    site.run(6000)
    assert site.overlapping_runs() == []


def test_starts_beside_a_run_of_an_unconfirmed_session_have_a_finite_lease():
    site = make_granted_site(workers=1, task_ms=900.0, settle_ms=4000)
    _submit(site, "c-1/1", count=3)
    site.run(300)
    site.kill(HOLDER)
    site.run(160)
    site.delay_messages("c-1/1", 5)
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(5)
    site.delay_messages("c-1/1", 400)
    for number in range(10):
        site.submit("b-0/1", f"other-{number}", count=1)
        site.run(20)
    site.run(4000)
    assert site.overlapping_runs() == []


def test_next_holder_keeps_the_runs_beside_one_of_a_lost_entry_node():
    site = make_granted_site(workers=1, task_ms=2000.0, settle_ms=4000)
    _submit(site, HOLDER, count=3)
    site.submit("b-0/1", "other", count=3, template=LONG_STEP)
    site.run(300)
    site.kill(HOLDER)
    site.run(160)
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(6000)
    others = [run for run in site.runs if run.task_id.job == "other"]
    assert {run.kind for run in others} == {EndKind.DONE}


def test_paused_job_continues_when_its_entry_node_replies_again():
    site = _make_site(task_ms=500.0)
    _submit(site, "c-1/1")
    site.run(100)
    site.freeze("c-1/1", 1500)
    site.run(4000)
    assert site.overlapping_runs() == []
    assert site.outcomes["job"][1].verdict is Verdict.COMPLETED


@pytest.mark.parametrize("node", [HOLDER, "a-1/1", "c-0/1"])
def test_paused_job_continues_when_its_caller_submits_it_again(node: str):
    site = _make_site(task_ms=2000.0)
    _submit(site, "c-1/1")
    site.run(150)
    site.kill("c-1/1")
    site.run(RESUBMIT_MS)
    _submit(site, node)
    site.run(3000)
    assert site.overlapping_runs() == []
    assert site.outcomes["job"][1].verdict is Verdict.COMPLETED


@pytest.mark.parametrize("detected_after_ms", [0, PEER_TIMEOUT_MS])
@pytest.mark.parametrize("sent_ms", [-200, 0, 400, 1000])
def test_standby_runs_the_jobs_that_the_holder_had_or_never_got(
    sent_ms: float, detected_after_ms: float
):
    site = _make_site(task_ms=600.0)
    site.submit("c-1/1", "first", template=LONG_STEP)
    site.run(800)
    if sent_ms < 0:
        _submit(site, "c-1/1")
        site.run(-sent_ms)
    cut_ms = site.clock.now_ms()
    site.partition("c", detected_after_ms)
    if sent_ms >= 0:
        site.run(sent_ms)
        _submit(site, "c-1/1")
    site.run(6000)
    ended_ms, ended = site.outcomes["job"]
    assert ended.verdict is Verdict.COMPLETED
    assert ended_ms < cut_ms + 2 * RESUBMIT_MS + 600.0
    assert site.overlapping_runs() == []


@pytest.mark.parametrize("new_ms", [100, 500, 900])
def test_standby_gets_the_holders_jobs_although_it_has_probed_their_entry(
    new_ms: float,
):
    site = _make_site(task_ms=600.0)
    _submit(site, "c-1/1")
    site.run(200)
    site.partition("c")
    site.run(300 + new_ms)
    for number in range(20):
        site.submit("c-1/1", f"new-{number}", count=1)
        site.run(100)
    site.run(1000)
    assert site.outcomes["job"][1].verdict is Verdict.COMPLETED
    assert site.overlapping_runs() == []


def test_standby_gets_no_job_whose_holder_sends_no_probes():
    site = _make_site(task_ms=600.0)
    callers = site.entries["c-1/1"].callers
    callers.on_probe = lambda node, probe: None
    _submit(site, "c-1/1")
    site.run(50)
    site.partition("c")
    site.run(2 * RESUBMIT_MS)
    assert site.entries["c-0/1"].dispatcher.open_jobs == 0


def test_jobs_run_on_while_their_entry_nodes_are_connected():
    site = _make_site(task_ms=3000.0)
    for hall in ("a", "b", "c"):
        site.submit(f"{hall}-1/1", f"job-{hall}", template=LONG_STEP)
    site.run(4000)
    assert len(site.runs) == 6
    assert {ended.verdict for _, ended in site.outcomes.values()} == {
        Verdict.COMPLETED
    }


@pytest.mark.parametrize("grant_after_ms", [0, 100, 300])
def test_run_of_the_standby_is_known_where_a_start_of_the_holder_got_no_reply(
    grant_after_ms: float,
):
    site = _make_site()
    step = msgspec.structs.replace(LONG_STEP, required_label="rack-b")
    workers = ("worker-b-0", "worker-b-1")
    for name in workers:
        site.isolate(name)
    site.submit("b-0/1", "job", count=2, template=step)
    site.run(200)
    site.partition("b")
    for name in workers:
        site.rejoin(name)
    site.run(2 * RESUBMIT_MS)
    assert {run.worker for run in site.runs} <= set(workers)
    assert len(site.runs) == 2
    site.heal("b")
    site.run(grant_after_ms)
    site.grant(HOLDER, STANDBYS)
    site.run(6000)
    assert site.overlapping_runs() == []
    assert len(site.runs) == 2
