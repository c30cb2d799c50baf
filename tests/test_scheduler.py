"""Tests of the scheduler with a manual clock."""

import pytest

from clayfield.base import ErrorKind, ManualClock
from clayfield.config import (
    Configuration,
    Limits,
    Member,
    PriorityClass,
    Service,
)
from clayfield.dispatch import Scheduler, WorkerInfo
from clayfield.dispatch.breaker import INITIAL_PAUSE_MS
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


class SchedulerHarness:
    """A scheduler with the grants and refusals that it sent."""

    def __init__(self, workers=WORKERS, cfg=CFG):
        self.clock = ManualClock()
        self.scheduler = Scheduler(self.clock, "h", 1, cfg)
        self.scheduler.set_workers(workers)
        self.granted = {}
        self.refused = {}

    def request(
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

    def grant_slots(self):
        self.scheduler.grant_slots()
        for _, message in self.scheduler.outbox:
            if isinstance(message, SlotGrant):
                slots = self.granted.setdefault(message.request, [])
                slots += message.grants
            elif isinstance(message, SlotRefuse):
                self.refused[message.request] = ErrorKind.from_code(
                    message.code
                )
        self.scheduler.outbox.clear()

    def release(self, number, result=RELEASE_DONE, took_ms=100.0):
        grant, worker = self.granted[number].pop()
        release = SlotRelease(grant, worker, result, took_ms)
        self.scheduler.on_release("a/1", release)
        self.grant_slots()

    def grant_order(self, numbers):
        """Releases held slots one by one; returns the order of the grants."""
        order = []
        for _ in numbers:
            holder = next(n for n in self.granted if self.granted[n])
            self.release(holder)
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
def test_requests_are_served_by_class_then_by_remaining_work(requests, order):
    harness = SchedulerHarness(WORKERS[:1])
    harness.request(0)
    harness.grant_slots()
    for number, (priority, tasks) in enumerate(requests, 1):
        harness.request(number, priority, tasks)
    harness.grant_slots()
    assert list(harness.granted) == [0]
    assert harness.grant_order(order)[: len(order)][0] == order[0]


def test_old_large_job_is_served_before_a_new_small_job():
    harness = SchedulerHarness(WORKERS[:1])
    harness.request(0)
    harness.grant_slots()
    harness.request(1, tasks=4)
    harness.clock.advance(4000.0)
    harness.request(2, tasks=1)
    harness.release(0)
    assert harness.granted[1]


@pytest.mark.parametrize(
    ("fields", "kind"),
    [
        ({"service": "none"}, ErrorKind.NO_WORKER),
        ({"service": "gone"}, ErrorKind.NOT_FOUND),
        ({"priority": "gone"}, ErrorKind.NOT_FOUND),
        ({"member": "small", "tasks": 3}, ErrorKind.QUOTA),
        ({"deadline_ms": 50.0}, ErrorKind.DEADLINE),
    ],
)
def test_request_that_cannot_be_served_is_refused_at_once(fields, kind):
    harness = SchedulerHarness()
    harness.request(1, **fields)
    harness.grant_slots()
    assert harness.refused == {1: kind}


def test_newest_requests_of_lowest_priced_class_are_refused_first():
    harness = SchedulerHarness(WORKERS[:1])
    harness.request(0)
    harness.grant_slots()
    for number in range(1, 9):
        harness.request(number, "cheap", tasks=1)
    harness.grant_slots()
    assert set(harness.refused) <= set(range(1, 9))
    assert harness.refused
    retained = set(range(1, 9)) - set(harness.refused)
    assert max(retained) < min(harness.refused)
    before = set(harness.refused)
    for number in range(10, 30):
        harness.request(number, "dear", tasks=1)
    harness.grant_slots()
    dear = [n for n in harness.refused if n >= 10]
    assert retained <= set(harness.refused), (
        "a dear request was refused before a cheap one"
    )
    assert dear
    assert set(harness.refused.values()) == {ErrorKind.QUEUE_FULL}
    assert before <= set(harness.refused)
    harness.request(99, "cancel")
    harness.grant_slots()
    assert 99 not in harness.refused


def test_slot_quota_delays_a_member_except_in_the_top_class():
    harness = SchedulerHarness()
    harness.request(1, member="small", tasks=2)
    harness.grant_slots()
    harness.request(2, "cancel", member="small")
    harness.grant_slots()
    assert len(harness.granted[1]) == 1
    assert len(harness.granted[2]) == 1
    harness.release(2)
    harness.release(1)
    assert len(harness.granted[1]) == 1


@pytest.mark.parametrize(
    ("service", "tasks", "workers"),
    [
        ("big", 2, ["w2"]),
        ("spread", 2, ["w0", "w1"]),
        ("work", 4, ["w0", "w1", "w2"]),
    ],
)
def test_service_is_granted_only_suitable_workers(service, tasks, workers):
    harness = SchedulerHarness()
    harness.request(1, service=service, tasks=tasks)
    harness.grant_slots()
    names = sorted(worker for _, worker in harness.granted[1])
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
def test_failing_worker_gets_no_tasks_during_a_pause(
    result, failures, is_paused
):
    harness = SchedulerHarness(WORKERS[:1])
    for number in range(failures):
        harness.request(number)
        harness.grant_slots()
        harness.release(number, result)
    harness.request(50)
    harness.grant_slots()
    assert (50 not in harness.granted) == is_paused
    if is_paused and result != RELEASE_LEAVING:
        harness.clock.advance(INITIAL_PAUSE_MS + 1)
        harness.scheduler.tick()
        harness.grant_slots()
        assert harness.granted[50]


def test_leaving_worker_gets_no_tasks():
    harness = SchedulerHarness()
    leaving = [
        WorkerInfo(w.name, "", "h", w.rack, slots=1, is_leaving=w.name != "w1")
        for w in WORKERS[:3]
    ]
    harness.scheduler.set_workers(leaving)
    harness.request(1, tasks=3)
    harness.grant_slots()
    assert [worker for _, worker in harness.granted[1]] == ["w1"]


def test_slots_of_a_lost_box_are_granted_again():
    harness = SchedulerHarness(WORKERS[:1])
    harness.request(1, node="b/1")
    harness.request(2)
    harness.grant_slots()
    assert 2 not in harness.granted
    harness.scheduler.on_node_lost("b/1")
    harness.grant_slots()
    assert harness.granted[2]


def test_report_of_a_box_replaces_lost_messages():
    harness = SchedulerHarness(WORKERS[:2])
    harness.request(1, tasks=2)
    harness.grant_slots()
    harness.request(2)
    harness.grant_slots()
    retained = harness.granted[1][0]
    request = SlotRequest(1, "m", "work", "dear", 1, 0.0)
    harness.clock.advance(2000.0)
    report = SlotSync([HeldSlot(*retained, request)], [])
    harness.scheduler.on_slot_sync("a/1", report)
    harness.grant_slots()
    assert 2 not in harness.granted, "request 2 is missing from the report"
    harness.request(3)
    harness.grant_slots()
    assert harness.granted[3][0][1] == harness.granted[1][1][1]


def test_cancelled_request_gets_no_slot():
    harness = SchedulerHarness(WORKERS[:1])
    harness.request(0)
    harness.request(1)
    harness.grant_slots()
    harness.scheduler.on_cancel("a/1", SlotCancel(1))
    harness.release(0)
    assert 1 not in harness.granted
