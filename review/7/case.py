"""Case: jobs that no worker has begun are not counted as waiting."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins2.client import Job, make_config
from standins2.messages import call
from standins2.play import HOST, Play, run_case

PATH = "/orders/"
CONFIG = make_config({"orders": (PATH, 0, 3)}, HOST)
# One of eight workers has the label, which is within the share of `srv_grey`.
LABELS = [["b", "r0"]] + [["a", f"r{n % 3}"] for n in range(7)]
JOBS = 10
SHED_S = 6.5
# MIXED counts the jobs that were accepted visible_ms + 2 s before.
COUNTED_MS = 5000.0
ASK_AT_S = 5.6


def _make_job() -> Job:
    work = {"cpu": 1000, "ms": 200, "how": "done"}
    step = {
        "count": 1,
        "cpu": 1000,
        "mem_mb": 64,
        "estimate_ms": 200,
        "requires": "b",
    }
    return Job(PATH, {"spec": json.dumps(work), "steps": [step]})


async def _play(play: Play) -> list[str]:
    play.workers[0].is_shedding = play.has_trouble
    play.record.add("SHED", f"{play.workers[0].name} {play.has_trouble}")
    jobs = [_make_job() for _ in range(JOBS)]
    await asyncio.gather(*(play.clients.submit(job) for job in jobs))
    await asyncio.sleep(ASK_AT_S)
    breaks = await _check(play, jobs)
    await asyncio.sleep(SHED_S - ASK_AT_S)
    play.workers[0].is_shedding = False
    play.record.add("SHED", "over")
    await asyncio.sleep(4.0)
    for job in jobs:
        await play.clients.read_state(job)
    return breaks


async def _check(play: Play, jobs: list[Job]) -> list[str]:
    """Asks each entry process for the number of waiting jobs."""
    breaks: list[str] = []
    for machine in play.deployment.entries:
        begun = {
            run.task.partition(".")[0]
            for worker in play.workers
            for run in worker.runs
        }
        now_ms = play.record.now_ms()
        waiting = [
            job
            for job in jobs
            if job.is_accepted
            and now_ms - job.accepted_ms > COUNTED_MS
            and job.key not in begun
        ]
        address = (machine.ip, play.deployment.front_port)
        status, body, _ = await call(
            address, "GET", PATH, headers={"Host": HOST}
        )
        count = json.loads(body)["waiting"] if status == 200 else None
        text = f"{machine.name} gives {count} of {len(waiting)} as waiting"
        play.record.add("waiting", text)
        if count is not None and count < len(waiting) / 2:
            breaks.append(text)
    return breaks


if __name__ == "__main__":
    run_case(__file__, CONFIG, _play, LABELS)
