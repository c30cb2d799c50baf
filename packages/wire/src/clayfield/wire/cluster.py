"""The messages between control nodes and entries, and their codec."""

import msgspec

from clayfield.base import ClayfieldError, Kind
from clayfield.wire.jobs import Job, JobState, Reason, Verdict, WorkerInfo
from clayfield.wire.ledger import (
    HolderLease,
    JobsLoaded,
    JobsWritten,
    LoadJobs,
    WriteJobs,
)
from clayfield.wire.messages import Grouped, Message

MAX_FRAME_BYTES = 16 * 1024 * 1024


class NodeGreeting(msgspec.Struct, frozen=True, array_like=True):
    """The first frame in each direction of a stream: who speaks.

    Attributes:
        cluster: the name that all nodes of a cluster share.
        node: ADDRESS/INCARNATION; the address is where its peers connect.
        role: "entry" or "control".
        hall: where it stands.
    """

    cluster: str
    node: str
    role: str
    hall: str


class ControlNodes(Message, frozen=True, tag=True):
    """Names the addresses of the control nodes that the sender knows."""

    addresses: tuple[str, ...]


class ConfigPush(Message, frozen=True, tag=True):
    """Brings the configuration in force, as the operator wrote it."""

    version: int
    document: bytes


class Grant(Message, frozen=True, tag=True):
    """Says who holds the workers.

    Attributes:
        epoch: rises with every grant; the fence of the holder's orders is
            derived from it.
        holder: the node that holds all workers.
        standbys: by hall the node that may hold that hall's workers while it
            is cut off from the holder and from the control nodes elsewhere.
    """

    epoch: int
    holder: str
    standbys: dict[str, str] = {}


class WorkersPush(Message, frozen=True, tag=True):
    """Brings statements of workers."""

    workers: tuple[WorkerInfo, ...]


class WorkerLeft(Message, frozen=True, tag=True):
    """Says that a worker has taken its leave."""

    name: str


class EntryStatus(Message, frozen=True, tag=True):
    """An entry's heartbeat to the control nodes.

    Attributes:
        config_version: of the configuration that it has in force.
        epoch: of the latest grant that it knows.
        is_stopping: whether it should hold nothing any more.
        needs_epoch: whether the holder should get a higher fence: workers obey
            a stand-by's, and the hall of that is not cut off any more.
        sent_ms: when it was sent, on the entry's clock.
    """

    config_version: int
    epoch: int
    is_stopping: bool
    needs_epoch: bool = False
    sent_ms: float = 0.0


class SubmitJob(Message, frozen=True, tag=True):
    """Hands a job to the holder.

    Attributes:
        job: the job.
        age_ms: how long ago it arrived at the entry.
        epoch: of the grant that the entry acts on.
        was_sent: whether an earlier holder may have begun it.
    """

    job: Job
    age_ms: float
    epoch: int
    was_sent: bool = False


class CancelJob(Message, frozen=True, tag=True):
    """Asks the holder to end a job; answered by `JobCancelled`.

    Attributes:
        request: echoed in the answer, 0 where none is wanted.
        key: the job.
    """

    request: int
    key: str


class JobCancelled(Message, frozen=True, tag=True):
    """Says whether the holder knew the job; None where it can't be sure."""

    request: int
    is_known: bool | None


class AskState(Message, frozen=True, tag=True):
    """Asks the holder where a kept job stands; answered by `StateTold`."""

    request: int
    key: str


class StateTold(Message, frozen=True, tag=True):
    """Says where a kept job stands.

    Attributes:
        request: echoed.
        state: None where there is no such job.
        is_sure: whether the holder can tell.
    """

    request: int
    state: JobState | None
    is_sure: bool


class QueueCounts(Message, frozen=True, tag=True):
    """Tells every entry how many kept jobs wait, by queue."""

    waiting: dict[str, int]


class JobEnded(Message, frozen=True, tag=True):
    """Says how a job ended.

    Attributes:
        key: the job.
        verdict: how.
        reason: why it was refused or abandoned.
        retry_after_ms: when to come back, 0 where that does not help.
    """

    key: str
    verdict: Verdict
    reason: Reason
    retry_after_ms: float


ANY_CLUSTER_MESSAGE = (
    Grouped
    | ControlNodes
    | ConfigPush
    | Grant
    | WorkersPush
    | WorkerLeft
    | EntryStatus
    | SubmitJob
    | CancelJob
    | JobCancelled
    | JobEnded
    | AskState
    | StateTold
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
    """Returns messages as one frame."""
    return _encoder.encode(batch)


def decode_batch(data: bytes) -> list[Message]:
    """Returns the messages of a frame.

    Raises:
        ClayfieldError: of kind BAD_FRAME; nothing of the frame is used.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ClayfieldError(Kind.BAD_FRAME, f"{exc}.") from exc


def encode_node_greeting(greeting: NodeGreeting) -> bytes:
    """Returns a greeting as a frame."""
    return _encoder.encode(greeting)


def decode_node_greeting(data: bytes) -> NodeGreeting:
    """Returns the greeting in a stream's first frame.

    Raises:
        ClayfieldError: of kind BAD_FRAME, when it is none.
    """
    try:
        return _greeting_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ClayfieldError(Kind.BAD_FRAME, f"{exc}.") from exc
