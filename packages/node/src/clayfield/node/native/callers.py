"""The native HTTP protocol for callers.

PUT or POST on `/v1/queues/QUEUE/jobs/KEY` submits a job, GET returns the
state of a kept job and DELETE cancels a job. GET on `/v1/queues/QUEUE`
returns the number of waiting jobs.
"""

import math
import re

import msgspec

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.node.httpserver import HttpRequest
from clayfield.node.interfaces import (
    CallerCall,
    CallerProtocol,
    CancelCall,
    CountCall,
    HttpReply,
    StateCall,
    SubmitCall,
)
from clayfield.pool import Routes
from clayfield.wire.checks import DECODE_ERRORS, find_job_error
from clayfield.wire.cluster import JobEnded, JobStateReply
from clayfield.wire.jobs import (
    MAX_TASKS,
    Job,
    JobState,
    Reason,
    Route,
    Schedule,
    Step,
    Verdict,
)

MS_PER_S = 1000.0
FIRST_RETRY_MS = 1000.0
MAX_SPEC_BYTES = 4000
_PATH = re.compile(r"/v1/queues/[^/]+(/jobs/(?P<key>[A-Za-z0-9_-]{1,64}))?/?")
_KINDS_BY_REASON = {
    Reason.TOO_LATE: ErrorKind.QUEUE_FULL,
    Reason.TOO_MANY: ErrorKind.QUEUE_FULL,
    Reason.NOT_STORED: ErrorKind.NO_WORKER,
    Reason.NO_WORKER: ErrorKind.NO_WORKER,
    Reason.NO_HOLDER: ErrorKind.NO_WORKER,
    Reason.STOPPING: ErrorKind.STOPPING,
}


class _Step(msgspec.Struct, forbid_unknown_fields=True):
    count: int
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    requires: str = ""
    rack: str = ""
    max_per_worker: int = 0
    checkpointing: bool = False
    gang: bool = False
    one_rack: bool = False
    lasting: bool = False
    target_ms: float = 0.0
    fills: bool = False


class _Submission(msgspec.Struct, forbid_unknown_fields=True):
    spec: str
    steps: list[_Step]
    timeout_ms: float = 0.0
    keep: bool = False
    schedule: Schedule | None = None


class _Outcome(msgspec.Struct):
    verdict: str


class _State(msgspec.Struct):
    state: JobState


class _Count(msgspec.Struct):
    open_jobs: int


class _Problem(msgspec.Struct):
    code: str
    title: str
    detail: str
    remedy: str


_decoder = msgspec.json.Decoder(_Submission)


class NativeCallers(CallerProtocol):
    """Decodes callers' requests; the path names the queue."""

    header_names = ("host",)

    def read_call(self, request: HttpRequest, routes: Routes) -> CallerCall:
        """Returns the decoded call, or the response to an invalid request."""
        if not routes.version:
            return _problem(ErrorKind.NOT_READY, "", FIRST_RETRY_MS)
        path = request.path.partition("?")[0]
        matched = _PATH.fullmatch(path)
        host = request.headers.get("host", "")
        # The prefix of a queue ends with a slash, its own path may lack it.
        full_path = f"{path.removesuffix('/')}/"
        route = routes.find(host, full_path) or routes.find("", full_path)
        if matched is None or route is None:
            return _problem(ErrorKind.NOT_FOUND, path)
        key = matched.group("key")
        if key is None:
            return CountCall(route.name)
        try:
            return _read_job_call(request, route, key)
        except ClayfieldError as exc:
            return _problem(exc.kind, exc.problem.detail)

    def write_job_reply(self, ended: JobEnded) -> HttpReply:
        """Returns the response to the caller of a job."""
        match ended.verdict:
            case Verdict.COMPLETED | Verdict.FAILED:
                outcome = _Outcome(ended.verdict.name.lower())
                return HttpReply(200, msgspec.json.encode(outcome))
            case Verdict.ACCEPTED:
                return HttpReply(202, msgspec.json.encode(_Outcome("accepted")))
            case Verdict.CANCELLED:
                return _problem(ErrorKind.NOT_FOUND, "The job was cancelled.")
            case Verdict.REFUSED:
                kind = _KINDS_BY_REASON.get(ended.reason, ErrorKind.DEADLINE)
                return _problem(kind, ended.reason, ended.retry_after_ms)
        return _problem(ErrorKind.TASK_LOST, ended.reason)

    def write_cancel_reply(self, is_found: bool | None) -> HttpReply:
        """Returns the response to a cancel request."""
        if is_found is None:
            return _problem(
                ErrorKind.NO_WORKER, Reason.NO_HOLDER, FIRST_RETRY_MS
            )
        return HttpReply(200) if is_found else _problem(ErrorKind.NOT_FOUND, "")

    def write_state_reply(self, reply: JobStateReply | None) -> HttpReply:
        """Returns the response with the state of a kept job."""
        if reply is None or not reply.is_authoritative:
            return _problem(
                ErrorKind.NO_WORKER, Reason.NO_HOLDER, FIRST_RETRY_MS
            )
        if reply.state is None:
            return _problem(ErrorKind.NOT_FOUND, "No such job is kept.")
        return HttpReply(200, msgspec.json.encode(_State(reply.state)))

    def write_count_reply(self, waiting: int) -> HttpReply:
        """Returns the response with the number of waiting jobs."""
        return HttpReply(200, msgspec.json.encode(_Count(waiting)))


def _read_job_call(request: HttpRequest, route: Route, key: str) -> CallerCall:
    match request.method:
        case "PUT" | "POST":
            return SubmitCall(_read_job(request.body, route, key))
        case "DELETE":
            return CancelCall(key)
        case "GET":
            return StateCall(key)
    raise ClayfieldError(
        ErrorKind.NOT_FOUND, f"{request.method} is not served."
    )


def _read_job(content: bytes, route: Route, key: str) -> Job:
    """Returns the job in a request body.

    Raises:
        ClayfieldError: of kind BAD_JSON, BAD_FIELD or TOO_LARGE.
    """
    try:
        body = _decoder.decode(content)
    except msgspec.ValidationError as exc:
        raise ClayfieldError(ErrorKind.BAD_FIELD, f"{exc}.") from exc
    except DECODE_ERRORS as exc:
        raise ClayfieldError(ErrorKind.BAD_JSON, f"{exc}.") from exc
    if len(body.spec.encode()) > MAX_SPEC_BYTES:
        raise ClayfieldError(
            ErrorKind.TOO_LARGE, f"spec over {MAX_SPEC_BYTES}."
        )
    steps = tuple(_to_step(step) for step in body.steps)
    _check_schedule(body.schedule)
    timeout_ms = body.timeout_ms or route.timeout_ms
    job = route.make_job(
        key, body.spec, steps, timeout_ms, body.keep, body.schedule
    )
    error = find_job_error(job)
    if error:
        raise ClayfieldError(ErrorKind.BAD_FIELD, error)
    if job.task_count > MAX_TASKS:
        raise ClayfieldError(ErrorKind.TOO_LARGE, f"over {MAX_TASKS} tasks.")
    return job


def _check_schedule(schedule: Schedule | None) -> None:
    if schedule is None:
        return
    if schedule.repeats < 1 or schedule.interval_ms < 0:
        raise ClayfieldError(
            ErrorKind.BAD_FIELD,
            "schedule: repeats is not above 0, or interval_ms is below 0.",
        )


def _to_step(step: _Step) -> Step:
    return Step(
        step.count,
        step.cpu,
        step.memory_mb,
        step.gpu,
        step.estimate_ms,
        step.after,
        step.requires,
        step.rack,
        step.max_per_worker,
        is_checkpointing=step.checkpointing,
        is_gang=step.gang,
        prefers_one_rack=step.one_rack,
        is_long_running=step.lasting,
        target_ms=step.target_ms,
        is_batch=step.fills,
    )


def _problem(kind: ErrorKind, detail: str, retry_ms: float = 0.0) -> HttpReply:
    body = _Problem(kind.code, kind.title, str(detail), kind.remedy)
    headers: tuple[tuple[str, str], ...] = ()
    if retry_ms:
        after_s = max(1, math.ceil(retry_ms / MS_PER_S))
        headers = (("Retry-After", str(after_s)),)
    return HttpReply(kind.status, msgspec.json.encode(body), headers)
