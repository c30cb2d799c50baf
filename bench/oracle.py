"""Computes the slowdown of an ideal scheduler on the same workload.

The ideal scheduler has one queue for all workers, is given the true time of
each task, has no message delays and never preempts. A higher class always goes
first; within a class, the job with the least remaining work.
"""

import heapq

import numpy as np

from clayfield.testbed.mixes import MIXES, DrawnJob, Mix


class _OracleJob:
    """A job in the ideal scheduler.

    Attributes:
        drawn: the job as drawn from the mix.
        arrived_ms: time of its arrival.
        pending_ms: times of the tasks that have not started, ascending.
        remaining: number of tasks that have not ended.
    """

    __slots__ = ("arrived_ms", "drawn", "pending_ms", "remaining", "running")

    def __init__(self, drawn: DrawnJob, arrived_ms: float):
        self.drawn = drawn
        self.arrived_ms = arrived_ms
        self.pending_ms = sorted(drawn.run_ms)
        self.remaining = len(drawn.run_ms)


def oracle_summary(
    mix: str,
    seed: int,
    load: float,
    slots: int,
    warm_ms: float,
    duration_ms: float,
) -> dict:
    """Returns the mean slowdown and the p99 slowdown by class.

    Slowdown is the response time of a job over the time of its longest task.
    Above a load of 1 the queue of the lowest class grows without bound; its
    figures then depend on the duration and are not comparable.

    Args:
        mix: name of the users' mix of jobs.
        seed: seed of the mix.
        load: arriving work as a share of the capacity, constant.
        slots: slots of all workers.
        warm_ms: time before the measurement.
        duration_ms: measured time.
    """
    kinds = MIXES[mix]
    ranks = {kind.priority: rank for rank, kind in enumerate(kinds)}
    source = Mix(kinds, seed)
    rate = slots * 1000.0 * load / source.mean_work_ms
    queues: list[list] = [[] for _ in kinds]
    running: list[float] = []
    free_slots = slots
    slowdowns: dict[str, list[float]] = {k.priority: [] for k in kinds}
    now_ms, sequence = 0.0, 0  # The sequence breaks ties in the heaps.
    end_ms = warm_ms + duration_ms
    next_arrival_ms = 0.0
    while next_arrival_ms < end_ms or running or any(queues):
        if running and (
            running[0][0] <= next_arrival_ms or next_arrival_ms >= end_ms
        ):
            now_ms, _, job = heapq.heappop(running)
            free_slots += 1
            job.remaining -= 1
            if not job.remaining and job.arrived_ms >= warm_ms:
                took_ms = now_ms - job.arrived_ms
                name = job.drawn.kind.priority
                slowdowns[name].append(took_ms / max(job.drawn.run_ms))
        elif next_arrival_ms < end_ms:
            now_ms = next_arrival_ms
            job = _OracleJob(source.draw(), now_ms)
            rank = ranks[job.drawn.kind.priority]
            sequence += 1
            heapq.heappush(queues[rank], (sum(job.pending_ms), sequence, job))
            next_arrival_ms += source.draw_gap_ms(rate)
        while free_slots and any(queues):
            queue = next(q for q in queues if q)
            _, _, job = heapq.heappop(queue)
            run_ms = job.pending_ms.pop()
            free_slots -= 1
            sequence += 1
            heapq.heappush(running, (now_ms + run_ms, sequence, job))
            if job.pending_ms:
                heapq.heappush(queue, (sum(job.pending_ms), sequence, job))
    all_slowdowns = [s for values in slowdowns.values() for s in values]
    return {
        "mean": round(float(np.mean(all_slowdowns)), 4),
        "p99": {
            name: round(float(np.percentile(values, 99)), 4)
            for name, values in slowdowns.items()
            if values
        },
    }
