"""Case: a task that crashes its workers is started without end."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins2.client import Job, make_config
from standins2.play import HOST, Play, run_case

# With TROUBLE=0 the same is done without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PATH = "/orders/"
CONFIG = make_config({"orders": (PATH, 0, 3)}, HOST)
WATCH_S = 25.0
# BUDGET of the letters: started three times more after three crashes.
CRASHES = 3
MORE_STARTS = 3


def _make_job(how: str) -> Job:
    work = {"cpu": 2000, "ms": 60, "how": how}
    step = {"count": 1, "cpu": 2000, "mem_mb": 64, "estimate_ms": 60}
    return Job(PATH, {"spec": json.dumps(work), "steps": [step]})


async def _play(play: Play) -> list[str]:
    job = _make_job("crash" if HAS_TROUBLE else "done")
    await play.clients.submit(job)
    others = [_make_job("done") for _ in range(int(WATCH_S))]
    for other in others:
        await asyncio.gather(play.clients.submit(other), asyncio.sleep(1.0))
    await play.clients.read_state(job)
    return _check(play, job)


def _check(play: Play, job: Job) -> list[str]:
    runs = [
        run
        for worker in play.workers
        for run in worker.runs
        if run.task.startswith(job.key)
    ]
    runs.sort(key=lambda run: run.start_ms)
    crashes = [run.end_ms for run in runs if run.how == "crash"]
    if len(crashes) < CRASHES:
        return []
    later = [run for run in runs if run.start_ms > sorted(crashes)[CRASHES - 1]]
    if len(later) < MORE_STARTS:
        return []
    text = (
        f"{job.key} was started {len(later)} times after {CRASHES} workers had"
        f" crashed under it; {len(crashes)} crashes in all, state {job.state}"
    )
    return [text]


if __name__ == "__main__":
    run_case(
        __file__,
        CONFIG,
        _play,
        [["a", f"r{n % 3}"] for n in range(12)],
    )
