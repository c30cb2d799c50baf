"""The claims registry of a hall, a replicated state machine.

A claim records which node, its owner, runs an idempotency key, and later the
outcome. Each key has a home hall, whose registry holds its claim. The table
takes its time from `AdvanceTime` commands of the leader, so that all replicas
expire claims alike.

A claim is created, completed and, after the retention time, expired. If its
owner is lost before the claim is completed, the claim ends with an outcome
saying that the work *may have run*; the key is never given to another owner.
"""

import collections

import msgspec

from clayfield.state.key_location import start_in_key
from clayfield.state.machine import StateMachine
from clayfield.wire.messages import (
    CLAIM_CLOSED,
    CLAIM_DONE,
    CLAIM_GRANTED,
    CLAIM_LOST,
    CLAIM_OWNED,
    CLAIM_REUSED,
    CLAIM_UNAVAILABLE,
    CLAIM_UNKNOWN,
    Claim,
    ClaimReply,
    Complete,
    Lookup,
    Outcome,
    Unclaim,
)

DEFAULT_RETENTION_MS = 600_000


class AdvanceTime(msgspec.Struct, frozen=True, array_like=True, tag="Advance"):
    """Command that advances the time of the table.

    Attributes:
        delta_ms: time since the last such command, on the leader's clock.
        retention_ms: time for which outcomes are kept from now on.
    """

    delta_ms: float
    retention_ms: float


class OwnerLost(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Command that ends all open claims of a node that is lost for good.

    Attributes:
        owner: node that is lost.
        outcome: final outcome of its claims.
    """

    owner: str
    outcome: Outcome


class OpenTable(msgspec.Struct, frozen=True, array_like=True, tag="Open"):
    """Command that opens the table for claims.

    Attributes:
        count: number of times the hall's registry has started with an empty
            table, this time included. Above 1, earlier claims were lost with
            their replicas.
    """

    count: int


ClaimCommand = (
    OpenTable | Claim | Complete | Unclaim | Lookup | AdvanceTime | OwnerLost
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[ClaimCommand])


def encode_commands(commands: list[ClaimCommand]) -> bytes:
    """Returns a batch of commands as the data of one log entry."""
    return _encoder.encode(commands)


def is_open_table_command(command: bytes) -> bool:
    """Returns whether a log entry's data contains an `OpenTable` command."""
    return any(isinstance(item, OpenTable) for item in _decoder.decode(command))


class ClaimRecord(msgspec.Struct, array_like=True, gc=False):
    """The claim of one key.

    Attributes:
        digest: digest of the request body that the key was first used with.
        owner: node that runs the key.
        nonce: number that the owner gave the submission.
        outcome: final outcome, None while the claim is open.
    """

    digest: bytes
    owner: str
    nonce: int
    outcome: Outcome | None


class _TableSnapshot(msgspec.Struct, array_like=True):
    """A snapshot of a `ClaimTable`."""

    count: int
    now_ms: float
    claims: dict[str, ClaimRecord]
    expiry: list[tuple[float, str]]


_snapshot_decoder = msgspec.msgpack.Decoder(_TableSnapshot)


class ClaimTable(StateMachine):
    """The claims of a hall.

    Attributes:
        claims: claim records by key.
        now_ms: time of the table, the sum of all advances, in ms.
        start_count: number of times the hall's registry has started with an
            empty table; 0 while the table is not open.
    """

    __slots__ = (
        "_expiry",
        "_owners",
        "_retention_ms",
        "claims",
        "start_count",
        "now_ms",
    )

    def __init__(self, retention_ms: float = DEFAULT_RETENTION_MS):
        self.claims: dict[str, ClaimRecord] = {}
        self.now_ms = 0.0
        self.start_count = 0
        self._retention_ms = retention_ms
        self._expiry: collections.deque[tuple[float, str]] = collections.deque()
        self._owners: dict[str, set[str]] = {}

    @property
    def is_open(self) -> bool:
        """Whether the table is open for claims."""
        return self.start_count > 0

    @property
    def owners(self) -> list[str]:
        """Nodes that own open claims."""
        return list(self._owners)

    def apply(self, command: bytes) -> list[ClaimReply | None]:
        """Applies a batch; returns a reply or None for each command."""
        return [self._apply_command(item) for item in _decoder.decode(command)]

    def _apply_command(self, command: ClaimCommand) -> ClaimReply | None:
        match command:
            case OpenTable(count=count):
                self.start_count = self.start_count or count
            case Claim():
                return self._claim(command)
            case Lookup():
                return self._look_up(command)
            case Complete(key=key, owner=owner, nonce=nonce, outcome=outcome):
                record = self._find_open_record(key, owner, nonce)
                if record:
                    self._close(key, record, outcome)
                return ClaimReply(key, nonce, CLAIM_CLOSED)
            case Unclaim(key=key, owner=owner, nonce=nonce):
                record = self._find_open_record(key, owner, nonce)
                if record:
                    self._remove_from_owner(key, record)
                    del self.claims[key]
                return ClaimReply(key, nonce, CLAIM_CLOSED)
            case AdvanceTime(delta_ms=delta_ms, retention_ms=retention_ms):
                self.now_ms += delta_ms
                self._retention_ms = retention_ms
                self._expire()
            case OwnerLost(owner=owner, outcome=outcome):
                for key in sorted(self._owners.get(owner, ())):
                    self._close(key, self.claims[key], outcome)
        return None

    def _claim(self, claim: Claim) -> ClaimReply:
        if not self.is_open:
            return ClaimReply(claim.key, claim.nonce, CLAIM_UNAVAILABLE)
        record = self.claims.get(claim.key)
        if record is None and self._may_be_lost(claim.key):
            return ClaimReply(claim.key, claim.nonce, CLAIM_LOST)
        if record is None:
            self.claims[claim.key] = ClaimRecord(
                claim.digest, claim.owner, claim.nonce, None
            )
            self._owners.setdefault(claim.owner, set()).add(claim.key)
            return ClaimReply(claim.key, claim.nonce, CLAIM_GRANTED)
        if record.digest != claim.digest:
            return ClaimReply(claim.key, claim.nonce, CLAIM_REUSED)
        is_same = (record.owner, record.nonce) == (claim.owner, claim.nonce)
        if is_same and record.outcome is None:
            return ClaimReply(claim.key, claim.nonce, CLAIM_GRANTED)
        return _reply_from_record(claim.key, claim.nonce, record)

    def _may_be_lost(self, key: str) -> bool:
        """Returns whether a key may have had a claim before the latest start.

        Once the retention time has passed since, such a claim would have
        expired anyway. Until then, only a key that names the latest start, as
        `HALL.COUNT:rest`, is certain to be newer.
        """
        if self.start_count <= 1 or self.now_ms >= self._retention_ms:
            return False
        return start_in_key(key) < self.start_count

    def _look_up(self, lookup: Lookup) -> ClaimReply:
        record = self.claims.get(lookup.key)
        if record is None:
            is_lost = self._may_be_lost(lookup.key)
            verdict = CLAIM_LOST if is_lost else CLAIM_UNKNOWN
            return ClaimReply(lookup.key, lookup.nonce, verdict)
        return _reply_from_record(lookup.key, lookup.nonce, record)

    def _find_open_record(
        self, key: str, owner: str, nonce: int
    ) -> ClaimRecord | None:
        """Returns the open claim of a submission, None if there is none."""
        record = self.claims.get(key)
        if record is None or record.outcome is not None:
            return None
        if (record.owner, record.nonce) != (owner, nonce):
            return None
        return record

    def _close(self, key: str, record: ClaimRecord, outcome: Outcome) -> None:
        record.outcome = outcome
        self._remove_from_owner(key, record)
        self._expiry.append((self.now_ms + self._retention_ms, key))

    def _remove_from_owner(self, key: str, record: ClaimRecord) -> None:
        keys = self._owners[record.owner]
        keys.discard(key)
        if not keys:
            del self._owners[record.owner]

    def _expire(self) -> None:
        while self._expiry and self._expiry[0][0] <= self.now_ms:
            _, key = self._expiry.popleft()
            del self.claims[key]

    def snapshot(self) -> bytes:
        """Returns the whole table in encoded form."""
        return _encoder.encode(
            _TableSnapshot(
                self.start_count, self.now_ms, self.claims, list(self._expiry)
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the table by one that `snapshot` returned."""
        saved = _snapshot_decoder.decode(data)
        self.start_count = saved.count
        self.now_ms = saved.now_ms
        self.claims = saved.claims
        self._expiry = collections.deque(saved.expiry)
        self._owners = {}
        for key, record in self.claims.items():
            if record.outcome is None:
                self._owners.setdefault(record.owner, set()).add(key)


def _reply_from_record(key: str, nonce: int, record: ClaimRecord) -> ClaimReply:
    verdict = CLAIM_OWNED if record.outcome is None else CLAIM_DONE
    return ClaimReply(
        key, nonce, verdict, record.owner, record.nonce, record.outcome
    )
