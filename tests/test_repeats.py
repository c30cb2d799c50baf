"""Tests of requests that are sent again only when they were lost."""

import pytest

from clayfield.base import ManualClock
from clayfield.cluster import ControlState
from clayfield.cluster.job_store_leader import JobStoreLeader
from clayfield.pool.commands import SendToNode
from clayfield.pool.job_store_client import (
    RESEND_MS,
    JobChangeRecord,
    JobStoreClient,
)
from clayfield.wire.cluster import Grant
from clayfield.wire.job_store import (
    EndTask,
    HolderLease,
    JobsLoaded,
    JobsWritten,
    LoadJobs,
    WriteJobs,
)

LEADER = "control-a/1"
STATUS_MS = 200.0


class _Holder:
    """A holder's client of the job store, and the replies to its statuses."""

    def __init__(self):
        self.clock = ManualClock(10_000.0)
        self.client = JobStoreClient(self.clock, 1)
        self.confirm(self.clock.now_ms() - 1.0)
        self.client.write(JobChangeRecord(EndTask("job", 0, 0, 1, True)))
        self.client.flush()

    def confirm(self, sent_ms):
        """Delivers the reply to the status that was sent at a time."""
        self.client.on_lease(LEADER, HolderLease(1, sent_ms))

    def run(self, duration_ms, is_answered):
        """Sends statuses; each is answered at once, or none is."""
        for _ in range(int(duration_ms / STATUS_MS)):
            self.clock.advance(STATUS_MS)
            if is_answered:
                self.confirm(self.clock.now_ms())
            self.client.flush()

    def sent(self, message_type):
        return [
            action.message
            for action in self.client.actions
            if isinstance(action, SendToNode)
            and isinstance(action.message, message_type)
        ]


@pytest.mark.parametrize("message_type", [LoadJobs, WriteJobs])
@pytest.mark.parametrize("arrival_ms", [1000.0, 5000.0])
def test_request_that_takes_long_to_arrive_is_not_sent_again(
    message_type, arrival_ms
):
    holder = _Holder()
    holder.run(arrival_ms, is_answered=False)
    # Replies to the statuses that were sent before it.
    holder.confirm(10_000.0)
    holder.client.flush()
    assert len(holder.sent(message_type)) == 1


def test_jobs_that_take_long_to_arrive_are_loaded():
    holder = _Holder()
    (load,) = holder.sent(LoadJobs)
    for part in range(4):
        holder.run(2 * RESEND_MS, is_answered=False)
        holder.confirm(10_000.0)
        loaded = JobsLoaded(load.request, part, part == 3, [], {})
        holder.client.on_loaded(LEADER, loaded)
    assert holder.client.is_loaded


@pytest.mark.parametrize("message_type", [LoadJobs, WriteJobs])
def test_request_that_was_lost_is_sent_again(message_type):
    holder = _Holder()
    holder.run(2 * RESEND_MS, is_answered=True)
    assert len(holder.sent(message_type)) > 1


def test_request_that_was_answered_is_not_sent_again():
    holder = _Holder()
    (load,), (write,) = holder.sent(LoadJobs), holder.sent(WriteJobs)
    holder.client.on_loaded(LEADER, JobsLoaded(load.request, 0, True, [], {}))
    holder.client.on_written(JobsWritten(1, write.sequence))
    holder.run(2 * RESEND_MS, is_answered=True)
    assert len(holder.sent(LoadJobs)) == len(holder.sent(WriteJobs)) == 1


class _Log:
    """Stands in for the leader's replica of the log."""

    def __init__(self):
        self.commands = []

    def propose(self, command):
        self.commands.append(command)
        return len(self.commands), 1


def _write(epoch, sequence):
    return WriteJobs(epoch, sequence, (EndTask("job", 0, 0, 1, True),))


@pytest.mark.parametrize(
    ("epoch", "sequence", "is_applied", "expected"),
    [
        (1, 1, False, 1),
        (1, 1, True, 2),
        (1, 2, False, 2),
        (2, 1, False, 2),
    ],
)
def test_write_that_is_in_the_log_already_is_not_proposed_again(
    epoch, sequence, is_applied, expected
):
    log = _Log()
    state = ControlState(ManualClock())
    state.grant = Grant(1, "holder")
    leader = JobStoreLeader(ManualClock(), log, state, 1000.0)
    leader.on_write("holder", _write(1, 1))
    if is_applied:
        assert leader.on_applied([(1, 1, True)])
    state.grant = Grant(epoch, "holder")
    leader.on_write("holder", _write(epoch, sequence))
    assert len(log.commands) == expected
