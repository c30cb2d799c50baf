"""What claims cost: CPU, memory and the time they add to a job."""

import argparse
import gc
import random
import time
import tracemalloc

import numpy as np

from bench.bounds import finish
from clayfield.box import BoxCore
from clayfield.state import ClaimTable, Open, encode_commands
from clayfield.testbed import Site, SiteShape
from clayfield.wire import decode, encode
from clayfield.wire.messages import (
    CLAIM_GRANTED,
    Claim,
    ClaimReply,
    Complete,
    Outcome,
)

BATCH = 16
ANSWER_BYTES = 200
JOBS = 400
SHAPE = SiteShape({"h1": 3}, workers=6)


class WithoutClaims(BoxCore):
    """A box that grants itself every claim at once, for comparison."""

    def _to_registry(self, command: object) -> None:
        if isinstance(command, Claim):
            reply = ClaimReply(command.key, command.nonce, CLAIM_GRANTED)
            self.entry.on_claim_reply(reply)
        else:
            self.entry.on_claim_reply(ClaimReply(command.key, command.nonce, 6))


def response_ms(make_core: type[BoxCore]) -> float:
    """Returns the median time above the task's own, on a manual clock."""
    site = Site(SHAPE, 3, make_core=make_core)
    site.settle()
    overheads: list[float] = []
    rng = random.Random(5)
    for number in range(JOBS):
        sent_ms = site.events.now_ms()

        def answered(_: Outcome, sent_ms: float = sent_ms) -> None:
            overheads.append(site.events.now_ms() - sent_ms - 50.0)

        box = rng.choice(list(site.boxes))
        site.submit(box, f"h1:{number}", "dear", [50.0], answered)
        site.run(20.0)
    site.run(1000.0)
    return float(np.median(overheads))


def main(arguments: list[str]) -> int:
    """Prints the figures."""
    parser = argparse.ArgumentParser(prog="bench claims")
    parser.add_argument("--claims", type=int, default=100_000)
    flags = parser.parse_args(arguments)
    cpu_us = _cpu_us(flags.claims)
    figures = {
        "claims_per_s": round(1e6 / cpu_us),
        "cpu_us_per_claim": round(cpu_us, 2),
        "bytes_per_claim": round(_bytes_per_claim(flags.claims)),
        "answer_bytes": ANSWER_BYTES,
        "added_ms_p50": round(
            response_ms(BoxCore) - response_ms(WithoutClaims), 3
        ),
    }
    return finish("claims", figures)


def _batches(count: int) -> list[bytes]:
    """Returns entries that claim keys and complete them."""
    outcome = Outcome(200, b"x" * ANSWER_BYTES)
    batches = []
    for start in range(0, count, BATCH):
        keys = [f"desk/h1:{start + n:08}" for n in range(BATCH)]
        claims = [Claim(k, b"d" * 16, "h1-a/1", n) for n, k in enumerate(keys)]
        ends = [Complete(k, "h1-a/1", n, outcome) for n, k in enumerate(keys)]
        batches.append(encode_commands([*claims, *ends]))
    return batches


def _cpu_us(count: int) -> float:
    """Returns the CPU at one replica to take, code and apply a claim."""
    batches = _batches(count)
    table = ClaimTable()
    table.apply(encode_commands([Open(1)]))
    start_s = time.process_time()
    for batch in batches:
        replies = table.apply(batch)
        decode(encode([one for one in replies if one]))
    return (time.process_time() - start_s) * 1e6 / count


def _bytes_per_claim(count: int) -> float:
    batches = _batches(count)
    table = ClaimTable()
    table.apply(encode_commands([Open(1)]))
    gc.collect()
    tracemalloc.start()
    for batch in batches:
        table.apply(batch)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / count
