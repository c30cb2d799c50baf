"""Plays random faults in a pool and counts tasks that run twice at once."""

import argparse
import collections
import concurrent.futures
import os

from bench.bounds import report
from clayfield.testbed.pool_plays import PoolPlay

DELAYED_START_SHARES = (0.0, 0.1)


def run_play(case: tuple[int, float]) -> tuple[collections.Counter, int]:
    """Runs a play.

    Args:
        case: its seed and its share of delayed starts.

    Returns:
        The numbers of faults and answers, and of pairs of overlapping runs.
    """
    play = PoolPlay(*case)
    return play.counts, len(play.site.overlapping_runs())


def main(arguments: list[str]) -> int:
    """Runs plays in several processes and prints the figures."""
    parser = argparse.ArgumentParser(prog="bench plays")
    parser.add_argument("--plays", type=int, default=200)
    parser.add_argument("--first-seed", type=int, default=1000)
    flags = parser.parse_args(arguments)
    seeds = range(flags.first_seed, flags.first_seed + flags.plays)
    cases = [
        (seed, DELAYED_START_SHARES[seed % len(DELAYED_START_SHARES)])
        for seed in seeds
    ]
    workers = max(1, (os.cpu_count() or 2) - 2)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(run_play, cases, chunksize=4))
    totals = sum((counts for counts, _ in results), collections.Counter())
    failed = [
        case for case, (_, pairs) in zip(cases, results, strict=True) if pairs
    ]
    for seed, share in failed:
        print(f"FAILED seed {seed}, share of delayed starts {share}")
    figures = {
        "plays": len(results),
        "counts": dict(sorted(totals.items())),
        "failed": len(failed),
    }
    return report("plays", figures)
