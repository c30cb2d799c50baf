"""Compares alternatives to a single scheduler per hall on equal workloads.

- random: each box uses every worker and picks one at random among those that
  its own tasks do not fill; the workers reject what exceeds their slots. This
  is the baseline.
- partitioned: the workers of a hall are divided among its boxes.
- single: one scheduler places every task of the hall, as clayfield does.
- first_come: like single, but jobs of one class are served in order of arrival.
"""

import argparse
import concurrent.futures
import contextlib
import os
import random
from collections.abc import Callable
from unittest import mock

from bench.bounds import report
from bench.policy import ONE_HALL, SEED, WARM_MS
from bench.workload import Workload
from clayfield.box import BoxCore
from clayfield.dispatch import Scheduler, WorkerInfo
from clayfield.dispatch.request_queue import QueuedRequest
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


class _SelfSchedulingBox(BoxCore):
    """A box with its own scheduler, which other boxes do not use."""

    def __init__(self, *args: object, **kwargs: object):
        super().__init__(*args, **kwargs)
        self._own_scheduler = Scheduler(
            self._clock, self.identity.hall, 1, self.cfg
        )

    def _select_workers(self, workers: list[WorkerInfo]) -> list[WorkerInfo]:
        """Returns the workers that this box may use."""
        return workers

    def on_workers(self, workers: list[WorkerInfo]) -> None:
        super().on_workers(workers)
        self._own_scheduler.set_workers(self._select_workers(workers))

    def tick(self) -> None:
        super().tick()
        self._own_scheduler.tick()

    def _activate_config(self) -> None:
        super()._activate_config()
        self._own_scheduler.set_config(self.cfg)

    def _track_scheduler(self) -> None:
        pass

    def _send_to_scheduler(self, message: Message) -> None:
        match message:
            case SlotRequest():
                self._own_scheduler.on_request(self.identity.node, message)
            case SlotCancel():
                self._own_scheduler.on_cancel(self.identity.node, message)
            case SlotRelease():
                self._own_scheduler.on_release(self.identity.node, message)

    def _process_pending(self) -> None:
        while True:
            super()._process_pending()
            self._own_scheduler.grant_slots()
            if not self._own_scheduler.outbox:
                return
            outbox, self._own_scheduler.outbox = self._own_scheduler.outbox, []
            for _, message in outbox:
                if isinstance(message, SlotGrant):
                    self.submissions.on_grant(message)
                else:
                    self.submissions.on_refuse(message)


class PartitionedBox(_SelfSchedulingBox):
    """A box that uses its own share of the workers."""

    def _select_workers(self, workers: list[WorkerInfo]) -> list[WorkerInfo]:
        boxes = self.identity.boxes_in(self.identity.hall)
        position = boxes.index(self.identity.box)
        return [w for n, w in enumerate(workers) if n % len(boxes) == position]


class RandomBox(_SelfSchedulingBox):
    """A box that uses all workers but counts only its own tasks on them."""


def _make_random_choice(rng: random.Random) -> Callable:
    """Returns a replacement of `FreeSlots.choose` that picks at random."""

    def choose(
        free: FreeSlots, needs: tuple, avoid_racks: set | None = None
    ) -> Worker | None:
        workers = [w for bucket in free._buckets[1:] for w in bucket.values()]
        return rng.choice(workers) if workers else None

    return choose


def _arrival_order(request: QueuedRequest) -> float:
    """Replaces `QueuedRequest.sort_key`: sorts requests by arrival time."""
    return request.arrived_ms


ALTERNATIVES: dict[str, tuple[type[BoxCore], Callable]] = {
    "random": (
        RandomBox,
        lambda: mock.patch.object(
            FreeSlots, "choose", _make_random_choice(random.Random(SEED))
        ),
    ),
    "partitioned": (PartitionedBox, contextlib.nullcontext),
    "single": (BoxCore, contextlib.nullcontext),
    "first_come": (
        BoxCore,
        lambda: mock.patch.object(QueuedRequest, "sort_key", _arrival_order),
    ),
}


def run_alternative(
    name: str, mix: str, load: float, duration_ms: float
) -> dict:
    """Returns the figures of one alternative.

    Args:
        name: a key of `ALTERNATIVES`.
        mix: name of the users' mix of jobs.
        load: arriving work as a share of the workers' capacity.
        duration_ms: measured time, after the warm-up.
    """
    make_core, make_patch = ALTERNATIVES[name]
    with make_patch():
        workload = Workload(mix, SEED, ONE_HALL, make_core=make_core)
        workload.load = lambda now_ms: load
        workload.run(WARM_MS, duration_ms)
    summary = workload.summary()
    classes = summary["classes"].values()
    return {
        "slowdown_mean": summary["slowdown_mean"],
        "first_p99": next(iter(classes))["slowdown_p99"],
        "wasted_per_task": summary["wasted_per_task"],
        "refused": sum(stats["refused"] for stats in classes),
        "completed": sum(stats["completed"] for stats in classes),
        "violations": summary["violations"],
    }


def main(arguments: list[str]) -> int:
    """Prints a row for each combination of mix, load and alternative."""
    parser = argparse.ArgumentParser(prog="bench alternatives")
    parser.add_argument("--seconds", type=float, default=10.0)
    flags = parser.parse_args(arguments)
    cases = [(a, m, s) for m in MIXES for s in LOADS for a in ALTERNATIVES]
    figures: dict[str, dict] = {}
    workers = max(1, (os.cpu_count() or 2) - 2)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        futures = [
            pool.submit(run_alternative, a, m, LOADS[s], flags.seconds * 1000)
            for a, m, s in cases
        ]
        for (name, mix, scenario), future in zip(cases, futures, strict=True):
            result = future.result()
            by_scenario = figures.setdefault(mix, {}).setdefault(scenario, {})
            by_scenario[name] = result
            print(mix, scenario, name, result, flush=True)
    return report("alternatives", figures)
