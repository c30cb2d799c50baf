"""Runs a box's decisions on sockets, a disk and the machine's clock."""

import random

from twisted.internet import defer, interfaces, task, threads

from clayfield.base import ClayfieldError, MonotonicClock
from clayfield.base.events import Event, emit
from clayfield.box import (
    Applied,
    BoxCore,
    Identity,
    InForce,
    Persist,
    Send,
)
from clayfield.config import parse
from clayfield.daemon.metrics import Metrics
from clayfield.daemon.operators import Operators
from clayfield.daemon.peers import Peers
from clayfield.daemon.peertls import PeerFiles
from clayfield.daemon.platform import PlatformPoll
from clayfield.daemon.settings import DaemonSettings
from clayfield.daemon.store import Store
from clayfield.daemon.tracing import Tracing
from clayfield.daemon.workers import WorkerClient
from clayfield.dispatch import (
    Answer,
    StartTask,
    Submission,
    TaskEnd,
    Tell,
    WorkerInfo,
)
from clayfield.state.membership import box_of
from clayfield.wire.messages import Message, Outcome

TICK_S = 0.04
TICKS_A_WATCH = 5
WORKER_CONNECTIONS = 64
MS_PER_S = 1000.0


class Runtime:
    """One box in one process.

    Attributes:
        core: its decisions.
        operators: who waits for the control log.
        metrics: its counts.
        tracing: its spans.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        cfg: DaemonSettings,
        identity: Identity,
        store: Store | None,
        tracing: Tracing,
    ):
        self._reactor = reactor
        self._cfg = cfg
        self._identity = identity
        self._store = store
        clock = MonotonicClock()
        self.tracing = tracing
        self.core = BoxCore(
            identity, clock, random.Random(), store.state if store else None
        )
        self.metrics = Metrics(self.core)
        self.operators = Operators(self.core)
        self.core.entry.counters.listener = self._on_finished
        self._peers = Peers(
            reactor,
            cfg.cluster,
            identity,
            self._on_messages,
            self._on_peer_closed,
            _peer_files(cfg),
        )
        shared_by = len(identity.boxes_in(identity.hall))
        self._workers = WorkerClient(
            reactor,
            clock,
            identity.node,
            max(1, WORKER_CONNECTIONS // shared_by),
            self._on_task_end,
        )
        self._poll = PlatformPoll(
            reactor,
            cfg.platform_list,
            cfg.platform_list_ms,
            self._on_workers,
        )
        self._next_tick: interfaces.IDelayedCall | None = None
        self._ticks = 0
        self._is_due = False
        self._was_ready = False
        self._led: set[tuple[str, int]] = set()
        self._has_offered = False

    def start(self) -> None:
        """Listens, connects and begins to tick."""
        self._peers.start()
        self._next_tick = self._reactor.callLater(TICK_S, self._tick)
        if self._cfg.platform_list:
            self._poll.start()

    def stop(self) -> None:
        """Ends the streams; `drain` comes before."""
        if self._next_tick:
            self._next_tick.cancel()
        self._poll.stop()
        self._workers.close()
        self._peers.stop()
        self.tracing.close()
        if self._store:
            self._store.close()

    async def drain(self) -> bool:
        """Carries out a planned stop.

        Returns:
            Whether all that was in flight came to its end.
        """
        emit(Event.STOPPING, open_submissions=self.core.entry.open_count)
        self.core.announce_stop()
        self.kick()
        await self._sleep(self._cfg.balancer_lag_ms / MS_PER_S)
        self.core.begin_stop()
        self.kick()
        left_ms = float(self._cfg.drain_ms)
        while not self.core.is_drained and left_ms > 0:
            await self._sleep(TICK_S)
            left_ms -= TICK_S * MS_PER_S
        return self.core.is_drained

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)

    # Events in.

    def kick(self) -> None:
        """Has the box's actions carried out in this turn of the loop."""
        if not self._is_due:
            self._is_due = True
            self._reactor.callLater(0, self._carry_out)

    def _tick(self) -> None:
        self._next_tick = self._reactor.callLater(TICK_S, self._tick)
        self.core.tick()
        self.kick()
        self._ticks += 1
        if self._ticks % TICKS_A_WATCH == 0:
            self._watch()

    def _on_messages(self, node: str, messages: list[Message]) -> None:
        for message in messages:
            self.core.on_message(node, message)
        self.kick()

    def _on_peer_closed(self, node: str) -> None:
        self.core.on_peer_closed(node)
        self.kick()

    def _on_task_end(
        self, grant: int, end: TaskEnd, answer: bytes, took_ms: float
    ) -> None:
        self.tracing.on_task_end(grant, end)
        self.core.on_task_end(grant, end, answer, took_ms)
        self.kick()

    def _on_workers(self, workers: list[WorkerInfo]) -> None:
        own = [one for one in workers if one.hall == self._identity.hall]
        self._workers.set_workers(own)
        self.core.on_workers(workers)
        self.kick()

    def _on_finished(
        self, sub: Submission, outcome: Outcome, response_ms: float
    ) -> None:
        self.metrics.on_finished(sub, outcome, response_ms)
        self.tracing.on_finished(sub, outcome)

    # Actions out.

    def _carry_out(self) -> None:
        self._is_due = False
        for action in self.core.take_actions():
            match action:
                case Send(box=box, message=message):
                    self._peers.send(box, message)
                case StartTask():
                    traceparent = self.tracing.on_start(action)
                    self._workers.start(action, traceparent)
                case Answer(waiter=waiter, outcome=outcome):
                    waiter.answer(outcome)
                case Tell(waiter=waiter, state=state):
                    waiter.tell(state)
                case Persist():
                    self._persist(action)
                case InForce(version=version):
                    emit(Event.CONFIG_IN_FORCE, version=version)
                case Applied():
                    self.operators.on_applied(action)

    def _persist(self, action: Persist) -> None:
        if not action.records:
            self._after_sync(None, action)
            return
        # Syncing blocks for milliseconds, so it alone leaves the loop.
        writing = threads.deferToThread(self._store.write, action.records)
        writing.addCallbacks(self._after_sync, self._on_store_failed, (action,))

    def _after_sync(self, _: None, action: Persist) -> None:
        for message in action.messages:
            self._peers.send(box_of(message.to), message)
        self.core.on_persisted(action.last_index)
        self.kick()

    def _on_store_failed(self, failure: object) -> None:
        """Leaves the records unconfirmed: this box votes no more."""
        emit(
            Event.STORE_FAILED,
            path=self._cfg.data_folder,
            error=failure.getErrorMessage(),
        )
        self.core.on_store_failed()

    # Watching.

    def _watch(self) -> None:
        if self.core.is_ready != self._was_ready:
            self._was_ready = self.core.is_ready
            emit(Event.READY if self._was_ready else Event.NOT_READY)
        for group in self.core.groups:
            if group.is_leader:
                led = (group.base, group.consensus.term)
                if led not in self._led:
                    self._led.add(led)
                    emit(Event.LEADING, group=led[0], term=led[1])
        if self._cfg.first_config and not self._has_offered:
            self._offer_first_config()

    def _offer_first_config(self) -> None:
        """Applies the first file where no version is in force yet."""
        control = self.core.control
        if control is None or not control.leads:
            return
        self._has_offered = True
        if control.log.version:
            return
        try:
            with open(self._cfg.first_config, encoding="utf-8") as file:
                self.core.apply(parse(file.read()))
        except (OSError, ClayfieldError) as exc:
            emit(Event.CONFIG_REJECTED, error=str(exc))


def _peer_files(cfg: DaemonSettings) -> PeerFiles | None:
    if not cfg.peer_tls_key:
        return None
    return PeerFiles(
        cfg.peer_tls_key, cfg.peer_tls_certificate, cfg.peer_tls_authority
    )
