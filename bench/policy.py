"""Measures scheduling under load and faults, for both users' mixes of jobs.

Each scenario runs the decision code of the boxes on a simulated clock with
seeded random numbers, so the figures are the same on every run.
"""

import argparse
import concurrent.futures
import os
from collections.abc import Callable

import numpy as np

from bench.bounds import report
from bench.oracle import oracle_summary
from bench.workload import Workload
from clayfield.testbed import SiteShape
from clayfield.testbed.mixes import MIXES

ONE_HALL = SiteShape({"h1": 3}, workers=24, slots=8, racks=3)
THREE_HALLS = SiteShape(
    {"h1": 3, "h2": 3, "h3": 3}, workers=8, slots=8, racks=1
)
WARM_MS = 3000.0
STEADY_LOAD = 0.7
SEED = 7


def _constant_load(load: float) -> Callable[[Workload, float], None]:
    """Returns the set-up of a scenario with a constant load."""

    def configure(workload: Workload, start_ms: float) -> None:
        workload.load = lambda now_ms: load

    return configure


def _burst(workload: Workload, start_ms: float) -> None:
    """Triples the load for 10 s."""

    def load(now_ms: float) -> float:
        is_burst = 5000 <= now_ms - start_ms < 15_000
        return STEADY_LOAD * 3 if is_burst else STEADY_LOAD

    workload.load = load


def _stragglers(workload: Workload, start_ms: float) -> None:
    """Makes 1 % of the tasks take five times as long."""
    rng = np.random.default_rng(SEED + 2)
    workload.time_factor = lambda: 5.0 if rng.random() < 0.01 else 1.0


def _worker_failures(workload: Workload, start_ms: float) -> None:
    """Kills four workers in turn; each restarts after 6 s."""
    names = list(workload.site.workers)
    for number in range(4):
        worker = workload.site.workers[names[number * 5]]
        at_ms = 2000.0 + number * 4000.0
        workload.site.events.call_later(at_ms, worker.kill)
        workload.site.events.call_later(at_ms + 6000.0, worker.revive)


def _rack_failure(workload: Workload, start_ms: float) -> None:
    """Kills all workers of a rack for 10 s."""
    workers = [
        w for w in workload.site.workers.values() if w.info.rack == "h1-r0"
    ]
    for worker in workers:
        workload.site.events.call_later(5000.0, worker.kill)
        workload.site.events.call_later(15_000.0, worker.revive)


def _leaving_workers(workload: Workload, start_ms: float) -> None:
    """Announces, one after another, that four workers leave."""
    names = list(workload.site.workers)

    def leave(name: str) -> None:
        workload.site.workers[name].is_leaving = True

    for number in range(4):
        name = names[number * 5]
        workload.site.events.call_later(
            2000.0 + number * 4000.0, lambda name=name: leave(name)
        )


def _leader_crash(workload: Workload, start_ms: float) -> None:
    """Crashes a box that leads a registry, for 6 s."""
    boxes = workload.site.boxes
    leader = next(
        box
        for box in boxes.values()
        if any(r.is_leader for r in box.core.registries.values())
    )
    workload.site.events.call_later(6000.0, leader.crash)
    workload.site.events.call_later(12_000.0, leader.start)


def _hall_partition(workload: Workload, start_ms: float) -> None:
    """Partitions a hall from the others for 10 s."""
    site = workload.site
    inside = site.names_in("h2")
    outside = {*site.boxes, *site.workers} - inside
    site.events.call_later(5000.0, lambda: site.network.cut(inside, outside))
    site.events.call_later(15_000.0, site.network.heal)


def _resubmit_storm(workload: Workload, start_ms: float) -> None:
    """Submits half of the jobs twice."""
    workload.resubmit_share = 0.5


SCENARIOS: dict[str, Callable[[Workload, float], None]] = {
    "steady": _constant_load(STEADY_LOAD),
    "near_full": _constant_load(0.95),
    "burst": _burst,
    "overload": _constant_load(1.5),
    "stragglers": _stragglers,
    "worker_deaths": _worker_failures,
    "rack_lost": _rack_failure,
    "leaving": _leaving_workers,
    "box_lost": _leader_crash,
    "hall_cut": _hall_partition,
    "resubmit_storm": _resubmit_storm,
}
WITH_ORACLE = ("steady", "near_full", "overload")


def run_scenario(mix: str, scenario: str, duration_ms: float) -> dict:
    """Returns the figures of one mix in one scenario.

    Args:
        mix: name of the users' mix of jobs.
        scenario: a key of `SCENARIOS`.
        duration_ms: measured time, after the warm-up.
    """
    shape = THREE_HALLS if scenario == "hall_cut" else ONE_HALL
    workload = Workload(mix, SEED, shape)
    start_ms = workload.site.events.now_ms() + WARM_MS
    SCENARIOS[scenario](workload, start_ms)
    busy_before_ms = sum(w.busy_ms for w in workload.site.workers.values())
    busy_at_end_ms: list[float] = []
    workload.site.events.call_later(
        WARM_MS + duration_ms,
        lambda: busy_at_end_ms.append(
            sum(w.busy_ms for w in workload.site.workers.values())
        ),
    )
    workload.run(WARM_MS, duration_ms)
    summary = workload.summary()
    busy_ms = busy_at_end_ms[0] - busy_before_ms
    capacity_ms = workload.slots * (WARM_MS + duration_ms)
    summary["useful_share"] = round(busy_ms / capacity_ms, 4)
    refusal_times_ms = [took_ms for _, took_ms in workload.refusals]
    summary["refusal_ms_p50"] = (
        round(float(np.percentile(refusal_times_ms, 50)), 3)
        if refusal_times_ms
        else None
    )
    if scenario in WITH_ORACLE:
        load = workload.load(start_ms)
        summary["oracle"] = oracle_summary(
            mix, SEED, load, workload.slots, WARM_MS, duration_ms
        )
    return summary


def main(arguments: list[str]) -> int:
    """Runs the scenarios in several processes and prints their figures."""
    parser = argparse.ArgumentParser(prog="bench policy")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--only", default="")
    flags = parser.parse_args(arguments)
    names = [s for s in SCENARIOS if not flags.only or s == flags.only]
    cases = [(mix, name) for mix in MIXES for name in names]
    figures: dict[str, dict] = {mix: {} for mix in MIXES}
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=max(1, (os.cpu_count() or 2) - 2)
    ) as pool:
        futures = [
            pool.submit(run_scenario, mix, name, flags.seconds * 1000)
            for mix, name in cases
        ]
        for (mix, name), future in zip(cases, futures, strict=True):
            figures[mix][name] = future.result()
            _print_rows(mix, name, figures[mix][name])
    if flags.only:
        return 0
    return report("policy", figures)


def _print_rows(mix: str, scenario: str, summary: dict) -> None:
    """Prints the figures of a scenario, with one row per class."""
    print(
        f"{mix} {scenario}: mean {summary['slowdown_mean']}, wasted"
        f" {summary['wasted_per_task']}, useful {summary['useful_share']},"
        f" violations {summary['violations']},"
        f" refusals answered in {summary['refusal_ms_p50']} ms"
    )
    for name, stats in summary["classes"].items():
        line = " ".join(f"{key}={value}" for key, value in stats.items())
        print(f"    {name:<12} {line}")
    if "oracle" in summary:
        print(f"    oracle mean {summary['oracle']}", flush=True)
