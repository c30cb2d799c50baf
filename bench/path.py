"""Measures the CPU time per task of the whole path, with real processes.

Tasks take no time on the workers and all jobs go to one box; the CPU time of
all boxes is added up. `ratio_to_floor` compares it with a floor measured in
the same run: a bare twisted.web echo per job and a bare request to a worker
per task.
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
    """Submits jobs to a box and prints the cost per task."""
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
            control_count=1,
        ) as cluster,
    ):
        boxes = list(cluster.boxes.values())
        box = boxes[-1]
        time.sleep(1.0)
        _submit_jobs(box.callers_port, 2000, "warm", flags.tasks_per_job)
        memory_before_mb = box.resident_mb()
        cpu_s = sum(b.cpu_s() for b in boxes)
        took_s, failed = _submit_jobs(
            box.callers_port, flags.tasks, "main", flags.tasks_per_job
        )
        cpu_s = sum(b.cpu_s() for b in boxes) - cpu_s
        memory_after_mb = box.resident_mb()
        counts = json.loads(cluster.workers.counts())
    tasks = flags.tasks - failed * flags.tasks_per_job
    floor_ms = _measure_floor_ms(flags.tasks_per_job)
    cpu_ms = cpu_s * 1000 / tasks
    figures = {
        "cpu_ms_per_task": round(cpu_ms, 4),
        "tasks_per_s": round(tasks / took_s, 1),
        "tasks_per_cpu_s": round(tasks / cpu_s, 1),
        "wasted_per_task": round(counts["refused"] / tasks, 5),
        "failed_jobs": failed,
        "floor_ms": round(floor_ms, 4),
        "ratio_to_floor": round(cpu_ms / floor_ms, 3),
        "memory_growth_mb": round(memory_after_mb - memory_before_mb, 2),
        "memory_mb": round(memory_after_mb, 1),
        "tasks": tasks,
        "tasks_per_job": flags.tasks_per_job,
        "boxes": flags.boxes,
    }
    return report("path", figures)


def _submit_jobs(
    port: int, tasks: int, key_prefix: str, tasks_per_job: int
) -> tuple[float, int]:
    """Submits jobs; returns the time in seconds and the failed jobs."""
    command = [sys.executable, "-m", "bench.loader", str(port), key_prefix]
    command += [str(tasks), str(tasks_per_job), str(CONNECTIONS)]
    completed = subprocess.run(command, capture_output=True, check=True)
    result = json.loads(completed.stdout.splitlines()[-1])
    return result["took_s"], result["failed"]


def _measure_floor_ms(tasks_per_job: int) -> float:
    """Returns the floor of the CPU time per task, in ms.

    It is the task's share of one echo per job plus one request to a worker.
    """
    with subprocess.Popen(
        [sys.executable, "-c", ECHO], stdout=subprocess.PIPE
    ) as echo:
        port = int(echo.stdout.readline())
        echo_ms = measure_echo_ms(echo.pid, port)
        client_ms = measure_client_ms(port)
        echo.terminate()
    print(f"floor: echo {echo_ms:.3f} ms, worker request {client_ms:.3f} ms")
    return echo_ms / tasks_per_job + client_ms
