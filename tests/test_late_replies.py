"""Tests of replies to an earlier holder of the same node that arrive late.

They guard against a job that counts as stored, or as the only one stored, by
the reply to another request.
"""

import pytest

from clayfield.base import ManualClock
from clayfield.pool import Advice
from clayfield.pool.job_store_client import JobChangeRecord, JobStoreClient
from clayfield.pool.tasks import OpenJob
from clayfield.pool.tickets import TicketCache
from clayfield.pool.worker import Worker
from clayfield.wire.job_store import (
    AcceptJob,
    HolderLease,
    JobsLoaded,
    JobsWritten,
)
from clayfield.wire.jobs import Job, Step, WorkerInfo, WorkerState

LEADER = "control-a/1"


def _job(key):
    steps = (Step(1, 100),)
    return Job(key, "q", "s", "spec", steps, 0, 3, 1.6, 60.0, 5000.0, True)


def _client(epoch, key):
    """Returns a client with a write in flight, and the messages it sent."""
    clock = ManualClock()
    client = JobStoreClient(clock, epoch)
    client.on_lease(LEADER, HolderLease(epoch, clock.now_ms()))
    client.write(JobChangeRecord(AcceptJob(_job(key))))
    client.flush()
    load, write = (action.message for action in client.actions)
    return client, load, write


def _keys(records):
    return [record.change.job.key for record in records]


@pytest.mark.parametrize("later_epoch", [2, 3, 1000])
def test_late_confirmation_of_an_earlier_write_stores_no_later_one(later_epoch):
    _, _, former = _client(1, "former")
    client, _, write = _client(later_epoch, "later")
    assert client.on_written(JobsWritten(1, former.sequence)) == []
    written = client.on_written(JobsWritten(later_epoch, write.sequence))
    assert _keys(written) == ["later"]


@pytest.mark.parametrize("later_epoch", [2, 3, 1000])
def test_late_jobs_of_an_earlier_request_do_not_count_as_all(later_epoch):
    _, former, _ = _client(1, "former")
    client, load, _ = _client(later_epoch, "later")
    stale = JobsLoaded(former.request, 0, True, [], {})
    assert not client.on_loaded(LEADER, stale)
    assert not client.is_loaded
    assert client.on_loaded(LEADER, JobsLoaded(load.request, 0, True, [], {}))


def test_write_is_confirmed_after_its_client_got_another_grant():
    client, _, write = _client(1, "job")
    client.renew_epoch(2)
    client.flush()
    assert _keys(client.on_written(JobsWritten(1, write.sequence))) == ["job"]


def test_late_tickets_of_an_earlier_request_are_used_for_no_other_step():
    state = WorkerState.READY
    info = WorkerInfo("w-1", "s", "10.0.0.1:80", "a", state, 1, 900, 900, 0)
    requests = []
    for fence, key in ((4, "former"), (12, "later")):
        cache = TicketCache(ManualClock(), fence)
        task = OpenJob(_job(key), 0.0, 1).tasks[0][0]
        cache.request_tickets(task, [Worker(info, 0.0)])
        requests.append(cache.actions[0].request_id)
    cache.on_advice(requests[0], Advice(True, {"w-1": "former"}, 3000.0))
    assert cache.ticket(task, "w-1") == ""
    cache.on_advice(requests[1], Advice(True, {"w-1": "later"}, 3000.0))
    assert cache.ticket(task, "w-1") == "later"
