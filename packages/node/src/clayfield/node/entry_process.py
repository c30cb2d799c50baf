"""The process of an entry node.

It serves callers over HTTP, exchanges messages with other nodes and, while it
is the holder, sends commands to workers. The holder is the entry node that
the control nodes grant the scheduling of all workers.
"""

import os
from collections.abc import Callable

from twisted.internet import reactor

from clayfield.base import MonotonicClock
from clayfield.base.events import Event, emit
from clayfield.node.budget import job_limit_bytes
from clayfield.node.descriptors import (
    MAX_SIDE_CONNECTIONS,
    DescriptorShares,
)
from clayfield.node.guard import ClientGuard
from clayfield.node.httpserver import HttpLimits, HttpRequest, HttpServer
from clayfield.node.interfaces import (
    CallerProtocol,
    CancelCall,
    CountCall,
    HttpReply,
    OperatorProtocol,
    StateCall,
    SubmitCall,
    WorkerProtocol,
)
from clayfield.node.metrics import EntryMetrics, MetricsServer
from clayfield.node.process import NodeProcess
from clayfield.node.settings import NodeSettings, format_address
from clayfield.node.settings_source import SettingsSource
from clayfield.node.streams import StreamListener, Streams
from clayfield.node.workers import WorkerCommands
from clayfield.pool import (
    ConnectNode,
    EntryAction,
    EntryNode,
    JobMemory,
    PollWorker,
    PoolTiming,
    ReplyToCaller,
    ReplyToCancel,
    ReplyToStateRequest,
    RequestAdvice,
    SendToNode,
    StartRun,
    StopRun,
    ThrottleRun,
)
from clayfield.state.membership import box_of, node_name
from clayfield.wire.checks import DECODE_ERRORS
from clayfield.wire.cluster import (
    ConfigPush,
    ControlNodes,
    Grant,
    JobEnded,
    JobStateReply,
    NodeGreeting,
)
from clayfield.wire.messages import Message

ROLE = "entry"
INCARNATION_BYTES = 6
TICKS_PER_CHECK = 25
# Time after the start of a planned stop during which new jobs are accepted, as
# new connections may still arrive.
MIN_DRAIN_MS = 2600.0
# The process ends this long before the grace period is over.
GRACE_MARGIN_MS = 500.0


def to_timing(cfg: NodeSettings) -> PoolTiming:
    """Returns the times of the pool in a node's settings."""
    return PoolTiming(
        cfg.lease_ms, cfg.stop_ms, cfg.keep_ended_ms, cfg.resubmit_ms
    )


class _PendingRequest:
    """A caller's HTTP request that waits for its response.

    Attributes:
        request: the HTTP request.
        key: key of the job that it is about.
        queue: queue of a submitted job, "" for other requests.
        received_ms: time of its arrival, in ms.
    """

    __slots__ = ("key", "queue", "request", "received_ms")

    def __init__(
        self, request: HttpRequest, key: str, queue: str, received_ms: float
    ):
        self.request = request
        self.key = key
        self.queue = queue
        self.received_ms = received_ms


class EntryProcess(NodeProcess, StreamListener):
    """The process of one entry node.

    Decisions are made by `EntryNode`; this class connects it to the network.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        callers: CallerProtocol,
        operators: OperatorProtocol,
        workers: WorkerProtocol,
        settings: SettingsSource,
    ):
        """Creates the process; `run` starts it.

        Args:
            cfg: the settings of the node.
            callers: protocol for callers.
            operators: protocol for operators, here the decoder of
                configurations.
            workers: protocol for workers and the advisor.
            settings: where the settings are read again.
        """
        super().__init__(cfg.name, ROLE)
        self._cfg = cfg
        self._callers = callers
        self._operators = operators
        self._settings = settings
        self._clock = MonotonicClock()
        incarnation = int.from_bytes(os.urandom(INCARNATION_BYTES), "big")
        self._node = node_name(format_address(cfg.peers), incarnation)
        self._entry = EntryNode(
            self._node,
            cfg.hall,
            self._clock,
            to_timing(cfg),
            JobMemory(job_limit_bytes(cfg.memory_mb)),
        )
        self._streams = Streams(
            reactor,
            NodeGreeting(cfg.cluster, self._node, ROLE, cfg.hall),
            self,
        )
        shares = DescriptorShares(cfg.max_descriptors)
        self._commands = WorkerCommands(
            reactor,
            self._clock,
            workers,
            self._entry,
            self.schedule_actions,
            format_address(cfg.advisor) if cfg.advisor else "",
            shares.calls,
            shares.idle_calls,
        )
        self._guard = ClientGuard(reactor, cfg.memory_mb)
        self._limits = HttpLimits()
        self._limits_version = 0
        self._server = HttpServer(
            reactor,
            self._on_request,
            self._get_limits,
            self._guard,
            callers.header_names,
            shares.callers,
        )
        self._readiness = HttpServer(
            reactor,
            self._on_readiness,
            HttpLimits,
            self._guard,
            max_connections=MAX_SIDE_CONNECTIONS,
        )
        self._pending: dict[int, _PendingRequest] = {}
        self._metrics = EntryMetrics(
            self._entry, self._commands, self._streams, self._guard
        )
        self._metrics_server = MetricsServer(
            reactor, self._metrics, self._guard
        )
        self._last_request_id = 0
        # The last version that could not be read, which is sent repeatedly.
        self._rejected_version = 0
        self._ticks = 0
        self._stop_started_ms: float | None = None
        self._was_ready = False
        self._was_holder = False

    def start(self) -> None:
        """Starts to listen and connects to the control nodes."""
        self._streams.start()
        self._server.listen(self._cfg.callers)
        self._readiness.listen(self._cfg.readiness)
        self._metrics_server.start(self._cfg)
        for seed in self._cfg.seeds:
            self._streams.connect(format_address(seed))

    def tick(self) -> None:
        """Runs the periodic work: timers, timeouts, log events, stopping."""
        self._entry.tick()
        self._ticks += 1
        if self._ticks % TICKS_PER_CHECK == 0:
            self._server.check_timeouts()
            if self._settings.has_changed():
                self.reload()
            self._readiness.check_timeouts()
            self._metrics_server.check_timeouts()
            self._commands.drop_unused()
        self._log_changes()
        if self._stop_started_ms is not None:
            self._continue_stop()

    def _log_changes(self) -> None:
        """Logs changes of readiness and of the holder role."""
        if self._entry.is_ready != self._was_ready:
            self._was_ready = self._entry.is_ready
            emit(Event.READY if self._was_ready else Event.NOT_READY)
        is_holder = self._entry.dispatcher is not None
        if is_holder != self._was_holder:
            self._was_holder = is_holder
            event = Event.HOLDING if is_holder else Event.HOLDING_ENDED
            emit(event, epoch=self._entry.grant.epoch)

    def reload(self) -> None:
        """Reads the settings again and connects to new seeds."""
        cfg = self._settings.reload()
        if cfg is None:
            return
        for seed in cfg.seeds:
            self._streams.connect(format_address(seed))

    def begin_stop(self) -> None:
        """Starts a planned stop: serves open jobs, then ends."""
        if self._stop_started_ms is not None:
            return
        emit(Event.STOPPING, open_submissions=self._entry.open_jobs)
        self._stop_started_ms = self._clock.now_ms()
        self._entry.begin_stop()
        self._server.begin_close()
        self.schedule_actions()

    def _continue_stop(self) -> None:
        """Ends the process once it is drained or the grace period is over."""
        elapsed_ms = self._clock.now_ms() - self._stop_started_ms
        is_grace_over = elapsed_ms > self._cfg.grace_ms - GRACE_MARGIN_MS
        if not is_grace_over and elapsed_ms < MIN_DRAIN_MS:
            return
        self._entry.rejects_jobs = True
        if is_grace_over:
            self._entry.fail_all()
            self.run_actions()
        self._server.close_idle()
        is_drained = (
            not self._entry.open_jobs and self._entry.dispatcher is None
        )
        if is_drained or is_grace_over:
            self._server.stop()
            self._commands.close()
            self._streams.stop()
            self.call_later(0.05, self.end)

    # Callers.

    def _get_limits(self) -> HttpLimits:
        """Returns the limits of callers' requests in the active routing."""
        routes = self._entry.routes
        if routes.version != self._limits_version:
            self._limits_version = routes.version
            self._limits = HttpLimits(
                routes.limits.header_bytes,
                routes.limits.body_bytes,
                routes.limits.header_ms,
                routes.limits.idle_ms,
            )
        return self._limits

    def _on_readiness(self, request: HttpRequest) -> None:
        is_ready = self._entry.is_ready and self._server.is_listening
        request.respond(200 if is_ready else 503)

    def _on_request(self, request: HttpRequest) -> None:
        call = self._callers.read_call(request, self._entry.routes)
        request.body = b""
        match call:
            case HttpReply():
                _reply(request, call)
            case SubmitCall(job=job):
                request_id = self._add_pending(request, job.key, job.queue)
                self._entry.submit(job, request_id)
            case CancelCall(key=key):
                self._entry.callers.cancel(
                    key, self._add_pending(request, key, "")
                )
            case StateCall(key=key):
                self._entry.callers.request_state(
                    key, self._add_pending(request, key, "")
                )
            case CountCall(queue=queue):
                waiting = self._entry.pending_count(queue)
                _reply(request, self._callers.write_count_reply(waiting))
        self.schedule_actions()

    def _add_pending(self, request: HttpRequest, key: str, queue: str) -> int:
        """Registers a request that is answered later; returns its number."""
        self._last_request_id += 1
        request_id = self._last_request_id
        self._pending[request_id] = _PendingRequest(
            request, key, queue, self._clock.now_ms()
        )
        request.on_disconnected = lambda: self._on_caller_disconnected(
            request_id
        )
        return request_id

    def _on_caller_disconnected(self, request_id: int) -> None:
        pending = self._pending.pop(request_id, None)
        if pending:
            self._entry.callers.on_caller_disconnected(pending.key, request_id)
            self.schedule_actions()

    def _reply_to_job(self, request_id: int, ended: JobEnded) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        took_ms = self._clock.now_ms() - pending.received_ms
        self._metrics.on_answered(pending.queue, ended, took_ms)
        emit(
            Event.JOB_ANSWERED,
            job=ended.key,
            queue=pending.queue,
            verdict=ended.verdict.name.lower(),
            reason=ended.reason.value,
            took_ms=round(took_ms),
            retry_after_ms=round(ended.retry_after_ms),
            epoch=self._entry.grant.epoch,
            holder=self._entry.holder,
        )
        self._respond(pending, lambda: self._callers.write_job_reply(ended))

    def _reply_to_cancel(self, request_id: int, is_found: bool | None) -> None:
        pending = self._pending.pop(request_id, None)
        if pending:
            self._respond(
                pending, lambda: self._callers.write_cancel_reply(is_found)
            )

    def _reply_to_state(
        self, request_id: int, reply: JobStateReply | None
    ) -> None:
        pending = self._pending.pop(request_id, None)
        if pending:
            self._respond(
                pending, lambda: self._callers.write_state_reply(reply)
            )

    def _respond(
        self, pending: _PendingRequest, write: Callable[[], HttpReply]
    ) -> None:
        """Responds to a caller, with an error if the reply can't be encoded."""
        reply = HttpReply(500)
        try:
            reply = write()
        finally:
            _reply(pending.request, reply)

    # Streams to other nodes.

    def on_connected(self, greeting: NodeGreeting) -> None:
        """Handles the opening of the first stream to a node."""
        self._entry.on_connected(greeting)
        self.schedule_actions()

    def on_stream_lost(self, greeting: NodeGreeting) -> None:
        """Handles the loss of a stream to a node while another stays open."""
        self._entry.on_disconnected(greeting.node)
        self._entry.on_connected(greeting)
        self.schedule_actions()

    def on_disconnected(self, node: str) -> None:
        """Handles the loss of the last stream to a node."""
        self._entry.on_disconnected(node)
        self.schedule_actions()

    def on_data(self, node: str, is_in_message: bool) -> None:
        """Does nothing; only whole messages count here."""

    def on_messages(self, node: str, messages: list[Message]) -> None:
        """Handles messages from a node."""
        for message in messages:
            self.run_guarded(lambda one=message: self._on_message(node, one))
        self.schedule_actions()

    def _on_message(self, node: str, message: Message) -> None:
        match message:
            case ControlNodes(addresses=addresses):
                for address in addresses:
                    self._streams.connect(address)
            case ConfigPush():
                self._on_config(node, message)
            case Grant(epoch=epoch, holder=holder):
                if epoch > self._entry.grant.epoch:
                    emit(Event.GRANT_KNOWN, epoch=epoch, holder=holder)
                self._entry.on_message(node, message)
            case _:
                self._entry.on_message(node, message)

    def _on_config(self, node: str, push: ConfigPush) -> None:
        """Activates a newer configuration; keeps the active one otherwise."""
        self._metrics.on_config_received()
        self._entry.on_config_received(node, push.version)
        is_rejected = push.version == self._rejected_version
        if is_rejected or not self._entry.needs_config(push):
            return
        emit(
            Event.CONFIG_RECEIVED,
            version=push.version,
            peer=node,
            bytes=len(push.document),
        )
        try:
            table = self._operators.read_table(push.document)
        except DECODE_ERRORS as exc:
            # Control nodes of another version may accept other documents.
            self._rejected_version = push.version
            error = f"version {push.version} can't be read: {exc}."
            emit(Event.CONFIG_REJECTED, error=error)
            return
        if self._entry.on_config(table):
            emit(Event.CONFIG_IN_FORCE, version=table.version)

    def run_actions(self) -> None:
        """Runs the actions that the entry node's logic has queued."""
        for action in self._entry.take_actions():
            self.run_guarded(lambda action=action: self._run_action(action))

    def _run_action(self, action: EntryAction) -> None:
        match action:
            case SendToNode(node=node, message=message):
                self._streams.send(node, message)
            case StartRun():
                self._commands.start(action)
            case PollWorker():
                self._commands.poll(action)
            case StopRun():
                self._commands.stop(action)
            case ThrottleRun():
                self._commands.throttle(action)
            case RequestAdvice():
                self._commands.request_advice(action)
            case ReplyToCaller(request_id=request_id, ended=ended):
                self._reply_to_job(request_id, ended)
            case ReplyToCancel(request_id=request_id, is_found=is_found):
                self._reply_to_cancel(request_id, is_found)
            case ReplyToStateRequest(request_id=request_id, reply=reply):
                self._reply_to_state(request_id, reply)
            case ConnectNode(node=node):
                self._streams.connect(box_of(node))


def _reply(request: HttpRequest, reply: HttpReply) -> None:
    request.respond(reply.status, reply.body, headers=reply.headers)
