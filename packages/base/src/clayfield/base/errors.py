"""Typed errors; each kind has a stable code, an HTTP status and a remedy."""

import enum
import typing


class Ran(enum.StrEnum):
    """Whether any task of the failed request was started."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


class _Spec(typing.NamedTuple):
    code: str
    status: int
    title: str
    remedy: str


class ErrorKind(enum.Enum):
    """The kinds of error."""

    BAD_JSON = _Spec(
        "CF101", 400, "body is not JSON", "Send one JSON object in UTF-8."
    )
    BAD_FIELD = _Spec(
        "CF102",
        422,
        "a field is missing, unknown or of the wrong type",
        "Correct the field named in detail; docs/api.md lists the fields.",
    )
    BAD_KEY = _Spec(
        "CF103",
        400,
        "Idempotency-Key is missing or malformed",
        "Send 1 to 200 printable ASCII characters as Idempotency-Key.",
    )
    TOO_LARGE = _Spec(
        "CF104",
        413,
        "request exceeds a limit",
        "Send less, or ask the operator to raise the limit in detail.",
    )
    TOO_SLOW = _Spec(
        "CF105",
        408,
        "request did not arrive in time",
        "Send the whole request within the time in detail.",
    )
    UNAUTHENTICATED = _Spec(
        "CF106",
        401,
        "bearer token is missing or unknown",
        "Send 'Authorization: Bearer TOKEN' with a token of this member.",
    )
    FORBIDDEN = _Spec(
        "CF107",
        403,
        "the token does not permit this",
        "Use a token whose member, or operator, may do this.",
    )
    NOT_FOUND = _Spec(
        "CF108", 404, "nothing is known by that name", "Check the name."
    )
    KEY_REUSED = _Spec(
        "CF109",
        409,
        "the key was used with another body",
        "Send the first body again, or choose a new key for this one.",
    )
    QUEUE_FULL = _Spec(
        "CF201",
        429,
        "capacity is short and this class is the cheapest waiting",
        "Send again after Retry-After, or use a dearer class.",
    )
    QUOTA = _Spec(
        "CF202",
        429,
        "the member's quota is used up",
        "Wait for running work to end, or ask for a larger quota.",
    )
    DEADLINE = _Spec(
        "CF203",
        503,
        "the deadline cannot be met",
        "Send again with a later deadline.",
    )
    NO_WORKER = _Spec(
        "CF204",
        503,
        "no live worker serves this service in this hall",
        "Send again after Retry-After; the operator can add workers.",
    )
    NO_REGISTRY = _Spec(
        "CF205",
        503,
        "the key's home hall cannot be reached",
        "Send again after Retry-After, or use a key that names this hall.",
    )
    STOPPING = _Spec(
        "CF206", 503, "this box is stopping", "Send again to another box."
    )
    NOT_READY = _Spec(
        "CF207",
        503,
        "this box has no configuration yet",
        "Send again after Retry-After, or to another box.",
    )
    TASK_LOST = _Spec(
        "CF301",
        502,
        "the answer of a started task was lost",
        "Find out whether it took effect before sending it under a new key.",
    )
    OWNER_LOST = _Spec(
        "CF302",
        502,
        "the box that held this submission was lost",
        "Find out whether it took effect before sending it under a new key.",
    )
    CLAIMS_LOST = _Spec(
        "CF304",
        502,
        "the key's home hall lost its claims and cannot tell",
        "If it is surely new, send it under a key 'HALL.START:...' as shown"
        " by GET /v1/halls; else find out whether it took effect.",
    )
    TASK_FAILED = _Spec(
        "CF303",
        502,
        "a worker answered a task with an error",
        "See detail; correct the task and send it under a new key.",
    )
    BAD_CONFIG = _Spec(
        "CF401",
        422,
        "the configuration has faults",
        "Correct every fault listed and apply the file again.",
    )
    VERSION_RACE = _Spec(
        "CF402",
        409,
        "the configuration replaces a version that is no longer current",
        "Run 'clayfield show', merge, set 'replaces' and apply again.",
    )
    NO_CONTROL = _Spec(
        "CF403",
        503,
        "no majority of the control boxes can be reached",
        "Apply again; a file that was accepted gets its first answer.",
    )
    BAD_SETTINGS = _Spec(
        "CF404", 400, "settings have faults", "Correct every fault listed."
    )
    STORE_DAMAGED = _Spec(
        "CF501",
        500,
        "the data folder is damaged",
        "Move the folder away and start with an empty one: the box joins anew.",
    )
    STORE_FAILED = _Spec(
        "CF502",
        500,
        "the data folder cannot be written or synced",
        "Free space or replace the disk, then start the box again.",
    )
    BAD_FRAME = _Spec(
        "CF601",
        400,
        "a message between boxes is malformed or foreign",
        "Run the same cluster name and a compatible version on both boxes.",
    )

    @property
    def code(self) -> str:
        """The code, which never changes."""
        return self.value.code

    @property
    def status(self) -> int:
        """The HTTP status of a response with this error."""
        return self.value.status

    @property
    def title(self) -> str:
        """A short description of the kind."""
        return self.value.title

    @property
    def remedy(self) -> str:
        """What the caller or operator can do about the error."""
        return self.value.remedy

    @classmethod
    def from_code(cls, code: str) -> "ErrorKind":
        """Returns the kind with the given code.

        Raises:
            KeyError: no kind has that code.
        """
        return _BY_CODE[code]


_BY_CODE = {kind.code: kind for kind in ErrorKind}


class Problem:
    """An error as reported to a caller.

    Attributes:
        kind: kind of the error.
        detail: explanation of this case, for a person; "" for none.
        ran: whether any task of the request was started.
        retry_after_ms: time after which to retry, in ms; None if a retry does
            not help.
    """

    __slots__ = ("detail", "kind", "ran", "retry_after_ms")

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        ran: Ran = Ran.NO,
        retry_after_ms: int | None = None,
    ):
        self.kind = kind
        self.detail = detail
        self.ran = ran
        self.retry_after_ms = retry_after_ms


class ClayfieldError(Exception):
    """Base class of the errors that clayfield raises.

    Attributes:
        problem: the error as reported to a caller.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        ran: Ran = Ran.NO,
        retry_after_ms: int | None = None,
    ):
        self.problem = Problem(kind, detail, ran, retry_after_ms)
        super().__init__(
            f"{kind.code} {kind.title}: {detail} Remedy: {kind.remedy}"
        )

    @property
    def kind(self) -> ErrorKind:
        """Kind of the error."""
        return self.problem.kind
