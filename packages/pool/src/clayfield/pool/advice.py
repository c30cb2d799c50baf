"""Which workers may run the steps of advised queues, as the advisor tells.

Of a step, the advisor is asked about some workers at a time, those with most
room first. What it says of a life of a worker does not change, so no worker
is asked about twice but to renew a ticket.
"""

from collections.abc import Iterable

from clayfield.base import Clock
from clayfield.pool.orders import Advice, AskAdvisor
from clayfield.pool.tasks import OpenJob, Task
from clayfield.pool.worker import Worker

# Workers in one question; the advisor takes time for each.
WORKERS_A_CALL = 30
# Questions under way; the advisor answers one after the other.
CALLS_AT_ONCE = 4
# Before a question that got no answer is asked again.
RETRY_MS = 200.0
# A ticket is renewed when it holds for less than this.
LEAST_VALID_MS = 150.0


class _StepAdvice:
    """What is known of one step of a job, at one time."""

    __slots__ = ("asked", "bad", "next_call_ms", "tickets", "valid_until_ms")

    def __init__(self) -> None:
        self.asked: list[str] | None = None
        self.bad: set[str] = set()
        self.next_call_ms = 0.0
        self.tickets: dict[str, str] = {}
        self.valid_until_ms: dict[str, float] = {}


class Advisor:
    """The tickets of the holder's advised jobs.

    Attributes:
        actions: questions to send; the caller empties it.
    """

    def __init__(self, clock: Clock):
        self.actions: list[AskAdvisor] = []
        self._clock = clock
        self._steps: dict[tuple[str, int], _StepAdvice] = {}
        self._calls: dict[int, _StepAdvice] = {}
        self._call = 0

    def ticket(self, task: Task, worker: str) -> str:
        """Returns the ticket with which a worker may run a task, or ""."""
        known = self._steps.get(_key(task))
        if known is None:
            return ""
        until_ms = known.valid_until_ms.get(worker, 0.0)
        if self._clock.now_ms() > until_ms - LEAST_VALID_MS:
            return ""
        return known.tickets[worker]

    def ask(self, task: Task, workers: Iterable[Worker]) -> None:
        """Asks about workers that may have room for a step.

        Args:
            task: one that found no worker with a ticket.
            workers: those that are open.
        """
        known = self._steps.setdefault(_key(task), _StepAdvice())
        now_ms = self._clock.now_ms()
        is_waiting = known.asked is not None or now_ms < known.next_call_ms
        if is_waiting or len(self._calls) >= CALLS_AT_ONCE:
            return
        names = self._unknown(task, known, workers)
        if names:
            self._send(task, known, names)

    def _unknown(
        self, task: Task, known: _StepAdvice, workers: Iterable[Worker]
    ) -> list[str]:
        candidates = [
            worker
            for worker in workers
            if worker.name not in known.bad
            and not self.ticket(task, worker.name)
            and worker.could_fit(task.step)
        ]
        candidates.sort(key=lambda worker: -worker.free_cpu)
        return [worker.name for worker in candidates[:WORKERS_A_CALL]]

    def _send(self, task: Task, known: _StepAdvice, names: list[str]) -> None:
        self._call += 1
        self._calls[self._call] = known
        known.asked = names
        self.actions.append(
            AskAdvisor(
                self._call, task.id.job, task.id.time, task.id.step, names
            )
        )

    def on_advice(self, call: int, advice: Advice) -> None:
        """Takes the advisor's answer."""
        known = self._calls.pop(call, None)
        if known is None:
            return
        asked = known.asked or []
        known.asked = None
        now_ms = self._clock.now_ms()
        if not advice.is_answer:
            known.next_call_ms = now_ms + RETRY_MS
            return
        known.bad.update(set(asked) - advice.tickets.keys())
        known.tickets.update(advice.tickets)
        for name in advice.tickets:
            known.valid_until_ms[name] = now_ms + advice.valid_ms

    def on_rejected(self, task: Task, worker: str) -> None:
        """Learns that a worker did not take a ticket."""
        known = self._steps.get(_key(task))
        if known:
            known.valid_until_ms.pop(worker, None)

    def forget(self, opened: OpenJob) -> None:
        """Drops what is known of a job's steps."""
        for stage in range(len(opened.tasks)):
            self._steps.pop((opened.job.key, stage), None)


def _key(task: Task) -> tuple[str, int]:
    return task.id.job, task.job.job.stage_of(task.id.step, task.id.time)
