"""HTTP interface for callers: `/v1/submissions`."""

from collections.abc import Callable
from typing import Annotated

import msgspec
from twisted.web import http, resource, server

from clayfield.base import ClayfieldError, ErrorKind, Problem, Ran
from clayfield.box import BoxCore
from clayfield.config import Configuration
from clayfield.daemon.http import (
    HTTP_OK,
    JSON_TYPE,
    PROBLEM_TYPE,
    ProblemResource,
    read_json,
    token_hash,
    write_json,
)
from clayfield.daemon.tracing import Tracing
from clayfield.dispatch import JobRequest, parse_problem, retry_after_s
from clayfield.state import member_key
from clayfield.wire.messages import Outcome

MAX_KEY_LENGTH = 200
MAX_DEADLINE_MS = 86_400_000
TRUE = "true"
FIRST_SEND_HEADER = "clayfield-first-send"
RETRY_AFTER_MS = 500


class SubmissionBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a submission.

    Attributes:
        member: the member that submits.
        tasks: payload of each task, passed to the worker as it is.
        job: name of a configured job whose values are the defaults of the
            fields below, or "".
        service: the service whose workers run the tasks.
        priority: name of the priority class.
        repeatable: whether a task may run more than once.
        deadline_ms: time limit for the response, in ms; None if the
            caller sets none.
    """

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
    """Response body for the state of a submission without an answer."""

    key: str
    state: str


_decoder = msgspec.json.Decoder(SubmissionBody)


class Waiter:
    """A request whose response is sent when its submission ends.

    Attributes:
        is_disconnected: whether the caller has disconnected.
    """

    __slots__ = ("_request", "is_disconnected")

    def __init__(self, request: http.Request):
        self._request = request
        self.is_disconnected = False

    def on_disconnected(self, reason: object) -> None:
        """Records that the caller disconnected."""
        self.is_disconnected = True

    def send_answer(self, outcome: Outcome) -> None:
        """Sends the response, unless the caller has disconnected."""
        if self.is_disconnected:
            return
        request = self._request
        is_success = outcome.status == HTTP_OK
        request.setResponseCode(outcome.status)
        request.setHeader(
            b"content-type", JSON_TYPE if is_success else PROBLEM_TYPE
        )
        if not is_success:
            retry_ms = parse_problem(outcome.body).retry_after_ms
            if retry_ms is not None:
                after_s = str(retry_after_s(retry_ms))
                request.setHeader(b"retry-after", after_s.encode())
        request.setHeader(b"content-length", str(len(outcome.body)).encode())
        request.write(outcome.body)
        request.finish()


class Callers:
    """State shared by the HTTP resources for callers.

    Attributes:
        core: the state machine of the box.
        schedule_actions: schedules the pending actions of `core`.
        tracing: the spans of this box's submissions.
    """

    def __init__(
        self,
        core: BoxCore,
        tracing: Tracing,
        schedule_actions: Callable[[], None],
    ):
        self.core = core
        self.schedule_actions = schedule_actions
        self.tracing = tracing
        self._members: dict[str, str] = {}
        self._members_version = -1

    @property
    def cfg(self) -> Configuration:
        """The configuration in force."""
        return self.core.cfg

    def check_ready(self, is_first_attempt: bool) -> None:
        """Checks that the box has a configuration.

        Args:
            is_first_attempt: whether the caller never sent the submission
                before.

        Raises:
            ClayfieldError: of kind NOT_READY.
        """
        if not self.cfg.version:
            ran = Ran.NO if is_first_attempt else Ran.MAYBE
            raise ClayfieldError(ErrorKind.NOT_READY, "", ran, RETRY_AFTER_MS)

    def authenticate(self, request: http.Request) -> str:
        """Returns the member that the bearer token of a request belongs to.

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
            raise ClayfieldError(ErrorKind.UNAUTHENTICATED)
        return member


def make_root(callers: Callers) -> resource.Resource:
    """Returns the resource to serve at `/v1/submissions`."""
    return _SubmissionsResource(callers)


class _SubmissionsResource(resource.Resource):
    def __init__(self, callers: Callers):
        super().__init__()
        self._callers = callers
        self._submit_resource = _SubmitResource(callers)

    def getChild(  # noqa: N802
        self, path: bytes, request: http.Request
    ) -> resource.Resource:
        segments = [path, *request.postpath]
        request.postpath = []
        key = b"/".join(segments).decode("utf-8", "replace")
        return (
            _StateResource(self._callers, key) if key else self._submit_resource
        )

    def render(self, request: http.Request) -> bytes | int:
        return self._submit_resource.render(request)


class _SubmitResource(ProblemResource):
    def __init__(self, callers: Callers):
        super().__init__()
        self._callers = callers

    def render_POST(self, request: http.Request) -> int:  # noqa: N802
        """Accepts a submission; the response is sent when it ends."""
        is_first_attempt = request.getHeader(FIRST_SEND_HEADER) == TRUE
        self._callers.check_ready(is_first_attempt)
        member = self._callers.authenticate(request)
        key = check_key(request.getHeader("idempotency-key"))
        body = request.content.read()
        submission = read_json(body, _decoder)
        if submission.member != member:
            raise ClayfieldError(
                ErrorKind.FORBIDDEN,
                f"Member {submission.member!r}.",
            )
        submission, refusal = apply_job_defaults(submission, self._callers.cfg)
        self._submit(request, key, body, submission, is_first_attempt, refusal)
        return server.NOT_DONE_YET

    def _submit(
        self,
        request: http.Request,
        key: str,
        body: bytes,
        submission: SubmissionBody,
        is_first_attempt: bool,
        refusal: Problem | None,
    ) -> None:
        core = self._callers.core
        waiter = Waiter(request)
        traceparent = self._callers.tracing.start_submission(
            key, request.getHeader("traceparent") or ""
        )
        request.notifyFinish().addErrback(
            self._on_disconnected, waiter, member_key(submission.member, key)
        )
        core.submit(
            JobRequest(
                submission.member,
                key,
                body,
                submission.service,
                submission.priority,
                [bytes(task) for task in submission.tasks],
                bool(submission.repeatable),
                float(submission.deadline_ms or 0),
                is_first_attempt,
                traceparent,
                refusal,
            ),
            waiter,
        )
        self._callers.schedule_actions()

    def _on_disconnected(
        self, reason: object, waiter: Waiter, key: str
    ) -> None:
        waiter.is_disconnected = True
        self._callers.core.submissions.remove_waiter(key, waiter)


class LookupWaiter(Waiter):
    """A request for the state or the answer of a key."""

    __slots__ = ("_key",)

    def __init__(self, request: http.Request, key: str):
        super().__init__(request)
        self._key = key

    def send_state(self, state: str) -> None:
        """Sends the state of a submission that has no answer yet."""
        if self.is_disconnected:
            return
        body = write_json(self._request, SubmissionState(self._key, state))
        self._request.write(body)
        self._request.finish()


class _StateResource(ProblemResource):
    def __init__(self, callers: Callers, key: str):
        super().__init__()
        self._callers = callers
        self._key = key

    def render_GET(self, request: http.Request) -> int:  # noqa: N802
        """Sends the answer of a key's submission, or its state."""
        member = self._callers.authenticate(request)
        waiter = LookupWaiter(request, check_key(self._key))
        request.notifyFinish().addErrback(waiter.on_disconnected)
        self._callers.core.look_up_key(member, self._key, waiter)
        self._callers.schedule_actions()
        return server.NOT_DONE_YET


def check_key(key: str | None) -> str:
    """Returns an idempotency key if it is valid.

    Raises:
        ClayfieldError: of kind BAD_KEY, when it is missing, empty, too long or
            not printable ASCII.
    """
    is_valid = (
        key is not None
        and 0 < len(key) <= MAX_KEY_LENGTH
        and key.isascii()
        and key.isprintable()
    )
    if not is_valid:
        raise ClayfieldError(ErrorKind.BAD_KEY, f"It is {key!r}.")
    return key


def apply_job_defaults(
    submission: SubmissionBody, cfg: Configuration
) -> tuple[SubmissionBody, Problem | None]:
    """Returns a submission with its job's defaults, and why it is refused.

    The refusal is None if the submission may run. It is returned, not raised,
    because the key may have been accepted under an earlier configuration; the
    key's claim in the registry decides.
    """
    if submission.job:
        job = cfg.jobs.get(submission.job)
        if job is None:
            return submission, Problem(
                ErrorKind.NOT_FOUND, f"Job {submission.job!r}."
            )
        submission = msgspec.structs.replace(
            submission,
            service=submission.service or job.service,
            priority=submission.priority or job.priority,
            repeatable=(
                job.repeatable
                if submission.repeatable is None
                else submission.repeatable
            ),
            deadline_ms=submission.deadline_ms or job.deadline_ms or None,
        )
    max_tasks = cfg.limits.tasks_per_job
    if len(submission.tasks) > max_tasks:
        detail = f"{len(submission.tasks)} tasks, tasks_per_job {max_tasks}."
        return submission, Problem(ErrorKind.TOO_LARGE, detail)
    return submission, None
