"""The messages between boxes.

Each is a small typed record; the codec checks types when it decodes. Fields
are only ever added at the end, with a default, so that boxes of neighbouring
versions understand each other.
"""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """The base of all messages."""


# Consensus. `group` is "control" or "hall:NAME"; nodes are "BOX/INCARNATION".


class LogEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One entry of a replicated log.

    Attributes:
        term: the leader's term that made it.
        kind: `ENTRY_COMMAND`, `ENTRY_MEMBERS` or `ENTRY_NOOP`.
        data: the command, or the encoded `Members`.
    """

    term: int
    kind: int
    data: bytes


ENTRY_COMMAND = 0
ENTRY_MEMBERS = 1
ENTRY_NOOP = 2


class Members(msgspec.Struct, frozen=True, array_like=True):
    """The nodes of a group: those that vote, and those catching up."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


class VoteRequest(Message, frozen=True, tag=True):
    """Asks for a vote, or in a pre-vote whether one would be given."""

    group: str
    term: int
    last_index: int
    last_term: int
    pre: bool


class VoteReply(Message, frozen=True, tag=True):
    """Answers a `VoteRequest` of the same term."""

    group: str
    term: int
    granted: bool
    pre: bool


class AppendRequest(Message, frozen=True, tag=True):
    """Brings entries, and by coming at all a heartbeat."""

    group: str
    term: int
    prev_index: int
    prev_term: int
    entries: list[LogEntry]
    commit: int
    sent_ms: float


class AppendReply(Message, frozen=True, tag=True):
    """Says how far the follower's log agrees; echoes `sent_ms`."""

    group: str
    term: int
    ok: bool
    match: int
    sent_ms: float


class SnapshotChunk(Message, frozen=True, tag=True):
    """A piece of a snapshot; `offset` is in bytes."""

    group: str
    term: int
    index: int
    index_term: int
    members: Members
    offset: int
    data: bytes
    done: bool
    sent_ms: float


class SnapshotReply(Message, frozen=True, tag=True):
    """Says up to which byte the snapshot at `index` has arrived."""

    group: str
    term: int
    index: int
    offset: int
    sent_ms: float


class TimeoutNow(Message, frozen=True, tag=True):
    """Tells a caught-up voter to stand for leader at once."""

    group: str
    term: int


class Grouped(Message, frozen=True, tag=True):
    """A consensus message between two nodes.

    Attributes:
        source: the node that sent it.
        to: the node it is for; a later incarnation of the box ignores it.
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


# Membership.


class Heartbeat(Message, frozen=True, tag=True):
    """Tells a peer that this box lives, and what it holds.

    Attributes:
        hall: the sender's hall.
        config_version: the version in force at the sender.
        fresh: groups of which the sender is a first member not yet formed.
        leads: the term of each group that the sender leads under a lease.
        joins: the nodes, as GROUP@NODE, by which the sender takes part.
        stopping: the sender takes no new work.
    """

    hall: str
    config_version: int
    fresh: tuple[str, ...] = ()
    leads: dict[str, int] = {}
    joins: tuple[str, ...] = ()
    stopping: bool = False


# Configuration.


class ConfigPull(Message, frozen=True, tag=True):
    """Asks a peer for the changes after `version`."""

    version: int


class ConfigPush(Message, frozen=True, tag=True):
    """Brings a whole configuration, or the deltas after `base`.

    Attributes:
        base: the version that the first delta replaces; -1 for `whole`.
        deltas: encoded changes, one a version.
        whole: the whole configuration in canonical form, or empty.
        version: the version reached with all of it.
    """

    base: int
    deltas: list[bytes]
    whole: bytes
    version: int


class ApplyRequest(Message, frozen=True, tag=True):
    """Carries a checked configuration to the control leader."""

    request: int
    replaces: int
    body: bytes


class ApplyReply(Message, frozen=True, tag=True):
    """Answers an `ApplyRequest`; `code` is empty when accepted."""

    request: int
    version: int
    code: str
    detail: str


class OpenRequest(Message, frozen=True, tag=True):
    """Asks control to record that a hall's claims start anew.

    Attributes:
        hall: whose claims.
        instance: the group instance that is to open.
        halls: the names of all halls that the sender knows, sorted.
    """

    hall: str
    instance: str
    halls: tuple[str, ...] = ()


class OpenReply(Message, frozen=True, tag=True):
    """Says how often the hall's claims have started, this time included."""

    hall: str
    instance: str
    count: int


# Claims.

CLAIM_GRANTED = 0
CLAIM_OWNED = 1
CLAIM_REUSED = 2
CLAIM_DONE = 3
CLAIM_UNKNOWN = 4
CLAIM_UNAVAILABLE = 5
CLAIM_SETTLED = 6
CLAIM_LOST = 7


class Outcome(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A final answer: `status` and `body` as sent to the caller."""

    status: int
    body: bytes


class Claim(Message, frozen=True, tag=True):
    """Claims a key for its owner.

    Attributes:
        key: the caller's key, with its member.
        digest: of the body.
        owner: node that will run it.
        nonce: tells this submission from others of the owner.
    """

    key: str
    digest: bytes
    owner: str
    nonce: int


class Complete(Message, frozen=True, tag=True):
    """Records the final answer of a claim."""

    key: str
    owner: str
    nonce: int
    outcome: Outcome


class Unclaim(Message, frozen=True, tag=True):
    """Gives up a claim of which nothing has started nor will."""

    key: str
    owner: str
    nonce: int


class Lookup(Message, frozen=True, tag=True):
    """Asks for the state of a key."""

    key: str
    owner: str
    nonce: int


class ClaimReply(Message, frozen=True, tag=True):
    """Answers a claim command.

    Attributes:
        key: of the command.
        nonce: of the command.
        verdict: one of the `CLAIM_` constants.
        owner: the node that holds the claim.
        owner_nonce: the number under which it holds it.
        outcome: the final answer, once there is one.
    """

    key: str
    nonce: int
    verdict: int
    owner: str = ""
    owner_nonce: int = 0
    outcome: Outcome | None = None


class AnswerFetch(Message, frozen=True, tag=True):
    """Asks the owner of a key for its answer when there is one."""

    key: str
    nonce: int


class AnswerReply(Message, frozen=True, tag=True):
    """Brings the answer of a key.

    Attributes:
        key: the caller's key, with its member.
        outcome: the answer, None when there is none here.
        is_pending: whether one is still expected.
    """

    key: str
    outcome: Outcome | None
    is_pending: bool = False


# Slots.

RELEASE_DONE = 0
RELEASE_UNUSED = 1
RELEASE_REFUSED = 2
RELEASE_LEAVING = 3
RELEASE_LOST = 4


class SlotRequest(Message, frozen=True, tag=True):
    """Asks the hall's scheduler for slots, one for each task.

    Attributes:
        request: the box's number for it.
        member: whose work it is.
        service: which service's workers may run it.
        priority: the priority class.
        tasks: how many slots are still wanted.
        deadline_ms: time left when sent; 0 for none.
        waited_ms: how long it has waited already.
    """

    request: int
    member: str
    service: str
    priority: str
    tasks: int
    deadline_ms: float
    waited_ms: float = 0.0


class SlotCancel(Message, frozen=True, tag=True):
    """Withdraws a `SlotRequest`."""

    request: int


class SlotGrant(Message, frozen=True, tag=True):
    """Grants slots: one grant number and worker for each."""

    request: int
    grants: list[tuple[int, str]]


class SlotRefuse(Message, frozen=True, tag=True):
    """Refuses what is left of a `SlotRequest`."""

    request: int
    code: str
    detail: str
    retry_after_ms: int


class SlotRelease(Message, frozen=True, tag=True):
    """Gives a slot back; `took_ms` is the task's time at the worker."""

    grant: int
    worker: str
    result: int
    took_ms: float


class HeldSlot(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A slot that a box holds, told to a new scheduler."""

    grant: int
    worker: str
    request: SlotRequest


class SlotSync(Message, frozen=True, tag=True):
    """Tells a new scheduler what a box holds and waits for."""

    held: list[HeldSlot]
    waiting: list[SlotRequest]


ANY_MESSAGE = (
    Grouped
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
