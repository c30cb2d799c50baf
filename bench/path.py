"""The cost of the path: one box, real processes, tasks that take no time.

`ratio_to_floor` compares the box's CPU a task with a floor measured in the
same run: a bare twisted.web echo server plus a bare request to a worker.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile
import time

from bench.bounds import finish
from bench.floor import ECHO, measure_client_ms, measure_echo_ms
from clayfield.testbed.processes import Cluster

CONFIG = "examples/ordervaart.yaml"
TASKS_PER_JOB = 1
CONNECTIONS = 24


def main(arguments: list[str]) -> int:
    """Loads one box and prints what a task costs."""
    parser = argparse.ArgumentParser(prog="bench path")
    parser.add_argument("--tasks", type=int, default=20_000)
    flags = parser.parse_args(arguments)
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(
            pathlib.Path(folder), CONFIG, {"west-1": 1}, 8, control=1
        ) as cluster,
    ):
        box = next(iter(cluster.boxes.values()))
        time.sleep(1.0)
        _load(box.callers, 2000, "warm")
        memory_before = box.resident_mb()
        cpu_s = box.cpu_s()
        took_s, failed = _load(box.callers, flags.tasks, "main")
        cpu_s = box.cpu_s() - cpu_s
        memory_after = box.resident_mb()
        counts = json.loads(cluster.workers.counts())
    tasks = flags.tasks - failed * TASKS_PER_JOB
    floor_ms = _floor_ms()
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
    }
    return finish("path", figures)


def _load(port: int, tasks: int, name: str) -> tuple[float, int]:
    """Submits tasks in jobs; returns seconds and jobs that failed."""
    command = [sys.executable, "-m", "bench.loader", str(port), name]
    command += [str(tasks), str(TASKS_PER_JOB), str(CONNECTIONS)]
    done = subprocess.run(command, capture_output=True, check=True)
    result = json.loads(done.stdout.splitlines()[-1])
    return result["took_s"], result["failed"]


def _floor_ms() -> float:
    """Returns CPU of one echo a job and one worker request a task."""
    with subprocess.Popen(
        [sys.executable, "-c", ECHO], stdout=subprocess.PIPE
    ) as echo:
        port = int(echo.stdout.readline())
        echo_ms = measure_echo_ms(echo.pid, port)
        client_ms = measure_client_ms(port)
        echo.terminate()
    print(f"floor: echo {echo_ms:.3f} ms, worker request {client_ms:.3f} ms")
    return echo_ms + client_ms
