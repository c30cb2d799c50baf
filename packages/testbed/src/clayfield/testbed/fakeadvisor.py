"""The advisor of a pool, for tests: which workers may run which steps.

It answers one question after the other, takes time for each worker that it is
asked about, and can be busy. Its tickets hold for a while.
"""

import random
from collections import deque
from collections.abc import Callable

from clayfield.base import Clock
from clayfield.pool import Advice, AskAdvisor, StartRun

DECIDE_MS = 5.0
PERIOD_MS = 1.0
VALID_MS = 800.0
GOOD_SHARE = 0.5

Answer = Callable[[Advice], None]


class FakeAdvisor:
    """Decides by lot, once for each step and worker.

    Attributes:
        is_busy: whether it answers every question so.
        asked: how many questions it answered.
        rejected: how many starts came without a ticket that holds.
    """

    def __init__(
        self,
        clock: Clock,
        after: Callable[[float, Callable[[], None]], None],
        rng: random.Random,
    ):
        self.is_busy = False
        self.asked = 0
        self.rejected = 0
        self._clock = clock
        self._after = after
        self._rng = rng
        self._waiting: deque[tuple[AskAdvisor, Answer]] = deque()
        self._verdicts: dict[tuple[str, int, int, str], bool] = {}
        self._tickets: dict[str, float] = {}

    def ask(self, question: AskAdvisor, answer: Answer) -> None:
        """Takes a question; answers it in its turn."""
        if self.is_busy:
            answer(Advice(False))
            return
        self._waiting.append((question, answer))
        if len(self._waiting) == 1:
            self._begin()

    def _begin(self) -> None:
        question, _ = self._waiting[0]
        took_ms = DECIDE_MS + PERIOD_MS * len(question.workers)
        self._after(took_ms, self._finish)

    def _finish(self) -> None:
        question, answer = self._waiting.popleft()
        self.asked += 1
        tickets = {
            name: self._ticket(question, name)
            for name in question.workers
            if self._is_good(question, name)
        }
        answer(Advice(True, tickets, VALID_MS))
        if self._waiting:
            self._begin()

    def _is_good(self, question: AskAdvisor, worker: str) -> bool:
        key = (question.job, question.time, question.step, worker)
        if key not in self._verdicts:
            self._verdicts[key] = self._rng.random() < GOOD_SHARE
        return self._verdicts[key]

    def _ticket(self, question: AskAdvisor, worker: str) -> str:
        numbers = f"{question.time}/{question.step}/{worker}"
        ticket = f"{question.job}/{numbers}/{self.asked}"
        self._tickets[ticket] = self._clock.now_ms() + VALID_MS
        return ticket

    def accepts(self, order: StartRun) -> bool:
        """Tells whether a start brings a ticket that holds for it."""
        task_id = order.task_id
        wanted = f"{task_id.job}/{task_id.time}/{task_id.step}/{order.worker}/"
        is_sound = order.ticket.startswith(
            wanted
        ) and self._clock.now_ms() <= self._tickets.get(order.ticket, 0.0)
        self.rejected += not is_sound
        return is_sound
