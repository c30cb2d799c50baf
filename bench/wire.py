"""Compares real boxes with the simulation, for both users' mixes of jobs.

Jobs of the same mix and load run through real processes over HTTP, and
through the decision code alone on a simulated clock. The figures show where
the two differ.
"""

import argparse
import concurrent.futures
import json
import multiprocessing
import pathlib
import tempfile

import numpy as np

from bench.bounds import report
from bench.workload import Workload
from clayfield.testbed import SiteShape
from clayfield.testbed.demo import HALLS, HTTP_OK, run_jobs
from clayfield.testbed.mixes import MIXES, Mix
from clayfield.testbed.processes import Cluster

BOXES = 3
WORKERS = 4
SLOTS = 8
SEED = 9
LOADS = {"steady": 0.7, "near_full": 0.95, "overload": 1.5}
CHART_FOLDER = pathlib.Path("out")
MAX_RELATIVE_DIFFERENCE = 0.2  # Larger ones are marked `to_explain`.


def draw_jobs(mix: str, load: float, seconds: float) -> list[dict]:
    """Returns the jobs of a run, with the times of their arrival.

    Args:
        mix: name of the users' mix of jobs.
        load: arriving work as a share of the workers' capacity.
        seconds: time in which jobs arrive.
    """
    source = Mix(MIXES[mix], SEED)
    rate = WORKERS * SLOTS * 1000.0 * load / source.mean_work_ms
    jobs: list[dict] = []
    at_ms = 0.0
    while at_ms < seconds * 1000:
        job = source.draw()
        jobs.append(
            {
                "key": f"{mix}-{load}-{len(jobs)}",
                "at_ms": at_ms,
                "member": job.kind.member,
                "job": job.kind.job,
                "tasks": [
                    {"n": n, "run_ms": t} for n, t in enumerate(job.run_ms)
                ],
            }
        )
        at_ms += source.draw_gap_ms(rate)
    return jobs


def measure(mix: str, load: float, seconds: float) -> dict:
    """Returns the figures of real boxes, with stand-ins for the workers."""
    jobs = draw_jobs(mix, load, seconds)
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(
            pathlib.Path(folder),
            f"examples/{mix}.yaml",
            {HALLS[mix]: BOXES},
            WORKERS,
        ) as cluster,
    ):
        cpu_before_s = sum(box.cpu_s() for box in cluster.boxes.values())
        ports = [box.callers_port for box in cluster.boxes.values()]
        outcomes = run_jobs(jobs, MIXES[mix], ports)
        cpu_s = sum(b.cpu_s() for b in cluster.boxes.values()) - cpu_before_s
        counts = json.loads(cluster.workers.counts())
    completed = [o for o in outcomes if o.status == HTTP_OK]
    tasks = sum(len(o.job["tasks"]) for o in completed)
    slowdowns = [o.response_ms / o.ideal_ms for o in completed]
    return {
        "slowdown_p50": round(float(np.percentile(slowdowns, 50)), 4),
        "slowdown_p99": round(float(np.percentile(slowdowns, 99)), 4),
        "wasted_per_task": round(
            (counts["refused"] + counts["starts"] - tasks) / tasks, 5
        ),
        "refused": len(outcomes) - len(completed),
        "completed": len(completed),
        "cpu_ms_per_task": round(cpu_s * 1000 / tasks, 3),
        "wrong": sum(bool(o.find_error()) for o in outcomes),
    }


def predict(mix: str, load: float, seconds: float) -> dict:
    """Returns the figures of a simulated site of the same size."""
    shape = SiteShape({"h1": BOXES}, workers=WORKERS, slots=SLOTS)
    workload = Workload(mix, SEED, shape)
    workload.load = lambda now_ms: load
    workload.run(0.0, seconds * 1000)
    slowdowns = [
        s for stats in workload.class_stats.values() for s in stats.slowdowns
    ]
    return {
        "slowdown_p50": round(float(np.percentile(slowdowns, 50)), 4),
        "slowdown_p99": round(float(np.percentile(slowdowns, 99)), 4),
    }


def draw_chart(figures: dict) -> None:
    """Draws measured and predicted slowdowns into `out/wire.svg`."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    rows = [
        (f"{mix}\n{scenario}", result)
        for mix, scenarios in figures.items()
        for scenario, result in scenarios.items()
    ]
    _, axes = pyplot.subplots(figsize=(9, 4))
    positions = np.arange(len(rows))
    for offset, source in ((-0.2, "wire"), (0.2, "predicted")):
        values = [result[source]["slowdown_p99"] for _, result in rows]
        axes.bar(positions + offset, values, 0.4, label=source)
    axes.set_xticks(positions, [name for name, _ in rows])
    axes.set_ylabel("p99 slowdown: response time / ideal time")
    axes.set_yscale("log")
    axes.legend()
    CHART_FOLDER.mkdir(exist_ok=True)
    pyplot.savefig(CHART_FOLDER / "wire.svg")


def main(arguments: list[str]) -> int:
    """Runs both mixes at each load, prints and draws the figures."""
    parser = argparse.ArgumentParser(prog="bench wire")
    parser.add_argument("--seconds", type=float, default=10.0)
    flags = parser.parse_args(arguments)
    figures: dict[str, dict] = {}
    spawn = multiprocessing.get_context("spawn")
    for mix in MIXES:
        figures[mix] = {}
        for scenario, load in LOADS.items():
            with concurrent.futures.ProcessPoolExecutor(
                1, mp_context=spawn
            ) as pool:
                future = pool.submit(measure, mix, load, flags.seconds)
                measured = future.result()
            predicted = predict(mix, load, flags.seconds)
            difference = (
                measured["slowdown_p50"] / predicted["slowdown_p50"] - 1
            )
            figures[mix][scenario] = {
                "wire": measured,
                "predicted": predicted,
                "difference_p50": round(difference, 3),
                "to_explain": abs(difference) > MAX_RELATIVE_DIFFERENCE,
            }
            print(mix, scenario, figures[mix][scenario], flush=True)
    draw_chart(figures)
    return report("wire", figures)
