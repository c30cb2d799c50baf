"""Carries the holder's orders to workers, and their answers back."""

from collections.abc import Callable

from twisted.internet import interfaces

from clayfield.base import Clock
from clayfield.node.faces import WorkerProtocol
from clayfield.node.httpclient import (
    MAX_IDLE,
    CallAnswer,
    ConnectionPool,
    IdleConnections,
)
from clayfield.pool import (
    Advice,
    AskAdvisor,
    Entry,
    HoldWorker,
    PaceRun,
    StartRun,
    StopRun,
)

# How long an order may go without an answer before it counts as lost.
ORDER_TIMEOUT_S = 0.15
# What a hold may take beyond the time that it is told to wait.
HOLD_SLACK_S = 0.25
# How long the advisor may take, which answers one question after the other.
ADVICE_TIMEOUT_S = 5.0
MS_PER_S = 1000.0
IDLE_POOL_S = 10.0

Kick = Callable[[], None]
OnAnswer = Callable[[CallAnswer], None]


class WorkerOrders:
    """Sends orders; the entry hears of each answer exactly once."""

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        clock: Clock,
        protocol: WorkerProtocol,
        entry: Entry,
        kick: Kick,
        advisor: str = "",
    ):
        self._reactor = reactor
        self._clock = clock
        self._protocol = protocol
        self._entry = entry
        self._kick = kick
        self._advisor = advisor
        self._pools: dict[str, ConnectionPool] = {}
        self._idle = IdleConnections(MAX_IDLE)
        self._used_s: dict[str, float] = {}

    def start(self, order: StartRun) -> None:
        """Sends a start."""

        def on_answer(answer: CallAnswer) -> None:
            self._entry.on_start_answer(
                order.worker,
                order.task_id,
                order.number,
                self._protocol.read_order_answer(answer),
            )
            self._kick()

        request = self._protocol.write_start(order)
        self._call(order.address, request, ORDER_TIMEOUT_S, on_answer)

    def stop(self, order: StopRun) -> None:
        """Sends a stop."""

        def on_answer(answer: CallAnswer) -> None:
            self._entry.on_stop_answer(
                order.worker,
                order.task_id,
                order.number,
                self._protocol.read_order_answer(answer),
            )
            self._kick()

        request = self._protocol.write_stop(order)
        self._call(order.address, request, ORDER_TIMEOUT_S, on_answer)

    def pace(self, order: PaceRun) -> None:
        """Sends a change of pace; the next hold tells what came of it."""
        request = self._protocol.write_pace(order)
        self._call(order.address, request, ORDER_TIMEOUT_S, _ignore)

    def hold(self, order: HoldWorker) -> None:
        """Sends a hold."""
        sent_ms = self._clock.now_ms()

        def on_answer(answer: CallAnswer) -> None:
            self._entry.on_hold_answer(
                order.worker,
                order.call,
                sent_ms,
                self._protocol.read_hold_answer(answer),
            )
            self._kick()

        request = self._protocol.write_hold(order)
        timeout_s = order.wait_ms / MS_PER_S + HOLD_SLACK_S
        self._call(order.address, request, timeout_s, on_answer)

    def ask(self, question: AskAdvisor) -> None:
        """Asks the advisor; where there is none, that is the answer."""

        def on_answer(answer: CallAnswer) -> None:
            advice = self._protocol.read_advice(answer)
            self._entry.on_advice(question.call, advice)
            self._kick()

        if not self._advisor:
            self._entry.on_advice(question.call, Advice(False))
            return
        request = self._protocol.write_question(question, self._advisor)
        self._call(self._advisor, request, ADVICE_TIMEOUT_S, on_answer)

    def _call(
        self,
        address: str,
        request: bytes,
        timeout_s: float,
        on_answer: OnAnswer,
    ) -> None:
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(self._reactor, address, self._idle)
            self._pools[address] = pool
        self._used_s[address] = self._reactor.seconds()
        pool.call(request, timeout_s).addCallback(on_answer)

    def drop_unused(self) -> None:
        """Closes connections to addresses that were not used for long."""
        since_s = self._reactor.seconds() - IDLE_POOL_S
        for address, used_s in list(self._used_s.items()):
            if used_s < since_s:
                del self._used_s[address]
                self._pools.pop(address).close()

    def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            pool.close()


def _ignore(answer: CallAnswer) -> None:
    """Takes an answer that tells nothing."""
