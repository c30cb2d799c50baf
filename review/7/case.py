"""Case: a few long tasks keep every worker from taking any other task."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins2.client import Job, make_config
from standins2.play import HOST, WORKER_CPU, Play, run_case

PATH = "/orders/"
CONFIG = make_config({"orders": (PATH, 0, 3)}, HOST)
LABELS = [["a", f"r{n % 3}"] for n in range(8)]
JOBS = 40
LONG_JOBS = 2
WIDTH = 4
WORK_MS = 900
LONG_FACTOR = 20
LONG_CPU = 9000
LASTING_CPU = 500
LASTING_AT_S = 14.0
# LOST: the 3 s, and the 4 s before them, are calm.
WATCH_S = 7.5
SAMPLE_S = 0.1
FOREVER_MS = 1e9


def _make_job(factor: int) -> Job:
    work = {"cpu": LONG_CPU, "ms": WORK_MS * factor, "how": "done"}
    step = {
        "count": WIDTH,
        "cpu": LONG_CPU,
        "mem_mb": 64,
        "estimate_ms": WORK_MS,
    }
    return Job(PATH, {"spec": json.dumps(work), "steps": [step]})


def _make_lasting() -> Job:
    work = {"cpu": LASTING_CPU, "ms": FOREVER_MS, "how": "done"}
    step = {"count": 1, "cpu": LASTING_CPU, "mem_mb": 64}
    content = {"spec": json.dumps(work), "steps": [step], "long_running": True}
    return Job(PATH, content)


async def _play(play: Play) -> list[str]:
    for _ in range(JOBS - LONG_JOBS):
        await play.clients.submit(_make_job(1))
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)
    factor = LONG_FACTOR if play.has_trouble else 1
    long_jobs = [_make_job(factor) for _ in range(LONG_JOBS)]
    play.record.add("LONG", f"x {factor}")
    await asyncio.gather(*(play.clients.submit(job) for job in long_jobs))
    await asyncio.sleep(LASTING_AT_S)
    lasting = _make_lasting()
    await play.clients.submit(lasting)
    begin_ms = play.record.now_ms()
    while play.record.now_ms() - begin_ms < WATCH_S * 1000.0:
        runs = [
            run
            for worker in play.workers
            for run in worker.runs
            if run.task.startswith(lasting.key)
        ]
        free = [
            worker
            for worker in play.workers
            if WORKER_CPU - worker.used_cpu >= 2 * LASTING_CPU
        ]
        if runs or len(free) < 2:
            return []
        await asyncio.sleep(SAMPLE_S)
    return [f"{lasting.key} had nothing running for {WATCH_S} s"]


if __name__ == "__main__":
    run_case(__file__, CONFIG, _play, LABELS)
