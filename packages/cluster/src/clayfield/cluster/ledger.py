"""The leader's side of the holder's writes of kept jobs.

The holder is answered only by a leader that is sure of the newest state. A
write is proposed under the epoch that the holder acts on; the replicated
state refuses it once another grant has come into force.
"""

from clayfield.base import Clock
from clayfield.cluster.actions import Action, Send
from clayfield.cluster.directory import (
    ControlState,
    ForgetJobs,
    SetJobs,
    encode_command,
)
from clayfield.state import Consensus
from clayfield.wire.cluster import EntryStatus
from clayfield.wire.ledger import (
    HolderLease,
    JobsLoaded,
    JobsWritten,
    LoadJobs,
    WriteJobs,
)

# Jobs in one part of what a new holder loads.
OPEN_A_PART = 200
ENDED_A_PART = 5000
# How often ended jobs are looked through for those to be forgotten, and how
# many are forgotten at a time.
FORGET_PAUSE_MS = 1000.0
FORGET_AT_ONCE = 2000


class _Write:
    """A holder's write that waits for its commit."""

    __slots__ = ("node", "write")

    def __init__(self, node: str, write: WriteJobs):
        self.node = node
        self.write = write


class LeaderLedger:
    """What a control node does with the holder's messages while it leads."""

    def __init__(
        self,
        clock: Clock,
        consensus: Consensus,
        state: ControlState,
        keep_ended_ms: float,
    ):
        self._clock = clock
        self._consensus = consensus
        self._state = state
        self._keep_ended_ms = keep_ended_ms
        self._writes: dict[tuple[int, int], _Write] = {}
        self._next_forget_ms = 0.0

    def on_status(self, node: str, status: EntryStatus) -> list[Action]:
        """Renews the lease of the holder in force."""
        if not self._is_holder(node, status.epoch):
            return []
        return [Send(node, HolderLease(status.epoch, status.sent_ms))]

    def on_load(self, node: str, load: LoadJobs) -> list[Action]:
        """Answers a holder that asks for all kept jobs."""
        if not self._is_holder(node, load.epoch):
            return []
        return [Send(node, part) for part in self._parts(load.request)]

    def _parts(self, request: int) -> list[JobsLoaded]:
        open_jobs = self._state.jobs.open_jobs()
        ended = list(self._state.jobs.ended().items())
        parts: list[JobsLoaded] = []
        while True:
            open_part = open_jobs[:OPEN_A_PART]
            ended_part = dict(ended[:ENDED_A_PART])
            open_jobs = open_jobs[OPEN_A_PART:]
            ended = ended[ENDED_A_PART:]
            is_last = not open_jobs and not ended
            part = JobsLoaded(
                request, len(parts), is_last, open_part, ended_part
            )
            parts.append(part)
            if is_last:
                return parts

    def on_write(self, node: str, write: WriteJobs) -> None:
        """Proposes a holder's write."""
        if not self._is_holder(node, write.epoch):
            return
        command = encode_command(SetJobs(write.epoch, write.changes))
        place = self._consensus.propose(command)
        if place:
            self._writes[place] = _Write(node, write)

    def _is_holder(self, node: str, epoch: int) -> bool:
        grant = self._state.grant
        return node == grant.holder and epoch == grant.epoch

    def on_applied(
        self, results: list[tuple[int, int, object]]
    ) -> list[Action]:
        """Learns what commands were applied; tells of writes among them."""
        told: list[Action] = []
        for index, term, result in results:
            known = self._writes.pop((index, term), None)
            if known and result:
                write = known.write
                written = JobsWritten(write.epoch, write.sequence)
                told.append(Send(known.node, written))
        return told

    def on_follow(self) -> None:
        """Learns that this node does not lead; the holder asks again."""
        self._writes.clear()

    def forget_ended(self) -> None:
        """Proposes to forget the jobs that ended long ago."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_forget_ms:
            return
        self._next_forget_ms = now_ms + FORGET_PAUSE_MS
        keys = self._state.jobs.ended_before(
            now_ms - self._keep_ended_ms, FORGET_AT_ONCE
        )
        if keys:
            self._consensus.propose(encode_command(ForgetJobs(keys)))
