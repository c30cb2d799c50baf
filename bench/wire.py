"""The users' mixes through real boxes, beside what the decisions predict."""

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
OUT = pathlib.Path("out")
EXPLAIN_ABOVE = 0.2


def draw_jobs(mix: str, load: float, seconds: float) -> list[dict]:
    """Returns the jobs of a run, with their times."""
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
        at_ms += source.gap_ms(rate)
    return jobs


def run_on_wire(mix: str, load: float, seconds: float) -> dict:
    """Returns the figures of real processes."""
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
        before = sum(box.cpu_s() for box in cluster.boxes.values())
        ports = [box.callers for box in cluster.boxes.values()]
        outcomes = run_jobs(jobs, MIXES[mix], ports)
        cpu_s = sum(b.cpu_s() for b in cluster.boxes.values()) - before
        counts = json.loads(cluster.workers.counts())
    whole = [one for one in outcomes if one.status == HTTP_OK]
    tasks = sum(len(one.job["tasks"]) for one in whole)
    ratios = [one.response_ms / one.ideal_ms for one in whole]
    return {
        "slowdown_p50": round(float(np.percentile(ratios, 50)), 4),
        "slowdown_p99": round(float(np.percentile(ratios, 99)), 4),
        "wasted_per_task": round(
            (counts["refused"] + counts["starts"] - tasks) / tasks, 5
        ),
        "refused": len(outcomes) - len(whole),
        "completed": len(whole),
        "cpu_ms_per_task": round(cpu_s * 1000 / tasks, 3),
        "wrong": sum(bool(one.fault()) for one in outcomes),
    }


def predict(mix: str, load: float, seconds: float) -> dict:
    """Returns the figures of the decisions alone, for the same size."""
    shape = SiteShape({"h1": BOXES}, workers=WORKERS, slots=SLOTS)
    workload = Workload(mix, SEED, shape)
    workload.load = lambda now_ms: load
    workload.run(0.0, seconds * 1000)
    every = [s for o in workload.figures.values() for s in o.slowdowns]
    return {
        "slowdown_p50": round(float(np.percentile(every, 50)), 4),
        "slowdown_p99": round(float(np.percentile(every, 99)), 4),
    }


def draw_chart(figures: dict) -> None:
    """Draws measured beside predicted slowdowns into `out/`."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    rows = [
        (f"{mix}\n{scenario}", one)
        for mix, scenarios in figures.items()
        for scenario, one in scenarios.items()
    ]
    _, axes = pyplot.subplots(figsize=(9, 4))
    place = np.arange(len(rows))
    for shift, source in ((-0.2, "wire"), (0.2, "predicted")):
        values = [one[source]["slowdown_p99"] for _, one in rows]
        axes.bar(place + shift, values, 0.4, label=source)
    axes.set_xticks(place, [name for name, _ in rows])
    axes.set_ylabel("response over ideal, p99")
    axes.set_yscale("log")
    axes.legend()
    OUT.mkdir(exist_ok=True)
    pyplot.savefig(OUT / "wire.svg")


def main(arguments: list[str]) -> int:
    """Runs both mixes at each load."""
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
                wire = pool.submit(run_on_wire, mix, load, flags.seconds)
                measured = wire.result()
            predicted = predict(mix, load, flags.seconds)
            difference = (
                measured["slowdown_p50"] / predicted["slowdown_p50"] - 1
            )
            figures[mix][scenario] = {
                "wire": measured,
                "predicted": predicted,
                "difference_p50": round(difference, 3),
                "to_explain": abs(difference) > EXPLAIN_ABOVE,
            }
            print(mix, scenario, figures[mix][scenario], flush=True)
    draw_chart(figures)
    return report("wire", figures)
