"""An omniscient single queue: the best that the same workload allows.

It knows each task's true time, has no message delays and never preempts.
Strict classes; within a class least remaining work, with true times.
"""

import heapq

import numpy as np

from clayfield.testbed.mixes import MIXES, Job, Mix


class _OracleJob:
    __slots__ = ("arrived_ms", "job", "left", "running", "todo")

    def __init__(self, job: Job, arrived_ms: float):
        self.job = job
        self.arrived_ms = arrived_ms
        self.todo = sorted(job.run_ms)
        self.left = len(job.run_ms)


def oracle_summary(
    mix: str,
    seed: int,
    load: float,
    slots: int,
    warm_ms: float,
    duration_ms: float,
) -> dict:
    """Returns mean and p99 slowdown by class, for a constant load.

    Above a load of 1 the lowest class waits without bound; its figures then
    say nothing, and only the others are to be compared.
    """
    kinds = MIXES[mix]
    ranks = {kind.priority: rank for rank, kind in enumerate(kinds)}
    source = Mix(kinds, seed)
    rate = slots * 1000.0 * load / source.mean_work_ms
    queues: list[list] = [[] for _ in kinds]
    ends: list[float] = []
    free = slots
    slowdowns: dict[str, list[float]] = {k.priority: [] for k in kinds}
    now_ms, number = 0.0, 0
    end_ms = warm_ms + duration_ms
    next_ms = 0.0
    while next_ms < end_ms or ends or any(queues):
        if ends and (ends[0][0] <= next_ms or next_ms >= end_ms):
            now_ms, _, one = heapq.heappop(ends)
            free += 1
            one.left -= 1
            if not one.left and one.arrived_ms >= warm_ms:
                took_ms = now_ms - one.arrived_ms
                name = one.job.kind.priority
                slowdowns[name].append(took_ms / max(one.job.run_ms))
        elif next_ms < end_ms:
            now_ms = next_ms
            one = _OracleJob(source.draw(), now_ms)
            rank = ranks[one.job.kind.priority]
            number += 1
            heapq.heappush(queues[rank], (sum(one.todo), number, one))
            next_ms += source.gap_ms(rate)
        while free and any(queues):
            queue = next(q for q in queues if q)
            _, _, one = heapq.heappop(queue)
            run_ms = one.todo.pop()
            free -= 1
            number += 1
            heapq.heappush(ends, (now_ms + run_ms, number, one))
            if one.todo:
                heapq.heappush(queue, (sum(one.todo), number, one))
    every = [s for own in slowdowns.values() for s in own]
    return {
        "mean": round(float(np.mean(every)), 4),
        "p99": {
            name: round(float(np.percentile(own, 99)), 4)
            for name, own in slowdowns.items()
            if own
        },
    }
