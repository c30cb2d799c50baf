"""The alternatives to one scheduler a hall, side by side in one run.

- random: every box uses every worker, picks one at random among those that
  it does not fill itself, and lets workers refuse. The baseline.
- partitioned: the workers are divided among the boxes.
- single: one scheduler places every task of the hall. The product.
- first_come: as single, but within a class the first to come goes first.
"""

import argparse
import concurrent.futures
import contextlib
import os
import random
from collections.abc import Callable
from unittest import mock

from bench.bounds import finish
from bench.policy import ONE_HALL, SEED, WARM_MS
from bench.workload import Workload
from clayfield.box import BoxCore
from clayfield.dispatch import Scheduler, WorkerInfo
from clayfield.dispatch.queue import Waiting
from clayfield.dispatch.workers import FreeSlots, Worker
from clayfield.testbed.mixes import MIXES
from clayfield.wire.messages import (
    Message,
    SlotCancel,
    SlotGrant,
    SlotRelease,
    SlotRequest,
)

LOADS = {"steady": 0.7, "near_full": 0.95, "overload": 1.5}


class _OwnScheduler(BoxCore):
    """A box that schedules for itself alone."""

    def __init__(self, *args: object, **kwargs: object):
        super().__init__(*args, **kwargs)
        self._own = Scheduler(self._clock, self.identity.hall, 1, self.cfg)

    def _workers_of_box(self, workers: list[WorkerInfo]) -> list[WorkerInfo]:
        return workers

    def on_workers(self, workers: list[WorkerInfo]) -> None:
        super().on_workers(workers)
        self._own.set_workers(self._workers_of_box(workers))

    def tick(self) -> None:
        super().tick()
        self._own.tick()

    def _put_in_force(self) -> None:
        super()._put_in_force()
        self._own.set_config(self.cfg)

    def _watch_scheduler(self) -> None:
        pass

    def _to_scheduler(self, message: Message) -> None:
        match message:
            case SlotRequest():
                self._own.on_request(self.identity.node, message)
            case SlotCancel():
                self._own.on_cancel(self.identity.node, message)
            case SlotRelease():
                self._own.on_release(self.identity.node, message)

    def _pump(self) -> None:
        while True:
            super()._pump()
            self._own.assign()
            if not self._own.outbox:
                return
            outbox, self._own.outbox = self._own.outbox, []
            for _, message in outbox:
                if isinstance(message, SlotGrant):
                    self.entry.on_grant(message)
                else:
                    self.entry.on_refuse(message)


class PartitionedBox(_OwnScheduler):
    """A box that uses its share of the workers."""

    def _workers_of_box(self, workers: list[WorkerInfo]) -> list[WorkerInfo]:
        boxes = self.identity.boxes_in(self.identity.hall)
        own = boxes.index(self.identity.box)
        return [w for n, w in enumerate(workers) if n % len(boxes) == own]


class RandomBox(_OwnScheduler):
    """A box that uses all workers and knows of its own tasks only."""


def _choose_at_random(rng: random.Random) -> Callable:
    def choose(
        free: FreeSlots, needs: tuple, avoid_racks: set | None = None
    ) -> Worker | None:
        workers = [w for bucket in free._buckets[1:] for w in bucket.values()]
        return rng.choice(workers) if workers else None

    return choose


def _by_arrival(waiting: Waiting) -> float:
    return waiting.arrived_ms


ALTERNATIVES: dict[str, tuple[type[BoxCore], Callable]] = {
    "random": (
        RandomBox,
        lambda: mock.patch.object(
            FreeSlots, "choose", _choose_at_random(random.Random(SEED))
        ),
    ),
    "partitioned": (PartitionedBox, contextlib.nullcontext),
    "single": (BoxCore, contextlib.nullcontext),
    "first_come": (
        BoxCore,
        lambda: mock.patch.object(Waiting, "order", _by_arrival),
    ),
}


def run_one(name: str, mix: str, load: float, duration_ms: float) -> dict:
    """Returns the figures of one alternative."""
    make_core, patched = ALTERNATIVES[name]
    with patched():
        workload = Workload(mix, SEED, ONE_HALL, make_core=make_core)
        workload.load = lambda now_ms: load
        workload.run(WARM_MS, duration_ms)
    summary = workload.summary()
    classes = summary["classes"].values()
    return {
        "slowdown_mean": summary["slowdown_mean"],
        "first_p99": next(iter(classes))["slowdown_p99"],
        "wasted_per_task": summary["wasted_per_task"],
        "refused": sum(one["refused"] for one in classes),
        "completed": sum(one["completed"] for one in classes),
        "violations": summary["violations"],
    }


def main(arguments: list[str]) -> int:
    """Prints a row for each mix, load and alternative."""
    parser = argparse.ArgumentParser(prog="bench alternatives")
    parser.add_argument("--seconds", type=float, default=10.0)
    flags = parser.parse_args(arguments)
    jobs = [(a, m, s) for m in MIXES for s in LOADS for a in ALTERNATIVES]
    figures: dict[str, dict] = {}
    workers = max(1, (os.cpu_count() or 2) - 2)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        running = [
            pool.submit(run_one, a, m, LOADS[s], flags.seconds * 1000)
            for a, m, s in jobs
        ]
        for (name, mix, scenario), one in zip(jobs, running, strict=True):
            result = one.result()
            by_scenario = figures.setdefault(mix, {}).setdefault(scenario, {})
            by_scenario[name] = result
            print(mix, scenario, name, result, flush=True)
    return finish("alternatives", figures)
