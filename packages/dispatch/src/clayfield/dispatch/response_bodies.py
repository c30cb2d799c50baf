"""Encodes the bodies of final answers.

A body is encoded once, so that every request for the answer gets the same
bytes.
"""

import math

import msgspec

from clayfield.base import Problem, Ran
from clayfield.wire.messages import Outcome

MS_PER_S = 1000
PROBLEM_BASE = "urn:clayfield:problem:"


class Answers(msgspec.Struct, frozen=True):
    """The body of a successful answer.

    Attributes:
        answers: one answer per task, in task order.
    """

    answers: list[msgspec.Raw]


class ProblemBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A problem document as of RFC 9457, with extension members.

    Attributes:
        type: URN of the kind of problem.
        title: the kind of problem in a few words.
        status: HTTP status.
        code: stable error code.
        ran: whether any task was started: "no", "maybe" or "yes".
        remedy: what the caller can do.
        detail: the particulars; "" for none.
        retry_after_ms: time after which to retry, in ms; None if a retry does
            not help.
    """

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
    """Returns the outcome of a submission whose tasks all answered."""
    body = Answers([msgspec.Raw(answer) for answer in answers])
    return Outcome(200, _encoder.encode(body))


def render_problem(problem: Problem) -> Outcome:
    """Returns the outcome that reports a problem."""
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


def parse_problem(body: bytes) -> ProblemBody:
    """Decodes a body that `render_problem` encoded."""
    return _problem_decoder.decode(body)


def retry_after_s(retry_after_ms: int) -> int:
    """Returns the value of a Retry-After header: seconds, rounded up."""
    return max(1, math.ceil(retry_after_ms / MS_PER_S))


def is_final(outcome: Outcome) -> bool:
    """Returns whether an outcome is recorded for its key.

    A problem with `ran` = "no" is not recorded; the key can be used again.
    """
    if outcome.status == 200:
        return True
    return parse_problem(outcome.body).ran != Ran.NO
