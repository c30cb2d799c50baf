"""Scheduling by a pool, simulated with a manual clock.

Guards against tasks that run twice at once, jobs without a result, and tasks
that are placed on full, hung or slow workers.
"""

import msgspec
import pytest

from clayfield.base import ManualClock
from clayfield.pool import (
    CommandResult,
    EntryNode,
    PollReply,
    PollWorker,
    PoolTiming,
    SendToNode,
    StopRun,
    TaskId,
)
from clayfield.pool.role import standby_fence
from clayfield.testbed.pool_site import (
    DEFAULT_STEP,
    HALLS,
    HOLDER,
    SLOT_CPU,
    STANDBYS,
    make_granted_site,
)
from clayfield.wire.cluster import (
    Grant,
    NodeGreeting,
    SubmitJob,
    WorkerLeft,
    WorkersPush,
)
from clayfield.wire.jobs import Job, JobState, Verdict


def _site(seed=1, workers=2):
    return make_granted_site(seed, workers, settle_ms=200)


def _disable_capacity_checks(site):
    """Makes workers accept starts when full, and varies task durations."""
    for worker in site.workers.values():
        worker.enforces_capacity = False
        worker.duration_spread = 0.8


def _verdicts(site):
    return {key: ended.verdict for key, (_, ended) in site.outcomes.items()}


@pytest.mark.parametrize("node", ["a-0/1", "a-1/1", "c-1/1"])
def test_job_submitted_at_any_entry_node_completes(node):
    site = _site()
    site.submit(node, "job", count=4)
    site.run(100)
    at_ms, ended = site.outcomes["job"]
    assert ended.verdict is Verdict.COMPLETED
    assert at_ms <= 200 + 60 + 10
    assert len(site.runs) == 4


def test_job_that_cannot_meet_its_objective_is_refused_at_once():
    site = _site(workers=1)
    for number in range(3):
        site.submit("a-0/1", f"job-{number}", count=6)
    site.run(5)
    refused = site.outcomes["job-2"][1]
    assert refused.verdict is Verdict.REFUSED
    assert refused.retry_after_ms > 0
    site.run(300)
    assert not [run for run in site.runs if run.task_id.job == "job-2"]


def _site_with_refused_job(node="c-1/1", **delays_ms):
    """Returns a site that is about to refuse the job "late" of a node.

    Args:
        node: the entry node that gets the job.
        delays_ms: for the "first" and the "second" copy of the job that the
            node sends, how long it takes; no second one is sent by default.
    """
    site = _site(workers=1)
    for number in range(2):
        site.submit("a-0/1", f"job-{number}", count=6)
    site.delay_messages(node, delays_ms.get("first", 1))
    site.submit(node, "late", count=6)
    if "second" in delays_ms:
        site.delay_messages(node, delays_ms["second"])
        site.reconnect(node, HOLDER)
    site.delay_messages(node, 1)
    return site


def _runs_of(site, job):
    return [run for run in site.runs if run.task_id.job == job]


@pytest.mark.parametrize(
    ("first_ms", "second_ms"),
    [(1, 2), (1, 30), (1, 1000), (2, 1), (30, 1), (100, 1), (1000, 1)],
)
def test_refused_job_never_runs_after_its_entry_node_reconnected(
    first_ms, second_ms
):
    site = _site_with_refused_job(first=first_ms, second=second_ms)
    site.run(3000)
    is_refused = _verdicts(site)["late"] is Verdict.REFUSED
    assert is_refused == (not _runs_of(site, "late"))
    assert is_refused or first_ms > second_ms


@pytest.mark.parametrize("node", ["a-0/1", "b-1/1", "c-1/1"])
def test_job_submitted_again_after_its_refusal_runs(node):
    site = _site_with_refused_job(first=1, second=2)
    site.run(200)
    assert _verdicts(site)["late"] is Verdict.REFUSED
    site.submit(node, "late", count=6)
    site.run(200)
    assert _verdicts(site)["late"] is Verdict.COMPLETED


@pytest.mark.parametrize("offset_ms", [1, 5, 20])
def test_late_copy_of_a_refused_job_does_not_refuse_its_next_submission(
    offset_ms,
):
    site = _site_with_refused_job(first=1, second=200 + offset_ms)
    site.run(200)
    assert _verdicts(site)["late"] is Verdict.REFUSED
    site.submit("c-1/1", "late", count=6)
    site.run(200)
    assert _verdicts(site)["late"] is Verdict.COMPLETED
    assert len(_runs_of(site, "late")) == 6


def test_refused_job_never_runs_after_its_holder_was_replaced_in_between():
    site = _site_with_refused_job(first=1, second=300)
    site.run(5)
    assert _verdicts(site)["late"] is Verdict.REFUSED
    for holder, standbys in (("b-0/1", {"c": "c-0/1"}), (HOLDER, STANDBYS)):
        site.grant(holder, standbys)
        site.run(20)
    site.run(3000)
    assert _runs_of(site, "late") == []


def test_refusal_by_a_holder_that_was_replaced_in_between_is_ignored():
    site = _site_with_refused_job()
    site.delay_messages(HOLDER, 30)
    site.run(5)
    site.delay_messages(HOLDER, 1)
    site.grant("b-0/1", {"c": "c-0/1"})
    site.run(5)
    site.grant(HOLDER, STANDBYS)
    site.run(3000)
    is_refused = _verdicts(site)["late"] is Verdict.REFUSED
    assert is_refused == (not _runs_of(site, "late"))


def _site_with_job_started_by_a_former_holder():
    """Returns a busy site whose new holder lacks the workers of a hall.

    The former holder has started "job" of a-1/2 on one of them.
    """
    site = _site(workers=1)
    site.restart("a-1/2", "a", {"a", "b"})
    site.restart("b-0/2", "b", {"a", "b"})
    site.grant("c-0/1", {"a": "a-1/2", "b": "b-0/2"})
    site.run(300)
    for node in ("a-1/2", "b-0/2"):
        for name in ("worker-c-0", "worker-c-1"):
            site.entries[node].on_message("control", WorkerLeft(name))
    # Workers that left within the length of a lease are remembered.
    site.run(1100)
    for worker in site.workers.values():
        worker.task_ms = 900.0
    template = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=900.0)
    site.submit("a-1/2", "other", count=4, template=template)
    template = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=400.0)
    site.submit("a-1/2", "job", template=template)
    site.run(20)
    assert _runs_of(site, "job")
    # The entry nodes of that hall would pass on its workers.
    site.partition("c")
    site.grant("b-0/2", {"a": "a-1/2", "c": "c-0/1"})
    return site, template


def test_job_started_by_a_former_holder_is_not_refused():
    site, _ = _site_with_job_started_by_a_former_holder()
    site.run(4000)
    assert _verdicts(site)["job"] is not Verdict.REFUSED


def test_job_started_by_a_former_holder_is_not_refused_when_submitted_again():
    site, template = _site_with_job_started_by_a_former_holder()
    # The copy that is submitted again arrives first.
    site.delay_messages("a-1/2", 3)
    site.run(1)
    site.submit("b-0/2", "job", template=template)
    site.run(4000)
    assert _verdicts(site)["job"] is not Verdict.REFUSED


def test_job_started_by_a_former_holder_is_not_refused_when_it_times_out():
    site, _ = _site_with_job_started_by_a_former_holder()
    for name in ("worker-a-0", "worker-b-0"):
        site.drain_worker(name)
    site.run(6000)
    assert _verdicts(site)["job"] is Verdict.ABANDONED


def test_job_submitted_at_two_entry_nodes_runs_once():
    site = _site()
    site.submit("a-1/1", "job")
    site.submit("b-1/1", "job")
    site.run(200)
    assert _verdicts(site) == {"job": Verdict.COMPLETED}
    assert len(site.runs) == 2


def test_failed_task_is_retried_on_another_worker():
    site = _site()
    site.workers["worker-a-0"].is_failing = True
    site.submit("a-0/1", "job", count=6)
    site.run(400)
    assert _verdicts(site) == {"job": Verdict.COMPLETED}


@pytest.mark.parametrize("seed", range(20))
def test_delayed_start_commands_never_run_a_task_twice_at_once(seed):
    site = _site(seed)
    _disable_capacity_checks(site)
    for worker in site.workers.values():
        worker.delayed_start_share = 0.3
    for number in range(30):
        node = f"{HALLS[number % 3]}-1/1"
        site.submit(node, f"job-{number}", count=2)
        site.run(120)
    site.run(5000)
    assert site.overlapping_runs() == []
    assert site.over_capacity == []
    assert len(site.outcomes) == 30


@pytest.mark.parametrize("seed", range(20))
def test_no_task_runs_twice_at_once_after_the_holder_was_killed(seed):
    site = _site(seed)
    _disable_capacity_checks(site)
    for number in range(20):
        site.submit(f"{HALLS[number % 3]}-1/1", f"job-{number}", count=3)
        site.run(20)
        if number == 10:
            site.run(seed)
            site.kill(HOLDER)
            site.run(30)
            site.grant("b-0/1", {"c": "c-0/1"})
    site.run(6000)
    assert site.overlapping_runs() == []
    assert site.over_capacity == []
    assert len(site.outcomes) == 20
    later_keys = [f"job-{number}" for number in range(13, 20)]
    assert all(_verdicts(site)[key] is Verdict.COMPLETED for key in later_keys)


def _submit_through_partition(site, hall, partition_ms, heal_ms):
    keys = []

    def submit_for(duration_ms):
        for _ in range(int(duration_ms // 25)):
            key = f"job-{len(keys)}"
            keys.append(key)
            site.submit(f"{hall}-1/1", key, count=2)
            site.run(25)

    submit_for(200)
    site.partition(hall)
    submit_for(partition_ms)
    site.heal(hall)
    submit_for(heal_ms)
    site.grant(HOLDER, STANDBYS)
    submit_for(600)
    site.run(6000)
    return keys


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("hall", ["b", "c"])
def test_no_task_runs_twice_at_once_after_a_partitioned_hall_rejoins(
    hall, seed
):
    site = _site(seed)
    _disable_capacity_checks(site)
    keys = _submit_through_partition(site, hall, 1500, 10 + 20 * seed)
    assert site.overlapping_runs() == []
    assert site.over_capacity == []
    assert set(site.outcomes) == set(keys)


def test_standby_runs_jobs_of_a_partitioned_hall():
    site = _site()
    site.partition("b")
    site.run(600)
    site.submit("b-1/1", "job", count=2)
    site.run(200)
    assert _verdicts(site) == {"job": Verdict.COMPLETED}
    assert {run.worker for run in site.runs} <= {"worker-b-0", "worker-b-1"}


@pytest.mark.parametrize("seed", range(8))
def test_standby_starts_no_task_that_the_holder_may_be_running(seed):
    site = _site(seed)
    for worker in site.workers.values():
        worker.task_ms = 900.0
    site.submit("b-1/1", "job", count=6)
    site.run(100 + 10 * seed)
    site.partition("b")
    site.run(2000)
    assert site.overlapping_runs() == []
    site.heal("b")
    site.grant(HOLDER, STANDBYS)
    site.run(4000)
    assert site.overlapping_runs() == []
    assert "job" in site.outcomes


def test_stopping_entry_node_refuses_new_jobs_and_abandons_open_ones():
    site = _site()
    entry = site.entries["c-1/1"]
    for worker in site.workers.values():
        worker.task_ms = 3000.0
    site.submit("c-1/1", "open")
    site.run(100)
    entry.begin_stop()
    entry.rejects_jobs = True
    site.submit("c-1/1", "late")
    assert site.outcomes["late"][1].verdict is Verdict.REFUSED
    entry.fail_all()
    site.run(50)
    assert site.outcomes["open"][1].verdict is Verdict.ABANDONED


def test_worker_with_hung_tasks_gets_few_new_tasks():
    site = _site()
    hung = site.workers["worker-a-0"]
    hung.is_hung = True
    for number in range(40):
        site.submit("a-0/1", f"job-{number}", count=2)
        site.run(100)
    started = [run for run in site.runs if run.worker == hung.info.name]
    assert len(started) <= 8
    assert set(_verdicts(site).values()) == {Verdict.COMPLETED}
    assert site.overlapping_runs() == []


def test_hung_task_is_moved_and_its_job_completes():
    site = _site()
    for name in ("worker-a-0", "worker-b-1"):
        site.workers[name].is_hung = True
    site.submit("c-1/1", "job", count=6)
    site.run(600)
    assert _verdicts(site) == {"job": Verdict.COMPLETED}
    assert site.overlapping_runs() == []


def test_slow_worker_is_rarely_selected():
    site = _site()
    slow = site.workers["worker-a-0"]
    slow.task_ms = 400.0
    for number in range(40):
        site.submit("a-0/1", f"job-{number}", count=2)
        site.run(150)
    started = [run for run in site.runs if run.worker == slow.info.name]
    assert len(started) <= 3


@pytest.mark.parametrize("seed", range(8))
def test_new_holder_takes_over_workers_known_only_to_their_hall(seed):
    site = _site(seed)
    for worker in site.workers.values():
        worker.task_ms = 300.0
    site.partition("b")
    site.run(800)
    site.kill(HOLDER)
    site.restart("a-0/2", "a", {"a", "c"})
    site.grant("a-0/2", STANDBYS)
    site.run(400)
    for number in range(10):
        site.submit("b-1/1", f"job-{number}", count=2)
        site.run(20 + 5 * seed)
    site.heal("b")
    site.run(40)
    site.grant("a-0/2", STANDBYS)
    site.run(6000)
    assert site.overlapping_runs() == []
    assert len(site.outcomes) == 10


def test_removed_worker_is_removed_at_every_entry_node():
    site = _site()
    site.workers["worker-c-1"].is_replaced = True
    site.run(1500)
    for entry in site.entries.values():
        assert "worker-c-1" not in entry.known_workers


def test_many_idle_workers_are_polled_rarely():
    site = _site(workers=100)
    site.run(4000)
    assert len(site.entries[HOLDER].dispatcher.fleet.workers) == 300
    site.poll_count = 0
    site.run(10_000)
    assert 300 <= site.poll_count <= 1000
    site.submit("b-1/1", "job", count=40)
    site.run(100)
    assert _verdicts(site) == {"job": Verdict.COMPLETED}


def test_lease_is_renewed_during_a_long_task_on_one_of_many_workers():
    site = _site(workers=100)
    site.run(4000)
    for worker in site.workers.values():
        worker.task_ms = 3000
    template = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=3000.0)
    site.submit("b-1/1", "job", count=10, template=template)
    site.run(3200)
    assert _verdicts(site) == {"job": Verdict.COMPLETED}
    assert len(site.runs) == 10


def test_new_holder_limits_concurrent_polls_of_many_workers():
    site = _site(workers=100)
    site.kill(HOLDER)
    site.run(150)
    site.poll_count = 0
    site.grant("b-0/1", {"c": "c-0/1"})
    # One or two ticks of the new holder, each with at most 64 polls.
    site.run(22)
    assert 0 < site.poll_count <= 128
    site.run(400)
    fleet = site.entries["b-0/1"].dispatcher.fleet
    assert all(worker.is_synced for worker in fleet.workers.values())


def _site_whose_hall_rejoined(offset_ms, connect_timeout_ms=None):
    """Returns a site where starts were in flight when a hall was cut off.

    The holder then polls the hall's workers by probes, too, once the hall has
    rejoined, while older polls of them still wait for their time-out.
    """
    site = _site()
    for worker in site.workers.values():
        worker.task_ms = 400.0
    site.submit("a-1/1", "started-into-the-partition", count=12)
    site.partition("b")
    site.run(200)
    site.connect_timeout_ms = connect_timeout_ms
    site.run(1300 + offset_ms)
    for number in range(3):
        site.submit("b-1/1", f"job-{number}", count=1)
    site.run(20)
    site.heal("b")
    site.run(10)
    site.grant(HOLDER, STANDBYS)
    return site


@pytest.mark.parametrize("offset_ms", range(60, 240, 40))
def test_run_under_a_lease_of_the_standby_is_not_lost_when_its_hall_rejoins(
    offset_ms,
):
    site = _site_whose_hall_rejoined(offset_ms)
    site.run(6000)
    assert site.overlapping_runs() == []
    assert set(_verdicts(site).values()) == {Verdict.COMPLETED}


@pytest.mark.parametrize("offset_ms", range(60, 240, 40))
def test_run_of_the_standby_is_not_lost_when_its_worker_refuses_connections(
    offset_ms,
):
    site = _site_whose_hall_rejoined(offset_ms)
    worker = site.entries[HOLDER].dispatcher.fleet.workers["worker-b-0"]
    while not (worker.is_reachable and worker.has_known_usage):
        site.run(1)
    site.refuse_connections("worker-b-0")
    site.cancel(HOLDER, "job-0")
    site.run(500)
    assert site.cancelled_ms
    assert site.overlapping_runs() == []


@pytest.mark.parametrize("connect_timeout_ms", [None, 500.0])
@pytest.mark.parametrize("offset_ms", range(60, 240, 40))
def test_worker_stays_reachable_when_a_request_older_than_its_reply_fails(
    offset_ms, connect_timeout_ms
):
    site = _site_whose_hall_rejoined(offset_ms, connect_timeout_ms)
    workers = site.entries[HOLDER].dispatcher.fleet.workers
    seen = set()
    for _ in range(1000):
        site.run(1)
        reachable = {n for n, worker in workers.items() if worker.is_reachable}
        assert seen <= reachable
        seen |= reachable
    assert len(seen) == 6


@pytest.mark.parametrize("delay_ms", [400, 700])
@pytest.mark.parametrize("is_gang", [False, True])
def test_job_submitted_again_does_not_start_beside_its_inherited_run(
    is_gang, delay_ms
):
    site = make_granted_site(task_ms=1500.0, settle_ms=200)
    template = msgspec.structs.replace(DEFAULT_STEP, is_gang=is_gang)
    site.submit(HOLDER, "job", template=template)
    site.run(50)
    site.kill(HOLDER)
    site.run(30)
    site.grant("b-0/1", {"c": "c-0/1"})
    site.run(delay_ms)
    site.submit("b-1/1", "job", template=template)
    site.run(5000)
    assert site.find_violations() == []
    assert _verdicts(site) == {"job": Verdict.COMPLETED}


def _site_with_late_worker(is_gang):
    """Returns a site whose new holder lacks a worker that runs a task.

    The task's job waits there for a free worker.
    """
    site = _site()
    site.partition("b")
    site.run(800)
    site.kill(HOLDER)
    site.restart("a-0/2", "a", {"a", "c"})
    site.grant("a-0/2", STANDBYS)
    site.run(400)
    for worker in site.workers.values():
        worker.task_ms = 1200.0 if worker.info.hall == "b" else 300.0
    site.submit("a-1/1", "other", count=8)
    whole_worker = msgspec.structs.replace(DEFAULT_STEP, cpu=2 * SLOT_CPU)
    site.submit("b-1/1", "hall-filler", count=1, template=whole_worker)
    site.run(20)
    template = msgspec.structs.replace(DEFAULT_STEP, is_gang=is_gang)
    site.submit("b-1/1", "job", count=2, template=template)
    site.run(20)
    name = site.runs[-1].worker
    site.entries["b-1/1"].on_message("control", WorkerLeft(name))
    site.heal("b")
    site.grant("a-0/2", STANDBYS)
    site.run(100)
    return site, site.workers[name]


@pytest.mark.parametrize("is_gang", [False, True])
def test_queued_task_does_not_start_beside_a_run_that_is_inherited_late(
    is_gang,
):
    site, worker = _site_with_late_worker(is_gang)
    site.entries["a-0/2"].on_message("control", WorkersPush((worker.info,)))
    site.run(4000)
    assert site.find_violations() == []
    assert set(_verdicts(site)) == {"other", "hall-filler", "job"}


@pytest.mark.parametrize("offset_ms", range(260, 360, 20))
def test_standby_does_not_start_a_job_beside_a_run_that_it_is_stopping(
    offset_ms,
):
    site = make_granted_site(task_ms=1500.0, settle_ms=200)
    template = msgspec.structs.replace(DEFAULT_STEP, required_label="rack-b")
    site.submit(HOLDER, "job", count=1, template=template)
    site.run(50)
    site.partition("b")
    site.run(offset_ms)
    site.submit("b-1/1", "job", count=1, template=template)
    site.run(4000)
    assert site.overlapping_runs() == []
    assert _verdicts(site) == {"job": Verdict.COMPLETED}


@pytest.mark.parametrize("late_ms", [5, 20, 40])
def test_job_that_arrives_before_its_holder_renews_the_grant_is_not_lost(
    late_ms,
):
    site = _site()
    site.partition("c")
    site.run(600)
    site.submit("c-1/1", "job")
    site.run(5)
    site.heal("c")
    site.entries["c-1/1"].on_message("control", Grant(2, HOLDER, STANDBYS))
    site.run(late_ms)
    site.grant(HOLDER, STANDBYS)
    site.run(2000)
    assert _verdicts(site) == {"job": Verdict.COMPLETED}


def test_standby_does_not_start_a_job_that_was_sent_under_an_earlier_grant():
    site = make_granted_site(task_ms=900.0, settle_ms=200)
    site.partition("c")
    # The standby still reaches a control node; the other entry node does not.
    outside = NodeGreeting("test", "control-a/1", "control", "a")
    site.entries["c-0/1"].on_connected(outside)
    site.run(340)
    site.submit("c-1/1", "job", count=1)
    site.run(20)
    site.heal("c")
    site.grant(HOLDER, STANDBYS)
    site.run(300)
    site.partition("c")
    site.run(1000)
    assert site.overlapping_runs() == []


def _job():
    steps = (DEFAULT_STEP,)
    return Job("job", "queue", "service", "", steps, 0, 3, 1.6, 60.0, 5000.0)


@pytest.mark.parametrize("is_early", [False, True])
@pytest.mark.parametrize(
    ("holders", "is_accepted"),
    [
        (["a-0/1"], True),
        (["a-0/1", "a-0/1", "a-0/1"], True),
        (["", "a-0/1"], True),
        (["b-0/1", "a-0/1"], True),
        (["a-0/1", "b-0/1", "a-0/1"], False),
        (["a-0/1", "b-0/1", "a-0/1", "a-0/1"], False),
    ],
)
def test_holder_drops_only_jobs_that_their_sender_forwards_again(
    holders, is_accepted, is_early
):
    node = EntryNode(HOLDER, "a", ManualClock(), PoolTiming())
    submit = SubmitJob(_job(), 0.0, 1)
    if is_early:
        node.on_message("c-1/1", submit)
    for number, holder in enumerate(holders):
        if holder:
            node.on_message("control", Grant(number + 1, holder))
    if not is_early:
        node.on_message("c-1/1", submit)
    assert bool(node.dispatcher.open_jobs) == is_accepted


@pytest.mark.parametrize(("epoch", "count"), [(2, 1), (3, 2)])
def test_job_is_forwarded_again_if_a_grant_to_another_node_may_be_missing(
    epoch, count
):
    node = EntryNode("c-1/1", "c", ManualClock(), PoolTiming())
    node.on_connected(NodeGreeting("test", HOLDER, "entry", "a"))
    node.on_message("control", Grant(1, HOLDER))
    node.submit(_job(), 1)
    node.on_message("control", Grant(epoch, HOLDER))
    messages = [
        action.message
        for action in node.take_actions()
        if isinstance(action, SendToNode)
    ]
    submits = [each for each in messages if isinstance(each, SubmitJob)]
    assert len(submits) == count


def test_workers_are_sent_again_after_the_connection_to_the_holder_was_lost():
    site = make_granted_site(task_ms=400.0, settle_ms=200)
    site.partition("b")
    site.run(800)
    site.kill(HOLDER)
    site.restart("a-0/2", "a", {"a", "c"})
    site.grant("a-0/2", STANDBYS)
    site.run(400)
    site.submit("b-1/1", "job", count=2)
    site.run(20)
    entry = site.entries["b-1/1"]
    entry.on_connected(NodeGreeting("test", "a-0/2", "entry", "a"))
    entry.on_message("control", Grant(3, "a-0/2", STANDBYS))
    # The workers and the job are lost with the connection.
    entry.take_actions()
    entry.on_disconnected("a-0/2")
    site.heal("b")
    site.grant("a-0/2", STANDBYS)
    site.run(3000)
    assert site.overlapping_runs() == []
    assert _verdicts(site) == {"job": Verdict.COMPLETED}


@pytest.mark.parametrize("partition_ms", [19_800, 20_000, 20_200, 25_000])
def test_workers_are_not_forgotten_when_their_hall_is_partitioned_for_long(
    partition_ms,
):
    site = make_granted_site(task_ms=700.0, settle_ms=200)
    site.partition("c")
    site.run(partition_ms)
    site.submit("c-1/1", "job", count=2)
    site.run(10)
    site.heal("c")
    site.grant(HOLDER, STANDBYS)
    site.run(3000)
    assert site.overlapping_runs() == []
    assert _verdicts(site) == {"job": Verdict.COMPLETED}
    for entry in site.entries.values():
        assert entry.known_workers == set(site.workers)
    fleet = site.entries[HOLDER].dispatcher.fleet
    assert all(worker.is_reachable for worker in fleet.workers.values())
    assert set(fleet.workers) == set(site.workers)


def test_crashed_worker_is_removed_at_every_entry_node():
    site = _site()
    site.isolate("worker-c-1")
    site.run(22_000)
    for entry in site.entries.values():
        assert entry.known_workers == set(site.workers) - {"worker-c-1"}


def test_worker_is_not_removed_right_after_a_node_of_its_hall_reconnects():
    site = _site()
    site.isolate("worker-c-1")
    site.run(19_000)
    greeting = NodeGreeting("test", "c-1/1", "entry", "c")
    site.entries[HOLDER].on_connected(greeting)
    site.run(19_000)
    assert "worker-c-1" in site.entries["c-1/1"].known_workers
    site.run(3000)
    assert "worker-c-1" not in site.entries["c-1/1"].known_workers


def test_task_whose_start_got_no_reply_is_placed_again_in_a_long_partition():
    site = _site()
    site.submit(HOLDER, "job", count=12, is_kept=True)
    site.partition("b")
    site.run(19_000)
    assert len(site.runs) == 8
    site.run(3000)
    assert len(site.runs) == 12
    site.request_state(HOLDER, "job")
    site.run(200)
    assert site.reported_states == {"job": JobState.COMPLETED}
    assert site.find_violations() == []


def test_poll_with_the_former_fencing_token_does_not_sync_its_worker():
    site = _site()
    holder = site.entries[HOLDER]
    fleet = holder.dispatcher.fleet
    since_ms = site.clock.now_ms()
    # The actions of one turn of the event loop run at its end.
    fleet.poll_all()
    holder.on_message("control", Grant(2, HOLDER, STANDBYS))
    polls = [a for a in holder.take_actions() if isinstance(a, PollWorker)]
    site.run(1)
    sent_ms = site.clock.now_ms()
    for poll in polls:
        site.workers[poll.worker].poll(
            poll,
            lambda reply, poll=poll: holder.on_poll_reply(
                poll.worker, poll.poll_id, sent_ms, reply
            ),
        )
    stop = StopRun("", "", TaskId("job", 0, 0), 1, standby_fence(1))
    results = {worker.stop(stop) for worker in site.workers.values()}
    is_fenced = results == {CommandResult.FENCED}
    assert is_fenced or not fleet.is_synced_since(since_ms)


def test_reply_to_a_poll_of_an_earlier_dispatcher_does_not_sync_its_worker():
    site = _site()
    holder = site.entries[HOLDER]
    sent_ms = site.clock.now_ms()
    polls = {
        worker.name: worker.open_poll
        for worker in holder.dispatcher.fleet.workers.values()
    }
    holder.on_message("control", Grant(2, "b-0/1", {}))
    holder.on_message("control", Grant(3, HOLDER, STANDBYS))
    for name, poll_id in polls.items():
        reply = PollReply(CommandResult.DONE, sent_ms)
        holder.on_poll_reply(name, poll_id, sent_ms, reply)
    fleet = holder.dispatcher.fleet
    assert not any(worker.is_synced for worker in fleet.workers.values())


def _find_run(site, job):
    return next((run for run in site.runs if run.task_id.job == job), None)


@pytest.mark.parametrize("offset_ms", range(150, 401, 50))
def test_run_listed_by_a_poll_from_before_a_short_partition_is_not_given_up(
    offset_ms,
):
    # Polls of that many idle workers are long enough to span the partition.
    site = make_granted_site(workers=20, settle_ms=1500 + offset_ms)
    for worker in site.workers.values():
        worker.task_ms = 2000.0
    site.partition("b")
    site.submit("a-1/1", "started-into-the-partition", count=120)
    site.run(300)
    site.submit("b-1/1", "job", count=1)
    while not (run := _find_run(site, "job")):
        site.run(1)
    site.heal("b")
    listed = site.entries[HOLDER].dispatcher.fleet.workers[run.worker].runs
    while run.task_id not in listed:
        site.run(1)
    site.refuse_connections(run.worker)
    while run.end_ms is None:
        assert run.task_id in listed
        site.run(1)


def _site_with_workers_known_only_to_the_holder():
    """Returns a site whose other entry nodes lack the workers of its hall."""
    site = _site()
    site.restart("a-1/2", "a", {"a", "b"})
    site.restart("b-0/2", "b", {"a", "b"})
    site.grant("c-0/1", {"a": "a-1/2", "b": "b-0/2"})
    site.run(300)
    for worker in site.workers.values():
        if worker.info.hall == "c":
            worker.task_ms = 500.0
    return site


@pytest.mark.parametrize("has_former_holder_the_grant", [True, False])
def test_new_holder_starts_no_task_that_runs_on_a_worker_it_had_not_heard_of(
    has_former_holder_the_grant,
):
    site = _site_with_workers_known_only_to_the_holder()
    template = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=500.0)
    site.submit("a-1/2", "job", count=12, template=template)
    if has_former_holder_the_grant:
        site.run(20)
        assert len(site.runs) == 12
    else:
        site.leader.unreachable_from.add("c-0/1")
    site.grant("b-0/2", {"a": "a-1/2", "c": "c-1/1"})
    site.run(4000)
    assert site.overlapping_runs() == []


def test_entry_node_that_connects_gets_the_workers_of_the_scheduler():
    site = _site()
    site.restart("c-1/2", "c", set())
    site.run(50)
    assert site.entries["c-1/2"].known_workers == set(site.workers)


def test_worker_stays_known_after_millions_of_polls_under_one_grant():
    site = _site()
    fleet = site.entries[HOLDER].dispatcher.fleet
    for worker in fleet.workers.values():
        worker.last_poll += 100_000_000
    since_ms = site.clock.now_ms()
    site.run(1000)
    assert fleet.is_synced_since(since_ms)
    assert {w.accepted_fence for w in fleet.workers.values()} == {fleet.fence}


def test_standby_starts_no_resubmitted_job_that_the_holder_runs():
    site = make_granted_site(task_ms=1800.0, settle_ms=200)
    template = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=900.0)
    site.submit("c-1/1", "job", template=template)
    site.run(150)
    site.partition("c")
    site.kill("c-1/1")
    site.run(1300)
    site.submit("c-0/1", "job", template=template)
    site.run(4000)
    assert site.overlapping_runs() == []
