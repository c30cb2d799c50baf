"""The callers' interface: submissions over HTTP."""

from collections.abc import Callable
from typing import Annotated

import msgspec
from twisted.web import http, resource, server

from clayfield.base import ClayfieldError, Kind, Problem, Ran
from clayfield.box import BoxCore
from clayfield.config import Configuration
from clayfield.daemon.http import (
    HTTP_OK,
    JSON_TYPE,
    PROBLEM_TYPE,
    Endpoint,
    read_json,
    token_hash,
    write_json,
)
from clayfield.daemon.tracing import Tracing
from clayfield.dispatch import JobRequest, read_problem, retry_after_s
from clayfield.state import owned_key
from clayfield.wire.messages import Outcome

MAX_KEY = 200
MAX_DEADLINE_MS = 86_400_000
TRUE = "true"
FIRST_HEADER = "clayfield-first-send"
RETRY_AFTER_MS = 500


class SubmissionBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a submission; docs/api.md explains each field."""

    member: str
    tasks: Annotated[list[msgspec.Raw], msgspec.Meta(min_length=1)]
    job: str = ""
    service: str = ""
    priority: str = ""
    repeatable: bool | None = None
    deadline_ms: (
        Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)] | None
    ) = None


class SubmissionState(msgspec.Struct, frozen=True):
    """The state of a submission, as `GET` tells it."""

    key: str
    state: str


_decoder = msgspec.json.Decoder(SubmissionBody)


class Waiter:
    """A caller that waits for the answer of a submission."""

    __slots__ = ("_request", "is_gone")

    def __init__(self, request: http.Request):
        self._request = request
        self.is_gone = False

    def on_gone(self, reason: object) -> None:
        """Learns that the caller hung up."""
        self.is_gone = True

    def answer(self, outcome: Outcome) -> None:
        """Writes the answer, unless the caller is gone."""
        if self.is_gone:
            return
        request = self._request
        is_whole = outcome.status == HTTP_OK
        request.setResponseCode(outcome.status)
        request.setHeader(
            b"content-type", JSON_TYPE if is_whole else PROBLEM_TYPE
        )
        if not is_whole:
            retry_ms = read_problem(outcome.body).retry_after_ms
            if retry_ms is not None:
                after_s = str(retry_after_s(retry_ms))
                request.setHeader(b"retry-after", after_s.encode())
        request.setHeader(b"content-length", str(len(outcome.body)).encode())
        request.write(outcome.body)
        request.finish()


class Callers:
    """What the resources for callers share."""

    def __init__(
        self, core: BoxCore, tracing: Tracing, kick: Callable[[], None]
    ):
        """Puts them together.

        Args:
            core: the box's decisions.
            tracing: the box's spans.
            kick: has the decisions carried out.
        """
        self.core = core
        self.kick = kick
        self.tracing = tracing
        self._members: dict[str, str] = {}
        self._members_version = -1

    @property
    def cfg(self) -> Configuration:
        """The configuration in force."""
        return self.core.cfg

    def check_ready(self, is_first: bool) -> None:
        """Checks that there is a configuration to judge a request by.

        Raises:
            ClayfieldError: of kind NOT_READY.
        """
        if not self.cfg.version:
            ran = Ran.NO if is_first else Ran.MAYBE
            raise ClayfieldError(Kind.NOT_READY, "", ran, RETRY_AFTER_MS)

    def member_of(self, request: http.Request) -> str:
        """Returns the member that a request's token belongs to.

        Raises:
            ClayfieldError: of kind UNAUTHENTICATED.
        """
        if self._members_version != self.cfg.version:
            self._members_version = self.cfg.version
            self._members = {
                token: name
                for name, member in self.cfg.members.items()
                for token in member.tokens
            }
        member = self._members.get(token_hash(request))
        if member is None:
            raise ClayfieldError(Kind.UNAUTHENTICATED)
        return member


def make_root(callers: Callers) -> resource.Resource:
    """Returns the resources under `/v1/submissions`."""
    return _Submissions(callers)


class _Submissions(resource.Resource):
    def __init__(self, callers: Callers):
        super().__init__()
        self._callers = callers
        self._post = _Post(callers)

    def getChild(  # noqa: N802
        self, path: bytes, request: http.Request
    ) -> resource.Resource:
        rest = [path, *request.postpath]
        request.postpath = []
        key = b"/".join(rest).decode("utf-8", "replace")
        return _State(self._callers, key) if key else self._post

    def render(self, request: http.Request) -> bytes | int:
        return self._post.render(request)


class _Post(Endpoint):
    def __init__(self, callers: Callers):
        super().__init__()
        self._callers = callers

    def render_POST(self, request: http.Request) -> int:  # noqa: N802
        """Takes a submission; answers when it has ended."""
        is_first = request.getHeader(FIRST_HEADER) == TRUE
        self._callers.check_ready(is_first)
        member = self._callers.member_of(request)
        key = check_key(request.getHeader("idempotency-key"))
        body = request.content.read()
        wanted = read_json(body, _decoder)
        if wanted.member != member:
            raise ClayfieldError(Kind.FORBIDDEN, f"Member {wanted.member!r}.")
        wanted, refusal = fill_in(wanted, self._callers.cfg)
        self._submit(request, key, body, wanted, is_first, refusal)
        return server.NOT_DONE_YET

    def _submit(
        self,
        request: http.Request,
        key: str,
        body: bytes,
        wanted: SubmissionBody,
        is_first: bool,
        refusal: Problem | None,
    ) -> None:
        core = self._callers.core
        waiter = Waiter(request)
        traceparent = self._callers.tracing.begin(
            key, request.getHeader("traceparent") or ""
        )
        request.notifyFinish().addErrback(
            self._on_hung_up, waiter, owned_key(wanted.member, key)
        )
        core.submit(
            JobRequest(
                wanted.member,
                key,
                body,
                wanted.service,
                wanted.priority,
                [bytes(task) for task in wanted.tasks],
                bool(wanted.repeatable),
                float(wanted.deadline_ms or 0),
                is_first,
                traceparent,
                refusal,
            ),
            waiter,
        )
        self._callers.kick()

    def _on_hung_up(self, reason: object, waiter: Waiter, key: str) -> None:
        waiter.is_gone = True
        self._callers.core.entry.drop_waiter(key, waiter)


class LookupWaiter(Waiter):
    """A caller that asks for the state of a key."""

    __slots__ = ("_key",)

    def __init__(self, request: http.Request, key: str):
        super().__init__(request)
        self._key = key

    def tell(self, state: str) -> None:
        """Writes the state of a key that has no answer yet."""
        if self.is_gone:
            return
        body = write_json(self._request, SubmissionState(self._key, state))
        self._request.write(body)
        self._request.finish()


class _State(Endpoint):
    def __init__(self, callers: Callers, key: str):
        super().__init__()
        self._callers = callers
        self._key = key

    def render_GET(self, request: http.Request) -> int:  # noqa: N802
        """Tells the state of a key, or gives its answer."""
        member = self._callers.member_of(request)
        waiter = LookupWaiter(request, check_key(self._key))
        request.notifyFinish().addErrback(waiter.on_gone)
        self._callers.core.look_up(member, self._key, waiter)
        self._callers.kick()
        return server.NOT_DONE_YET


def check_key(key: str | None) -> str:
    """Returns a caller's key.

    Raises:
        ClayfieldError: of kind BAD_KEY.
    """
    is_sound = (
        key is not None
        and 0 < len(key) <= MAX_KEY
        and key.isascii()
        and key.isprintable()
    )
    if not is_sound:
        raise ClayfieldError(Kind.BAD_KEY, f"It is {key!r}.")
    return key


def fill_in(
    wanted: SubmissionBody, cfg: Configuration
) -> tuple[SubmissionBody, Problem | None]:
    """Returns a submission with its job's defaults, and why it cannot run.

    The reason is a part of the result, not raised: under an earlier
    configuration the same key may have run, and only the registry knows.
    """
    if wanted.job:
        job = cfg.jobs.get(wanted.job)
        if job is None:
            return wanted, Problem(Kind.NOT_FOUND, f"Job {wanted.job!r}.")
        wanted = msgspec.structs.replace(
            wanted,
            service=wanted.service or job.service,
            priority=wanted.priority or job.priority,
            repeatable=(
                job.repeatable
                if wanted.repeatable is None
                else wanted.repeatable
            ),
            deadline_ms=wanted.deadline_ms or job.deadline_ms or None,
        )
    most = cfg.limits.tasks_per_job
    if len(wanted.tasks) > most:
        detail = f"{len(wanted.tasks)} tasks, tasks_per_job {most}."
        return wanted, Problem(Kind.TOO_LARGE, detail)
    return wanted, None
