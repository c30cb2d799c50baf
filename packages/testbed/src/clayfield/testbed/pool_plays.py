"""Random plays of a pool: faults of nodes, halls and workers, with callers.

Entry nodes are killed and suspended, halls are cut off, workers become
unreachable, leave and start again, and start commands are executed late.
Callers submit jobs that are not kept. A caller whose entry node is lost, or
whose job was abandoned, submits the job again after the time that the pool's
settings name. The same seed gives the same play.
"""

import collections
import random

import msgspec

from clayfield.pool import PoolTiming
from clayfield.testbed.pool_site import (
    CALLER_TIMEOUT_MS,
    DEFAULT_STEP,
    HALLS,
    HOLDER,
    make_granted_site,
)
from clayfield.wire.jobs import Verdict

FAULTS_MS = 12_000.0
# Long enough for all callers to be answered after the last fault.
SETTLE_MS = 9000.0
CONTROL_INTERVAL_MS = 50.0
# Times after which the leader replaces a holder that it has lost: one whose
# connection was closed, and one whose connection is silent.
REPLACE_MS = 150.0
SILENCE_MS = 1150.0
# Time after which the nodes notice a silent connection.
PEER_TIMEOUT_MS = 1100.0
MAX_SUBMISSIONS = 4
TASK_TIMES_MS = (300.0, 900.0, 1800.0, 3000.0)
STEP = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=400.0)


class _Caller:
    """A caller that waits for its job.

    Attributes:
        hall: hall of the caller.
        count: number of tasks of the job.
        node: the entry node that it is connected to, "" while it has none.
        request_id: number of its latest request.
        submissions: how often it has submitted the job.
    """

    __slots__ = ("count", "hall", "node", "request_id", "submissions")

    def __init__(self, hall: str, count: int):
        self.hall = hall
        self.count = count
        self.node = ""
        self.request_id = 0
        self.submissions = 0


class PoolPlay:
    """One random play, which runs when it is created.

    Attributes:
        site: the site, with all runs that its workers executed.
        counts: number of injected faults, by kind, and of answers, by verdict.
    """

    def __init__(self, seed: int, delayed_start_share: float = 0.0):
        """Runs a play.

        Args:
            seed: the seed of all random numbers.
            delayed_start_share: see `FakeWorker.delayed_start_share`.
        """
        self._rng = random.Random(seed)
        self.counts: collections.Counter[str] = collections.Counter()
        self.site = make_granted_site(
            seed,
            workers=self._rng.choice((2, 3)),
            task_ms=self._rng.choice(TASK_TIMES_MS),
        )
        for worker in self.site.workers.values():
            worker.duration_spread = 0.3
            worker.delayed_start_share = delayed_start_share
        self._holder = HOLDER
        self._holder_lost_ms: float | None = None
        self._cut_hall = ""
        self._grant_due_ms: float | None = None
        self._starts = {node.partition("/")[0]: 1 for node in self.site.entries}
        self._callers: dict[str, _Caller] = {}
        self._end_ms = self._now_ms + FAULTS_MS
        self._add_caller()
        self._inject_fault()
        self._control()
        self._collect_answers()
        self.site.run(FAULTS_MS)
        if self._cut_hall:
            self._heal()
        self.site.run(SETTLE_MS)

    @property
    def _now_ms(self) -> float:
        return self.site.clock.now_ms()

    def _live_nodes(self, hall: str = "") -> list[str]:
        """Returns the entry nodes that run, of one hall or of all."""
        return [
            node
            for node, entry in self.site.entries.items()
            if not self.site.is_dead(node) and hall in ("", entry.hall)
        ]

    # Callers.

    def _add_caller(self) -> None:
        if self._now_ms < self._end_ms:
            self.site.call_later(self._rng.uniform(60, 300), self._add_caller)
        key = f"job-{len(self._callers)}"
        hall = self._rng.choice(HALLS)
        self._callers[key] = _Caller(hall, self._rng.choice((1, 1, 2, 3)))
        self._submit(key)

    def _submit(self, key: str) -> None:
        """Submits a job in its caller's hall, or elsewhere if none is left."""
        caller = self._callers[key]
        nodes = self._live_nodes(caller.hall)
        if not nodes and caller.hall != self._cut_hall:
            nodes = [
                node
                for node in self._live_nodes()
                if self.site.entries[node].hall != self._cut_hall
            ]
        if not nodes:
            return
        caller.node = self._rng.choice(nodes)
        caller.submissions += 1
        caller.request_id = self.site.submit(
            caller.node, key, count=caller.count, template=STEP
        )
        submissions = caller.submissions
        self.site.call_later(
            CALLER_TIMEOUT_MS + 2 * REPLACE_MS,
            lambda: self._on_timeout(key, submissions),
        )

    def _on_timeout(self, key: str, submissions: int) -> None:
        caller = self._callers[key]
        if caller.node and caller.submissions == submissions:
            self._on_answer_or_loss(key)

    def _collect_answers(self) -> None:
        """Lets callers whose jobs were abandoned submit them again in time."""
        self.site.call_later(CONTROL_INTERVAL_MS, self._collect_answers)
        for key, caller in self._callers.items():
            if caller.node and caller.request_id in self.site.answers:
                self._on_answer_or_loss(key)

    def _on_answer_or_loss(self, key: str) -> None:
        """Counts the answer of a caller, or lets it submit its job again."""
        caller = self._callers[key]
        caller.node = ""
        ended = self.site.answers.get(caller.request_id)
        if ended and ended.verdict is not Verdict.ABANDONED:
            self.counts[ended.verdict.name.lower()] += 1
        elif caller.submissions < MAX_SUBMISSIONS:
            late_ms = self._rng.choice((0, 0, 50, 700))
            resubmit_ms = PoolTiming().resubmit_ms
            self.site.call_later(
                resubmit_ms + late_ms, lambda: self._submit(key)
            )
        else:
            self.counts["given_up"] += 1

    # Faults.

    def _inject_fault(self) -> None:
        if self._now_ms > self._end_ms:
            return
        self.site.call_later(self._rng.uniform(300, 1800), self._inject_fault)
        faults = (
            (0.3, self._kill_any),
            (0.3, self._cut_or_heal),
            (0.15, self._freeze),
            (0.1, self._isolate_worker),
            (0.05, self._let_worker_leave),
            (0.1, lambda: None),
        )
        shares, actions = zip(*faults, strict=True)
        (inject,) = self._rng.choices(actions, shares)
        inject()

    def _kill_any(self) -> None:
        nodes = self._live_nodes()
        if len(nodes) > len(HALLS):
            self._kill(self._rng.choice(nodes))

    def _kill(self, node: str) -> None:
        """Kills an entry node and starts it again later."""
        self.counts["kill"] += 1
        self.site.kill(node)
        for key, caller in self._callers.items():
            if caller.node == node:
                self._on_answer_or_loss(key)
        self.site.call_later(
            self._rng.uniform(400, 3000), lambda: self._restart(node)
        )

    def _restart(self, node: str) -> None:
        address = node.partition("/")[0]
        hall = self.site.entries[node].hall
        self._starts[address] += 1
        halls = set(HALLS) - {self._cut_hall}
        if hall == self._cut_hall:
            halls = {hall}
        node = f"{address}/{self._starts[address]}"
        self.site.restart(node, hall, halls)
        if hall != self._cut_hall:
            self.site.deliver_grant(node)

    def _cut_or_heal(self) -> None:
        if self._cut_hall:
            self._heal()
            return
        self.counts["cut"] += 1
        hall = self._cut_hall = self._rng.choice(HALLS)
        others = [other for other in HALLS if other != hall]
        self.site.leader.hall = self._rng.choice(others)
        self.site.partition(hall, self._rng.choice((0, PEER_TIMEOUT_MS)))
        if self._rng.random() < 0.8:
            delay_ms = self._rng.choice((0, 0, 50, 300, 900, 1500))
            self.site.call_later(delay_ms, lambda: self._kill_in(hall))

    def _kill_in(self, hall: str) -> None:
        nodes = self._live_nodes(hall)
        if len(nodes) > 1:
            self._kill(self._rng.choice(nodes))

    def _heal(self) -> None:
        self.site.heal(self._cut_hall)
        self._cut_hall = ""
        self._grant_due_ms = self._now_ms + self._rng.uniform(0, 300)

    def _freeze(self) -> None:
        self.counts["freeze"] += 1
        node = self._rng.choice(self._live_nodes())
        self.site.freeze(node, self._rng.uniform(200, 2500))

    def _isolate_worker(self) -> None:
        self.counts["isolate"] += 1
        name = self._rng.choice(list(self.site.workers))
        self.site.isolate(name)
        self.site.call_later(
            self._rng.uniform(200, 2500), lambda: self.site.rejoin(name)
        )

    def _let_worker_leave(self) -> None:
        self.counts["leave"] += 1
        name = self._rng.choice(list(self.site.workers))
        self.site.leave(name)
        self.site.call_later(
            self._rng.uniform(100, 1500),
            lambda: self.site.restart_worker(name),
        )

    # Grants.

    def _control(self) -> None:
        """Grants the workers anew when the holder is lost or a hall rejoins."""
        self.site.call_later(CONTROL_INTERVAL_MS, self._control)
        is_lost = self._is_holder_lost()
        is_due = self._grant_due_ms and self._now_ms >= self._grant_due_ms
        nodes = [
            node
            for node in self._live_nodes()
            if self.site.entries[node].hall != self._cut_hall
            and not self.site.is_frozen(node)
        ]
        if not nodes or not (is_lost or is_due):
            return
        if is_lost:
            self._holder = self._rng.choice(nodes)
        self._holder_lost_ms = self._grant_due_ms = None
        holder_hall = self.site.entries[self._holder].hall
        standbys = {
            hall: self._live_nodes(hall)[0]
            for hall in HALLS
            if hall != holder_hall and self._live_nodes(hall)
        }
        self.counts["grant"] += 1
        self.site.grant(self._holder, standbys)

    def _is_holder_lost(self) -> bool:
        """Returns whether the leader has lost the holder for long enough."""
        is_dead = self.site.is_dead(self._holder)
        is_cut = self.site.entries[self._holder].hall == self._cut_hall
        if not (is_dead or is_cut or self.site.is_frozen(self._holder)):
            self._holder_lost_ms = None
            return False
        if self._holder_lost_ms is None:
            silence_ms = self._rng.choice((0.0, SILENCE_MS))
            noticed_ms = 0.0 if is_dead else silence_ms
            self._holder_lost_ms = self._now_ms + noticed_ms
        return self._now_ms - self._holder_lost_ms > REPLACE_MS
