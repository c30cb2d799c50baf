"""The process of a control node.

It serves operators and the heartbeats of workers over HTTP, and takes part in
the replicated control log: it exchanges messages with other nodes and writes
log records to disk.
"""

import random

from twisted.internet import defer, reactor, threads
from twisted.python.failure import Failure

from clayfield.base import MonotonicClock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter
from clayfield.cluster import (
    Action,
    Broadcast,
    ControlNode,
    Persist,
    Send,
    SendConfig,
    VoterPolicy,
    WriteFinished,
    WriteOutcome,
    find_config_version,
    make_initial_records,
)
from clayfield.daemon.store import Store
from clayfield.node.descriptors import DescriptorShares
from clayfield.node.guard import ClientGuard
from clayfield.node.httpserver import HttpLimits, HttpRequest, HttpServer
from clayfield.node.interfaces import (
    HeartbeatCall,
    HttpReply,
    LeaveCall,
    OperatorCall,
    OperatorProtocol,
    ReadCall,
    RejectedHeartbeat,
    WriteCall,
)
from clayfield.node.metrics import ControlMetrics, MetricsServer
from clayfield.node.process import NodeProcess
from clayfield.node.settings import NodeSettings, format_address
from clayfield.node.settings_source import SettingsSource
from clayfield.node.streams import StreamListener, Streams
from clayfield.state import Append
from clayfield.state.membership import node_name
from clayfield.wire.cluster import ConfigPush, NodeGreeting
from clayfield.wire.messages import ENTRY_COMMAND, Message

ROLE = "control"
TICKS_PER_CHECK = 25
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
LIMITS = HttpLimits(body_bytes=MAX_DOCUMENT_BYTES)
# Largest request that is read in the event loop.
MAX_INLINE_BYTES = 64 * 1024
# Largest number of threads that read requests: the lists in a document of 4 MiB
# may take 90 MB while it is checked.
MAX_READERS = 1
# Identity of the stores that form a new cluster. Fixed, so that each voter can
# compute the names of the others; later stores use their creation time.
FIRST_STORE_ID = 0
STOP_DELAY_S = 0.3
# Least time between two log lines about rejected heartbeats of one name.
LOG_INTERVAL_MS = 10_000.0
# Least time between two log lines about configurations sent again to a node.
RESEND_LOG_INTERVAL_MS = 1000.0
# Length to which the name in such a line is cut; the sender chooses it.
MAX_LOGGED_NAME = 200


class ControlProcess(NodeProcess, StreamListener):
    """The process of one control node.

    Decisions are made by `ControlNode`; this class connects it to the network
    and the disk.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        operators: OperatorProtocol,
        settings: SettingsSource,
    ):
        """Opens the store and creates the process; `run` starts it.

        Args:
            cfg: the settings of the node.
            operators: protocol for operators and workers' heartbeats.
            settings: where the settings are read again.
        """
        super().__init__(cfg.name, ROLE)
        self._cfg = cfg
        self._operators = operators
        self._settings = settings
        self._clock = MonotonicClock()
        self._store = self._open_store()
        node = node_name(format_address(cfg.peers), self._store.disk_id)
        self._control = ControlNode(
            node,
            self._clock,
            random.Random(),
            self._store.state,
            VoterPolicy(2 * cfg.losses + 1),
            cfg.worker_heartbeat_ms,
            cfg.keep_ended_ms,
        )
        self._streams = Streams(
            reactor, NodeGreeting(cfg.cluster, node, ROLE, cfg.hall), self
        )
        self._guard = ClientGuard(reactor, cfg.memory_mb)
        self._server = HttpServer(
            reactor,
            self._on_request,
            lambda: LIMITS,
            self._guard,
            max_connections=DescriptorShares(cfg.max_descriptors).operators,
        )
        self._metrics = ControlMetrics(
            self._control, self._streams, self._guard
        )
        self._metrics_server = MetricsServer(
            reactor, self._metrics, self._guard
        )
        self._rejections = RepeatFilter(self._clock, LOG_INTERVAL_MS)
        self._resends = RepeatFilter(self._clock, RESEND_LOG_INTERVAL_MS)
        self._readers = defer.DeferredSemaphore(MAX_READERS)
        self._pending_requests: dict[int, HttpRequest] = {}
        self._last_request_id = 0
        self._ticks = 0
        self._is_stopping = False
        self._was_leading = False
        self._is_storing = False
        self._unwritten: list[Persist] = []

    def _open_store(self) -> Store:
        """Opens the store; on first start writes the initial voters to it."""
        own_address = format_address(self._cfg.peers)
        seeds = [format_address(seed) for seed in self._cfg.seeds]
        is_first = self._cfg.is_first_start and own_address in seeds
        store = Store(
            self._cfg.data_folder, disk_id=FIRST_STORE_ID if is_first else None
        )
        if is_first and not store.state.log.last_index:
            voters = tuple(node_name(seed, FIRST_STORE_ID) for seed in seeds)
            records = make_initial_records(voters)
            if store.state.hard_state.term:
                # An earlier, interrupted first start; its vote must stay.
                records = [r for r in records if isinstance(r, Append)]
            store.write(records)
            store.close()
            store = Store(self._cfg.data_folder)
        return store

    def start(self) -> None:
        """Starts to listen and connects to the control nodes."""
        self._streams.start()
        self._server.listen(self._cfg.operators)
        self._metrics_server.start(self._cfg)
        seeds = tuple(format_address(seed) for seed in self._cfg.seeds)
        self._control.add_addresses(seeds)

    def tick(self) -> None:
        """Runs the periodic work: the log's timers, connections, timeouts."""
        self._control.tick()
        for address in self._control.addresses:
            self._streams.connect(address)
        self._ticks += 1
        if self._ticks % TICKS_PER_CHECK == 0:
            self._server.check_timeouts()
            self._metrics_server.check_timeouts()
            if self._settings.has_changed():
                self.reload()
        is_leading = self._control.is_state_current
        if is_leading != self._was_leading:
            self._was_leading = is_leading
            event = Event.LEADING if is_leading else Event.LEADING_ENDED
            emit(event, group=ROLE, term=self._control.consensus.term)

    def reload(self) -> None:
        """Reads the settings again and connects to new seeds."""
        cfg = self._settings.reload()
        if cfg is None:
            return
        self._control.add_addresses(
            tuple(format_address(seed) for seed in cfg.seeds)
        )

    def begin_stop(self) -> None:
        """Starts a planned stop: gives up leadership, serves open requests."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._server.begin_close()
        self._control.consensus.transfer_leadership()
        self.schedule_actions()
        self.call_later(STOP_DELAY_S, self._finish_stop)

    def _finish_stop(self) -> None:
        self._server.stop()
        self._streams.stop()
        self.call_later(0.05, self.end)

    # Operators and workers.

    def _on_request(self, request: HttpRequest) -> None:
        """Reads a request, a large one beside the event loop.

        Checking a document may take longer than a leader's lease.
        """
        if len(request.body) <= MAX_INLINE_BYTES:
            self._on_call(request, self._operators.read_call(request))
            return
        reading = self._readers.run(
            threads.deferToThread, self._operators.read_call, request
        )
        reading.addCallback(lambda call: self._on_call(request, call))
        reading.addErrback(
            lambda failure: self._on_read_failed(request, failure)
        )

    def _on_read_failed(self, request: HttpRequest, failure: Failure) -> None:
        """Answers a request whose reading or handling failed unexpectedly."""
        self.run_guarded(failure.raiseException)
        _reply(request, HttpReply(500))

    def _on_call(self, request: HttpRequest, call: OperatorCall) -> None:
        match call:
            case HttpReply():
                _reply(request, call)
            case WriteCall():
                self._on_write(request, call)
            case ReadCall():
                self._on_read(request)
            case HeartbeatCall(info=info):
                self._on_heartbeat(request, info)
            case RejectedHeartbeat():
                self._on_rejected_heartbeat(request, call)
            case LeaveCall(name=name):
                self._control.on_worker_removed(name)
                _reply(request, HttpReply(200))
        self.schedule_actions()

    def _on_heartbeat(self, request: HttpRequest, info: object) -> None:
        if not self._control.has_entry_nodes:
            _reply(request, HttpReply(503))
            return
        self._control.on_worker_heartbeat(info)
        _reply(request, HttpReply(200))

    def _on_rejected_heartbeat(
        self, request: HttpRequest, call: RejectedHeartbeat
    ) -> None:
        """Replies to a heartbeat of another writer, which is not recorded."""
        self._metrics.on_heartbeat_rejected()
        name = call.name[:MAX_LOGGED_NAME]
        if self._rejections.is_due(name):
            emit(Event.HEARTBEAT_REJECTED, worker=name, error=call.error)
        _reply(request, call.reply)

    def _on_write(self, request: HttpRequest, call: WriteCall) -> None:
        """Starts a write of the configuration, or redirects to the leader."""
        self._last_request_id += 1
        request_id = self._last_request_id
        is_accepted = self._control.write_config(
            request_id, call.version, call.document
        )
        if is_accepted:
            self._pending_requests[request_id] = request
        else:
            self._redirect_to_leader(request)

    def _on_read(self, request: HttpRequest) -> None:
        if not self._control.is_state_current:
            self._redirect_to_leader(request)
        elif self._control.state.version:
            emit(
                Event.CONFIG_READ,
                version=self._control.state.version,
                term=self._control.consensus.term,
                lease_left_ms=round(self._control.consensus.lease_left_ms),
            )
            _reply(request, HttpReply(200, self._control.state.document))
        else:
            _reply(request, HttpReply(503))

    def _redirect_to_leader(self, request: HttpRequest) -> None:
        leader = self._control.leader_address
        if not leader or leader == format_address(self._cfg.peers):
            _reply(request, HttpReply(503))
            return
        host = leader.rpartition(":")[0]
        port = self._cfg.operators[1]
        reply = self._operators.write_redirect(host, port, request.path)
        _reply(request, reply)

    def _on_write_finished(self, result: WriteFinished) -> None:
        emit(
            Event.CONFIG_ACKNOWLEDGED,
            version=result.requested_version,
            active_version=result.version,
            outcome=result.outcome.value,
            took_ms=round(result.took_ms),
        )
        request = self._pending_requests.pop(result.request, None)
        if request is None:
            return
        is_active = result.outcome is WriteOutcome.IN_FORCE
        _reply(request, HttpReply(200 if is_active else 503))

    # Streams to other nodes.

    def on_connected(self, greeting: NodeGreeting) -> None:
        """Handles the opening of the first stream to a node."""
        self._control.on_connected(greeting)
        self.schedule_actions()

    def on_stream_lost(self, greeting: NodeGreeting) -> None:
        """Handles the loss of a stream to a node while another stays open."""
        self._control.on_stream_lost(greeting.node)
        self.schedule_actions()

    def on_disconnected(self, node: str) -> None:
        """Handles the loss of the last stream to a node."""
        self._control.on_disconnected(node)
        self.schedule_actions()

    def on_data(self, node: str, is_in_message: bool) -> None:
        """Handles the arrival of bytes from a node."""
        self._control.on_data(node, is_in_message)

    def on_messages(self, node: str, messages: list[Message]) -> None:
        """Handles messages from a node."""
        for message in messages:
            self.run_guarded(
                lambda one=message: self._control.on_message(node, one)
            )
        self.schedule_actions()

    def run_actions(self) -> None:
        """Runs the actions that the control node's logic has queued."""
        for action in self._control.take_actions():
            self.run_guarded(lambda action=action: self._run_action(action))

    def _run_action(self, action: Action) -> None:
        match action:
            case Send(node=node, message=message):
                if isinstance(action, SendConfig) and action.is_repeated:
                    self._log_resent(node, message)
                self._streams.send(node, message)
            case Broadcast(message=message):
                self._streams.broadcast("entry", message)
            case Persist():
                self._persist(action)
            case WriteFinished():
                self._on_write_finished(action)

    def _log_resent(self, node: str, push: ConfigPush) -> None:
        """Logs a configuration sent to one entry node, unless done lately."""
        if self._resends.is_due(f"{node} {push.version}"):
            emit(
                Event.CONFIG_RESENT,
                peer=node,
                version=push.version,
                reported_version=self._control.reported_version(node),
                waiting_bytes=self._streams.waiting_bytes(node),
            )

    def _persist(self, action: Persist) -> None:
        """Writes an action's records to disk, then sends its messages.

        A message may acknowledge records of earlier actions, so even an
        action without records waits until all earlier ones are on disk.
        """
        is_idle = not self._is_storing and not self._unwritten
        if is_idle and not action.records:
            self._after_sync(action)
            return
        self._unwritten.append(action)
        self._store_next()

    def _store_next(self) -> None:
        """Writes all waiting actions in a thread, one batch at a time."""
        if self._is_storing or not self._unwritten:
            return
        self._is_storing = True
        batch = self._unwritten
        self._unwritten = []
        records = [record for action in batch for record in action.records]
        writing = threads.deferToThread(self._store.write, records)
        writing.addCallbacks(self._on_stored, self._on_store_failed, (batch,))

    def _on_stored(self, _: None, batch: list[Persist]) -> None:
        self._is_storing = False
        for action in batch:
            self._after_sync(action)
        self._store_next()
        self.schedule_actions()

    def _after_sync(self, action: Persist) -> None:
        """Sends the messages of an action whose records are on disk."""
        _log_stored(action)
        for message in action.messages:
            self._streams.send(message.to, message)
        self._control.on_persisted(action.last_index)

    def _on_store_failed(self, failure: object) -> None:
        emit(
            Event.STORE_FAILED,
            path=self._cfg.data_folder,
            error=failure.getErrorMessage(),
        )
        self.fail(failure.getErrorMessage())


def _log_stored(action: Persist) -> None:
    """Logs the configurations among records that are on disk."""
    for record in action.records:
        if isinstance(record, Append) and record.entry.kind == ENTRY_COMMAND:
            version = find_config_version(record.entry.data)
            if version is not None:
                emit(Event.CONFIG_STORED, version=version, index=record.index)


def _reply(request: HttpRequest, reply: HttpReply) -> None:
    request.respond(reply.status, reply.body, headers=reply.headers)
