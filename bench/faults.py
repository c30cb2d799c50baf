"""Injects faults into a simulated site and counts violated invariants.

Faults come from random schedules, one per seed, and from drills: scripted
faults that aim at one weakness each.
"""

import argparse
import collections
import concurrent.futures
import os

from bench.bounds import report
from clayfield.testbed.chaos import Chaos
from clayfield.testbed.drills import DRILLS
from clayfield.testbed.invariants import INVARIANTS

STEPS = 200
NOT_FAULTS = ("submit", "resubmit", "resubmit_at_once", "apply", "heal")


def run_schedule(seed: int) -> dict:
    """Runs one random schedule of faults.

    Returns:
        The numbers of simulated steps, injected faults, checks and violations
        of invariants, and the error if the site did not recover, else "".
    """
    chaos = Chaos(seed, is_strict=False)
    error = ""
    try:
        chaos.run(STEPS)
    except AssertionError as exc:
        error = f"seed {seed}: {exc}"
    injected = collections.Counter(chaos.injected_counts)
    injected.update(
        {
            f"message_{k}": v
            for k, v in chaos.site.network.injected_counts.items()
        }
    )
    return {
        "steps": chaos.site.events.steps,
        "injected": injected,
        "checked": chaos.checker.check_counts,
        "violations": chaos.checker.violation_counts,
        "error": error,
    }


def run_drill(name: str) -> str:
    """Runs one drill; returns its error, or "" if it passed."""
    try:
        DRILLS[name](1)
    except AssertionError as exc:
        return f"{name}: {exc}"
    return ""


def main(arguments: list[str]) -> int:
    """Runs schedules and drills in several processes and prints the figures."""
    parser = argparse.ArgumentParser(prog="bench faults")
    parser.add_argument("--schedules", type=int, default=120)
    parser.add_argument("--first-seed", type=int, default=1000)
    flags = parser.parse_args(arguments)
    seeds = range(flags.first_seed, flags.first_seed + flags.schedules)
    workers = max(1, (os.cpu_count() or 2) - 2)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(run_schedule, seeds, chunksize=4))
        errors = [error for error in pool.map(run_drill, DRILLS) if error]
    totals = {
        name: sum((result[name] for result in results), collections.Counter())
        for name in ("injected", "checked", "violations")
    }
    errors += [result["error"] for result in results if result["error"]]
    for line in errors:
        print(f"FAILED {line}")
    figures = {
        "schedules": len(results),
        "drills": len(DRILLS),
        "steps": sum(result["steps"] for result in results),
        "faults_injected": {
            kind: count
            for kind, count in sorted(totals["injected"].items())
            if kind not in NOT_FAULTS
        },
        "checked": {name: totals["checked"][name] for name in INVARIANTS},
        "violations": {name: totals["violations"][name] for name in INVARIANTS},
        "failed": len(errors),
    }
    return report("faults", figures)
