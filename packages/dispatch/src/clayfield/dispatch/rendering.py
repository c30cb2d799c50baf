"""The bodies of final answers, so that every fetch gives the same bytes."""

import math

import msgspec

from clayfield.base import Problem, Ran
from clayfield.wire.messages import Outcome

MS_PER_S = 1000
PROBLEM_BASE = "urn:clayfield:problem:"


class Answers(msgspec.Struct, frozen=True):
    """The body of a complete answer: one answer a task, in task order."""

    answers: list[msgspec.Raw]


class ProblemBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A problem document after RFC 9457, with the project's members."""

    type: str
    title: str
    status: int
    code: str
    ran: str
    remedy: str
    detail: str = ""
    retry_after_ms: int | None = None


_encoder = msgspec.json.Encoder()
_problem_decoder = msgspec.json.Decoder(ProblemBody)


def render_answers(answers: list[bytes]) -> Outcome:
    """Returns the outcome of a submission all of whose tasks answered."""
    body = Answers([msgspec.Raw(answer) for answer in answers])
    return Outcome(200, _encoder.encode(body))


def render_problem(problem: Problem) -> Outcome:
    """Returns the outcome that tells a problem."""
    kind = problem.kind
    body = ProblemBody(
        PROBLEM_BASE + kind.code.lower(),
        kind.title,
        kind.status,
        kind.code,
        problem.ran.value,
        kind.remedy,
        problem.detail,
        problem.retry_after_ms,
    )
    return Outcome(kind.status, _encoder.encode(body))


def read_problem(body: bytes) -> ProblemBody:
    """Returns the problem that `render_problem` wrote."""
    return _problem_decoder.decode(body)


def retry_after_s(retry_after_ms: int) -> int:
    """Returns whole seconds, rounded up, for a Retry-After header."""
    return max(1, math.ceil(retry_after_ms / MS_PER_S))


def is_final(outcome: Outcome) -> bool:
    """Tells whether an outcome is kept: not when nothing ran."""
    if outcome.status == 200:
        return True
    return read_problem(outcome.body).ran != Ran.NO
