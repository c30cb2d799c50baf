"""Measures the cost of claims: CPU, memory and the time added to a job.

A claim is the registry's record that a box runs the job of an idempotency key.
"""

import argparse
import gc
import random
import time
import tracemalloc

import numpy as np

from bench.bounds import report
from clayfield.box import BoxCore
from clayfield.state import ClaimTable, OpenTable, encode_commands
from clayfield.testbed import Site, SiteShape
from clayfield.wire import decode, encode
from clayfield.wire.messages import (
    CLAIM_CLOSED,
    CLAIM_GRANTED,
    Claim,
    ClaimReply,
    Complete,
    Outcome,
)

BATCH_SIZE = 16
ANSWER_BYTES = 200
JOBS = 400
TASK_MS = 50.0
SHAPE = SiteShape({"h1": 3}, workers=6)


class BoxWithoutClaims(BoxCore):
    """A box that grants each of its claims itself, without the registry."""

    def _send_to_registry(self, command: object) -> None:
        if isinstance(command, Claim):
            reply = ClaimReply(command.key, command.nonce, CLAIM_GRANTED)
            self.submissions.on_claim_reply(reply)
        else:
            self.submissions.on_claim_reply(
                ClaimReply(command.key, command.nonce, CLAIM_CLOSED)
            )


def measure_overhead_ms(make_core: type[BoxCore]) -> float:
    """Returns the median response time minus the task time, in ms.

    The clock is simulated, so that the result is the same in each run.
    """
    site = Site(SHAPE, 3, make_core=make_core)
    site.settle()
    overheads: list[float] = []
    rng = random.Random(5)
    for number in range(JOBS):
        sent_ms = site.events.now_ms()

        def on_answer(_: Outcome, sent_ms: float = sent_ms) -> None:
            overheads.append(site.events.now_ms() - sent_ms - TASK_MS)

        box = rng.choice(list(site.boxes))
        site.submit(box, f"h1:{number}", "dear", [TASK_MS], on_answer)
        site.run(20.0)
    site.run(1000.0)
    return float(np.median(overheads))


def main(arguments: list[str]) -> int:
    """Measures the cost of claims and prints the figures."""
    parser = argparse.ArgumentParser(prog="bench claims")
    parser.add_argument("--claims", type=int, default=100_000)
    flags = parser.parse_args(arguments)
    cpu_us = _measure_cpu_us(flags.claims)
    figures = {
        "claims_per_s": round(1e6 / cpu_us),
        "cpu_us_per_claim": round(cpu_us, 2),
        "bytes_per_claim": round(_measure_bytes_per_claim(flags.claims)),
        "answer_bytes": ANSWER_BYTES,
        "added_ms_p50": round(
            measure_overhead_ms(BoxCore)
            - measure_overhead_ms(BoxWithoutClaims),
            3,
        ),
    }
    return report("claims", figures)


def _make_batches(count: int) -> list[bytes]:
    """Returns log entries that claim keys and complete the claims."""
    outcome = Outcome(200, b"x" * ANSWER_BYTES)
    batches = []
    for start in range(0, count, BATCH_SIZE):
        keys = [f"desk/h1:{start + n:08}" for n in range(BATCH_SIZE)]
        claims = [Claim(k, b"d" * 16, "h1-a/1", n) for n, k in enumerate(keys)]
        ends = [Complete(k, "h1-a/1", n, outcome) for n, k in enumerate(keys)]
        batches.append(encode_commands([*claims, *ends]))
    return batches


def _measure_cpu_us(count: int) -> float:
    """Returns the CPU time of one replica per claim, in microseconds.

    It covers applying the commands and encoding and decoding the replies.
    """
    batches = _make_batches(count)
    table = ClaimTable()
    table.apply(encode_commands([OpenTable(1)]))
    start_s = time.process_time()
    for batch in batches:
        replies = table.apply(batch)
        decode(encode([reply for reply in replies if reply]))
    return (time.process_time() - start_s) * 1e6 / count


def _measure_bytes_per_claim(count: int) -> float:
    """Returns the memory of a claim table per claim, in bytes."""
    batches = _make_batches(count)
    table = ClaimTable()
    table.apply(encode_commands([OpenTable(1)]))
    gc.collect()
    tracemalloc.start()
    for batch in batches:
        table.apply(batch)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / count
