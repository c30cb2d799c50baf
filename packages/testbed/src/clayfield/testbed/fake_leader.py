"""A fake leader of the control nodes, for tests of entry nodes and workers.

It has the real replicated state with the job store (the record of kept jobs)
and commits every write after a fixed time. Tests can make it unresponsive or
move it to another hall, where it still has the same state.
"""

from collections.abc import Callable

from clayfield.base import Clock
from clayfield.cluster.control_state import (
    ControlState,
    SetJobs,
    encode_command,
)
from clayfield.wire.cluster import (
    EntryStatus,
    Grant,
    decode_batch,
    encode_batch,
)
from clayfield.wire.job_store import (
    HolderLease,
    JobsLoaded,
    JobsWritten,
    LoadJobs,
    WriteJobs,
)
from clayfield.wire.messages import Message

COMMIT_MS = 12.0

After = Callable[[float, Callable[[], None]], None]
Send = Callable[[str, Message], None]


class FakeLeader:
    """Serves the job store to the holder of the current grant.

    Attributes:
        hall: the hall it is in.
        is_unresponsive: whether it ignores all messages and commits nothing.
        commit_ms: duration of a commit, in ms.
        unreachable_from: names of the nodes that cannot reach it.
        state: the replicated state.
    """

    def __init__(self, clock: Clock, call_later: After, send: Send):
        self.hall = ""
        self.is_unresponsive = False
        self.commit_ms = COMMIT_MS
        self.unreachable_from: set[str] = set()
        self.state = ControlState(clock)
        self._call_later = call_later
        self._send_copy = send

    @property
    def node(self) -> str:
        """The node name of the leader."""
        return f"control-{self.hall}/1"

    def on_grant(self, grant: Grant) -> None:
        """Makes a grant the current one."""
        self.state.grant = grant

    def on_message(self, node: str, message: Message) -> None:
        """Handles a message of an entry node."""
        if self.is_unresponsive or node in self.unreachable_from:
            return
        match message:
            case EntryStatus(epoch=epoch, sent_ms=sent_ms):
                if self._is_holder(node, epoch):
                    self._send(node, HolderLease(epoch, sent_ms))
            case LoadJobs(epoch=epoch, request=request):
                if self._is_holder(node, epoch):
                    self._send(node, self._make_jobs_loaded(request))
            case WriteJobs():
                self._call_later(
                    self.commit_ms, lambda: self._commit(node, message)
                )

    def _send(self, node: str, message: Message) -> None:
        """Sends a message after a round trip through the wire format."""
        self._send_copy(node, decode_batch(encode_batch([message]))[0])

    def _is_holder(self, node: str, epoch: int) -> bool:
        grant = self.state.grant
        return node == grant.holder and epoch == grant.epoch

    def _make_jobs_loaded(self, request: int) -> JobsLoaded:
        jobs = self.state.jobs
        return JobsLoaded(
            request, 0, True, jobs.open_jobs(), jobs.ended_states()
        )

    def _commit(self, node: str, write: WriteJobs) -> None:
        if self.is_unresponsive:
            return
        command = encode_command(SetJobs(write.epoch, write.changes))
        if self.state.apply(command):
            self._send(node, JobsWritten(write.epoch, write.sequence))
