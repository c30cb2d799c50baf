"""Case 1: more than 500 ends wait on a worker while a core machine freezes."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

from standins.checks import find_repeated
from standins.deployment import CannotRunError, Deployment, make_config
from standins.record import Record
from standins.runner import run_case

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = 7
JOBS = 5
TASKS = 120
TASK_CPU = 24
# The jobs are submitted this long after one another, and each takes that much
# less time than the one before, but for this, so that the tasks of all end
# within half a second.
STEP_MS = 400
APART_MS = 0
LONGEST_MS = 2400
# The freeze begins this long after the first job was sent: as tasks first end.
FREEZE_AT_MS = LONGEST_MS
FREEZE_S = 3.0
FINISH_S = 8.0


async def play(record: Record, deployment: Deployment) -> list[str]:
    """Plays the case; returns what broke the rule."""
    await deployment.start(make_config(1, target_ms=20000))
    worker = deployment.make_worker("w-1")
    await worker.start(deployment.control_addresses)
    await deployment.wait_for_traffic()
    entry = deployment.entries[0]
    keys = [f"{random.getrandbits(64):016x}" for _ in range(JOBS)]
    started_s = time.monotonic()
    for number, key in enumerate(keys):
        await sleep_until(started_s, number * STEP_MS)
        body = make_job(LONGEST_MS - number * (STEP_MS - APART_MS))
        status, _ = await deployment.request(entry, "POST", f"/q/{key}", body)
        if status != 200:
            raise CannotRunError(f"job {key} was answered {status}")
    await sleep_until(started_s, FREEZE_AT_MS)
    if HAS_TROUBLE:
        leader = deployment.find_leader()
        leader.send(signal.SIGSTOP)
        record.note("freeze", leader.name)
        await asyncio.sleep(FREEZE_S)
        leader.send(signal.SIGCONT)
        record.note("thaw", leader.name)
    await asyncio.sleep(FINISH_S)
    for key in keys:
        await deployment.request(entry, "GET", f"/q/{key}")
    await worker.close()
    record.note("starts", "w-1", f"{len(worker.runs)} of {JOBS * TASKS} tasks")
    return find_repeated(worker.runs)


def make_job(work_ms: int) -> dict:
    """Returns the body of a job of one step."""
    spec = f'{{"work_ms":{work_ms},"cpu":{TASK_CPU}}}'
    step = {
        "count": TASKS,
        "cpu": TASK_CPU,
        "mem_mb": 32,
        "estimate_ms": work_ms,
    }
    return {"spec": spec, "steps": [step]}


async def sleep_until(started_s: float, offset_ms: float) -> None:
    """Sleeps until a time after the first job was submitted."""
    await asyncio.sleep(started_s + offset_ms / 1000.0 - time.monotonic())


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, "TWICE", ENTRIES, play))
