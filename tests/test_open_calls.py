"""Tests of how many commands to workers are open at once.

They guard against a job of many small tasks that takes all descriptors of the
holder, and against commands that wait for ever.
"""

import itertools

import pytest

from clayfield.node.call_queue import MAX_CALLS_PER_ADDRESS, CallQueue
from clayfield.pool.open_starts import (
    MAX_STARTS,
    MAX_STARTS_PER_WORKER,
    OpenStarts,
)
from clayfield.pool.tasks import TaskId
from clayfield.testbed.pool_site import HOLDER, make_granted_site
from clayfield.wire.jobs import Verdict

SLOTS = 200
COUNT = 1500
MAX_CALLS = 100


def _make_site():
    """Returns a site whose workers have room for all tasks of a job."""
    site = make_granted_site(workers=4)
    for name in site.workers:
        site.resize_worker(name, SLOTS)
    site.run(100)
    return site


def _watch_starts(site, monkeypatch):
    """Returns the most start commands without a reply, updated at each."""
    most = {"all": 0, "worker": 0}
    starts = site.entries[HOLDER].dispatcher.fleet.open_starts
    original = site._start_run

    def start_run(entry, command):
        by_worker = starts._by_worker[command.worker]
        most["all"] = max(most["all"], len(starts))
        most["worker"] = max(most["worker"], by_worker)
        original(entry, command)

    monkeypatch.setattr(site, "_start_run", start_run)
    return most


def test_starts_of_a_job_of_many_tasks_are_bounded_and_all_made(monkeypatch):
    # 12,000 starts were sent at once, each on a connection of its own.
    site = _make_site()
    most = _watch_starts(site, monkeypatch)
    site.submit("c-1/1", "wide", count=COUNT)
    site.run(3000)
    assert site.outcomes["wide"][1].verdict is Verdict.COMPLETED
    assert most["all"] <= MAX_STARTS
    assert most["worker"] <= MAX_STARTS_PER_WORKER
    assert site.find_violations() == []


def test_first_job_by_priority_is_started_while_another_waits_for_calls():
    site = _make_site()
    site.submit("c-1/1", "wide", count=COUNT, priority=2)
    site.submit("c-1/1", "first", count=1, priority=0)
    site.run(1000)
    ended = list(site.outcomes)
    assert ended.index("first") < (
        ended.index("wide") if "wide" in ended else len(ended)
    )


def _task(number):
    return TaskId("job", 0, number, 0)


def test_placement_goes_on_when_half_of_the_starts_have_a_reply():
    starts = OpenStarts()
    names = [f"w-{n}" for n in range(MAX_STARTS)]
    for number, name in enumerate(names):
        assert not starts.is_full
        starts.add(name, _task(number), 1)
    assert starts.is_full
    for number, name in enumerate(names[: MAX_STARTS // 2]):
        assert starts.is_full
        starts.remove(name, _task(number), 1)
    assert not starts.is_full


def test_reply_counts_once():
    starts = OpenStarts()
    starts.add("w", _task(0), 1)
    starts.add("w", _task(1), 1)
    for _ in range(3):
        starts.remove("w", _task(0), 1)
    assert len(starts) == 1


@pytest.mark.parametrize("addresses", [1, 3, 50])
def test_calls_over_the_bounds_wait_and_are_all_sent(addresses):
    queue = CallQueue(MAX_CALLS)
    names = itertools.cycle([f"10.0.0.{n}:1" for n in range(addresses)])
    for number in range(1000):
        name = next(names)
        queue.add(name, number, (name, number))
    sent, open_calls = [], []
    while True:
        while (call := queue.take()) is not None:
            open_calls.append(call)
        if not open_calls:
            break
        assert queue.open == len(open_calls) <= MAX_CALLS
        by_address = [name for name, _ in open_calls]
        assert max(map(by_address.count, by_address)) <= MAX_CALLS_PER_ADDRESS
        name, number = open_calls.pop(0)
        queue.end(name)
        sent.append(number)
    assert sorted(sent) == list(range(1000))
    assert queue.waiting == 0


def test_call_that_waits_already_is_not_added_again():
    # Stops are repeated until they have a reply.
    queue = CallQueue(0)
    for _ in range(3):
        queue.add("10.0.0.1:1", "stop", None)
    assert queue.waiting == 1


def test_calls_to_a_silent_address_hold_up_no_others():
    queue = CallQueue(MAX_CALLS)
    for number in range(500):
        queue.add("silent", number, "silent")
    queue.add("other", "key", "other")
    taken = [queue.take() for _ in range(MAX_CALLS_PER_ADDRESS + 1)]
    assert "other" in taken
