"""Sends the holder's commands to workers over HTTP and returns the replies.

The holder is the entry node that schedules the workers; it also requests
tickets from the advisor here, which say which workers may run a step.

A command that can't be sent, or a reply that can't be read, ends with a failed
reply for its own worker and doesn't affect the commands after it.
"""

import traceback
from collections.abc import Callable, Hashable

from twisted.internet import interfaces
from twisted.python.failure import Failure

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter
from clayfield.node.call_queue import CallQueue
from clayfield.node.httpclient import (
    MAX_IDLE_CONNECTIONS,
    CallOutcome,
    CallResult,
    ConnectionPool,
    IdleConnections,
)
from clayfield.node.interfaces import WorkerProtocol
from clayfield.pool import (
    Advice,
    CommandReply,
    CommandResult,
    EntryNode,
    PollReply,
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
# Most open calls, polls apart.
MAX_CALLS = 780
# Least time between two log lines about the failures of one worker.
LOG_INTERVAL_MS = 10_000.0

Callback = Callable[[], None]
Reply = CommandReply | PollReply | Advice


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
        max_calls: int = MAX_CALLS,
        max_idle_connections: int = MAX_IDLE_CONNECTIONS,
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
            max_calls: most open calls, polls apart.
            max_idle_connections: most idle connections.
        """
        self._reactor = reactor
        self._clock = clock
        self._protocol = protocol
        self._entry = entry
        self._schedule_actions = schedule_actions
        self._advisor_address = advisor
        self._pools: dict[str, ConnectionPool] = {}
        self._idle_connections = IdleConnections(
            min(MAX_IDLE_CONNECTIONS, max_idle_connections)
        )
        self._queue: CallQueue[_Call] = CallQueue(max_calls)
        self._last_used_s: dict[str, float] = {}
        self._log_filter = RepeatFilter(clock, LOG_INTERVAL_MS)
        self._failed = 0

    @property
    def failed(self) -> int:
        """Number of commands not sent and of replies not read, since start."""
        return self._failed

    @property
    def waiting(self) -> int:
        """Number of commands that wait until fewer are open."""
        return self._queue.waiting

    def start(self, command: StartRun) -> None:
        """Sends a request to start a run."""

        def on_reply(reply: CommandReply) -> None:
            self._entry.on_start_reply(
                command.worker,
                command.task_id,
                command.number,
                call.sent_ms,
                reply,
            )

        call = _Call(
            command.worker,
            command.address,
            COMMAND_TIMEOUT_S,
            write=lambda: self._protocol.write_start(command),
            read=self._protocol.read_command_reply,
            make_failed_reply=CommandReply,
            on_reply=on_reply,
        )
        self._enqueue(
            call, ("start", command.worker, command.task_id, command.number)
        )

    def stop(self, command: StopRun) -> None:
        """Sends a request to stop a run."""

        def on_reply(reply: CommandReply) -> None:
            self._entry.on_stop_reply(
                command.worker,
                command.task_id,
                command.number,
                call.sent_ms,
                reply,
            )

        call = _Call(
            command.worker,
            command.address,
            COMMAND_TIMEOUT_S,
            write=lambda: self._protocol.write_stop(command),
            read=self._protocol.read_command_reply,
            make_failed_reply=CommandReply,
            on_reply=on_reply,
        )
        self._enqueue(
            call, ("stop", command.worker, command.task_id, command.number)
        )

    def throttle(self, command: ThrottleRun) -> None:
        """Sends a request to throttle a run."""
        call = _Call(
            command.worker,
            command.address,
            COMMAND_TIMEOUT_S,
            write=lambda: self._protocol.write_throttle(command),
            read=self._protocol.read_command_reply,
            make_failed_reply=CommandReply,
            on_reply=_ignore_reply,
        )
        self._enqueue(
            call,
            (
                "throttle",
                command.worker,
                command.task_id,
                command.speed_percent,
            ),
        )

    def poll(self, command: PollWorker) -> None:
        """Sends a poll: renews the lease and lists the worker's runs."""
        sent_ms = self._clock.now_ms()

        def on_reply(reply: PollReply) -> None:
            self._entry.on_poll_reply(
                command.worker, command.poll_id, sent_ms, reply
            )

        call = _Call(
            command.worker,
            command.address,
            command.wait_ms / MS_PER_S + POLL_MARGIN_S,
            write=lambda: self._protocol.write_poll(command),
            read=self._protocol.read_poll_reply,
            make_failed_reply=PollReply,
            on_reply=on_reply,
        )
        self._send(call)

    def request_advice(self, command: RequestAdvice) -> None:
        """Requests tickets; without an advisor the reply is negative."""

        def on_reply(advice: Advice) -> None:
            self._entry.on_advice(command.request_id, advice)

        if not self._advisor_address:
            on_reply(Advice(False))
            return
        call = _Call(
            "advisor",
            self._advisor_address,
            ADVICE_TIMEOUT_S,
            write=lambda: self._protocol.write_advice_request(
                command, self._advisor_address
            ),
            read=self._protocol.read_advice,
            make_failed_reply=lambda _: Advice(False),
            on_reply=on_reply,
        )
        self._send(call)

    def _enqueue(self, call: "_Call", key: Hashable) -> None:
        """Sends a request as soon as few enough are open."""
        call.is_counted = True
        self._queue.add(call.address, key, call)
        self._send_waiting()

    def _send_waiting(self) -> None:
        while (call := self._queue.take()) is not None:
            call.sent_ms = self._clock.now_ms()
            self._send(call)

    def _send(self, call: "_Call") -> None:
        """Sends a request; passes on a failed reply if that raises."""
        try:
            request = call.write()
        except Exception:
            self._log_failure(Event.COMMAND_FAILED, call)
            self._fail(call, CommandResult.BAD_ORDER)
            return
        try:
            pool = self._pool_of(call.address)
        except ValueError:
            self._log_failure(Event.COMMAND_FAILED, call)
            self._fail(call, CommandResult.UNREACHED)
            return
        calling = pool.call(request, call.timeout_s)
        calling.addErrback(self._to_lost_result, call)
        calling.addCallback(self._on_result, call)

    def _fail(self, call: "_Call", result: CommandResult) -> None:
        """Passes on the reply to a request of which no byte was sent.

        This happens in a later iteration of the event loop, as with any other
        reply, so that the sender is not called back while it sends.
        """
        self._reactor.callLater(
            0, self._deliver, call, call.make_failed_reply(result)
        )

    def _on_result(self, result: CallResult, call: "_Call") -> None:
        """Decodes a response; one that can't be decoded counts as lost."""
        try:
            reply = call.read(result)
        except Exception:
            self._log_failure(Event.REPLY_UNREADABLE, call)
            reply = call.make_failed_reply(CommandResult.LOST)
        self._deliver(call, reply)

    def _to_lost_result(self, failure: Failure, call: "_Call") -> CallResult:
        """Returns the result of a request that failed in an unexpected way."""
        try:
            failure.raiseException()
        except Exception:
            self._log_failure(Event.COMMAND_FAILED, call)
        return CallResult(CallOutcome.LOST)

    def _log_failure(self, event: Event, call: "_Call") -> None:
        """Counts the exception that is being handled, and logs it if due."""
        self._failed += 1
        if not self._log_filter.is_due(f"{event.name} {call.receiver}"):
            return
        emit(
            event,
            worker=call.receiver,
            address=call.address,
            error=traceback.format_exc(limit=-2),
        )

    def _deliver(self, call: "_Call", reply: Reply) -> None:
        if call.is_counted:
            self._queue.end(call.address)
        try:
            call.on_reply(reply)
        finally:
            self._schedule_actions()
            self._send_waiting()

    def _pool_of(self, address: str) -> ConnectionPool:
        """Returns the connections to an address.

        Raises:
            ValueError: the address is not IP:PORT.
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                self._reactor, address, self._idle_connections
            )
            self._pools[address] = pool
        self._last_used_s[address] = self._reactor.seconds()
        return pool

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


class _Call:
    """A request to a worker or the advisor, and how its reply is handled.

    Attributes:
        receiver: name of the worker, for the log.
        address: IP:PORT of the receiver.
        timeout_s: time after which the reply counts as lost, in s.
        write: returns the encoded request.
        read: returns the reply in a response.
        make_failed_reply: returns the reply that stands for a failure.
        on_reply: called with the reply exactly once.
        sent_ms: time when it was sent, in ms.
        is_counted: whether it counts as an open call.
    """

    __slots__ = (
        "address",
        "is_counted",
        "make_failed_reply",
        "on_reply",
        "read",
        "receiver",
        "sent_ms",
        "timeout_s",
        "write",
    )

    def __init__(
        self,
        receiver: str,
        address: str,
        timeout_s: float,
        *,
        write: Callable[[], bytes],
        read: Callable[[CallResult], Reply],
        make_failed_reply: Callable[[CommandResult], Reply],
        on_reply: Callable[[Reply], None],
    ):
        self.receiver = receiver
        self.address = address
        self.timeout_s = timeout_s
        self.write = write
        self.read = read
        self.make_failed_reply = make_failed_reply
        self.on_reply = on_reply
        self.sent_ms = 0.0
        self.is_counted = False


def _ignore_reply(reply: CommandReply) -> None:
    """Drops the reply to a throttle command."""
