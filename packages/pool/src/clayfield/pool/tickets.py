"""Tickets of the advisor, which permit workers to run steps of advised jobs.

The advisor is an outside service. Tickets for a step are requested for some
workers at a time, those with the most free CPU first. The advisor's decision
on a worker doesn't change until the worker restarts, so a request for the same
worker is repeated only to renew an expired ticket.
"""

from collections.abc import Iterable

from clayfield.base import Clock
from clayfield.pool.commands import Advice, RequestAdvice
from clayfield.pool.tasks import OpenJob, Task
from clayfield.pool.worker import Worker

# Bounds a request's duration, which grows with the number of workers in it.
MAX_WORKERS_PER_CALL = 30
# The advisor handles requests one after the other, so more would only queue.
MAX_OPEN_CALLS = 4
# Time between a failed request and the next one for the same step.
RETRY_MS = 200.0
# A ticket is renewed when it is valid for less than this time.
MIN_VALID_MS = 150.0
# Numbers of requests that are reserved for each fencing token. A late reply to
# an earlier scheduler of the same node then matches no request of a later one.
CALLS_PER_FENCE = 1 << 32


class _StepTickets:
    """The tickets for one step of a job, in one iteration of its schedule.

    Attributes:
        requested: names of the workers in the open request, None without one.
        denied: names of the workers that the advisor gave no ticket.
        next_call_ms: earliest time of the next request, in ms.
        tickets: tickets by worker name, including expired ones.
        valid_until_ms: expiry times of the tickets by worker name, in ms.
    """

    __slots__ = (
        "denied",
        "next_call_ms",
        "requested",
        "tickets",
        "valid_until_ms",
    )

    def __init__(self) -> None:
        self.requested: list[str] | None = None
        self.denied: set[str] = set()
        self.next_call_ms = 0.0
        self.tickets: dict[str, str] = {}
        self.valid_until_ms: dict[str, float] = {}


class TicketCache:
    """Requests and caches the tickets of the holder's advised jobs.

    Attributes:
        actions: requests to send; the caller clears it.
    """

    def __init__(self, clock: Clock, fence: int = 0):
        """Creates an empty cache.

        Args:
            clock: source of the current time.
            fence: fencing token of the scheduler when it is created.
        """
        self.actions: list[RequestAdvice] = []
        self._clock = clock
        self._steps: dict[tuple[str, int], _StepTickets] = {}
        self._calls: dict[int, _StepTickets] = {}
        self._last_call = fence * CALLS_PER_FENCE

    def ticket(self, task: Task, worker: str) -> str:
        """Returns a valid ticket for a task on a worker, "" if there is none.

        Args:
            task: the task.
            worker: name of the worker.
        """
        step_tickets = self._steps.get(_key(task))
        if step_tickets is None:
            return ""
        until_ms = step_tickets.valid_until_ms.get(worker, 0.0)
        if self._clock.now_ms() > until_ms - MIN_VALID_MS:
            return ""
        return step_tickets.tickets[worker]

    def request_tickets(self, task: Task, workers: Iterable[Worker]) -> None:
        """Requests tickets for workers that are suitable for a step.

        Does nothing while a request for the step is open or delayed, or while
        too many requests are open.

        Args:
            task: a task of the step that fits no worker with a ticket.
            workers: the workers that accept tasks.
        """
        step_tickets = self._steps.setdefault(_key(task), _StepTickets())
        now_ms = self._clock.now_ms()
        is_waiting = (
            step_tickets.requested is not None
            or now_ms < step_tickets.next_call_ms
        )
        if is_waiting or len(self._calls) >= MAX_OPEN_CALLS:
            return
        names = self._select_workers(task, step_tickets, workers)
        if names:
            self._send(task, step_tickets, names)

    def _select_workers(
        self, task: Task, step_tickets: _StepTickets, workers: Iterable[Worker]
    ) -> list[str]:
        """Returns the names of the workers to request tickets for next."""
        candidates = [
            worker
            for worker in workers
            if worker.name not in step_tickets.denied
            and worker.info.service == task.job.job.service
            and worker.has_label(task.step)
            and not self.ticket(task, worker.name)
            and worker.fits_when_idle(task.step)
        ]
        candidates.sort(key=lambda worker: -worker.free_cpu)
        return [worker.name for worker in candidates[:MAX_WORKERS_PER_CALL]]

    def _send(
        self, task: Task, step_tickets: _StepTickets, names: list[str]
    ) -> None:
        self._last_call += 1
        self._calls[self._last_call] = step_tickets
        step_tickets.requested = names
        self.actions.append(
            RequestAdvice(
                self._last_call,
                task.id.job,
                task.id.iteration,
                task.id.step,
                names,
            )
        )

    def on_advice(self, request_id: int, advice: Advice) -> None:
        """Handles the advisor's reply.

        Args:
            request_id: number of the request.
            advice: the reply.
        """
        step_tickets = self._calls.pop(request_id, None)
        if step_tickets is None:
            return
        requested = step_tickets.requested or []
        step_tickets.requested = None
        now_ms = self._clock.now_ms()
        if not advice.is_reply:
            step_tickets.next_call_ms = now_ms + RETRY_MS
            return
        step_tickets.denied.update(set(requested) - advice.tickets.keys())
        step_tickets.tickets.update(advice.tickets)
        for name in advice.tickets:
            step_tickets.valid_until_ms[name] = now_ms + advice.valid_ms

    def on_rejected(self, task: Task, worker: str) -> None:
        """Handles a worker's rejection of a ticket: it must be renewed."""
        step_tickets = self._steps.get(_key(task))
        if step_tickets:
            step_tickets.valid_until_ms.pop(worker, None)

    def forget_job(self, open_job: OpenJob) -> None:
        """Removes the tickets of a job."""
        for stage in range(len(open_job.tasks)):
            self._steps.pop((open_job.job.key, stage), None)


def _key(task: Task) -> tuple[str, int]:
    """Returns the job key and stage under which a task's tickets are stored."""
    return task.id.job, task.job.job.stage_of(task.id.step, task.id.iteration)
