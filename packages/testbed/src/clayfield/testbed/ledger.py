"""Writes down what happened and checks it against the brief's promises."""

import collections

import msgspec

from clayfield.base import Ran
from clayfield.dispatch import read_problem
from clayfield.wire.messages import Outcome

TWICE = "starts_at_most_once"
PARTIAL = "complete_or_failed"
CROSSED = "own_whole_answer"
DID_RUN = "did_not_run_is_true"
LEAVING = "leaving_gets_nothing_new"
CUT_SHORT = "planned_stop_cuts_nothing"
REVERTED = "configuration_never_reverts"
FORKED = "one_configuration_a_version"
SAME_BYTES = "same_answer_every_time"
DEPOSED = "return_deposes_nobody"
PROMISES = (
    TWICE,
    PARTIAL,
    CROSSED,
    DID_RUN,
    LEAVING,
    CUT_SHORT,
    REVERTED,
    FORKED,
    SAME_BYTES,
    DEPOSED,
)


class ViolationError(AssertionError):
    """A promise was broken."""

    def __init__(self, promise: str, detail: str):
        super().__init__(f"{promise}: {detail}")
        self.promise = promise


class Ledger:
    """What callers sent and got, and what workers started.

    Attributes:
        starts: (key, task) to the workers that started it.
        checked: how often each promise was put to the test.
        violations: how often each was broken.
        may_repeat: keys whose lost tasks may start again.
        is_strict: raise at the first violation.
    """

    def __init__(self, is_strict: bool = True):
        self.starts: dict[tuple[str, int], list[str]] = {}
        self.checked: collections.Counter[str] = collections.Counter()
        self.violations: collections.Counter[str] = collections.Counter()
        self.is_strict = is_strict
        self.may_repeat: set[str] = set()
        self._started_keys: collections.Counter[str] = collections.Counter()
        self._tasks: dict[str, list[bytes]] = {}
        self._answers: dict[str, bytes] = {}
        self._says_not_run: dict[str, int] = {}
        self._open: collections.Counter[str] = collections.Counter()
        self._versions: dict[int, bytes] = {}
        self._in_force: dict[str, int] = {}

    def on_submit(self, key: str, tasks: list[bytes]) -> None:
        """Notes that a caller sends a submission."""
        self._tasks[key] = tasks
        self._open[key] += 1
        self._says_not_run.pop(key, None)

    def on_start(self, key: str, task: int, worker: str) -> None:
        """Notes that a worker starts a task."""
        workers = self.starts.setdefault((key, task), [])
        workers.append(worker)
        self._started_keys[key] += 1
        if key not in self.may_repeat:
            is_first = len(workers) == 1
            self._check(TWICE, is_first, f"{key}[{task}] at {workers}")
        self._check(
            DID_RUN,
            key not in self._says_not_run,
            f"{key} started after it was said not to run",
        )

    def on_answer(self, key: str, outcome: Outcome) -> None:
        """Notes that a caller gets an answer."""
        self._open[key] -= 1
        if outcome.status == 200:
            self._on_complete(key, outcome.body)
            return
        problem = read_problem(outcome.body)
        if problem.ran == Ran.NO:
            count = self._started_keys[key]
            self._check(
                DID_RUN,
                not count,
                f"{key} had {count} starts: {outcome.body.decode()}",
            )
            if not self._open[key]:
                self._says_not_run[key] = 1

    def _on_complete(self, key: str, body: bytes) -> None:
        answers = msgspec.json.decode(body)["answers"]
        wanted = [msgspec.json.decode(task) for task in self._tasks[key]]
        self._check(
            PARTIAL, len(answers) == len(wanted), f"{key}: {len(answers)}"
        )
        self._check(CROSSED, answers == wanted, f"{key}: {answers}")
        known = self._answers.setdefault(key, body)
        self._check(SAME_BYTES, known == body, key)

    def on_leaving_start(self, worker: str, seen_for_ms: float) -> None:
        """Notes a start at a worker that the boxes saw leaving."""
        self._check(LEAVING, seen_for_ms <= 2000, f"{worker}: {seen_for_ms} ms")

    def on_planned_stop_answer(self, key: str, is_whole: bool) -> None:
        """Notes the answer to a request in flight at a planned stop."""
        self._check(CUT_SHORT, is_whole, key)

    def on_in_force(self, node: str, version: int, digest: bytes) -> None:
        """Notes that a version comes into force at a node."""
        before = self._in_force.get(node, 0)
        self._check(REVERTED, version > before, f"{node}: {before}→{version}")
        self._in_force[node] = version
        self.on_accepted(version, digest)

    def on_accepted(self, version: int, digest: bytes) -> None:
        """Notes that a version was accepted with a content."""
        known = self._versions.setdefault(version, digest)
        self._check(FORKED, known == digest, f"version {version}")

    def on_return(self, terms_before: dict, terms_after: dict) -> None:
        """Notes the leaders' terms around a node's return from silence."""
        self._check(
            DEPOSED,
            terms_before == terms_after,
            f"{terms_before} → {terms_after}",
        )

    def _check(self, promise: str, holds: bool, detail: str) -> None:
        self.checked[promise] += 1
        if holds:
            return
        self.violations[promise] += 1
        if self.is_strict:
            raise ViolationError(promise, detail)
