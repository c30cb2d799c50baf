"""The leader's side of the job store: requests of the holder on kept jobs.

Only a leader whose state is certain to be the latest answers the holder. A
write is proposed with the epoch of the holder's grant; the replicated state
rejects it once another grant is active.
"""

import msgspec

from clayfield.base import Clock
from clayfield.cluster.actions import Action, Send
from clayfield.cluster.control_state import (
    ControlState,
    ForgetJobs,
    SetJobs,
    encode_command,
)
from clayfield.state import Consensus
from clayfield.wire.cluster import EntryStatus
from clayfield.wire.job_store import (
    HolderLease,
    JobsLoaded,
    JobsWritten,
    KeptJob,
    LoadJobs,
    WriteJobs,
)

# Limits of one part of the reply to a new holder's load request.
MAX_PART_BYTES = 1024 * 1024
ENDED_JOBS_PER_PART = 5000
# Time between removals of ended jobs, and their number in one removal.
REMOVAL_INTERVAL_MS = 1000.0
MAX_REMOVED_AT_ONCE = 2000


class _PendingWrite:
    """A holder's write that is not yet committed.

    Attributes:
        node: name of the holder.
        write: the write request.
    """

    __slots__ = ("node", "write")

    def __init__(self, node: str, write: WriteJobs):
        self.node = node
        self.write = write


class JobStoreLeader:
    """Handles the requests of the holder while this control node leads."""

    def __init__(
        self,
        clock: Clock,
        consensus: Consensus,
        state: ControlState,
        keep_ended_ms: float,
    ):
        """Sets up the leader's side.

        Args:
            clock: source of the current time.
            consensus: this node's replica of the control log.
            state: replicated state of the control nodes.
            keep_ended_ms: time for which the end state of a kept job is
                stored.
        """
        self._clock = clock
        self._consensus = consensus
        self._state = state
        self._keep_ended_ms = keep_ended_ms
        self._pending_writes: dict[tuple[int, int], _PendingWrite] = {}
        self._next_removal_ms = 0.0

    def on_status(self, node: str, status: EntryStatus) -> list[Action]:
        """Renews the holder's lease in reply to its heartbeat.

        Heartbeats of other nodes and of earlier epochs are ignored.
        """
        if not self._is_holder(node, status.epoch):
            return []
        return [Send(node, HolderLease(status.epoch, status.sent_ms))]

    def on_load(self, node: str, load: LoadJobs) -> list[Action]:
        """Sends all kept jobs to the holder, in parts."""
        if not self._is_holder(node, load.epoch):
            return []
        return [Send(node, part) for part in self._make_parts(load.request)]

    def _make_parts(self, request: int) -> list[JobsLoaded]:
        open_jobs = self._state.jobs.open_jobs()
        ended = list(self._state.jobs.ended_states().items())
        parts: list[JobsLoaded] = []
        while True:
            count = _count_in_part(open_jobs)
            open_part = open_jobs[:count]
            ended_part = dict(ended[:ENDED_JOBS_PER_PART])
            open_jobs = open_jobs[count:]
            ended = ended[ENDED_JOBS_PER_PART:]
            is_last = not open_jobs and not ended
            part = JobsLoaded(
                request, len(parts), is_last, open_part, ended_part
            )
            parts.append(part)
            if is_last:
                return parts

    def on_write(self, node: str, write: WriteJobs) -> None:
        """Proposes a holder's write, unless it is in the log already."""
        if not self._is_holder(node, write.epoch) or self._is_pending(write):
            return
        command = encode_command(SetJobs(write.epoch, write.changes))
        position = self._consensus.propose(command)
        if position:
            self._pending_writes[position] = _PendingWrite(node, write)

    def _is_pending(self, write: WriteJobs) -> bool:
        return any(
            pending.write.epoch == write.epoch
            and pending.write.sequence == write.sequence
            for pending in self._pending_writes.values()
        )

    def _is_holder(self, node: str, epoch: int) -> bool:
        grant = self._state.grant
        return node == grant.holder and epoch == grant.epoch

    def on_applied(
        self, results: list[tuple[int, int, object]]
    ) -> list[Action]:
        """Acknowledges the writes among the commands that were applied.

        Args:
            results: index, term and result of each applied command.
        """
        replies: list[Action] = []
        for index, term, result in results:
            pending = self._pending_writes.pop((index, term), None)
            if pending and result:
                write = pending.write
                reply = JobsWritten(write.epoch, write.sequence)
                replies.append(Send(pending.node, reply))
        return replies

    def on_leadership_lost(self) -> None:
        """Drops the pending writes; the holder sends them again."""
        self._pending_writes.clear()

    def forget_ended(self) -> None:
        """Proposes to remove the jobs whose retention time is over."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_removal_ms:
            return
        self._next_removal_ms = now_ms + REMOVAL_INTERVAL_MS
        keys = self._state.jobs.find_ended_before(
            now_ms - self._keep_ended_ms, MAX_REMOVED_AT_ONCE
        )
        if keys:
            self._consensus.propose(encode_command(ForgetJobs(keys)))


def _count_in_part(jobs: list[KeptJob]) -> int:
    """Returns how many of the first jobs fit one part; at least one."""
    size = 0
    for count, kept in enumerate(jobs):
        size += len(msgspec.msgpack.encode(kept))
        if count and size > MAX_PART_BYTES:
            return count
    return len(jobs)
