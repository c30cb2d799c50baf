"""The claims of a hall: which node runs which key, and its answer.

The table is a state machine under consensus. Its time is the time that the
leader reports in `Advance` commands, so that all replicas expire alike.

A claim's life: claimed → completed → expired. A claim whose owner is lost
before it completed ends with an outcome that says *may have run*; the key is
never given to another owner.
"""

import collections

import msgspec

from clayfield.state.homes import start_named_by
from clayfield.state.machine import StateMachine
from clayfield.wire.messages import (
    CLAIM_DONE,
    CLAIM_GRANTED,
    CLAIM_LOST,
    CLAIM_OWNED,
    CLAIM_REUSED,
    CLAIM_SETTLED,
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


class Advance(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Moves the table's time forward by `delta_ms`.

    Attributes:
        delta_ms: since the last one, on the leader's clock.
        retention_ms: how long outcomes are kept from now on.
    """

    delta_ms: float
    retention_ms: float


class OwnerLost(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Says that a node is gone for good; `outcome` ends its claims."""

    owner: str
    outcome: Outcome


class Open(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Opens the table for claims.

    Attributes:
        count: how often the hall's claims have started, this time included.
            Above 1 the claims of earlier times were lost with their replicas.
    """

    count: int


ClaimCommand = Open | Claim | Complete | Unclaim | Lookup | Advance | OwnerLost
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[ClaimCommand])


def encode_commands(commands: list[ClaimCommand]) -> bytes:
    """Returns a batch of commands as one entry of the log."""
    return _encoder.encode(commands)


def is_opening(command: bytes) -> bool:
    """Tells whether an entry of the log opens the table."""
    return any(isinstance(one, Open) for one in _decoder.decode(command))


class ClaimRecord(msgspec.Struct, array_like=True, gc=False):
    """What is held of one key.

    Attributes:
        digest: of the body that the key was first used with.
        owner: the node that runs it.
        nonce: the owner's number for it.
        outcome: the final answer, None while it may still come.
    """

    digest: bytes
    owner: str
    nonce: int
    outcome: Outcome | None


class _Image(msgspec.Struct, array_like=True):
    """A snapshot of the table."""

    count: int
    now_ms: float
    claims: dict[str, ClaimRecord]
    expiry: list[tuple[float, str]]


_image_decoder = msgspec.msgpack.Decoder(_Image)


class ClaimTable(StateMachine):
    """All claims of a hall.

    Attributes:
        claims: the records by key.
        now_ms: the table's own time.
        count: how often the hall's claims have started; 0 while not open.
    """

    __slots__ = (
        "_expiry",
        "_owners",
        "_retention_ms",
        "claims",
        "count",
        "now_ms",
    )

    def __init__(self, retention_ms: float = DEFAULT_RETENTION_MS):
        self.claims: dict[str, ClaimRecord] = {}
        self.now_ms = 0.0
        self.count = 0
        self._retention_ms = retention_ms
        self._expiry: collections.deque[tuple[float, str]] = collections.deque()
        self._owners: dict[str, set[str]] = {}

    @property
    def is_open(self) -> bool:
        """Whether claims are taken."""
        return self.count > 0

    @property
    def owners(self) -> list[str]:
        """The nodes with claims that have no outcome yet."""
        return list(self._owners)

    def apply(self, command: bytes) -> list[ClaimReply | None]:
        """Applies a batch; returns a reply or None for each command."""
        return [self._apply_one(one) for one in _decoder.decode(command)]

    def _apply_one(self, command: ClaimCommand) -> ClaimReply | None:
        match command:
            case Open(count=count):
                self.count = self.count or count
            case Claim():
                return self._claim(command)
            case Lookup():
                return self._look_up(command)
            case Complete(key=key, owner=owner, nonce=nonce, outcome=outcome):
                record = self._open_record(key, owner, nonce)
                if record:
                    self._close(key, record, outcome)
                return ClaimReply(key, nonce, CLAIM_SETTLED)
            case Unclaim(key=key, owner=owner, nonce=nonce):
                record = self._open_record(key, owner, nonce)
                if record:
                    self._disown(key, record)
                    del self.claims[key]
                return ClaimReply(key, nonce, CLAIM_SETTLED)
            case Advance(delta_ms=delta_ms, retention_ms=retention_ms):
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
        return _describe(claim.key, claim.nonce, record)

    def _may_be_lost(self, key: str) -> bool:
        """Tells whether a key may have been claimed before this start.

        Claims are forgotten after the retention anyway; until then only a key
        that names this start, as `HALL.COUNT:rest`, is surely newer.
        """
        if self.count <= 1 or self.now_ms >= self._retention_ms:
            return False
        return start_named_by(key) < self.count

    def _look_up(self, lookup: Lookup) -> ClaimReply:
        record = self.claims.get(lookup.key)
        if record is None:
            is_lost = self._may_be_lost(lookup.key)
            verdict = CLAIM_LOST if is_lost else CLAIM_UNKNOWN
            return ClaimReply(lookup.key, lookup.nonce, verdict)
        return _describe(lookup.key, lookup.nonce, record)

    def _open_record(
        self, key: str, owner: str, nonce: int
    ) -> ClaimRecord | None:
        record = self.claims.get(key)
        if record is None or record.outcome is not None:
            return None
        if (record.owner, record.nonce) != (owner, nonce):
            return None
        return record

    def _close(self, key: str, record: ClaimRecord, outcome: Outcome) -> None:
        record.outcome = outcome
        self._disown(key, record)
        self._expiry.append((self.now_ms + self._retention_ms, key))

    def _disown(self, key: str, record: ClaimRecord) -> None:
        keys = self._owners[record.owner]
        keys.discard(key)
        if not keys:
            del self._owners[record.owner]

    def _expire(self) -> None:
        while self._expiry and self._expiry[0][0] <= self.now_ms:
            _, key = self._expiry.popleft()
            del self.claims[key]

    def snapshot(self) -> bytes:
        """Returns the whole table."""
        return _encoder.encode(
            _Image(self.count, self.now_ms, self.claims, list(self._expiry))
        )

    def restore(self, data: bytes) -> None:
        """Replaces the table by a snapshot."""
        image = _image_decoder.decode(data)
        self.count = image.count
        self.now_ms = image.now_ms
        self.claims = image.claims
        self._expiry = collections.deque(image.expiry)
        self._owners = {}
        for key, record in self.claims.items():
            if record.outcome is None:
                self._owners.setdefault(record.owner, set()).add(key)


def _describe(key: str, nonce: int, record: ClaimRecord) -> ClaimReply:
    verdict = CLAIM_OWNED if record.outcome is None else CLAIM_DONE
    return ClaimReply(
        key, nonce, verdict, record.owner, record.nonce, record.outcome
    )
