"""Checks the invariants of a simulated site.

The callers and workers of a site report what they send, start and get. Each
report is checked against the invariants, whose names are the constants below.
"""

import collections

import msgspec

from clayfield.base import Ran
from clayfield.dispatch import parse_problem
from clayfield.wire.messages import Outcome

AT_MOST_ONCE = "starts_at_most_once"
COMPLETE_ANSWER = "complete_or_failed"
OWN_ANSWER = "own_whole_answer"
DID_NOT_RUN = "did_not_run_is_true"
NO_START_WHEN_LEAVING = "leaving_gets_nothing_new"
PLANNED_STOP = "planned_stop_cuts_nothing"
VERSION_RISES = "configuration_never_reverts"
UNIQUE_VERSION = "one_configuration_a_version"
SAME_ANSWER = "same_answer_every_time"
LEADER_KEPT = "return_deposes_nobody"
INVARIANTS = (
    AT_MOST_ONCE,
    COMPLETE_ANSWER,
    OWN_ANSWER,
    DID_NOT_RUN,
    NO_START_WHEN_LEAVING,
    PLANNED_STOP,
    VERSION_RISES,
    UNIQUE_VERSION,
    SAME_ANSWER,
    LEADER_KEPT,
)


class ViolationError(AssertionError):
    """An invariant was violated.

    Attributes:
        invariant: name of the invariant.
    """

    def __init__(self, invariant: str, detail: str):
        super().__init__(f"{invariant}: {detail}")
        self.invariant = invariant


class InvariantChecker:
    """Records the requests, answers and starts, and checks the invariants.

    Attributes:
        starts: names of the workers that started a task, by key and number of
            the task.
        check_counts: number of checks, by invariant.
        violation_counts: number of violations, by invariant.
        may_repeat: keys of the jobs whose lost tasks may be started again.
        is_strict: whether the first violation raises an error.
    """

    def __init__(self, is_strict: bool = True):
        self.starts: dict[tuple[str, int], list[str]] = {}
        self.check_counts: collections.Counter[str] = collections.Counter()
        self.violation_counts: collections.Counter[str] = collections.Counter()
        self.is_strict = is_strict
        self.may_repeat: set[str] = set()
        self._started_keys: collections.Counter[str] = collections.Counter()
        self._tasks: dict[str, list[bytes]] = {}
        self._answers: dict[str, bytes] = {}
        self._reported_not_run: dict[str, int] = {}
        self._open_requests: collections.Counter[str] = collections.Counter()
        self._versions: dict[int, bytes] = {}
        self._active_versions: dict[str, int] = {}

    def on_submit(self, key: str, tasks: list[bytes]) -> None:
        """Records that a caller submits a job."""
        self._tasks[key] = tasks
        self._open_requests[key] += 1
        self._reported_not_run.pop(key, None)

    def on_start(self, key: str, task: int, worker: str) -> None:
        """Records that a worker starts a task."""
        workers = self.starts.setdefault((key, task), [])
        workers.append(worker)
        self._started_keys[key] += 1
        if key not in self.may_repeat:
            is_first = len(workers) == 1
            self._check(AT_MOST_ONCE, is_first, f"{key}[{task}] at {workers}")
        self._check(
            DID_NOT_RUN,
            key not in self._reported_not_run,
            f"{key} started after a reply that it did not run",
        )

    def on_answer(self, key: str, outcome: Outcome) -> None:
        """Records that a caller gets an answer."""
        self._open_requests[key] -= 1
        if outcome.status == 200:
            self._on_complete(key, outcome.body)
            return
        problem = parse_problem(outcome.body)
        if problem.ran == Ran.NO:
            count = self._started_keys[key]
            self._check(
                DID_NOT_RUN,
                not count,
                f"{key} had {count} starts: {outcome.body.decode()}",
            )
            if not self._open_requests[key]:
                self._reported_not_run[key] = 1

    def _on_complete(self, key: str, body: bytes) -> None:
        answers = msgspec.json.decode(body)["answers"]
        expected = [msgspec.json.decode(task) for task in self._tasks[key]]
        self._check(
            COMPLETE_ANSWER,
            len(answers) == len(expected),
            f"{key}: {len(answers)} answers",
        )
        self._check(OWN_ANSWER, answers == expected, f"{key}: {answers}")
        first = self._answers.setdefault(key, body)
        self._check(SAME_ANSWER, first == body, key)

    def on_leaving_start(self, worker: str, seen_for_ms: float) -> None:
        """Records a start request to a worker that is leaving.

        Args:
            worker: name of the worker.
            seen_for_ms: how long the worker list has shown that it leaves.
        """
        self._check(
            NO_START_WHEN_LEAVING,
            seen_for_ms <= 2000,
            f"{worker}: {seen_for_ms} ms",
        )

    def on_planned_stop_answer(self, key: str, is_complete: bool) -> None:
        """Records whether a request in flight at a planned stop succeeded."""
        self._check(PLANNED_STOP, is_complete, key)

    def on_in_force(self, node: str, version: int, digest: bytes) -> None:
        """Records that a node activates a configuration version."""
        previous = self._active_versions.get(node, 0)
        self._check(
            VERSION_RISES, version > previous, f"{node}: {previous}→{version}"
        )
        self._active_versions[node] = version
        self.on_accepted(version, digest)

    def on_accepted(self, version: int, digest: bytes) -> None:
        """Records that a version was accepted with the given content."""
        first = self._versions.setdefault(version, digest)
        self._check(UNIQUE_VERSION, first == digest, f"version {version}")

    def on_return(self, terms_before: dict, terms_after: dict) -> None:
        """Records the leaders' terms before and after a node's partition."""
        self._check(
            LEADER_KEPT,
            terms_before == terms_after,
            f"{terms_before} → {terms_after}",
        )

    def _check(self, invariant: str, is_met: bool, detail: str) -> None:
        self.check_counts[invariant] += 1
        if is_met:
            return
        self.violation_counts[invariant] += 1
        if self.is_strict:
            raise ViolationError(invariant, detail)
