"""Measures how costs grow with size, for docs/CAPACITY.md.

Each cost is measured at five sizes over a factor of 16 and fitted by a line.
The residual is the largest distance of a value from the line, as a share of
the largest value.
"""

import argparse
import gc
import time
import tracemalloc
from collections.abc import Callable

import msgspec
import numpy as np

from bench.bounds import report
from bench.config import make_large_configuration
from clayfield.base import ManualClock
from clayfield.box import Send
from clayfield.cluster import ControlState
from clayfield.cluster.control_state import SetJobs, encode_command
from clayfield.config import Configuration, PriorityClass, Service, diff, patch
from clayfield.dispatch import Scheduler, WorkerInfo
from clayfield.state import ClaimTable, OpenTable, encode_commands
from clayfield.testbed import Site, SiteShape
from clayfield.testbed.box import FakeBox
from clayfield.wire import encode
from clayfield.wire.cluster import Grant
from clayfield.wire.job_store import AcceptJob, EndTask
from clayfield.wire.jobs import Job, Step
from clayfield.wire.messages import (
    RELEASE_DONE,
    Claim,
    Complete,
    Outcome,
    SlotRelease,
    SlotRequest,
)

IDLE_MS = 10_000.0
TASKS_PER_KEPT_JOB = 4
NS_PER_MS = 1_000_000
BYTES_PER_KB = 1000
FRAME_OVERHEAD_BYTES = 60
CONFIG = Configuration(
    replaces=0,
    classes={"a": PriorityClass(price=2), "b": PriorityClass(price=1)},
    services={"s": Service()},
)


class LinearFit:
    """A line fitted to measured costs.

    Attributes:
        sizes: sizes at which the cost was measured.
        values: cost at each size.
        slope: cost per unit of size.
        base: cost at size 0.
        residual: largest distance of a value from the line, as a share of the
            largest value.
    """

    __slots__ = ("base", "residual", "slope", "sizes", "values")

    def __init__(self, sizes: list[int], values: list[float]):
        self.sizes = sizes
        self.values = values
        self.slope, self.base = np.polyfit(sizes, values, 1)
        fitted = self.slope * np.array(sizes) + self.base
        max_distance = np.max(np.abs(fitted - np.array(values)))
        self.residual = max_distance / max(np.max(np.abs(values)), 1e-12)

    def as_dict(self) -> dict:
        """Returns the line and the values that it was fitted to, for output."""
        return {
            "slope": float(f"{self.slope:.4g}"),
            "base": float(f"{self.base:.4g}"),
            "residual": round(float(self.residual), 3),
            "sizes": self.sizes,
            "values": [float(f"{value:.4g}") for value in self.values],
        }


def _fit(
    sizes: list[int], measure: Callable[[int], float], rounds: int = 1
) -> LinearFit:
    """Fits a line to the lowest of `rounds` measurements at each size."""
    values = [min(measure(n) for _ in range(rounds)) for n in sizes]
    return LinearFit(sizes, values)


def claims_cpu_ms(count: int) -> float:
    """Returns the CPU time of a replica to apply and complete claims, in ms."""
    outcome = Outcome(200, b"x" * 200)
    batches = []
    for start in range(0, count, 8):
        keys = [f"desk/h1:{start + n}" for n in range(8)]
        claims = [Claim(k, b"d" * 16, "a/1", n) for n, k in enumerate(keys)]
        ends = [Complete(k, "a/1", n, outcome) for n, k in enumerate(keys)]
        batches.append(encode_commands([*claims, *ends]))
    table = ClaimTable()
    table.apply(encode_commands([OpenTable(1)]))
    start_s = time.process_time()
    for batch in batches:
        table.apply(batch)
    return (time.process_time() - start_s) * 1000


def claims_memory_kb(count: int) -> float:
    """Returns the memory of a replica for completed claims, in KB."""
    outcome = b"x" * 200
    gc.collect()
    tracemalloc.start()
    table = ClaimTable()
    table.apply(encode_commands([OpenTable(1)]))
    for n in range(count):
        key = f"desk/h1:{n:08}"
        table.apply(
            encode_commands(
                [
                    Claim(key, b"d" * 16, "a/1", n),
                    Complete(key, "a/1", n, Outcome(200, outcome)),
                ]
            )
        )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1024


def _make_scheduler(workers: int) -> Scheduler:
    """Returns the scheduler of a hall with a number of workers."""
    scheduler = Scheduler(ManualClock(), "h", 1, CONFIG)
    scheduler.set_workers(
        [WorkerInfo(f"w{n}", "", "h", f"r{n // 8}") for n in range(workers)]
    )
    return scheduler


def scheduler_us_per_task(workers: int) -> float:
    """Returns the CPU time to place and release a task, in microseconds.

    The hall has `workers` workers, most of whose slots are taken.
    """
    scheduler = _make_scheduler(workers)
    jobs = 3000
    granted: list[tuple[int, str]] = []
    start_s = time.process_time()
    for number in range(jobs):
        request = SlotRequest(number, "m", "s", "a", 4, 0.0)
        scheduler.on_request("a/1", request)
        scheduler.grant_slots()
        for _, message in scheduler.outbox:
            granted += message.grants
        scheduler.outbox.clear()
        while len(granted) > workers * 6:
            grant, worker = granted.pop(0)
            release = SlotRelease(grant, worker, RELEASE_DONE, 200.0)
            scheduler.on_release("a/1", release)
    return (time.process_time() - start_s) * 1e6 / (jobs * 4)


def scheduler_us_when_full(waiting: int) -> float:
    """Returns the CPU time of a request and a release, in microseconds.

    All workers are full and `waiting` requests are queued.
    """
    scheduler = _make_scheduler(20)
    for number in range(waiting):
        request = SlotRequest(number, "m", "s", "a", 1, 0.0)
        scheduler.on_request("a/1", request)
    scheduler.grant_slots()
    granted = [g for _, m in scheduler.outbox for g in getattr(m, "grants", ())]
    scheduler.outbox.clear()
    rounds = 400
    start_s = time.process_time()
    for number in range(rounds):
        request = SlotRequest(waiting + number, "m", "s", "a", 1, 0.0)
        scheduler.on_request("a/1", request)
        grant, worker = granted.pop(0)
        release = SlotRelease(grant, worker, RELEASE_DONE, 200.0)
        scheduler.on_release("a/1", release)
        scheduler.grant_slots()
        for _, message in scheduler.outbox:
            granted += getattr(message, "grants", ())
        scheduler.outbox.clear()
    return (time.process_time() - start_s) * 1e6 / rounds


def _run_idle_site(boxes: int, halls: int) -> tuple[Site, float, dict]:
    """Runs a site without jobs for `IDLE_MS`.

    Args:
        boxes: number of boxes of each hall.
        halls: number of halls.

    Returns:
        The site, the CPU time in seconds, and the numbers of bytes and
        messages sent by all boxes.
    """
    shape = SiteShape(
        {f"h{n}": boxes for n in range(halls)}, control_count=3, workers=1
    )
    site = Site(shape, 5)
    site.settle(limit_ms=60_000.0)
    counts = {"bytes": 0, "messages": 0}
    for box in site.boxes.values():
        _count_sends(box, counts)
    start_s = time.process_time()
    site.run(IDLE_MS)
    cpu_s = time.process_time() - start_s
    return site, cpu_s, counts


def _count_sends(box: FakeBox, counts: dict) -> None:
    """Adds the messages that a box sends from now on to `counts`."""
    take_actions = box.core.take_actions

    def take_and_count() -> list:
        actions = take_actions()
        for action in actions:
            if isinstance(action, Send):
                counts["messages"] += 1
                size = len(encode([action.message])) + FRAME_OVERHEAD_BYTES
                counts["bytes"] += size
        return actions

    box.core.take_actions = take_and_count


def idle_bytes_per_s(boxes: int) -> float:
    """Returns the bytes per second that an idle box of one hall sends."""
    site, _, counts = _run_idle_site(boxes, 1)
    return counts["bytes"] / len(site.boxes) / (IDLE_MS / 1000)


def idle_cpu_percent(boxes: int) -> float:
    """Returns the CPU use of an idle box, in percent of a core.

    The CPU time includes the simulation of the network and the disks.
    """
    site, cpu_s, _ = _run_idle_site(boxes, 1)
    return cpu_s / len(site.boxes) / (IDLE_MS / 1000) * 100


def idle_bytes_over_halls(halls: int) -> float:
    """Returns the bytes per second that an idle box sends, 3 boxes a hall."""
    site, _, counts = _run_idle_site(3, halls)
    return counts["bytes"] / len(site.boxes) / (IDLE_MS / 1000)


def change_ms(services: int) -> float:
    """Returns the CPU time of a box to apply a change, in ms."""
    base = make_large_configuration()
    base = msgspec.structs.replace(
        base, services={f"s{n}": Service() for n in range(services)}
    )
    changed = msgspec.structs.replace(base, replaces=base.version, members={})
    delta = diff(base, changed)
    start_s = time.process_time()
    for _ in range(20):
        patch(base, delta)
    return (time.process_time() - start_s) * 1000 / 20


def _make_kept_job_commands(count: int) -> list[bytes]:
    """Returns the log commands that accept and end kept jobs of four tasks.

    A kept job is durable: the control nodes store it in their replicated log.
    The commands of a job follow each other: one accepts it, one ends its
    tasks.
    """
    step = Step(TASKS_PER_KEPT_JOB, 6800, 64, 0, 60.0)
    commands: list[bytes] = []
    for number in range(count):
        key = f"{number:016x}"
        job = Job(
            key, "q", "s", "x" * 500, (step,), 0, 3, 1.6, 60.0, 1500.0, True
        )
        ends = tuple(
            EndTask(key, 0, index, 1, True) for index in range(step.count)
        )
        commands.append(encode_command(SetJobs(1, (AcceptJob(job),))))
        commands.append(encode_command(SetJobs(1, ends)))
    return commands


def _make_control_state() -> ControlState:
    """Returns a control state in which a holder has a grant."""
    state = ControlState(ManualClock())
    state.grant = Grant(1, "holder")
    return state


def kept_cpu_ms(count: int) -> float:
    """Returns the CPU time to accept and end kept jobs, in ms."""
    commands = _make_kept_job_commands(count)
    state = _make_control_state()
    start_ns = time.process_time_ns()
    for command in commands:
        state.apply(command)
    return (time.process_time_ns() - start_ns) / NS_PER_MS


def kept_log_kb(count: int) -> float:
    """Returns the size of the log entries of kept jobs, in KB."""
    return sum(map(len, _make_kept_job_commands(count))) / BYTES_PER_KB


def kept_snapshot_kb(count: int) -> float:
    """Returns the size of the snapshot of ended kept jobs, in KB."""
    state = _make_control_state()
    for command in _make_kept_job_commands(count):
        state.apply(command)
    return len(state.snapshot()) / BYTES_PER_KB


def kept_recovery_ms(count: int) -> float:
    """Returns the CPU time to restore a snapshot of open kept jobs, in ms."""
    state = _make_control_state()
    for command in _make_kept_job_commands(count)[::2]:
        state.apply(command)
    snapshot = state.snapshot()
    restored = _make_control_state()
    start_ns = time.process_time_ns()
    restored.restore(snapshot)
    return (time.process_time_ns() - start_ns) / NS_PER_MS


SLOPES: dict[str, Callable[[], LinearFit]] = {
    "claims_cpu_ms": lambda: _fit(
        [2000, 4000, 8000, 16_000, 32_000], claims_cpu_ms, 2
    ),
    "claims_memory_kb": lambda: _fit(
        [1000, 2000, 4000, 8000, 16_000], claims_memory_kb
    ),
    "scheduler_us_per_task_by_workers": lambda: _fit(
        [25, 50, 100, 200, 400], scheduler_us_per_task, 2
    ),
    "scheduler_us_when_full_by_waiting": lambda: _fit(
        [100, 200, 400, 800, 1600], scheduler_us_when_full, 2
    ),
    "idle_bytes_per_s_by_boxes_in_hall": lambda: _fit(
        [2, 4, 8, 16, 32], idle_bytes_per_s
    ),
    "idle_cpu_percent_by_boxes_in_hall": lambda: _fit(
        [2, 4, 8, 16, 32], idle_cpu_percent
    ),
    "idle_bytes_per_s_by_halls": lambda: _fit(
        [1, 2, 4, 8, 16], idle_bytes_over_halls
    ),
    "kept_cpu_ms_by_jobs": lambda: _fit(
        [500, 1000, 2000, 4000, 8000], kept_cpu_ms, 2
    ),
    "kept_log_kb_by_jobs": lambda: _fit(
        [500, 1000, 2000, 4000, 8000], kept_log_kb, 2
    ),
    "kept_snapshot_kb_by_ended_jobs": lambda: _fit(
        [500, 1000, 2000, 4000, 8000], kept_snapshot_kb, 2
    ),
    "kept_recovery_ms_by_open_jobs": lambda: _fit(
        [125, 250, 500, 1000, 2000], kept_recovery_ms, 2
    ),
    "change_ms_by_services": lambda: _fit(
        [50, 100, 200, 400, 800], change_ms, 2
    ),
}


def main(arguments: list[str]) -> int:
    """Measures all slopes, or the one of `--only`, and prints them."""
    parser = argparse.ArgumentParser(prog="bench slopes")
    parser.add_argument("--only", default="")
    flags = parser.parse_args(arguments)
    figures = {}
    for name, measure in SLOPES.items():
        if flags.only in ("", name):
            figures[name] = measure().as_dict()
            print(f"{name}: {figures[name]}", flush=True)
    return 0 if flags.only else report("slopes", figures)
