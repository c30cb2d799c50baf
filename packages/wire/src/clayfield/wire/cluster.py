"""Messages between control nodes and entry nodes, and their codec.

Entry nodes serve callers; control nodes vote in the replicated control log.
"""

import msgspec

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.wire.job_store import (
    HolderLease,
    JobsLoaded,
    JobsWritten,
    LoadJobs,
    WriteJobs,
)
from clayfield.wire.jobs import Job, JobState, Reason, Verdict, WorkerInfo
from clayfield.wire.messages import GroupMessage, Message

MAX_FRAME_BYTES = 16 * 1024 * 1024


class NodeGreeting(msgspec.Struct, frozen=True, array_like=True):
    """The first frame in each direction of a stream; identifies the sender.

    Attributes:
        cluster: name shared by all nodes of a cluster.
        node: ADDRESS/INCARNATION of the sender; peers connect to the address,
            and each start of the process has another incarnation.
        role: "entry" or "control".
        hall: name of the sender's hall (zone).
    """

    cluster: str
    node: str
    role: str
    hall: str


class ControlNodes(Message, frozen=True, tag=True):
    """Lists the control nodes.

    Attributes:
        addresses: addresses of the control nodes as far as the sender has
            them.
    """

    addresses: tuple[str, ...]


class ConfigPush(Message, frozen=True, tag=True):
    """Carries the active configuration.

    Attributes:
        version: version of the configuration.
        document: the document as the operator wrote it.
    """

    version: int
    document: bytes


class Grant(Message, frozen=True, tag=True):
    """Announces which entry node schedules the workers.

    Attributes:
        epoch: number of the grant; rises with each. The fencing token in the
            holder's requests to workers is derived from it.
        holder: the node that schedules all workers.
        standbys: by hall, the node that schedules that hall's workers while
            the hall is partitioned from the holder and from the control nodes
            of other halls.
        since_epoch: the first epoch since which the holder has been the same,
            0 if unknown.
    """

    epoch: int
    holder: str
    standbys: dict[str, str] = {}
    since_epoch: int = 0

    def continues(self, epoch: int, holder: str) -> bool:
        """Returns whether a node has been the holder ever since an epoch.

        Args:
            epoch: the epoch of an earlier grant to the node.
            holder: the node.
        """
        if holder != self.holder:
            return False
        first_epoch = self.since_epoch or self.epoch - 1
        return first_epoch <= epoch


class WorkersPush(Message, frozen=True, tag=True):
    """Carries heartbeats of workers.

    Attributes:
        workers: the heartbeats.
    """

    workers: tuple[WorkerInfo, ...]


class WorkerLeft(Message, frozen=True, tag=True):
    """Announces that an incarnation of a worker is removed.

    Attributes:
        name: name of the worker.
        born_ms: start time of the incarnation, in ms since 1970; 0 for any.
        address: address of the writer whose heartbeats described it, "" for
            any.
    """

    name: str
    born_ms: int = 0
    address: str = ""


class EntryStatus(Message, frozen=True, tag=True):
    """An entry node's heartbeat to the control nodes.

    Attributes:
        config_version: version of its active configuration.
        epoch: epoch of the latest grant that it received.
        is_stopping: whether it stops and should not be the holder.
        needs_new_epoch: whether the holder needs a grant with a higher epoch.
            This is so when a hall is no longer partitioned and its workers
            still have the higher fencing token of the hall's standby.
        sent_ms: time of sending, on the sender's clock.
        received_version: highest version of a configuration that the receiver
            of this message has delivered to it, whether it can use it or not;
            -1 if the sender does not report it.
    """

    config_version: int
    epoch: int
    is_stopping: bool
    needs_new_epoch: bool = False
    sent_ms: float = 0.0
    received_version: int = -1


class SubmitJob(Message, frozen=True, tag=True):
    """Passes a job to the holder.

    Attributes:
        job: the job.
        age_ms: time since its arrival at the entry node, in ms.
        epoch: epoch of the latest grant that the sender received.
        was_sent: whether an earlier holder may have started it.
        number: the sender's number of the submission. It is the same when the
            job is sent to the same holder again under the same grant, and
            rises otherwise.
        session: number of the sender's session with the receiver; 0 if the
            sender does not reply to probes.
        probed_ms: `SessionProbe.sent_ms` of the latest probe that the sender
            has replied to in this session, 0 for none.
    """

    job: Job
    age_ms: float
    epoch: int
    was_sent: bool = False
    number: int = 0
    session: int = 0
    probed_ms: float = 0.0


class SessionProbe(Message, frozen=True, tag=True):
    """Asks an entry node whether it still waits for the jobs it has sent.

    Attributes:
        sent_ms: time of sending, on the sender's clock.
    """

    sent_ms: float


class SessionReply(Message, frozen=True, tag=True):
    """Answers `SessionProbe`; confirms the jobs sent in a session.

    Attributes:
        session: number of the session that the sender is in.
        probed_ms: time of the probe, echoed.
    """

    session: int
    probed_ms: float


class CancelJob(Message, frozen=True, tag=True):
    """Requests that the holder cancel a job; answered by `CancelReply`.

    Without a request it announces that no caller of the sender waits any more.

    Attributes:
        request: number of the request, echoed in the reply; 0 for no reply.
        key: key of the job.
        number: number of the sender's latest submission whose callers have
            left; 0 for any.
    """

    request: int
    key: str
    number: int = 0


class CancelReply(Message, frozen=True, tag="JobCancelled"):
    """Answers `CancelJob`.

    Attributes:
        request: number of the request.
        is_found: whether the job exists; None if the holder cannot decide.
    """

    request: int
    is_found: bool | None


class JobStateRequest(Message, frozen=True, tag="AskState"):
    """Requests the state of a kept job; answered by `JobStateReply`.

    Attributes:
        request: number of the request, echoed in the reply.
        key: key of the job.
    """

    request: int
    key: str


class JobStateReply(Message, frozen=True, tag="StateTold"):
    """Answers `JobStateRequest`.

    Attributes:
        request: number of the request.
        state: state of the job, None if there is no such job.
        is_authoritative: whether the answer is authoritative; if not, a state
            of None does not mean that the job does not exist.
    """

    request: int
    state: JobState | None
    is_authoritative: bool


class QueueCounts(Message, frozen=True, tag=True):
    """Carries the numbers of queued kept jobs to every entry node.

    Attributes:
        waiting: number of kept jobs that have not started, by queue.
        has_kept_jobs: whether kept jobs are in use. The holder reports the
            first one before it starts any of its tasks.
    """

    waiting: dict[str, int]
    has_kept_jobs: bool = True


class JobEnded(Message, frozen=True, tag=True):
    """Announces the result of a job.

    Attributes:
        key: key of the job.
        verdict: the result.
        reason: the reason for which it was refused or abandoned.
        retry_after_ms: time after which to retry, in ms; 0 if a retry does not
            help.
        number: number of the submission that it answers; 0 for any.
    """

    key: str
    verdict: Verdict
    reason: Reason
    retry_after_ms: float
    number: int = 0


ANY_CLUSTER_MESSAGE = (
    GroupMessage
    | ControlNodes
    | ConfigPush
    | Grant
    | WorkersPush
    | WorkerLeft
    | EntryStatus
    | SubmitJob
    | SessionProbe
    | SessionReply
    | CancelJob
    | CancelReply
    | JobEnded
    | JobStateRequest
    | JobStateReply
    | QueueCounts
    | HolderLease
    | LoadJobs
    | JobsLoaded
    | WriteJobs
    | JobsWritten
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[ANY_CLUSTER_MESSAGE])
_greeting_decoder = msgspec.msgpack.Decoder(NodeGreeting)


def encode_batch(batch: list[Message]) -> bytes:
    """Returns messages encoded as one frame."""
    return _encoder.encode(batch)


def decode_batch(data: bytes) -> list[Message]:
    """Returns the messages of a frame.

    Raises:
        ClayfieldError: of kind BAD_FRAME, if the frame is not valid as a whole.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ClayfieldError(ErrorKind.BAD_FRAME, f"{exc}.") from exc


def encode_node_greeting(greeting: NodeGreeting) -> bytes:
    """Returns a greeting encoded as one frame."""
    return _encoder.encode(greeting)


def decode_node_greeting(data: bytes) -> NodeGreeting:
    """Returns the greeting in a stream's first frame.

    Raises:
        ClayfieldError: of kind BAD_FRAME, if the frame is not a greeting.
    """
    try:
        return _greeting_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ClayfieldError(ErrorKind.BAD_FRAME, f"{exc}.") from exc
