"""A fake advisor, for tests.

The advisor is an outside service that returns tickets: which workers may run a
step of an advised job. The fake handles one request at a time, takes longer
the more workers a request names, and can reject requests as busy. Its tickets
expire.
"""

import random
from collections import deque
from collections.abc import Callable

from clayfield.base import Clock
from clayfield.pool import Advice, RequestAdvice, StartRun

BASE_DELAY_MS = 5.0
DELAY_PER_WORKER_MS = 1.0
TICKET_VALID_MS = 800.0
ALLOWED_SHARE = 0.5

Reply = Callable[[Advice], None]


class FakeAdvisor:
    """Decides at random, once for each step and worker.

    Attributes:
        is_busy: whether it rejects every request as busy.
        answered_count: number of requests answered.
        rejected_count: number of starts without a valid ticket.
    """

    def __init__(
        self,
        clock: Clock,
        call_later: Callable[[float, Callable[[], None]], None],
        rng: random.Random,
    ):
        self.is_busy = False
        self.answered_count = 0
        self.rejected_count = 0
        self._clock = clock
        self._call_later = call_later
        self._rng = rng
        self._queue: deque[tuple[RequestAdvice, Reply]] = deque()
        self._decisions: dict[tuple[str, int, int, str], bool] = {}
        self._expiry_ms: dict[str, float] = {}

    def request_tickets(self, request: RequestAdvice, reply: Reply) -> None:
        """Queues a request; `reply` is called with its tickets."""
        if self.is_busy:
            reply(Advice(False))
            return
        self._queue.append((request, reply))
        if len(self._queue) == 1:
            self._begin()

    def _begin(self) -> None:
        request, _ = self._queue[0]
        duration_ms = BASE_DELAY_MS + DELAY_PER_WORKER_MS * len(
            request.worker_names
        )
        self._call_later(duration_ms, self._finish)

    def _finish(self) -> None:
        request, reply = self._queue.popleft()
        self.answered_count += 1
        tickets = {
            name: self._make_ticket(request, name)
            for name in request.worker_names
            if self._is_allowed(request, name)
        }
        reply(Advice(True, tickets, TICKET_VALID_MS))
        if self._queue:
            self._begin()

    def _is_allowed(self, request: RequestAdvice, worker: str) -> bool:
        """Returns whether a worker may run a step."""
        key = (request.job, request.iteration, request.step, worker)
        if key not in self._decisions:
            self._decisions[key] = self._rng.random() < ALLOWED_SHARE
        return self._decisions[key]

    def _make_ticket(self, request: RequestAdvice, worker: str) -> str:
        """Returns a new ticket, which starts with the task and worker."""
        numbers = f"{request.iteration}/{request.step}/{worker}"
        ticket = f"{request.job}/{numbers}/{self.answered_count}"
        self._expiry_ms[ticket] = self._clock.now_ms() + TICKET_VALID_MS
        return ticket

    def accepts(self, start: StartRun) -> bool:
        """Returns whether a start has a valid ticket for its worker."""
        task_id = start.task_id
        prefix = (
            f"{task_id.job}/{task_id.iteration}/{task_id.step}/{start.worker}/"
        )
        is_valid = start.ticket.startswith(
            prefix
        ) and self._clock.now_ms() <= self._expiry_ms.get(start.ticket, 0.0)
        self.rejected_count += not is_valid
        return is_valid
