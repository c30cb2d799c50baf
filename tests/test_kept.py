"""Kept jobs on a manual clock: stored before they run, never run twice."""

import random

import msgspec
import pytest

from clayfield.base import ManualClock
from clayfield.cluster.jobbook import JobBook
from clayfield.pool import EndKind, OrderResult
from clayfield.testbed.poolsite import (
    HALLS,
    HOLDER,
    STANDBYS,
    USUAL_STEP,
    granted_site,
)
from clayfield.wire.jobs import Job, JobState, Reason, Step, Verdict
from clayfield.wire.ledger import AcceptJob, CancelAccepted, EndTask

SETTLE_MS = 8000
# A new holder finds what runs, then stops it.
STOPPED_MS = 200


def _step(estimate_ms, **fields):
    return msgspec.structs.replace(
        USUAL_STEP, estimate_ms=estimate_ms, **fields
    )


def _verdicts(site):
    return {key: ended.verdict for key, (_, ended) in site.ended.items()}


def _accepted(site):
    verdicts = _verdicts(site)
    return {key for key, one in verdicts.items() if one is Verdict.ACCEPTED}


def _ask_all(site, keys, node):
    for key in sorted(keys):
        site.ask(node, key)
    site.run(300)
    return {key: site.states.get(key) for key in keys}


def _assert_sound(site):
    assert site.faults() == []
    assert site.started_after_done() == []


def _spread(site):
    for worker in site.workers.values():
        worker.spread = 0.8
        worker.is_guarding = False


@pytest.mark.parametrize("node", ["a-0/1", "a-1/1", "c-1/1"])
def test_a_kept_job_is_accepted_at_once_and_told_of_when_it_has_ended(node):
    site = granted_site()
    for worker in site.workers.values():
        worker.task_ms = 150
    site.submit(node, "job", count=3, steps=2, is_kept=True)
    site.run(25)
    assert _verdicts(site) == {"job": Verdict.ACCEPTED}
    site.ask(node, "job")
    site.run(130)
    assert site.states == {"job": JobState.RUNNING}
    site.run(250)
    assert _ask_all(site, {"job", "none"}, "b-1/1") == {
        "job": JobState.COMPLETED,
        "none": None,
    }
    assert "none" in site.states
    assert len(site.ran) == 6


def test_a_question_about_a_running_job_waits_for_its_end():
    site = granted_site()
    site.submit("a-1/1", "job", is_kept=True)
    site.run(45)
    site.ask("a-1/1", "job")
    site.run(5)
    assert site.states == {}
    site.run(65)
    assert site.states == {"job": JobState.COMPLETED}


def test_nothing_of_a_job_starts_before_it_is_stored():
    site = granted_site()
    site.leader.is_silent = True
    site.submit("a-1/1", "job", is_kept=True)
    site.run(1000)
    assert site.ended == {}
    assert site.ran == []
    site.leader.is_silent = False
    site.run(1000)
    assert _verdicts(site) == {"job": Verdict.ACCEPTED}
    assert len(site.ran) == 2


def test_a_holder_that_no_leader_answers_refuses_at_once():
    site = granted_site()
    site.leader.is_silent = True
    site.run(2000)
    site.submit("a-1/1", "job", is_kept=True)
    site.run(10)
    ended = site.ended["job"][1]
    assert (ended.verdict, ended.reason) == (Verdict.REFUSED, Reason.NOT_STORED)
    assert ended.retry_after_ms > 0
    site.leader.is_silent = False
    site.run(3000)
    assert site.ran == []


def test_what_was_never_sent_to_a_silent_leader_is_refused_at_once():
    site = granted_site()
    site.leader.is_silent = True
    site.submit("a-1/1", "sent", is_kept=True)
    site.run(20)
    site.submit("a-1/1", "unsent", is_kept=True)
    site.run(1600)
    assert _verdicts(site) == {"unsent": Verdict.REFUSED}
    site.leader.is_silent = False
    site.run(2000)
    assert _verdicts(site)["sent"] is Verdict.ACCEPTED
    assert {ran.task_id.job for ran in site.ran} == {"sent"}


def test_a_new_holder_that_cannot_load_refuses_what_was_handed_to_no_other():
    site = granted_site()
    site.leader.is_silent = True
    site.submit("c-1/1", "handed", is_kept=True)
    site.kill(HOLDER)
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    site.run(1600)
    site.submit("c-1/1", "new", is_kept=True)
    site.run(10)
    assert _verdicts(site) == {"new": Verdict.REFUSED}
    site.leader.is_silent = False
    site.run(1000)
    assert _verdicts(site)["handed"] is Verdict.ACCEPTED
    assert {ran.task_id.job for ran in site.ran} == {"handed"}


def test_a_refusal_of_a_holder_that_was_followed_is_not_passed_on():
    site = granted_site()
    site.leader.cut_off.add(HOLDER)
    site.submit("c-1/1", "sent", is_kept=True)
    site.run(1250)
    site.submit("b-1/1", "unsent", is_kept=True)
    site.run(50)
    site.leader.commit_ms = 400
    site.grant("b-0/1", {"c": "c-0/1"})
    site.run(1500)
    assert _verdicts(site) == {
        "sent": Verdict.ACCEPTED,
        "unsent": Verdict.ACCEPTED,
    }
    _assert_sound(site)


def test_a_holder_that_no_leader_answers_stops_what_it_runs():
    site = granted_site()
    for worker in site.workers.values():
        worker.task_ms = 10_000
    site.submit("a-1/1", "job", is_kept=True, template=_step(10_000))
    site.run(100)
    assert [ran.end_ms for ran in site.ran] == [None, None]
    site.leader.is_silent = True
    site.run(1800)
    assert all(ran.kind is EndKind.STOPPED for ran in site.ran)
    site.leader.is_silent = False
    site.run(1000)
    assert [ran.kind for ran in site.ran[2:]] == [None, None]
    _assert_sound(site)


@pytest.mark.parametrize("is_checkpointing", [True, False])
def test_what_was_stopped_goes_on_from_its_checkpoint(is_checkpointing):
    site = granted_site()
    for worker in site.workers.values():
        worker.task_ms = 4000
    template = _step(4000, is_checkpointing=is_checkpointing)
    site.submit("a-1/1", "job", is_kept=True, template=template)
    site.run(100)
    site.leader.is_silent = True
    site.run(1800)
    site.leader.is_silent = False
    site.run(6000)
    _assert_sound(site)
    assert _ask_all(site, {"job"}, "c-1/1") == {"job": JobState.COMPLETED}
    again = [ran for ran in site.ran if ran.number > 1]
    assert len(again) == 2
    took_ms = {round(ran.end_ms - ran.start_ms + ran.from_ms) for ran in again}
    assert took_ms == {4000}
    assert all((ran.from_ms > 1000) == is_checkpointing for ran in again)


@pytest.mark.parametrize("seed", range(10))
def test_a_new_holder_goes_on_from_the_checkpoints_that_workers_tell(seed):
    site = granted_site(seed)
    for worker in site.workers.values():
        worker.task_ms = 1500
    template = _step(1500, is_checkpointing=True)
    for number in range(3):
        site.submit(
            "b-1/1", f"job-{number}", 4, is_kept=True, template=template
        )
    site.run(500 + seed)
    site.kill(HOLDER)
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    site.run(100)
    site.silence("worker-a-0")
    site.run(SETTLE_MS)
    _assert_sound(site)
    assert any(ran.from_ms for ran in site.ran)
    states = _ask_all(site, _accepted(site), "c-1/1")
    assert set(states.values()) == {JobState.COMPLETED}


def test_a_job_that_is_sent_again_stays_one_job():
    site = granted_site()
    site.submit("a-1/1", "job", is_kept=True)
    site.submit("b-1/1", "job", is_kept=True)
    site.run(400)
    site.submit("c-1/1", "job", is_kept=True)
    site.run(400)
    assert _verdicts(site) == {"job": Verdict.ACCEPTED}
    assert len(site.ran) == 2


def test_a_caller_that_leaves_does_not_end_its_job():
    site = granted_site()
    site.submit("a-1/1", "job", is_kept=True)
    site.entries["a-1/1"].callers.leave("job", 1)
    site.run(400)
    assert _ask_all(site, {"job"}, "b-1/1") == {"job": JobState.COMPLETED}


def _submit_many(site, count, gap_ms, steps=2):
    for number in range(count):
        node = f"{HALLS[number % 3]}-1/1"
        site.submit(node, f"job-{number}", 2, steps, is_kept=True)
        site.run(gap_ms)


@pytest.mark.parametrize("seed", range(20))
def test_a_killed_holder_is_followed_and_every_accepted_job_ends(seed):
    site = granted_site(seed)
    _spread(site)
    _submit_many(site, 10, 30)
    site.run(seed)
    site.kill(HOLDER)
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    _submit_many(site, 5, 30)
    site.run(SETTLE_MS)
    _assert_sound(site)
    accepted = _accepted(site)
    assert len(accepted) >= 10
    states = _ask_all(site, accepted, "c-1/1")
    assert set(states.values()) == {JobState.COMPLETED}


@pytest.mark.parametrize("seed", range(20))
def test_a_holder_that_is_cut_off_is_followed_without_a_task_run_twice(seed):
    site = granted_site(seed)
    _spread(site)
    for worker in site.workers.values():
        worker.task_ms = 400 + 100 * (seed % 5)
    _submit_many(site, 8, 40)
    site.run(seed)
    site.cut_off("a")
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    _submit_many(site, 6, 100)
    site.run(1500 + 200 * seed)
    site.heal("a")
    site.run(SETTLE_MS)
    _assert_sound(site)
    states = _ask_all(site, _accepted(site), "c-1/1")
    assert set(states.values()) == {JobState.COMPLETED}


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("hall", ["b", "c"])
def test_a_hall_that_is_cut_off_and_rejoins_runs_no_task_twice(hall, seed):
    site = granted_site(seed)
    site.leader.hall = "a"
    _spread(site)
    for worker in site.workers.values():
        worker.task_ms = 300 + 150 * (seed % 4)
    _submit_many(site, 8, 40)
    site.run(seed)
    site.cut_off(hall)
    _submit_many(site, 6, 100)
    site.run(1000 + 250 * seed)
    site.heal(hall)
    site.run(100 + 20 * seed)
    site.grant(HOLDER, STANDBYS)
    _submit_many(site, 6, 40)
    site.run(SETTLE_MS)
    _assert_sound(site)
    states = _ask_all(site, _accepted(site), "a-1/1")
    assert set(states.values()) == {JobState.COMPLETED}


def test_what_runs_on_a_worker_that_falls_silent_runs_elsewhere_in_time():
    site = granted_site()
    for worker in site.workers.values():
        worker.task_ms = 600
    site.submit("a-1/1", "job", count=12, is_kept=True, template=_step(600))
    site.run(100)
    assert {ran.worker for ran in site.ran} == set(site.workers)
    site.silence("worker-b-0")
    site.run(3500)
    _assert_sound(site)
    assert _ask_all(site, {"job"}, "c-1/1") == {"job": JobState.COMPLETED}


@pytest.mark.parametrize("seed", range(20))
def test_orders_carried_out_late_and_a_killed_holder_run_no_task_twice(seed):
    site = granted_site(seed)
    _spread(site)
    for worker in site.workers.values():
        worker.late_share = 0.2
    _submit_many(site, 8, 60)
    site.kill(HOLDER)
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    _submit_many(site, 8, 60)
    site.run(SETTLE_MS * 2)
    _assert_sound(site)
    states = _ask_all(site, _accepted(site), "c-1/1")
    assert set(states.values()) == {JobState.COMPLETED}


@pytest.mark.parametrize("kill_ms", [0, 60, 75, 150, 400])
def test_a_task_fails_as_often_as_allowed_also_under_two_holders(kill_ms):
    site = granted_site()
    for worker in site.workers.values():
        worker.is_failing = True
    site.submit("a-1/1", "job", count=1, is_kept=True)
    if kill_ms:
        site.run(kill_ms)
        site.kill(HOLDER)
        site.run(150)
        site.grant("b-0/1", {"c": "c-0/1"})
    site.run(SETTLE_MS)
    failed = [ran for ran in site.ran if ran.kind is EndKind.FAILED]
    assert len(failed) == 3
    assert _ask_all(site, {"job"}, "c-1/1") == {"job": JobState.FAILED}


def test_an_order_that_a_worker_rejects_leaves_no_end_to_be_stored():
    site = granted_site()
    seen = []
    for worker in site.workers.values():
        hold = worker.hold

        def note_hold(order, answer, hold=hold):
            seen.append(order.seen_upto)
            hold(order, answer)

        worker.hold = note_hold
        worker.start = lambda order: OrderResult.BAD_ORDER
    site.leader.commit_ms = 600
    site.submit("a-1/1", "job", count=1, is_kept=True)
    site.run(5000)
    assert min(seen) == 0
    assert _ask_all(site, {"job"}, "c-1/1") == {"job": JobState.FAILED}


@pytest.mark.parametrize("kill_ms", [0, 1, 13, 30, 200])
def test_a_cancelled_job_stops_and_stays_cancelled(kill_ms):
    site = granted_site()
    for worker in site.workers.values():
        worker.task_ms = 2000
    site.submit("a-1/1", "job", 9, is_kept=True, template=_step(2000))
    site.submit("a-1/1", "other", 1, is_kept=True, template=_step(2000))
    site.run(100)
    site.cancel("b-1/1", "job")
    if kill_ms:
        site.run(kill_ms)
        site.kill(HOLDER)
        site.run(150)
        site.grant("b-0/1", {"c": "c-0/1"})
        site.run(10)
        site.cancel("b-1/1", "job")
    site.run(SETTLE_MS)
    acked_ms = site.cancelled["job"]
    runs = [ran for ran in site.ran if ran.task_id.job == "job"]
    assert all(ran.start_ms <= acked_ms for ran in runs)
    assert all(ran.end_ms <= acked_ms + STOPPED_MS for ran in runs)
    assert _ask_all(site, {"job", "other"}, "c-1/1") == {
        "job": JobState.CANCELLED,
        "other": JobState.COMPLETED,
    }


def test_a_cancel_of_a_job_that_is_not_known_says_so():
    site = granted_site()
    site.cancel("b-1/1", "none")
    site.run(50)
    assert site.cancelled == {}
    site.submit("a-1/1", "job", is_kept=True)
    site.run(400)
    site.cancel("b-1/1", "job")
    site.run(50)
    assert list(site.cancelled) == ["job"]


def test_every_entry_tells_how_many_jobs_wait():
    site = granted_site()
    for worker in site.workers.values():
        worker.task_ms = 3000
    for number in range(7):
        site.submit("a-1/1", f"job-{number}", count=2, is_kept=True)
        site.run(30)
    assert len(_accepted(site)) == 7
    site.run(400)
    waiting = {one.waiting_of("queue") for one in site.entries.values()}
    assert waiting == {1}


# The record itself.


def _book_job(key="job", count=2, steps=1, max_attempts=2):
    step = Step(count, 100)
    return Job(
        key,
        "queue",
        "service",
        "spec",
        (step,) * steps,
        0,
        max_attempts,
        1.6,
        60.0,
        1000.0,
        True,
    )


def _book(*changes):
    book = JobBook(ManualClock())
    book.apply(changes)
    return book


DONE_0 = EndTask("job", 0, 0, 1, True)
DONE_1 = EndTask("job", 0, 1, 1, True)
FAILED_1 = EndTask("job", 0, 0, 1, False)
FAILED_2 = EndTask("job", 0, 0, 2, False)
ACCEPT = AcceptJob(_book_job())
CANCEL = CancelAccepted("job")


@pytest.mark.parametrize(
    ("changes", "state"),
    [
        ((ACCEPT, DONE_0, DONE_1), JobState.COMPLETED),
        ((ACCEPT, DONE_0, DONE_0), None),
        ((ACCEPT, ACCEPT, DONE_0, ACCEPT, DONE_1), JobState.COMPLETED),
        ((ACCEPT, FAILED_1, FAILED_1), None),
        ((ACCEPT, FAILED_1, FAILED_2), JobState.FAILED),
        ((ACCEPT, CANCEL, DONE_0, DONE_1), JobState.CANCELLED),
        ((ACCEPT, DONE_0, DONE_1, CANCEL, FAILED_2), JobState.COMPLETED),
        ((ACCEPT, CANCEL, ACCEPT), JobState.CANCELLED),
        ((CANCEL, DONE_0), None),
    ],
)
def test_what_a_job_comes_to(changes, state):
    book = _book(*changes)
    assert book.ended().get("job") is state
    is_open = any(kept.job.key == "job" for kept in book.open_jobs())
    assert is_open == (state is None and ACCEPT in changes)


@pytest.mark.parametrize("seed", range(10))
def test_a_restored_record_goes_on_as_the_one_it_was_taken_from(seed):
    rng = random.Random(seed)
    accepted = [AcceptJob(_book_job(f"job-{n}", 3, 2)) for n in range(5)]
    changes = accepted + [
        EndTask(
            f"job-{rng.randrange(5)}",
            rng.randrange(2),
            rng.randrange(3),
            rng.randrange(1, 4),
            rng.random() < 0.7,
        )
        for _ in range(60)
    ]
    cut = rng.randrange(5, len(changes))
    whole = _book(*changes)
    first = _book(*changes[:cut])
    second = JobBook(ManualClock())
    second.restore(first.image())
    second.apply(tuple(changes[cut:]))
    assert second.ended() == whole.ended()
    assert [one.done for one in second.open_jobs()] == [
        one.done for one in whole.open_jobs()
    ]


def test_ended_jobs_are_forgotten_by_their_age():
    clock = ManualClock()
    book = JobBook(clock)
    for number in range(4):
        clock.advance(100)
        key = f"job-{number}"
        book.apply((AcceptJob(_book_job(key)), CancelAccepted(key)))
    old = book.ended_before(301, 10)
    assert old == ("job-0", "job-1", "job-2")
    book.forget(old[:2])
    assert set(book.ended()) == {"job-2", "job-3"}
