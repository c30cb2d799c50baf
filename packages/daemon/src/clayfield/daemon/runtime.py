"""Runs the state machine of a box on real sockets, disk and time.

`BoxCore` makes all decisions of a box and does no input or output. The runtime
passes it messages, worker replies and ticks, and carries out the actions that
it returns.
"""

import random

from twisted.internet import defer, interfaces, task, threads

from clayfield.base import ClayfieldError, MonotonicClock
from clayfield.base.events import Event, emit
from clayfield.box import (
    ApplyFinished,
    BoxCore,
    ConfigActivated,
    Identity,
    Persist,
    Send,
)
from clayfield.config import parse
from clayfield.daemon.metrics import Metrics
from clayfield.daemon.operators import Operators
from clayfield.daemon.peers import Peers
from clayfield.daemon.peertls import PeerFiles
from clayfield.daemon.settings import DaemonSettings
from clayfield.daemon.store import Store
from clayfield.daemon.tracing import Tracing
from clayfield.daemon.worker_list import WorkerListPoller
from clayfield.daemon.workers import WorkerClient
from clayfield.dispatch import (
    SendAnswer,
    SendState,
    StartTask,
    Submission,
    TaskOutcome,
    WorkerInfo,
)
from clayfield.state.membership import box_of
from clayfield.wire.messages import Message, Outcome

TICK_S = 0.04
TICKS_PER_CHECK = 5
MAX_CONNECTIONS_PER_WORKER = 64
MS_PER_S = 1000.0


class Runtime:
    """Connects the state machine of one box to its environment.

    Attributes:
        core: the state machine.
        operators: the operators' requests that are still unanswered.
        metrics: the metrics of this box.
        tracing: the spans of this box's submissions.
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
        self.core.submissions.counters.listener = self._on_finished
        self._peers = Peers(
            reactor,
            cfg.cluster,
            identity,
            self._on_messages,
            self._on_peer_closed,
            _read_peer_files(cfg),
        )
        box_count = len(identity.boxes_in(identity.hall))
        self._workers = WorkerClient(
            reactor,
            clock,
            identity.node,
            max(1, MAX_CONNECTIONS_PER_WORKER // box_count),
            self._on_task_end,
        )
        self._list_poller = WorkerListPoller(
            reactor,
            cfg.platform_list,
            cfg.platform_list_ms,
            self._on_workers,
        )
        self._next_tick: interfaces.IDelayedCall | None = None
        self._ticks = 0
        self._are_actions_scheduled = False
        self._was_ready = False
        self._logged_terms: set[tuple[str, int]] = set()
        self._has_tried_first_config = False

    def start(self) -> None:
        """Opens the port for peers, connects to them and starts the tick."""
        self._peers.start()
        self._next_tick = self._reactor.callLater(TICK_S, self._tick)
        if self._cfg.platform_list:
            self._list_poller.start()

    def stop(self) -> None:
        """Closes all connections and files; call `drain` first."""
        if self._next_tick:
            self._next_tick.cancel()
        self._list_poller.stop()
        self._workers.close()
        self._peers.stop()
        self.tracing.close()
        if self._store:
            self._store.close()

    async def drain(self) -> bool:
        """Finishes the open submissions before a planned stop.

        The box reports that it is not ready and goes on accepting for
        `balancer_lag_ms`, so that load balancers notice. It then refuses new
        work and waits for up to `drain_ms`.

        Returns:
            Whether all open submissions ended in time.
        """
        emit(Event.STOPPING, open_submissions=self.core.submissions.open_count)
        self.core.announce_stop()
        self.schedule_actions()
        await self._sleep(self._cfg.balancer_lag_ms / MS_PER_S)
        self.core.begin_stop()
        self.schedule_actions()
        remaining_ms = float(self._cfg.drain_ms)
        while not self.core.is_drained and remaining_ms > 0:
            await self._sleep(TICK_S)
            remaining_ms -= TICK_S * MS_PER_S
        return self.core.is_drained

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)

    # Events passed to the state machine.

    def schedule_actions(self) -> None:
        """Schedules the pending actions for the reactor's next turn."""
        if not self._are_actions_scheduled:
            self._are_actions_scheduled = True
            self._reactor.callLater(0, self._run_actions)

    def _tick(self) -> None:
        self._next_tick = self._reactor.callLater(TICK_S, self._tick)
        self.core.tick()
        self.schedule_actions()
        self._ticks += 1
        if self._ticks % TICKS_PER_CHECK == 0:
            self._check_status()

    def _on_messages(self, node: str, messages: list[Message]) -> None:
        for message in messages:
            self.core.on_message(node, message)
        self.schedule_actions()

    def _on_peer_closed(self, node: str) -> None:
        self.core.on_peer_closed(node)
        self.schedule_actions()

    def _on_task_end(
        self, grant: int, end: TaskOutcome, answer: bytes, took_ms: float
    ) -> None:
        self.tracing.on_task_end(grant, end)
        self.core.on_task_end(grant, end, answer, took_ms)
        self.schedule_actions()

    def _on_workers(self, workers: list[WorkerInfo]) -> None:
        local_workers = [
            worker for worker in workers if worker.hall == self._identity.hall
        ]
        self._workers.set_workers(local_workers)
        self.core.on_workers(workers)
        self.schedule_actions()

    def _on_finished(
        self, sub: Submission, outcome: Outcome, response_ms: float
    ) -> None:
        self.metrics.on_finished(sub, outcome, response_ms)
        self.tracing.on_finished(sub, outcome)

    # Actions of the state machine.

    def _run_actions(self) -> None:
        self._are_actions_scheduled = False
        for action in self.core.take_actions():
            match action:
                case Send(box=box, message=message):
                    self._peers.send(box, message)
                case StartTask():
                    traceparent = self.tracing.start_task(action)
                    self._workers.start(action, traceparent)
                case SendAnswer(waiter=waiter, outcome=outcome):
                    waiter.send_answer(outcome)
                case SendState(waiter=waiter, state=state):
                    waiter.send_state(state)
                case Persist():
                    self._persist(action)
                case ConfigActivated(version=version):
                    emit(Event.CONFIG_IN_FORCE, version=version)
                case ApplyFinished():
                    self.operators.on_applied(action)

    def _persist(self, action: Persist) -> None:
        if not action.records:
            self._on_synced(None, action)
            return
        # A sync blocks for milliseconds, so it runs in a thread.
        write = threads.deferToThread(self._store.write, action.records)
        write.addCallbacks(self._on_synced, self._on_store_failed, (action,))

    def _on_synced(self, _: None, action: Persist) -> None:
        for message in action.messages:
            self._peers.send(box_of(message.to), message)
        self.core.on_persisted(action.last_index)
        self.schedule_actions()

    def _on_store_failed(self, failure: object) -> None:
        """Leaves the records unconfirmed, so that this box stops voting."""
        emit(
            Event.STORE_FAILED,
            path=self._cfg.data_folder,
            error=failure.getErrorMessage(),
        )
        self.core.on_store_failed()

    # Periodic checks.

    def _check_status(self) -> None:
        """Logs changes of readiness and leadership; applies --first-config."""
        if self.core.is_ready != self._was_ready:
            self._was_ready = self.core.is_ready
            emit(Event.READY if self._was_ready else Event.NOT_READY)
        for group in self.core.groups:
            if group.is_leader:
                leadership = (group.base, group.consensus.term)
                if leadership not in self._logged_terms:
                    self._logged_terms.add(leadership)
                    emit(Event.LEADING, group=leadership[0], term=leadership[1])
        if self._cfg.first_config and not self._has_tried_first_config:
            self._apply_first_config()

    def _apply_first_config(self) -> None:
        """Applies the file of --first-config if no version is in force."""
        control = self.core.control
        if control is None or not control.is_leader:
            return
        self._has_tried_first_config = True
        if control.log.version:
            return
        try:
            with open(self._cfg.first_config, encoding="utf-8") as file:
                self.core.apply(parse(file.read()))
        except (OSError, ClayfieldError) as exc:
            emit(Event.CONFIG_REJECTED, error=str(exc))


def _read_peer_files(cfg: DaemonSettings) -> PeerFiles | None:
    if not cfg.peer_tls_key:
        return None
    return PeerFiles(
        cfg.peer_tls_key, cfg.peer_tls_certificate, cfg.peer_tls_authority
    )
