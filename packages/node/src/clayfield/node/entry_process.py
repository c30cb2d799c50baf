"""An entry as a process: callers, streams to other nodes, workers."""

import os
from collections.abc import Callable

from twisted.internet import reactor

from clayfield.base import MonotonicClock
from clayfield.base.events import Event, emit
from clayfield.node.faces import (
    CallerProtocol,
    CancelCall,
    CountCall,
    HttpReply,
    OperatorProtocol,
    StateCall,
    SubmitCall,
    WorkerProtocol,
)
from clayfield.node.httpserver import HttpBounds, HttpRequest, HttpServer
from clayfield.node.metrics import EntryMetrics, MetricsServer
from clayfield.node.process import NodeProcess
from clayfield.node.settings import NodeSettings, place_text
from clayfield.node.streams import StreamListener, Streams
from clayfield.node.workers import WorkerOrders
from clayfield.pool import (
    AnswerCaller,
    AnswerCancel,
    AnswerState,
    AskAdvisor,
    Dial,
    Entry,
    HoldWorker,
    PaceRun,
    PoolTiming,
    StartRun,
    StopRun,
    TellEntry,
)
from clayfield.state.membership import box_of, node_name
from clayfield.wire.cluster import (
    ConfigPush,
    ControlNodes,
    Grant,
    JobEnded,
    NodeGreeting,
    StateTold,
)
from clayfield.wire.messages import Message

ROLE = "entry"
INCARNATION_BYTES = 6
TICKS_A_CHECK = 25
# After a planned stop begins, how long new connections may still come.
LINGER_MS = 2600.0
# What is left of the grace when the process ends at the latest.
MARGIN_MS = 500.0


class _Waiter:
    """A caller that waits."""

    __slots__ = ("key", "queue", "request", "since_ms")

    def __init__(
        self, request: HttpRequest, key: str, queue: str, since_ms: float
    ):
        self.request = request
        self.key = key
        self.queue = queue
        self.since_ms = since_ms


class EntryProcess(NodeProcess, StreamListener):
    """The process of one entry."""

    def __init__(
        self,
        cfg: NodeSettings,
        callers: CallerProtocol,
        operators: OperatorProtocol,
        workers: WorkerProtocol,
        reload_settings: Callable[[], NodeSettings],
    ):
        super().__init__(cfg.name, ROLE)
        self._cfg = cfg
        self._callers = callers
        self._operators = operators
        self._reload_settings = reload_settings
        self._clock = MonotonicClock()
        incarnation = int.from_bytes(os.urandom(INCARNATION_BYTES), "big")
        self._node = node_name(place_text(cfg.peers), incarnation)
        timing = PoolTiming(cfg.lease_ms, cfg.stop_ms, cfg.keep_ended_ms)
        self._entry = Entry(self._node, cfg.hall, self._clock, timing)
        self._streams = Streams(
            reactor,
            NodeGreeting(cfg.cluster, self._node, ROLE, cfg.hall),
            self,
        )
        self._orders = WorkerOrders(
            reactor,
            self._clock,
            workers,
            self._entry,
            self.kick,
            place_text(cfg.advisor) if cfg.advisor else "",
        )
        self._server = HttpServer(reactor, self._on_request, self._bounds)
        self._readiness = HttpServer(reactor, self._on_readiness, HttpBounds)
        self._waiters: dict[int, _Waiter] = {}
        self._metrics = EntryMetrics(self._entry)
        self._metrics_server = MetricsServer(reactor, self._metrics)
        self._next_waiter = 0
        self._ticks = 0
        self._stop_began_ms: float | None = None
        self._was_ready = False
        self._was_holding = False

    # Life.

    def start(self) -> None:
        """Listens and connects."""
        self._streams.start()
        self._server.listen(self._cfg.callers)
        self._readiness.listen(self._cfg.readiness)
        self._metrics_server.start(self._cfg)
        for seed in self._cfg.seeds:
            self._streams.dial(place_text(seed))

    def tick(self) -> None:
        """Lets time act."""
        self._entry.tick()
        self._ticks += 1
        if self._ticks % TICKS_A_CHECK == 0:
            self._server.check()
            self._readiness.check()
            self._orders.drop_unused()
        self._watch()
        if self._stop_began_ms is not None:
            self._go_on_stopping()

    def _watch(self) -> None:
        if self._entry.is_ready != self._was_ready:
            self._was_ready = self._entry.is_ready
            emit(Event.READY if self._was_ready else Event.NOT_READY)
        is_holding = self._entry.dispatcher is not None
        if is_holding != self._was_holding:
            self._was_holding = is_holding
            event = Event.HOLDING if is_holding else Event.HOLDING_ENDED
            emit(event, epoch=self._entry.grant.epoch)

    def reload(self) -> None:
        """Reads the settings again; new seeds are dialled."""
        cfg = self._reload_settings()
        emit(Event.RELOADED, node=self._cfg.name)
        for seed in cfg.seeds:
            self._streams.dial(place_text(seed))

    def begin_stop(self) -> None:
        """Begins a planned stop."""
        if self._stop_began_ms is not None:
            return
        emit(Event.STOPPING, open_submissions=self._entry.open_jobs)
        self._stop_began_ms = self._clock.now_ms()
        self._entry.begin_stop()
        self._server.begin_close()
        self.kick()

    def _go_on_stopping(self) -> None:
        passed_ms = self._clock.now_ms() - self._stop_began_ms
        is_late = passed_ms > self._cfg.grace_ms - MARGIN_MS
        if not is_late and passed_ms < LINGER_MS:
            return
        self._entry.is_refusing = True
        if is_late:
            self._entry.give_up_all()
            self.carry_out()
        self._server.close_idle()
        is_free = not self._entry.open_jobs and self._entry.dispatcher is None
        if is_free or is_late:
            self._server.stop()
            self._orders.close()
            self._streams.stop()
            self.call_later(0.05, self.end)

    # Callers.

    def _bounds(self) -> HttpBounds:
        limits = self._entry.routes.limits
        return HttpBounds(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_ms,
            limits.idle_ms,
        )

    def _on_readiness(self, request: HttpRequest) -> None:
        request.answer(200 if self._entry.is_ready else 503)

    def _on_request(self, request: HttpRequest) -> None:
        call = self._callers.read_call(request, self._entry.routes)
        match call:
            case HttpReply():
                _reply(request, call)
            case SubmitCall(job=job):
                waiter = self._wait(request, job.key, job.queue)
                self._entry.submit(job, waiter)
            case CancelCall(key=key):
                self._entry.callers.cancel(key, self._wait(request, key, ""))
            case StateCall(key=key):
                self._entry.callers.ask_state(key, self._wait(request, key, ""))
            case CountCall(queue=queue):
                waiting = self._entry.waiting_of(queue)
                _reply(request, self._callers.write_count(waiting))
        self.kick()

    def _wait(self, request: HttpRequest, key: str, queue: str) -> int:
        self._next_waiter += 1
        number = self._next_waiter
        self._waiters[number] = _Waiter(
            request, key, queue, self._clock.now_ms()
        )
        request.on_gone = lambda: self._on_gone(number)
        return number

    def _on_gone(self, number: int) -> None:
        waiter = self._waiters.pop(number, None)
        if waiter:
            self._entry.callers.leave(waiter.key, number)
            self.kick()

    def _answer_job(self, number: int, ended: JobEnded) -> None:
        waiter = self._waiters.pop(number, None)
        if waiter is None:
            return
        took_ms = self._clock.now_ms() - waiter.since_ms
        self._metrics.on_answered(waiter.queue, ended, took_ms)
        emit(
            Event.JOB_ANSWERED,
            job=ended.key,
            queue=waiter.queue,
            verdict=ended.verdict.name.lower(),
            reason=ended.reason.value,
            took_ms=round(took_ms),
            retry_after_ms=round(ended.retry_after_ms),
            epoch=self._entry.grant.epoch,
            holder=self._entry.holder,
        )
        _reply(waiter.request, self._callers.write_ended(ended))

    def _answer_cancel(self, number: int, is_known: bool | None) -> None:
        waiter = self._waiters.pop(number, None)
        if waiter:
            _reply(waiter.request, self._callers.write_cancelled(is_known))

    def _answer_state(self, number: int, told: StateTold | None) -> None:
        waiter = self._waiters.pop(number, None)
        if waiter:
            _reply(waiter.request, self._callers.write_state(told))

    # Streams.

    def on_open(self, greeting: NodeGreeting) -> None:
        """Learns that a stream to a node is open."""
        self._entry.on_open(greeting)
        self.kick()

    def on_closed(self, node: str) -> None:
        """Learns that no stream to a node is open any more."""
        self._entry.on_closed(node)
        self.kick()

    def on_messages(self, node: str, messages: list[Message]) -> None:
        """Takes messages of a node."""
        for message in messages:
            self._on_message(node, message)
        self.kick()

    def _on_message(self, node: str, message: Message) -> None:
        match message:
            case ControlNodes(addresses=addresses):
                for address in addresses:
                    self._streams.dial(address)
            case ConfigPush():
                self._on_config(message)
            case Grant(epoch=epoch, holder=holder):
                if epoch > self._entry.grant.epoch:
                    emit(Event.GRANT_KNOWN, epoch=epoch, holder=holder)
                self._entry.on_message(node, message)
            case _:
                self._entry.on_message(node, message)

    def _on_config(self, push: ConfigPush) -> None:
        if not self._entry.needs_config(push):
            return
        table = self._operators.read_table(push.document)
        if self._entry.on_config(table):
            emit(Event.CONFIG_IN_FORCE, version=table.version)

    # Actions.

    def carry_out(self) -> None:
        """Carries out what the entry decided."""
        for action in self._entry.take_actions():
            match action:
                case TellEntry(node=node, message=message):
                    self._streams.send(node, message)
                case StartRun():
                    self._orders.start(action)
                case HoldWorker():
                    self._orders.hold(action)
                case StopRun():
                    self._orders.stop(action)
                case PaceRun():
                    self._orders.pace(action)
                case AskAdvisor():
                    self._orders.ask(action)
                case AnswerCaller(waiter=waiter, ended=ended):
                    self._answer_job(waiter, ended)
                case AnswerCancel(waiter=waiter, is_known=is_known):
                    self._answer_cancel(waiter, is_known)
                case AnswerState(waiter=waiter, told=told):
                    self._answer_state(waiter, told)
                case Dial(node=node):
                    self._streams.dial(box_of(node))


def _reply(request: HttpRequest, reply: HttpReply) -> None:
    request.answer(reply.status, reply.body, headers=reply.headers)
