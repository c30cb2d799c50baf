"""Simulates a site of halls, boxes and workers on one event queue.

A box is a machine of the system, a hall a zone of boxes and workers. The boxes
run the real core on a fake network, disk and clock.
"""

import random
from collections.abc import Callable

import msgspec

from clayfield.box import BoxCore, PeerAddress
from clayfield.config import (
    Configuration,
    Hall,
    Limits,
    Member,
    PriorityClass,
    Service,
)
from clayfield.dispatch import JobRequest, WorkerInfo
from clayfield.state import Timing, member_key
from clayfield.testbed.box import FakeBox
from clayfield.testbed.events import EventQueue
from clayfield.testbed.invariants import InvariantChecker
from clayfield.testbed.network import Network
from clayfield.testbed.workers import FakeWorker
from clayfield.wire.messages import Outcome

LOCAL_DELAY_MS = 0.1
HALL_DELAY_MS = 0.5
LIST_INTERVAL_MS = 500.0
MEMBER = "desk"

DEFAULT_CONFIG = Configuration(
    replaces=0,
    halls={"h1": Hall()},
    classes={
        "cancel": PriorityClass(price=100, first=True),
        "dear": PriorityClass(price=50),
        "cheap": PriorityClass(price=1),
    },
    services={"work": Service(expected_ms=275, timeout_ms=3000)},
    members={MEMBER: Member()},
    limits=Limits(),
)


class SiteShape:
    """The size and the delays of a site.

    Attributes:
        halls: number of boxes in each hall, by name.
        control_count: number of boxes with the control role and a disk, spread
            over the halls.
        workers: number of workers in each hall.
        slots: number of slots of each worker.
        racks: number of racks in each hall.
        list_lag_ms: age of the worker list when the boxes get it, in ms.
        sync_ms: duration of a synced write, in ms.
    """

    __slots__ = (
        "control_count",
        "halls",
        "list_lag_ms",
        "racks",
        "slots",
        "sync_ms",
        "workers",
    )

    def __init__(
        self,
        halls: dict[str, int],
        control_count: int = 3,
        workers: int = 3,
        slots: int = 8,
        racks: int = 1,
        list_lag_ms: float = 1000.0,
        sync_ms: float = 4.0,
    ):
        self.halls = halls
        self.control_count = control_count
        self.workers = workers
        self.slots = slots
        self.racks = racks
        self.list_lag_ms = list_lag_ms
        self.sync_ms = sync_ms


class Site:
    """A simulated site.

    Attributes:
        events: the event queue that all parts share.
        rng: the random numbers of the simulation.
        network: the network between the boxes and to the workers.
        checker: checks the invariants.
        shape: the size and the delays of the site.
        boxes: the boxes, by name.
        workers: the workers, by name.
    """

    def __init__(
        self,
        shape: SiteShape,
        seed: int,
        checker: InvariantChecker | None = None,
        timing: Timing | None = None,
        make_core: type[BoxCore] = BoxCore,
    ):
        self.events = EventQueue()
        self.rng = random.Random(seed)
        self.network = Network(self.events, self.rng, self._delay_ms)
        self.checker = checker or InvariantChecker()
        self.shape = shape
        self._run_ms: dict[tuple[str, int], float] = {}
        self._addresses = self._make_addresses()
        self.workers: dict[str, FakeWorker] = {}
        for hall in shape.halls:
            self._add_workers(hall)
        self._timing = timing
        self._make_core = make_core
        self.boxes = {name: self._make_box(name) for name in self._addresses}
        for box in self.boxes.values():
            box.boxes = self.boxes
            box.start()
        self._publish_list()

    def _make_box(self, name: str) -> FakeBox:
        return FakeBox(
            name,
            self._addresses,
            self.events,
            self.network,
            self.checker,
            self.rng,
            self.workers,
            lambda key, task: self._run_ms[key, task],
            self.shape.sync_ms,
            self._timing,
            self._make_core,
        )

    def add_hall(self, hall: str, boxes: int) -> None:
        """Adds a hall; running boxes get it in their settings at a restart."""
        for number in range(boxes):
            name = f"{hall}-{chr(ord('a') + number)}"
            self._addresses[name] = PeerAddress(hall, "", False)
            self.boxes[name] = self._make_box(name)
            self.boxes[name].boxes = self.boxes
        self._add_workers(hall)
        for box in self.boxes_in(hall):
            box.start()

    def move_control(self, source: str, target: str) -> None:
        """Moves the control role to another box.

        Running boxes get the new settings at a restart.
        """
        self._addresses[source].is_control = False
        self._addresses[target].is_control = True
        self.boxes[target].add_disk()

    def _make_addresses(self) -> dict[str, PeerAddress]:
        """Returns the settings of all boxes, with control boxes spread out."""
        addresses: dict[str, PeerAddress] = {}
        largest = max(self.shape.halls.values())
        remaining_control = self.shape.control_count
        for number in range(largest):
            for hall, count in self.shape.halls.items():
                if number < count:
                    is_control = remaining_control > 0
                    remaining_control -= is_control
                    name = f"{hall}-{chr(ord('a') + number)}"
                    addresses[name] = PeerAddress(hall, "", is_control)
        return addresses

    def _add_workers(self, hall: str) -> None:
        shape = self.shape
        for number in range(shape.workers):
            rack = f"{hall}-r{number * shape.racks // shape.workers}"
            name = f"{hall}-w{number}"
            info = WorkerInfo(name, "", hall, rack, slots=shape.slots)
            self.workers[name] = FakeWorker(info, self.events, self.checker)

    def _delay_ms(self, source: str, target: str) -> float:
        is_local = self.hall_of(source) == self.hall_of(target)
        return LOCAL_DELAY_MS if is_local else HALL_DELAY_MS

    def hall_of(self, name: str) -> str:
        """Returns the hall of a box or worker."""
        return name.rpartition("-")[0]

    def boxes_in(self, hall: str) -> list[FakeBox]:
        """Returns the boxes of a hall."""
        return [b for n, b in self.boxes.items() if self.hall_of(n) == hall]

    def names_in(self, hall: str) -> set[str]:
        """Returns the names of all boxes and workers of a hall."""
        names = [*self.boxes, *self.workers]
        return {name for name in names if self.hall_of(name) == hall}

    def _publish_list(self) -> None:
        """Delivers the present worker list to every box after its lag."""
        listed = [
            _make_list_entry(worker)
            for worker in self.workers.values()
            if worker.is_alive or worker.is_leaving
        ]

        def deliver() -> None:
            self._record_leaving(listed)
            for box in self.boxes.values():
                box.call(lambda core: core.on_workers(listed))

        self.events.call_later(self.shape.list_lag_ms, deliver)
        self.events.call_later(LIST_INTERVAL_MS, self._publish_list)

    def _record_leaving(self, listed: list[WorkerInfo]) -> None:
        """Records when the worker list first showed each worker as leaving."""
        for info in listed:
            worker = self.workers[info.name]
            if not info.is_leaving:
                worker.seen_leaving_ms = float("inf")
            elif worker.seen_leaving_ms == float("inf"):
                worker.seen_leaving_ms = self.events.now_ms()

    def run(self, duration_ms: float) -> None:
        """Advances the simulation by a duration, in ms."""
        self.events.run_until(self.events.now_ms() + duration_ms)

    def settle(
        self, cfg: Configuration = DEFAULT_CONFIG, limit_ms: float = 15_000.0
    ) -> None:
        """Applies a first configuration and waits until all boxes are ready.

        Raises:
            TimeoutError: a box is not ready after `limit_ms`.
        """
        self.run(self.shape.list_lag_ms + 1500.0)
        self.apply_config(next(iter(self.boxes)), cfg)
        end_ms = self.events.now_ms() + limit_ms
        while self.events.now_ms() < end_ms:
            self.run(100.0)
            if all(b.core.is_ready for b in self.boxes.values() if b.core):
                self.run(200.0)
                return
        raise TimeoutError(f"not all boxes are ready after {limit_ms} ms")

    def apply_config(self, box: str, cfg: Configuration) -> int:
        """Applies a configuration at a box.

        Returns:
            The number of the request, 0 if the box is down or frozen.
        """
        numbers: list[int] = []
        self.boxes[box].call(lambda core: numbers.append(core.apply(cfg)))
        return numbers[0] if numbers else 0

    def submit(
        self,
        box: str,
        key: str,
        priority: str,
        run_ms: list[float],
        on_answer: Callable[[Outcome], None] | None = None,
        service: str = "work",
        is_repeatable: bool = False,
        deadline_ms: float = 0.0,
        member: str = MEMBER,
        is_first_attempt: bool = False,
    ) -> bool:
        """Submits a job.

        Args:
            box: name of the box that gets the job.
            key: the idempotency key.
            priority: name of the priority class.
            run_ms: the duration of each task, in ms.
            on_answer: called with the answer.
            service: name of the service.
            is_repeatable: whether a lost task may be started again.
            deadline_ms: deadline of the job in ms, 0 for none.
            member: name of the member (customer) who submits it.
            is_first_attempt: whether this is the first attempt to submit the
                key.

        Returns:
            Whether the box is up.
        """
        target = self.boxes[box]
        if target.core is None:
            return False
        full_key = member_key(member, key)
        tasks = [
            msgspec.json.encode([full_key, number])
            for number in range(len(run_ms))
        ]
        for number, task_ms in enumerate(run_ms):
            self._run_ms[full_key, number] = task_ms
        self.checker.on_submit(full_key, tasks)
        if is_repeatable:
            self.checker.may_repeat.add(full_key)

        def answered(outcome: Outcome) -> None:
            self.checker.on_answer(full_key, outcome)
            if on_answer:
                on_answer(outcome)

        req = JobRequest(
            member,
            key,
            full_key.encode(),
            service,
            priority,
            tasks,
            is_repeatable,
            deadline_ms,
            is_first_attempt,
        )
        target.call(lambda core: core.submit(req, answered))
        return True


def _make_list_entry(worker: FakeWorker) -> WorkerInfo:
    """Returns the entry of a worker in the worker list."""
    info = worker.info
    return WorkerInfo(
        info.name,
        info.address,
        info.hall,
        info.rack,
        info.pool,
        info.slots,
        info.cores,
        info.memory_mb,
        info.accelerators,
        worker.is_leaving,
    )
