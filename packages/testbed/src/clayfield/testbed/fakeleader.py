"""The leader of the control log as the holder sees it, for tests of pools.

It keeps the real record of kept jobs and commits after a fixed time. It can be
silent, and it can stand in another hall: the state is replicated.
"""

from collections.abc import Callable

from clayfield.base import Clock
from clayfield.cluster.directory import ControlState, SetJobs, encode_command
from clayfield.wire.cluster import (
    EntryStatus,
    Grant,
    decode_batch,
    encode_batch,
)
from clayfield.wire.ledger import (
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
    """Commits what the holder in force writes.

    Attributes:
        hall: where it stands.
        is_silent: whether it commits and answers nothing.
        commit_ms: how long a write takes.
        cut_off: the nodes that cannot reach it.
        state: the replicated state.
    """

    def __init__(self, clock: Clock, after: After, send: Send):
        self.hall = ""
        self.is_silent = False
        self.commit_ms = COMMIT_MS
        self.cut_off: set[str] = set()
        self.state = ControlState(clock)
        self._after = after
        self._send_decoded = send

    @property
    def node(self) -> str:
        """Its name."""
        return f"control-{self.hall}/1"

    def on_grant(self, grant: Grant) -> None:
        """Puts a grant in force."""
        self.state.grant = grant

    def on_message(self, node: str, message: Message) -> None:
        """Takes a message of an entry."""
        if self.is_silent or node in self.cut_off:
            return
        match message:
            case EntryStatus(epoch=epoch, sent_ms=sent_ms):
                if self._is_holder(node, epoch):
                    self._send(node, HolderLease(epoch, sent_ms))
            case LoadJobs(epoch=epoch, request=request):
                if self._is_holder(node, epoch):
                    self._send(node, self._all_jobs(request))
            case WriteJobs():
                self._after(self.commit_ms, lambda: self._commit(node, message))

    def _send(self, node: str, message: Message) -> None:
        """Sends a copy, as a stream would."""
        self._send_decoded(node, decode_batch(encode_batch([message]))[0])

    def _is_holder(self, node: str, epoch: int) -> bool:
        grant = self.state.grant
        return node == grant.holder and epoch == grant.epoch

    def _all_jobs(self, request: int) -> JobsLoaded:
        jobs = self.state.jobs
        return JobsLoaded(request, 0, True, jobs.open_jobs(), jobs.ended())

    def _commit(self, node: str, write: WriteJobs) -> None:
        if self.is_silent:
            return
        command = encode_command(SetJobs(write.epoch, write.changes))
        if self.state.apply(command):
            self._send(node, JobsWritten(write.epoch, write.sequence))
