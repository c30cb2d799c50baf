"""A simulated box: the real core of a box on a fake network and disk."""

import random
from collections.abc import Callable

from clayfield.box import (
    ApplyFinished,
    BoxCore,
    ConfigActivated,
    Identity,
    PeerAddress,
    Persist,
    Send,
)
from clayfield.config import encode_config
from clayfield.dispatch import SendAnswer, StartTask, TaskOutcome
from clayfield.state import Record, Timing, replay
from clayfield.state.membership import box_of
from clayfield.testbed.events import EventQueue
from clayfield.testbed.invariants import InvariantChecker
from clayfield.testbed.network import Network
from clayfield.testbed.workers import FakeWorker

TICK_MS = 20.0
WORKER_DELAY_MS = 0.2


class FakeDisk:
    """A disk that keeps synced records over a crash of its box.

    Attributes:
        disk_id: identifies the data folder; a replaced disk has a higher
            number.
        records: the records that survive a crash.
        is_lying: whether it reports a sync before the records are stored.
    """

    def __init__(self, disk_id: int):
        self.disk_id = disk_id
        self.records: list[Record] = []
        self.is_lying = False


class FakeBox:
    """A box that can crash, freeze, stop and restart.

    Attributes:
        name: name of the box.
        core: the core of its running process, None while it is down.
        disk: its disk, None for a box without one.
        incarnation: number of its present process.
        starts: number of starts of its process.
        is_frozen: whether its process is suspended.
        boxes: all boxes of the site, by name.
        applied: the result of each request to apply a configuration, by
            request.
    """

    def __init__(
        self,
        name: str,
        addresses: dict[str, PeerAddress],
        events: EventQueue,
        network: Network,
        checker: InvariantChecker,
        rng: random.Random,
        workers: dict[str, FakeWorker],
        run_ms_of: Callable[[str, int], float],
        sync_ms: float,
        timing: Timing | None = None,
        make_core: type[BoxCore] = BoxCore,
    ):
        self.name = name
        self.core: BoxCore | None = None
        self.disk = FakeDisk(1) if addresses[name].is_control else None
        self.incarnation = 0
        self.starts = 0
        self.is_frozen = False
        self.boxes: dict[str, FakeBox] = {}
        self.applied: dict[int, ApplyFinished] = {}
        self._addresses = addresses
        self._events = events
        self._network = network
        self._checker = checker
        self._rng = rng
        self._workers = workers
        self._run_ms_of = run_ms_of
        self._sync_ms = sync_ms
        self._timing = timing
        self._make_core = make_core
        self._queued_calls: list[Callable[[], None]] = []

    @property
    def node(self) -> str:
        """The node name, which includes the present incarnation."""
        return f"{self.name}/{self.incarnation}"

    def start(self) -> None:
        """Starts the process of the box from its disk."""
        self.incarnation += 1
        self.starts += 1
        is_control = self._addresses[self.name].is_control
        stored = replay(self.disk.records) if is_control else None
        identity = Identity(
            self.name,
            self.incarnation,
            _copy_addresses(self._addresses),
            self.disk.disk_id if is_control else 0,
        )
        self.core = self._make_core(
            identity, self._events.clock, self._rng, stored, self._timing
        )
        self._tick(self.incarnation)

    def crash(self) -> None:
        """Ends the process at once; records that were not synced are lost."""
        if self.core is not None:
            self._close_streams()
        self.core = None
        self.is_frozen = False
        self._queued_calls.clear()

    def _close_streams(self) -> None:
        node = self.node
        for name, peer in self.boxes.items():
            if name != self.name:
                self._network.send(
                    self.name,
                    name,
                    lambda peer=peer: peer.call(
                        lambda core: core.on_peer_closed(node)
                    ),
                )

    def add_disk(self) -> None:
        """Adds the first disk to a box without one."""
        self.disk = FakeDisk(1)

    def lose_disk(self) -> None:
        """Replaces the disk of a stopped box by an empty one."""
        self.disk = FakeDisk(self.disk.disk_id + 1)

    def freeze(self) -> None:
        """Suspends the process without ending it."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Resumes a frozen process and runs the calls that were queued."""
        self.is_frozen = False
        queued = self._queued_calls
        self._queued_calls = []
        for callback in queued:
            callback()

    def call(self, callback: Callable[[BoxCore], None]) -> None:
        """Calls a function with the core of the box and runs its actions.

        The call is queued while the box is frozen and dropped while it is
        down.
        """
        incarnation = self.incarnation
        if self.core is None:
            return
        if self.is_frozen:
            self._queued_calls.append(
                lambda: self._call_if_running(incarnation, callback)
            )
            return
        callback(self.core)
        self._run_actions()

    def _call_if_running(
        self, incarnation: int, callback: Callable[[BoxCore], None]
    ) -> None:
        """Calls a function if the given incarnation still runs."""
        if self.core is not None and incarnation == self.incarnation:
            self.call(callback)

    def _tick(self, incarnation: int) -> None:
        if self.core is None or incarnation != self.incarnation:
            return
        if not self.is_frozen:
            self.call(lambda core: core.tick())
        self._events.call_later(TICK_MS, lambda: self._tick(incarnation))

    def _run_actions(self) -> None:
        for action in self.core.take_actions():
            match action:
                case Send(box=box, message=message):
                    self._send(box, message)
                case Persist():
                    self._persist(action)
                case StartTask():
                    self._start_task(action)
                case SendAnswer(waiter=waiter, outcome=outcome):
                    waiter(outcome)
                case ConfigActivated(version=version):
                    self._on_config_activated(version)
                case ApplyFinished(request=request):
                    self.applied[request] = action

    def _send(self, box: str, message: object) -> None:
        node = self.node
        peer = self.boxes[box]
        halls = self.core.identity.halls

        def deliver() -> None:
            # The greeting of a stream rejects a peer with other halls.
            if peer.core and peer.core.identity.halls == halls:
                peer.call(lambda core: core.on_message(node, message))

        self._network.send(self.name, box, deliver)

    def _persist(self, action: Persist) -> None:
        incarnation = self.incarnation
        if self.disk.is_lying:
            # Sends the messages before the records are stored.
            disk = self.disk
            self._call_if_running(
                incarnation, lambda core: self._after_sync(action)
            )
            self._events.call_later(
                50.0, lambda: self._write_late(incarnation, disk, action)
            )
            return
        self._events.call_later(
            self._sync_ms, lambda: self._on_synced(incarnation, action)
        )

    def _write_late(
        self, incarnation: int, disk: FakeDisk, action: Persist
    ) -> None:
        if self.core is not None and incarnation == self.incarnation:
            disk.records.extend(action.records)

    def _on_synced(self, incarnation: int, action: Persist) -> None:
        if self.core is None or incarnation != self.incarnation:
            return
        self.disk.records.extend(action.records)
        self._call_if_running(
            incarnation, lambda core: self._after_sync(action)
        )

    def _after_sync(self, action: Persist) -> None:
        for message in action.messages:
            self._send(box_of(message.to), message)
        self.core.on_persisted(action.last_index)

    def _on_config_activated(self, version: int) -> None:
        digest = encode_config(self.core.cfg)
        process = f"{self.name} start {self.starts}"
        self._checker.on_in_force(process, version, digest)

    def _start_task(self, action: StartTask) -> None:
        """Sends a start to a worker; its end or a timeout is reported once."""
        core = self.core
        incarnation = self.incarnation
        sub = core.submissions.submission_for_grant(action.grant)
        worker = self._workers[action.worker]
        key = sub.key
        is_pending = [True]

        def report(end: TaskOutcome, answer: bytes, duration_ms: float) -> None:
            delay_ms = WORKER_DELAY_MS
            if self._network.is_cut(self.name, worker.info.name):
                return
            self._events.call_later(
                delay_ms, lambda: finish(end, answer, duration_ms)
            )

        def finish(end: TaskOutcome, answer: bytes, duration_ms: float) -> None:
            if is_pending[0]:
                is_pending[0] = False
                self._call_if_running(
                    incarnation,
                    lambda c: c.on_task_end(
                        action.grant, end, answer, duration_ms
                    ),
                )

        def arrive() -> None:
            if not self._network.is_cut(self.name, worker.info.name):
                run_ms = self._run_ms_of(key, action.task)
                worker.start(key, action.task, action.payload, run_ms, report)

        self._events.call_later(WORKER_DELAY_MS, arrive)
        self._events.call_later(
            action.timeout_ms,
            lambda: finish(TaskOutcome.LOST, b"", action.timeout_ms),
        )


def _copy_addresses(
    addresses: dict[str, PeerAddress],
) -> dict[str, PeerAddress]:
    """Returns a copy, as a process reads its settings only when it starts."""
    return {
        name: PeerAddress(peer.hall, peer.address, peer.is_control)
        for name, peer in addresses.items()
    }
