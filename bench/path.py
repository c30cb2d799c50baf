"""The cost of the path: real processes, tasks that take no time.

All jobs go to one box; with several boxes their CPU is added up.
`ratio_to_floor` compares it a task with a floor measured in the same run: a
bare twisted.web echo a job plus a bare request to a worker a task.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile
import time

from bench.bounds import report
from bench.floor import ECHO, measure_client_ms, measure_echo_ms
from clayfield.testbed.processes import Cluster

CONFIG = "examples/ordervaart.yaml"
CONNECTIONS = 24


def main(arguments: list[str]) -> int:
    """Loads a box and prints what a task costs."""
    parser = argparse.ArgumentParser(prog="bench path")
    parser.add_argument("--tasks", type=int, default=20_000)
    parser.add_argument("--boxes", type=int, default=1)
    parser.add_argument("--tasks-per-job", type=int, default=1)
    parser.add_argument("--config", default=CONFIG)
    flags = parser.parse_args(arguments)
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(
            pathlib.Path(folder),
            flags.config,
            {"west-1": flags.boxes},
            8,
            control=1,
        ) as cluster,
    ):
        boxes = list(cluster.boxes.values())
        box = boxes[-1]
        time.sleep(1.0)
        _load(box.callers, 2000, "warm", flags.tasks_per_job)
        memory_before = box.resident_mb()
        cpu_s = sum(one.cpu_s() for one in boxes)
        took_s, failed = _load(
            box.callers, flags.tasks, "main", flags.tasks_per_job
        )
        cpu_s = sum(one.cpu_s() for one in boxes) - cpu_s
        memory_after = box.resident_mb()
        counts = json.loads(cluster.workers.counts())
    tasks = flags.tasks - failed * flags.tasks_per_job
    floor_ms = _floor_ms(flags.tasks_per_job)
    cpu_ms = cpu_s * 1000 / tasks
    figures = {
        "cpu_ms_per_task": round(cpu_ms, 4),
        "tasks_per_s": round(tasks / took_s, 1),
        "tasks_per_cpu_s": round(tasks / cpu_s, 1),
        "wasted_per_task": round(counts["refused"] / tasks, 5),
        "failed_jobs": failed,
        "floor_ms": round(floor_ms, 4),
        "ratio_to_floor": round(cpu_ms / floor_ms, 3),
        "memory_growth_mb": round(memory_after - memory_before, 2),
        "memory_mb": round(memory_after, 1),
        "tasks": tasks,
        "tasks_per_job": flags.tasks_per_job,
        "boxes": flags.boxes,
    }
    return report("path", figures)


def _load(port: int, tasks: int, name: str, per_job: int) -> tuple[float, int]:
    """Submits tasks in jobs; returns seconds and jobs that failed."""
    command = [sys.executable, "-m", "bench.loader", str(port), name]
    command += [str(tasks), str(per_job), str(CONNECTIONS)]
    done = subprocess.run(command, capture_output=True, check=True)
    result = json.loads(done.stdout.splitlines()[-1])
    return result["took_s"], result["failed"]


def _floor_ms(tasks_per_job: int) -> float:
    """Returns a task's share of an echo a job, and a worker request."""
    with subprocess.Popen(
        [sys.executable, "-c", ECHO], stdout=subprocess.PIPE
    ) as echo:
        port = int(echo.stdout.readline())
        echo_ms = measure_echo_ms(echo.pid, port)
        client_ms = measure_client_ms(port)
        echo.terminate()
    print(f"floor: echo {echo_ms:.3f} ms, worker request {client_ms:.3f} ms")
    return echo_ms / tasks_per_job + client_ms
