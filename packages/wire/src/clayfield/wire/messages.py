"""Messages between boxes.

Each message is a typed record whose field types the codec checks on decoding.
New fields are added only at the end and with a default, so that boxes of
adjacent versions can exchange messages during an upgrade.

Terms: a box is a machine, a hall a zone and a member a customer. A node is one
start of the process of a box, named BOX/INCARNATION. A claim is the record
that a node runs the job of an idempotency key. A slot is the capacity for one
task on a worker.
"""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """Base class of all messages."""


# Consensus messages, as in Raft. `group` names an instance of a group:
# "control@..." or "hall:NAME@...".


class LogEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An entry of a replicated log.

    Attributes:
        term: term of the leader that appended it.
        kind: `ENTRY_COMMAND`, `ENTRY_MEMBERS` or `ENTRY_NOOP`.
        data: the command, the encoded `Members`, or empty.
    """

    term: int
    kind: int
    data: bytes


ENTRY_COMMAND = 0
ENTRY_MEMBERS = 1
ENTRY_NOOP = 2


class Members(msgspec.Struct, frozen=True, array_like=True):
    """The members of a group.

    Attributes:
        voters: nodes that vote.
        learners: nodes that receive the log but do not vote yet.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


class VoteRequest(Message, frozen=True, tag=True):
    """Requests a vote.

    Attributes:
        group: the group instance.
        term: the candidate's term; in a pre-vote the term it would start.
        last_index: index of the candidate's last log entry.
        last_term: term of that entry.
        is_prevote: whether this is a pre-vote, which changes no state.
        is_transfer: whether the leader has given up leadership to the
            candidate, so that no lease is valid.
    """

    group: str
    term: int
    last_index: int
    last_term: int
    is_prevote: bool
    is_transfer: bool = False


class VoteReply(Message, frozen=True, tag=True):
    """Answers a `VoteRequest`.

    Attributes:
        group: the group instance.
        term: term of the request if the vote is granted, else the voter's.
        granted: whether the vote is granted.
        is_prevote: whether it is a pre-vote.
    """

    group: str
    term: int
    granted: bool
    is_prevote: bool


class AppendRequest(Message, frozen=True, tag=True):
    """Carries log entries; also serves as the leader's heartbeat.

    Attributes:
        group: the group instance.
        term: the leader's term.
        prev_index: index of the entry before `entries`.
        prev_term: term of that entry.
        entries: the entries to append; may be empty.
        commit_index: index of the last committed entry.
        sent_ms: time of sending on the leader's clock, echoed in the reply.
    """

    group: str
    term: int
    prev_index: int
    prev_term: int
    entries: list[LogEntry]
    commit_index: int
    sent_ms: float


class AppendReply(Message, frozen=True, tag=True):
    """Answers an `AppendRequest`.

    Attributes:
        group: the group instance.
        term: the follower's term.
        is_matching: whether the follower's log contained the previous entry.
        match_index: index up to which the logs match; if not `is_matching`, the
            index at which the leader should retry, or 0.
        sent_ms: `sent_ms` of the request; 0 if the request's term was old.
    """

    group: str
    term: int
    is_matching: bool
    match_index: int
    sent_ms: float


class SnapshotChunk(Message, frozen=True, tag=True):
    """Carries a part of a snapshot.

    Attributes:
        group: the group instance.
        term: the leader's term.
        index: index of the last log entry in the snapshot.
        index_term: term of that entry.
        members: members of the group at that entry.
        offset: position of `data` in the snapshot, in bytes.
        data: the part.
        is_last: whether it is the last part.
        sent_ms: time of sending on the leader's clock, echoed in the reply.
    """

    group: str
    term: int
    index: int
    index_term: int
    members: Members
    offset: int
    data: bytes
    is_last: bool
    sent_ms: float


class SnapshotReply(Message, frozen=True, tag=True):
    """Answers a `SnapshotChunk`.

    Attributes:
        group: the group instance.
        term: the follower's term.
        index: index of the last log entry in the snapshot.
        offset: number of bytes of the snapshot received so far.
        sent_ms: `sent_ms` of the chunk.
    """

    group: str
    term: int
    index: int
    offset: int
    sent_ms: float


class TimeoutNow(Message, frozen=True, tag=True):
    """Requests that an up-to-date voter start an election immediately.

    Attributes:
        group: the group instance.
        term: the leader's term.
    """

    group: str
    term: int


class GroupMessage(Message, frozen=True, tag="Grouped"):
    """A consensus message between two nodes.

    Attributes:
        source: the sender.
        to: the receiver; another incarnation of its box ignores the message.
        body: the message.
    """

    source: str
    to: str
    body: (
        VoteRequest
        | VoteReply
        | AppendRequest
        | AppendReply
        | SnapshotChunk
        | SnapshotReply
        | TimeoutNow
    )


# Membership messages.


class Heartbeat(Message, frozen=True, tag=True):
    """Announces that a box is alive, and its state.

    Attributes:
        hall: name of the sender's hall.
        config_version: version of the sender's active configuration.
        unformed_groups: groups for which the sender holds no state that can
            still count: none of an opened group, or only of one whose majority
                is lost.
        led_terms: by group that the sender leads under a valid lease, its term.
        group_members: the sender's nodes in its groups, as GROUP@NODE.
        is_stopping: whether the sender refuses new work.
    """

    hall: str
    config_version: int
    unformed_groups: tuple[str, ...] = ()
    led_terms: dict[str, int] = {}
    group_members: tuple[str, ...] = ()
    is_stopping: bool = False


# Configuration messages.


class ConfigPull(Message, frozen=True, tag=True):
    """Requests the configuration changes after a version.

    Attributes:
        version: version active at the sender.
    """

    version: int


class ConfigPush(Message, frozen=True, tag=True):
    """Carries a whole configuration, or the changes after a version.

    Attributes:
        base: version to which the first delta applies; -1 with `whole`.
        deltas: encoded changes, one for each version; empty with `whole`.
        whole: the whole configuration in canonical form, empty with `deltas`.
        version: version that results.
    """

    base: int
    deltas: list[bytes]
    whole: bytes
    version: int


class ApplyRequest(Message, frozen=True, tag=True):
    """Requests that the control leader accept a validated configuration.

    Attributes:
        request: number of the request, echoed in the reply.
        replaces: version that the configuration replaces.
        body: the encoded configuration.
    """

    request: int
    replaces: int
    body: bytes


class ApplyReply(Message, frozen=True, tag=True):
    """Answers an `ApplyRequest`.

    Attributes:
        request: number of the request.
        version: version of the new configuration if it was accepted, else of
            the active one.
        code: code of the error, empty when accepted.
        detail: explanation for a person.
    """

    request: int
    version: int
    code: str
    detail: str


class OpenRequest(Message, frozen=True, tag=True):
    """Requests that the control log record a new, empty table of claims.

    Attributes:
        hall: name of the hall.
        instance: group instance that holds the new table.
        halls: names of all halls in the sender's settings, sorted.
    """

    hall: str
    instance: str
    halls: tuple[str, ...] = ()


class OpenReply(Message, frozen=True, tag=True):
    """Answers an `OpenRequest`.

    Attributes:
        hall: name of the hall.
        instance: group instance of the request.
        count: number of times that the hall's claims have started empty, this
            time included.
    """

    hall: str
    instance: str
    count: int


# Claims of idempotency keys.

# Verdicts of a `ClaimReply`.
CLAIM_GRANTED = 0  # the key is claimed for the sender
CLAIM_OWNED = 1  # another submission owns it and has no outcome yet
CLAIM_REUSED = 2  # it was claimed with another request body
CLAIM_DONE = 3  # its outcome is in the reply
CLAIM_UNKNOWN = 4  # no claim of it is recorded
CLAIM_UNAVAILABLE = 5  # the table of claims is not open
CLAIM_CLOSED = 6  # a `Complete` or `Unclaim` is applied
CLAIM_LOST = 7  # it may have been claimed in a table that is lost


class Outcome(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The final answer to a caller.

    Attributes:
        status: HTTP status.
        body: body of the response.
    """

    status: int
    body: bytes


class Claim(Message, frozen=True, tag=True):
    """Claims an idempotency key for its owner.

    Attributes:
        key: MEMBER/KEY.
        digest: digest of the request body.
        owner: node that runs the submission.
        nonce: number of the submission at its owner.
    """

    key: str
    digest: bytes
    owner: str
    nonce: int


class Complete(Message, frozen=True, tag=True):
    """Records the final answer of a claim.

    Attributes:
        key: MEMBER/KEY.
        owner: owner of the claim.
        nonce: number of the submission at its owner.
        outcome: the answer.
    """

    key: str
    owner: str
    nonce: int
    outcome: Outcome


class Unclaim(Message, frozen=True, tag=True):
    """Removes a claim of which no task has started or will start.

    Attributes:
        key: MEMBER/KEY.
        owner: owner of the claim.
        nonce: number of the submission at its owner.
    """

    key: str
    owner: str
    nonce: int


class Lookup(Message, frozen=True, tag=True):
    """Requests the state of a key.

    Attributes:
        key: MEMBER/KEY.
        owner: node that receives the reply.
        nonce: number of the request at that node.
    """

    key: str
    owner: str
    nonce: int


class ClaimReply(Message, frozen=True, tag=True):
    """Answers a claim command.

    Attributes:
        key: key of the command.
        nonce: nonce of the command.
        verdict: one of the `CLAIM_` constants.
        owner: node that owns the claim, "" where it does not matter.
        owner_nonce: number of the submission at its owner.
        outcome: the final answer, None if there is none yet.
    """

    key: str
    nonce: int
    verdict: int
    owner: str = ""
    owner_nonce: int = 0
    outcome: Outcome | None = None


class AnswerFetch(Message, frozen=True, tag=True):
    """Requests the final answer of a key from its owner.

    Attributes:
        key: MEMBER/KEY.
        nonce: number of the submission at its owner.
    """

    key: str
    nonce: int


class AnswerReply(Message, frozen=True, tag=True):
    """Answers an `AnswerFetch`.

    Attributes:
        key: MEMBER/KEY.
        outcome: the final answer, None if the sender has none.
        is_pending: whether an answer will follow.
    """

    key: str
    outcome: Outcome | None
    is_pending: bool = False


# Slots for tasks on workers.

# Results of a `SlotRelease`.
RELEASE_DONE = 0  # the task ran and the worker replied
RELEASE_UNUSED = 1  # no task was sent
RELEASE_REFUSED = 2  # the worker rejected the task
RELEASE_LEAVING = 3  # the worker rejected the task because it is stopping
RELEASE_LOST = 4  # the worker did not reply or was unreachable


class SlotRequest(Message, frozen=True, tag=True):
    """Requests slots from the hall's scheduler, one for each task.

    Attributes:
        request: number of the request at the sender.
        member: name of the member that the tasks belong to.
        service: name of the service whose workers may run the tasks.
        priority: name of the priority class.
        tasks: number of slots still needed.
        deadline_ms: time until the deadline when sent, in ms; 0 for none.
        waited_ms: time since the request was first made, in ms.
    """

    request: int
    member: str
    service: str
    priority: str
    tasks: int
    deadline_ms: float
    waited_ms: float = 0.0


class SlotCancel(Message, frozen=True, tag=True):
    """Withdraws a `SlotRequest`.

    Attributes:
        request: number of the request.
    """

    request: int


class SlotGrant(Message, frozen=True, tag=True):
    """Grants slots.

    Attributes:
        request: number of the request.
        grants: for each slot its grant number and the name of its worker.
    """

    request: int
    grants: list[tuple[int, str]]


class SlotRefuse(Message, frozen=True, tag=True):
    """Refuses the slots of a `SlotRequest` that are not granted yet.

    Attributes:
        request: number of the request.
        code: code of the error.
        detail: explanation for a person.
        retry_after_ms: time after which to retry, in ms.
    """

    request: int
    code: str
    detail: str
    retry_after_ms: int


class SlotRelease(Message, frozen=True, tag=True):
    """Returns a slot to the scheduler.

    Attributes:
        grant: grant number of the slot.
        worker: name of the worker.
        result: one of the `RELEASE_` constants.
        took_ms: duration of the task at the worker, in ms.
    """

    grant: int
    worker: str
    result: int
    took_ms: float


class HeldSlot(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A slot that a box holds.

    Attributes:
        grant: grant number of the slot.
        worker: name of the worker.
        request: the request that the slot was granted to.
    """

    grant: int
    worker: str
    request: SlotRequest


class SlotSync(Message, frozen=True, tag=True):
    """Reports a box's slots and queued requests to the hall's scheduler.

    Attributes:
        held: slots that the box holds.
        waiting: requests that need further slots.
    """

    held: list[HeldSlot]
    waiting: list[SlotRequest]


ANY_MESSAGE = (
    GroupMessage
    | Heartbeat
    | ConfigPull
    | ConfigPush
    | ApplyRequest
    | ApplyReply
    | OpenRequest
    | OpenReply
    | Claim
    | Complete
    | Unclaim
    | Lookup
    | ClaimReply
    | AnswerFetch
    | AnswerReply
    | SlotRequest
    | SlotCancel
    | SlotGrant
    | SlotRefuse
    | SlotRelease
    | SlotSync
)
