"""Random plays of kept jobs: faults, waiting jobs, tasks that crash workers.

To the faults of `PoolPlay` come workers that crash, drain and change their
room. The jobs are kept: usual ones, some that need a label, a whole worker or
a gang, lasting ones, and some whose task crashes each worker that starts it.
The same seed gives the same play.
"""

import functools

import msgspec

from clayfield.pool import EndKind, TaskId
from clayfield.testbed.fake_worker import SLOT_CPU, ExecutedRun
from clayfield.testbed.pool_plays import PoolPlay
from clayfield.testbed.pool_site import DEFAULT_STEP, HALLS
from clayfield.wire.jobs import JobState, Step, Verdict, WorkerState

# Until all suspects have had their turn after the last fault.
KEPT_SETTLE_MS = 45_000.0
STATE_MS = 500.0
ESTIMATE_MS = 400.0
# The pages allow to give a task up after two crashes, and no third start after
# three of them.
MIN_CRASHES = 2
COUNTED_CRASHES = 3
MAX_STARTS_AFTER = 2


class _KeptJob:
    """A job of a play.

    Attributes:
        kind: what it needs, or does.
        request_id: number of the caller's request.
    """

    __slots__ = ("kind", "request_id")

    def __init__(self, kind: str, request_id: int):
        self.kind = kind
        self.request_id = request_id


def _step(**fields: object) -> Step:
    return msgspec.structs.replace(
        DEFAULT_STEP, estimate_ms=ESTIMATE_MS, **fields
    )


# Kinds of jobs: share, number of tasks, and step.
KINDS = {
    "usual": (0.55, 1, _step()),
    "wide": (0.1, 3, _step(max_per_worker=1)),
    "label": (0.1, 1, _step(required_label=f"rack-{HALLS[1]}")),
    "whole": (0.05, 1, _step(cpu=2 * SLOT_CPU)),
    "gang": (0.05, 2, _step(is_gang=True)),
    "lasting": (0.02, 1, _step(is_long_running=True)),
    "absent": (0.04, 1, _step(required_label="absent")),
    "crashing": (0.08, 1, _step()),
}


class KeptPlay(PoolPlay):
    """One random play, which runs when it is created.

    Attributes:
        violations: what broke a promise, in words.
    """

    def __init__(self, seed: int):
        """Runs a play.

        Args:
            seed: the seed of all random numbers.
        """
        self._jobs: dict[str, _KeptJob] = {}
        super().__init__(seed)
        self.site.run(KEPT_SETTLE_MS)
        self.violations = self._find_violations()

    # Jobs.

    def _add_caller(self) -> None:
        if self._now_ms < self._end_ms:
            self.site.call_later(self._rng.uniform(60, 250), self._add_caller)
        nodes = self._live_nodes()
        if not nodes:
            return
        shares = [share for share, _, _ in KINDS.values()]
        (kind,) = self._rng.choices(list(KINDS), shares)
        key = f"{kind}-{len(self._jobs)}"
        _, count, step = KINDS[kind]
        if kind == "crashing":
            after_ms = self._rng.choice((0.0, 20.0, 60.0))
            self.site.crash_after_ms[TaskId(key, 0, 0)] = after_ms
        request_id = self.site.submit(
            self._rng.choice(nodes), key, count, 1, True, step
        )
        self._jobs[key] = _KeptJob(kind, request_id)

    # Faults.

    def _inject_fault(self) -> None:
        super()._inject_fault()
        if self._now_ms > self._end_ms:
            return
        faults = (self._crash, self._drain, self._resize, None, None)
        inject = self._rng.choice(faults)
        if inject and self._live_workers():
            inject()

    def _live_workers(self) -> list[str]:
        return [
            name
            for name, worker in self.site.workers.items()
            if not worker.is_replaced and name not in self.site.crashed_workers
        ]

    def _crash(self) -> None:
        self.counts["crash"] += 1
        self.site.is_crash_silent = self._rng.random() < 0.3
        self.site.crash_worker(self._rng.choice(self._live_workers()))

    def _drain(self) -> None:
        self.counts["drain"] += 1
        name = self._rng.choice(self._live_workers())
        self.site.drain_worker(name)
        self.site.call_later(
            self._rng.uniform(300, 2000),
            functools.partial(self._restart_ready, name),
        )

    def _restart_ready(self, name: str) -> None:
        """Starts a worker again that takes tasks."""
        worker = self.site.workers[name]
        worker.info = msgspec.structs.replace(
            worker.info, state=WorkerState.READY
        )
        self.site.restart_worker(name)

    def _resize(self) -> None:
        self.counts["resize"] += 1
        name = self._rng.choice(self._live_workers())
        self.site.resize_worker(name, 1)
        self.site.call_later(
            self._rng.uniform(300, 4000),
            functools.partial(self.site.resize_worker, name, 2),
        )

    # Checks.

    def _find_violations(self) -> list[str]:
        for node in self._live_nodes()[:1]:
            for key in self._jobs:
                self.site.request_state(node, key)
        self.site.run(STATE_MS)
        violations = [
            f"two runs at once: {first.task_id} on {first.worker} and"
            f" {second.worker}"
            for first, second in self.site.overlapping_runs()
        ]
        violations += [
            f"started after its end: {run.task_id} run {run.number}"
            for _, run in self.site.find_restarts_after_end()
            if self._jobs[run.task_id.job].kind != "lasting"
        ]
        for key, kept in self._jobs.items():
            ended = self.site.answers.get(kept.request_id)
            if ended and ended.verdict is Verdict.ACCEPTED:
                violations += self._check(key, kept.kind)
        return violations

    def _check(self, key: str, kind: str) -> list[str]:
        """Returns what is wrong with an accepted job."""
        state = self.site.reported_states.get(key)
        runs = [run for run in self.site.runs if run.task_id.job == key]
        runs.sort(key=lambda run: run.start_ms)
        self.counts[f"{kind} {state.value if state else None}"] += 1
        lost = _lost_runs(runs)
        if state is JobState.FAILED and len(lost) < MIN_CRASHES:
            return [f"{key}: failed after {len(lost)} crashes"]
        if kind == "crashing":
            return self._check_crashing(key, state, runs, lost)
        if kind == "absent":
            return [f"{key}: was started"] if runs else []
        if kind == "lasting":
            return self._check_lasting(key, state, runs)
        if state not in (JobState.COMPLETED, JobState.FAILED):
            return [f"{key}: is {state}, {len(runs)} runs"]
        return []

    def _check_crashing(
        self,
        key: str,
        state: JobState | None,
        runs: list[ExecutedRun],
        lost: list[ExecutedRun],
    ) -> list[str]:
        if state is not JobState.FAILED:
            return [f"{key}: is {state} after {len(lost)} crashes"]
        if len(lost) < COUNTED_CRASHES:
            return []
        third_ms = lost[COUNTED_CRASHES - 1].end_ms
        later = sum(run.start_ms > third_ms for run in runs)
        if later > MAX_STARTS_AFTER:
            return [f"{key}: {later} starts after {COUNTED_CRASHES} crashes"]
        return []

    def _check_lasting(
        self, key: str, state: JobState | None, runs: list[ExecutedRun]
    ) -> list[str]:
        is_at_work = any(run.end_ms is None for run in runs)
        has_ended = runs and runs[-1].kind is EndKind.DONE
        if state is JobState.FAILED or is_at_work or has_ended:
            return []
        return [f"{key}: is {state} and not at work"]


def _lost_runs(runs: list[ExecutedRun]) -> list[ExecutedRun]:
    """Returns the runs that ended without an end that a worker lists."""
    return [run for run in runs if run.end_ms is not None and run.kind is None]
