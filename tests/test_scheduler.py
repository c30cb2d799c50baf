"""The scheduler's decisions, case by case."""

import pytest

from clayfield.base import Kind, ManualClock
from clayfield.config import (
    Configuration,
    Limits,
    Member,
    PriorityClass,
    Service,
)
from clayfield.dispatch import Scheduler, WorkerInfo
from clayfield.dispatch.breaker import FIRST_PAUSE_MS
from clayfield.wire.messages import (
    RELEASE_DONE,
    RELEASE_LEAVING,
    RELEASE_LOST,
    RELEASE_REFUSED,
    HeldSlot,
    SlotCancel,
    SlotGrant,
    SlotRefuse,
    SlotRelease,
    SlotRequest,
    SlotSync,
)

CFG = Configuration(
    replaces=0,
    classes={
        "cancel": PriorityClass(price=1, first=True),
        "dear": PriorityClass(price=9),
        "cheap": PriorityClass(price=1),
    },
    services={
        "work": Service(expected_ms=100),
        "big": Service(expected_ms=100, accelerators=2, cores=8),
        "spread": Service(expected_ms=100, spread_racks=True),
        "none": Service(pool="elsewhere"),
    },
    members={"m": Member(), "small": Member(slots=1, queued_tasks=2)},
    limits=Limits(queue_ms=1000),
)
WORKERS = [
    WorkerInfo("w0", "", "h", "r0", slots=1),
    WorkerInfo("w1", "", "h", "r1", slots=1),
    WorkerInfo(
        "w2", "", "h", "r1", slots=1, cores=16, memory_mb=9, accelerators=4
    ),
    WorkerInfo("far", "", "other", "r9", slots=8),
]


class Bench:
    """A scheduler, and what it said."""

    def __init__(self, workers=WORKERS, cfg=CFG):
        self.clock = ManualClock()
        self.scheduler = Scheduler(self.clock, "h", 1, cfg)
        self.scheduler.set_workers(workers)
        self.granted = {}
        self.refused = {}

    def ask(
        self,
        number,
        priority="dear",
        tasks=1,
        service="work",
        member="m",
        deadline_ms=0.0,
        node="a/1",
    ):
        request = SlotRequest(
            number, member, service, priority, tasks, deadline_ms
        )
        self.scheduler.on_request(node, request)

    def settle(self):
        self.scheduler.assign()
        for _, message in self.scheduler.outbox:
            if isinstance(message, SlotGrant):
                slots = self.granted.setdefault(message.request, [])
                slots += message.grants
            elif isinstance(message, SlotRefuse):
                self.refused[message.request] = Kind.from_code(message.code)
        self.scheduler.outbox.clear()

    def give_back(self, number, result=RELEASE_DONE, took_ms=100.0):
        grant, worker = self.granted[number].pop()
        release = SlotRelease(grant, worker, result, took_ms)
        self.scheduler.on_release("a/1", release)
        self.settle()

    def order_of(self, numbers):
        """Returns in which order requests get the slot of `first`."""
        order = []
        for _ in numbers:
            holder = next(n for n in self.granted if self.granted[n])
            self.give_back(holder)
            order += [
                n for n in numbers if n in self.granted and n not in order
            ]
        return order


@pytest.mark.parametrize(
    ("requests", "order"),
    [
        ([("cheap", 1), ("dear", 1), ("cancel", 1)], [3, 2, 1]),
        ([("dear", 3), ("dear", 1), ("dear", 2)], [2, 3, 1]),
        ([("cheap", 1), ("dear", 3)], [2, 1]),
    ],
)
def test_order_is_by_class_then_by_remaining_work(requests, order):
    bench = Bench(WORKERS[:1])
    bench.ask(0)
    bench.settle()
    for number, (priority, tasks) in enumerate(requests, 1):
        bench.ask(number, priority, tasks)
    bench.settle()
    assert list(bench.granted) == [0]
    assert bench.order_of(order)[: len(order)][0] == order[0]


def test_waiting_makes_a_large_job_go_first_in_the_end():
    bench = Bench(WORKERS[:1])
    bench.ask(0)
    bench.settle()
    bench.ask(1, tasks=4)
    bench.clock.advance(4000.0)
    bench.ask(2, tasks=1)
    bench.give_back(0)
    assert bench.granted[1]


@pytest.mark.parametrize(
    ("asked", "kind"),
    [
        ({"service": "none"}, Kind.NO_WORKER),
        ({"service": "gone"}, Kind.NOT_FOUND),
        ({"priority": "gone"}, Kind.NOT_FOUND),
        ({"member": "small", "tasks": 3}, Kind.QUOTA),
        ({"deadline_ms": 50.0}, Kind.DEADLINE),
    ],
)
def test_what_cannot_be_served_is_refused_at_once(asked, kind):
    bench = Bench()
    bench.ask(1, **asked)
    bench.settle()
    assert bench.refused == {1: kind}


def test_the_cheapest_that_came_last_is_refused_first():
    bench = Bench(WORKERS[:1])
    bench.ask(0)
    bench.settle()
    for number in range(1, 9):
        bench.ask(number, "cheap", tasks=1)
    bench.settle()
    assert set(bench.refused) <= set(range(1, 9))
    assert bench.refused
    kept = set(range(1, 9)) - set(bench.refused)
    assert max(kept) < min(bench.refused)
    before = set(bench.refused)
    for number in range(10, 30):
        bench.ask(number, "dear", tasks=1)
    bench.settle()
    dear = [n for n in bench.refused if n >= 10]
    assert kept <= set(bench.refused), "dear work refused before cheap"
    assert dear
    assert set(bench.refused.values()) == {Kind.QUEUE_FULL}
    assert before <= set(bench.refused)
    bench.ask(99, "cancel")
    bench.settle()
    assert 99 not in bench.refused


def test_quota_makes_a_member_wait_but_never_its_first_class():
    bench = Bench()
    bench.ask(1, member="small", tasks=2)
    bench.settle()
    bench.ask(2, "cancel", member="small")
    bench.settle()
    assert len(bench.granted[1]) == 1
    assert len(bench.granted[2]) == 1
    bench.give_back(2)
    bench.give_back(1)
    assert len(bench.granted[1]) == 1


@pytest.mark.parametrize(
    ("service", "tasks", "workers"),
    [
        ("big", 2, ["w2"]),
        ("spread", 2, ["w0", "w1"]),
        ("work", 4, ["w0", "w1", "w2"]),
    ],
)
def test_a_service_gets_workers_that_suit_it(service, tasks, workers):
    bench = Bench()
    bench.ask(1, service=service, tasks=tasks)
    bench.settle()
    names = sorted(worker for _, worker in bench.granted[1])
    racks = {w.name: w.rack for w in WORKERS}
    if service == "spread":
        assert {racks[name] for name in names} == {"r0", "r1"}
    else:
        assert names == workers


@pytest.mark.parametrize(
    ("result", "failures", "is_paused"),
    [
        (RELEASE_DONE, 3, False),
        (RELEASE_REFUSED, 2, False),
        (RELEASE_REFUSED, 3, True),
        (RELEASE_LOST, 1, True),
        (RELEASE_LEAVING, 1, True),
    ],
)
def test_a_worker_that_fails_is_paused(result, failures, is_paused):
    bench = Bench(WORKERS[:1])
    for number in range(failures):
        bench.ask(number)
        bench.settle()
        bench.give_back(number, result)
    bench.ask(50)
    bench.settle()
    assert (50 not in bench.granted) == is_paused
    if is_paused and result != RELEASE_LEAVING:
        bench.clock.advance(FIRST_PAUSE_MS + 1)
        bench.scheduler.tick()
        bench.settle()
        assert bench.granted[50]


def test_a_leaving_worker_gets_nothing_new():
    bench = Bench()
    leaving = [
        WorkerInfo(w.name, "", "h", w.rack, slots=1, is_leaving=w.name != "w1")
        for w in WORKERS[:3]
    ]
    bench.scheduler.set_workers(leaving)
    bench.ask(1, tasks=3)
    bench.settle()
    assert [worker for _, worker in bench.granted[1]] == ["w1"]


def test_what_a_lost_box_held_is_granted_again():
    bench = Bench(WORKERS[:1])
    bench.ask(1, node="b/1")
    bench.ask(2)
    bench.settle()
    assert 2 not in bench.granted
    bench.scheduler.on_node_lost("b/1")
    bench.settle()
    assert bench.granted[2]


def test_reports_correct_what_messages_lost():
    bench = Bench(WORKERS[:2])
    bench.ask(1, tasks=2)
    bench.settle()
    bench.ask(2)
    bench.settle()
    kept = bench.granted[1][0]
    request = SlotRequest(1, "m", "work", "dear", 1, 0.0)
    bench.clock.advance(2000.0)
    report = SlotSync([HeldSlot(*kept, request)], [])
    bench.scheduler.on_sync("a/1", report)
    bench.settle()
    assert 2 not in bench.granted, "no longer wanted by the report"
    bench.ask(3)
    bench.settle()
    assert bench.granted[3][0][1] == bench.granted[1][1][1]


def test_a_cancelled_request_gets_nothing():
    bench = Bench(WORKERS[:1])
    bench.ask(0)
    bench.ask(1)
    bench.settle()
    bench.scheduler.on_cancel("a/1", SlotCancel(1))
    bench.give_back(0)
    assert 1 not in bench.granted
