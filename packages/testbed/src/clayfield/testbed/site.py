"""Halls, boxes and workers put together on one event queue."""

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
from clayfield.state import Timing, owned_key
from clayfield.testbed.box import FakeBox
from clayfield.testbed.events import EventQueue
from clayfield.testbed.ledger import Ledger
from clayfield.testbed.network import Network
from clayfield.testbed.workers import FakeWorker
from clayfield.wire.messages import Outcome

LOCAL_MS = 0.1
HALL_MS = 0.5
LIST_MS = 500.0
MEMBER = "desk"

DEFAULT = Configuration(
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
    """How large a site is.

    Attributes:
        halls: number of boxes in each hall, by name.
        control: how many boxes have a disk, spread over the halls.
        workers: in each hall.
        slots: of each worker.
        racks: in each hall.
        list_lag_ms: how old the platform list is.
        sync_ms: how long a synced write takes.
    """

    __slots__ = (
        "control",
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
        control: int = 3,
        workers: int = 3,
        slots: int = 8,
        racks: int = 1,
        list_lag_ms: float = 1000.0,
        sync_ms: float = 4.0,
    ):
        self.halls = halls
        self.control = control
        self.workers = workers
        self.slots = slots
        self.racks = racks
        self.list_lag_ms = list_lag_ms
        self.sync_ms = sync_ms


class Site:
    """A whole site under one event queue.

    Attributes:
        events: the queue.
        network: between boxes.
        ledger: what happened.
        boxes: by name.
        workers: by name.
    """

    def __init__(
        self,
        shape: SiteShape,
        seed: int,
        ledger: Ledger | None = None,
        timing: Timing | None = None,
        make_core: type[BoxCore] = BoxCore,
    ):
        self.events = EventQueue()
        self.rng = random.Random(seed)
        self.network = Network(self.events, self.rng, self._delay_ms)
        self.ledger = ledger or Ledger()
        self.shape = shape
        self._run_ms: dict[tuple[str, int], float] = {}
        self._addresses = self._place_boxes()
        self.workers: dict[str, FakeWorker] = {}
        for hall in shape.halls:
            self._place_workers_in(hall)
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
            self.ledger,
            self.rng,
            self.workers,
            lambda key, task: self._run_ms[key, task],
            self.shape.sync_ms,
            self._timing,
            self._make_core,
        )

    def add_hall(self, hall: str, boxes: int) -> None:
        """Adds a hall; boxes that start from now on know it."""
        for number in range(boxes):
            name = f"{hall}-{chr(ord('a') + number)}"
            self._addresses[name] = PeerAddress(hall, "", False)
            self.boxes[name] = self._make_box(name)
            self.boxes[name].boxes = self.boxes
        self._place_workers_in(hall)
        for box in self.boxes_in(hall):
            box.start()

    def move_control(self, source: str, target: str) -> None:
        """Names another box as control, for boxes that start from now on."""
        self._addresses[source].is_control = False
        self._addresses[target].is_control = True
        self.boxes[target].add_disk()

    def _place_boxes(self) -> dict[str, PeerAddress]:
        addresses: dict[str, PeerAddress] = {}
        most = max(self.shape.halls.values())
        control_left = self.shape.control
        for number in range(most):
            for hall, count in self.shape.halls.items():
                if number < count:
                    is_control = control_left > 0
                    control_left -= is_control
                    name = f"{hall}-{chr(ord('a') + number)}"
                    addresses[name] = PeerAddress(hall, "", is_control)
        return addresses

    def _place_workers_in(self, hall: str) -> None:
        shape = self.shape
        for number in range(shape.workers):
            rack = f"{hall}-r{number * shape.racks // shape.workers}"
            name = f"{hall}-w{number}"
            info = WorkerInfo(name, "", hall, rack, slots=shape.slots)
            self.workers[name] = FakeWorker(info, self.events, self.ledger)

    def _delay_ms(self, source: str, target: str) -> float:
        same = self.hall_of(source) == self.hall_of(target)
        return LOCAL_MS if same else HALL_MS

    def hall_of(self, place: str) -> str:
        """Returns the hall of a box or worker."""
        return place.rpartition("-")[0]

    def boxes_in(self, hall: str) -> list[FakeBox]:
        """Returns the boxes of a hall."""
        return [b for n, b in self.boxes.items() if self.hall_of(n) == hall]

    def places_in(self, hall: str) -> set[str]:
        """Returns the names of all boxes and workers of a hall."""
        places = [*self.boxes, *self.workers]
        return {place for place in places if self.hall_of(place) == hall}

    def _publish_list(self) -> None:
        """Lets every box poll the platform list, which lags."""
        listed = [
            _listed(worker)
            for worker in self.workers.values()
            if worker.is_alive or worker.is_leaving
        ]

        def show() -> None:
            self._note_leaving(listed)
            for box in self.boxes.values():
                box.do(lambda core: core.on_workers(listed))

        self.events.after(self.shape.list_lag_ms, show)
        self.events.after(LIST_MS, self._publish_list)

    def _note_leaving(self, listed: list[WorkerInfo]) -> None:
        for info in listed:
            worker = self.workers[info.name]
            if not info.is_leaving:
                worker.seen_leaving_ms = float("inf")
            elif worker.seen_leaving_ms == float("inf"):
                worker.seen_leaving_ms = self.events.now_ms()

    def run(self, duration_ms: float) -> None:
        """Lets time pass."""
        self.events.run_until(self.events.now_ms() + duration_ms)

    def settle(
        self, cfg: Configuration = DEFAULT, limit_ms: float = 15_000.0
    ) -> None:
        """Applies a first configuration and waits until all boxes are ready.

        Raises:
            TimeoutError: they are not ready after `limit_ms`.
        """
        self.run(self.shape.list_lag_ms + 1500.0)
        self.apply(next(iter(self.boxes)), cfg)
        end_ms = self.events.now_ms() + limit_ms
        while self.events.now_ms() < end_ms:
            self.run(100.0)
            if all(b.core.is_ready for b in self.boxes.values() if b.core):
                self.run(200.0)
                return
        raise TimeoutError("the site did not get ready")

    def apply(self, box: str, cfg: Configuration) -> int:
        """Hands a configuration to a box; returns the request's number."""
        numbers: list[int] = []
        self.boxes[box].do(lambda core: numbers.append(core.apply(cfg)))
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
        is_first: bool = False,
    ) -> bool:
        """Submits a job whose tasks take the given times.

        Returns:
            Whether the box was up to take it.
        """
        target = self.boxes[box]
        if target.core is None:
            return False
        owned = owned_key(member, key)
        tasks = [
            msgspec.json.encode([owned, number])
            for number in range(len(run_ms))
        ]
        for number, one in enumerate(run_ms):
            self._run_ms[owned, number] = one
        self.ledger.on_submit(owned, tasks)
        if is_repeatable:
            self.ledger.may_repeat.add(owned)

        def answered(outcome: Outcome) -> None:
            self.ledger.on_answer(owned, outcome)
            if on_answer:
                on_answer(outcome)

        req = JobRequest(
            member,
            key,
            owned.encode(),
            service,
            priority,
            tasks,
            is_repeatable,
            deadline_ms,
            is_first,
        )
        target.do(lambda core: core.submit(req, answered))
        return True


def _listed(worker: FakeWorker) -> WorkerInfo:
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
