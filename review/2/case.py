"""Case 2: one heartbeat of another writer, then a planned restart."""

import asyncio
import os
import pathlib
import sys

from standins import http
from standins.deployment import (
    Deployment,
    make_config,
)
from standins.record import Record
from standins.runner import run_case

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = 3
WORKERS = 4
JOBS = 5
BEFORE_WORKERS_S = 2.0
SETTLE_S = 4.0
FINISH_S = 14.0
FOREIGN_ID = "store-7"
# What another writer sends: its address is no IP:PORT.
FOREIGN = {
    "service": "stock",
    "address": "store-7",
    "zone": "z-a",
    "version": "v1",
    "slots": 8,
    "state": "primary",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-0"],
    "clock_ms": 1,
    "seq": 1,
}


async def play(record: Record, deployment: Deployment) -> list[str]:
    """Plays the case; returns the jobs that were lost."""
    await deployment.start(make_config(1))
    host, port = deployment.control_addresses[0]
    if HAS_TROUBLE:
        path = f"/-/instances/{FOREIGN_ID}"
        status, _, _ = await http.call(host, port, "PUT", path, FOREIGN)
        record.note("foreign", "other-writer", f"PUT {path} -> {status}")
    await asyncio.sleep(BEFORE_WORKERS_S)
    workers = [deployment.make_worker(f"w-{n}") for n in range(1, WORKERS + 1)]
    for worker in workers:
        await worker.start(deployment.control_addresses)
    await deployment.wait_for_traffic()
    holder = deployment.find_holder()
    entry = next(node for node in deployment.entries if node is not holder)
    keys = await deployment.submit_jobs(entry, JOBS)
    await asyncio.sleep(SETTLE_S)
    await deployment.restart_planned(holder)
    await asyncio.sleep(SETTLE_S)
    keys += await deployment.submit_jobs(entry, JOBS)
    await asyncio.sleep(FINISH_S)
    faults = await deployment.find_lost(entry, keys, workers)
    for worker in workers:
        await worker.close()
    return faults


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, "LOST", ENTRIES, play))
