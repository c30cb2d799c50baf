"""Sends the holder's commands to workers over HTTP and returns the replies.

The holder is the entry node that schedules the workers; it also requests
tickets from the advisor here, which say which workers may run a step.
"""

from collections.abc import Callable

from twisted.internet import interfaces

from clayfield.base import Clock
from clayfield.node.httpclient import (
    MAX_IDLE_CONNECTIONS,
    CallResult,
    ConnectionPool,
    IdleConnections,
)
from clayfield.node.interfaces import WorkerProtocol
from clayfield.pool import (
    Advice,
    EntryNode,
    PollWorker,
    RequestAdvice,
    StartRun,
    StopRun,
    ThrottleRun,
)

# Time after which a command without a response counts as lost.
COMMAND_TIMEOUT_S = 0.15
# Added to the wait time of a poll to get its timeout.
POLL_MARGIN_S = 0.25
# The advisor handles requests one after the other, so it may be slow.
ADVICE_TIMEOUT_S = 5.0
MS_PER_S = 1000.0
POOL_IDLE_S = 10.0

Callback = Callable[[], None]
OnResult = Callable[[CallResult], None]


class WorkerCommands:
    """Sends commands and passes each reply to the entry node exactly once.

    Replies include failed calls. A throttle command is the exception: its
    effect shows in the next poll, so its reply is dropped.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        clock: Clock,
        protocol: WorkerProtocol,
        entry: EntryNode,
        schedule_actions: Callback,
        advisor: str = "",
    ):
        """Creates it without connections.

        Args:
            reactor: the twisted reactor.
            clock: source of the send times of polls.
            protocol: encoder of requests and decoder of responses.
            entry: handler of the replies.
            schedule_actions: called after each reply, to run the resulting
                actions.
            advisor: IP:PORT of the advisor, "" for none.
        """
        self._reactor = reactor
        self._clock = clock
        self._protocol = protocol
        self._entry = entry
        self._schedule_actions = schedule_actions
        self._advisor_address = advisor
        self._pools: dict[str, ConnectionPool] = {}
        self._idle_connections = IdleConnections(MAX_IDLE_CONNECTIONS)
        self._last_used_s: dict[str, float] = {}

    def start(self, command: StartRun) -> None:
        """Sends a request to start a run."""
        sent_ms = self._clock.now_ms()

        def on_result(result: CallResult) -> None:
            self._entry.on_start_reply(
                command.worker,
                command.task_id,
                command.number,
                sent_ms,
                self._protocol.read_command_reply(result),
            )
            self._schedule_actions()

        request = self._protocol.write_start(command)
        self._call(command.address, request, COMMAND_TIMEOUT_S, on_result)

    def stop(self, command: StopRun) -> None:
        """Sends a request to stop a run."""
        sent_ms = self._clock.now_ms()

        def on_result(result: CallResult) -> None:
            self._entry.on_stop_reply(
                command.worker,
                command.task_id,
                command.number,
                sent_ms,
                self._protocol.read_command_reply(result),
            )
            self._schedule_actions()

        request = self._protocol.write_stop(command)
        self._call(command.address, request, COMMAND_TIMEOUT_S, on_result)

    def throttle(self, command: ThrottleRun) -> None:
        """Sends a request to throttle a run."""
        request = self._protocol.write_throttle(command)
        self._call(command.address, request, COMMAND_TIMEOUT_S, _ignore_result)

    def poll(self, command: PollWorker) -> None:
        """Sends a poll: renews the lease and lists the worker's runs."""
        sent_ms = self._clock.now_ms()

        def on_result(result: CallResult) -> None:
            self._entry.on_poll_reply(
                command.worker,
                command.poll_id,
                sent_ms,
                self._protocol.read_poll_reply(result),
            )
            self._schedule_actions()

        request = self._protocol.write_poll(command)
        timeout_s = command.wait_ms / MS_PER_S + POLL_MARGIN_S
        self._call(command.address, request, timeout_s, on_result)

    def request_advice(self, command: RequestAdvice) -> None:
        """Requests tickets; without an advisor the reply is negative."""

        def on_result(result: CallResult) -> None:
            advice = self._protocol.read_advice(result)
            self._entry.on_advice(command.request_id, advice)
            self._schedule_actions()

        if not self._advisor_address:
            self._entry.on_advice(command.request_id, Advice(False))
            return
        request = self._protocol.write_advice_request(
            command, self._advisor_address
        )
        self._call(self._advisor_address, request, ADVICE_TIMEOUT_S, on_result)

    def _call(
        self,
        address: str,
        request: bytes,
        timeout_s: float,
        on_result: OnResult,
    ) -> None:
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                self._reactor, address, self._idle_connections
            )
            self._pools[address] = pool
        self._last_used_s[address] = self._reactor.seconds()
        pool.call(request, timeout_s).addCallback(on_result)

    def drop_unused(self) -> None:
        """Closes the connections to addresses unused for `POOL_IDLE_S`."""
        unused_since_s = self._reactor.seconds() - POOL_IDLE_S
        for address, last_used_s in list(self._last_used_s.items()):
            if last_used_s < unused_since_s:
                del self._last_used_s[address]
                self._pools.pop(address).close()

    def close(self) -> None:
        """Aborts the open connections to all addresses."""
        for pool in self._pools.values():
            pool.close()


def _ignore_result(result: CallResult) -> None:
    """Drops the result of a throttle command."""
