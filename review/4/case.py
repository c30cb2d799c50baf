"""Case: lasting jobs that no worker can take hold up all other jobs."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins2.client import Job, make_config
from standins2.play import HOST, WORKER_CPU, Play, run_case

# With TROUBLE=0 the same is done without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PATH = "/orders/"
CONFIG = make_config({"orders": (PATH, 0, 3)}, HOST)
# One of eight workers has the label, which is within the share of `srv_crash`.
LABELS = [["b", "r0"]] + [["a", f"r{n % 3}"] for n in range(7)]
LASTING_JOBS = 30
USUAL_JOBS = 20
USUAL_GAP_S = 0.25
FINISH_S = 14.0
WATCH_S = 3.0
SAMPLE_S = 0.1
USUAL_CPU = 1000
FOREVER_MS = 1e9


def _make_lasting() -> Job:
    work = {"cpu": 500, "ms": FOREVER_MS, "how": "done"}
    step = {"count": 1, "cpu": 500, "mem_mb": 64, "requires": "b"}
    content = {"spec": json.dumps(work), "steps": [step], "long_running": True}
    return Job(PATH, content)


def _make_usual() -> Job:
    work = {"cpu": USUAL_CPU, "ms": 200, "how": "done"}
    step = {
        "count": 1,
        "cpu": USUAL_CPU,
        "mem_mb": 64,
        "estimate_ms": 200,
    }
    return Job(PATH, {"spec": json.dumps(work), "steps": [step]})


async def _play(play: Play) -> list[str]:
    lasting = [_make_lasting() for _ in range(LASTING_JOBS)]
    usual = [_make_usual() for _ in range(USUAL_JOBS)]
    await asyncio.gather(*(play.clients.submit(job) for job in lasting))
    await asyncio.sleep(3.0)
    if HAS_TROUBLE:
        await play.workers[0].crash(None)
    await asyncio.sleep(3.0)
    for job in usual:
        await asyncio.gather(
            play.clients.submit(job), asyncio.sleep(USUAL_GAP_S)
        )
    await asyncio.sleep(FINISH_S)
    for job in usual:
        await play.clients.read_state(job)
    if not await _has_room(play):
        return []
    started = {
        run.task.partition(".")[0]
        for worker in play.workers
        for run in worker.runs
    }
    return [
        f"{job.key} was accepted and was not started in"
        f" {play.record.now_ms() - job.accepted_ms:.0f} ms"
        for job in usual
        if job.is_accepted and job.key not in started
    ]


async def _has_room(play: Play) -> bool:
    """Returns whether most of the service is free for as long as LOST says."""
    has_room = True
    for _ in range(int(WATCH_S / SAMPLE_S)):
        up = [worker for worker in play.workers if worker.is_up]
        used = sum(worker.used_cpu for worker in up)
        free = [
            worker
            for worker in up
            if WORKER_CPU - worker.used_cpu >= 2 * USUAL_CPU
        ]
        has_room &= used < len(up) * WORKER_CPU / 2 and len(free) >= 2
        await asyncio.sleep(SAMPLE_S)
    return has_room


if __name__ == "__main__":
    run_case(__file__, CONFIG, _play, LABELS)
