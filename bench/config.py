"""Measures the cost of configuration changes.

Covered are the time until a change is active on all boxes, the bytes sent to
each box, the catch-up of a box that missed changes, and recovery from disk.
"""

import argparse
import random
import tempfile
import time

import msgspec
import numpy as np

from bench.bounds import report
from clayfield.box.core import CONTROL_TIMING
from clayfield.box.follower import ConfigFollower
from clayfield.config import (
    Configuration,
    Hall,
    Limits,
    Member,
    PriorityClass,
    Service,
    encode_config,
)
from clayfield.daemon.store import Store
from clayfield.state import Append, ConfigLog, HardState, LogCreated, Snapshot
from clayfield.testbed import EventQueue, Site, SiteShape
from clayfield.testbed.site import DEFAULT_CONFIG
from clayfield.wire import encode
from clayfield.wire.messages import ConfigPull, LogEntry, Members

HALLS = {"h1": 3, "h2": 3, "h3": 3}
CHANGES = 40
MISSED_CHANGES = 500
MEMBER_COUNT = 62
SERVICE_COUNT = 120
HALL_COUNT = 22
SNAPSHOT_INTERVAL = CONTROL_TIMING.snapshot_threshold
LOG_LENGTHS = (400, 1600, 6400)


def make_large_configuration() -> Configuration:
    """Returns the configuration of a large site."""
    return Configuration(
        replaces=0,
        halls={f"h{n}": Hall() for n in range(HALL_COUNT)},
        classes={f"c{n}": PriorityClass(price=n) for n in range(8)},
        services={f"s{n}": Service() for n in range(SERVICE_COUNT)},
        members={
            f"team-{n}": Member(tokens=[f"{n:064x}"], slots=100)
            for n in range(MEMBER_COUNT)
        },
    )


def measure_activation_ms() -> list[float]:
    """Returns, for each change, the time until all boxes use it, in ms."""
    site = Site(SiteShape(HALLS, workers=1), 11)
    site.settle(DEFAULT_CONFIG)
    rng = random.Random(3)
    times_ms = []
    for number in range(CHANGES):
        box = rng.choice(list(site.boxes))
        base = site.boxes[box].core.cfg
        changed = msgspec.structs.replace(
            base,
            replaces=base.version,
            limits=Limits(queue_ms=500 + number),
        )
        start_ms = site.events.now_ms()
        site.apply_config(box, changed)
        while any(
            b.core.cfg.version < changed.version for b in site.boxes.values()
        ):
            site.run(5.0)
        times_ms.append(site.events.now_ms() - start_ms)
        site.run(rng.random() * 200)
    return times_ms


def _make_log(changes: int) -> tuple[ConfigLog, list[bytes]]:
    """Returns a log after a number of changes, and its commands."""
    log = ConfigLog()
    current = make_large_configuration()
    commands = []
    for number in range(changes):
        changed = msgspec.structs.replace(
            current,
            replaces=number,
            members={
                **current.members,
                f"team-{number % MEMBER_COUNT}": Member(slots=number + 1),
            },
        )
        command = log.make_apply_command(changed)
        commands.append(command)
        log.apply(command)
        current = log.current
    return log, commands


def measure_catch_up() -> tuple[float, int, float]:
    """Measures how a box catches up on the changes that it missed.

    Returns:
        The time in ms and the bytes for all missed changes, and the mean
        number of bytes of a change.
    """
    log, _ = _make_log(MISSED_CHANGES + 1)
    current_follower = ConfigFollower(EventQueue().clock)
    current_follower.apply_full(log.current)
    stale_follower = ConfigFollower(EventQueue().clock)
    start_s = time.perf_counter()
    push = current_follower.on_pull(ConfigPull(1))
    size = len(encode([push]))
    stale_follower.on_push(push)
    took_ms = (time.perf_counter() - start_s) * 1000
    assert encode_config(stale_follower.current) == encode_config(log.current)
    return took_ms, size, float(np.mean([len(d) for d in log.deltas]))


def measure_recovery_ms(changes: int) -> float:
    """Returns the time to restore a log of changes from disk, in ms."""
    log, commands = _make_log(changes)
    with tempfile.TemporaryDirectory() as folder:
        store = Store(folder)
        store.write([LogCreated("control@a/1#1"), HardState(1, "a/1")])
        snapshot_index = changes // SNAPSHOT_INTERVAL * SNAPSHOT_INTERVAL
        entries = [LogEntry(1, 0, command) for command in commands]
        records = [Append(n, e) for n, e in enumerate(entries, 1)]
        store.write(records[: snapshot_index + 1])
        if snapshot_index:
            snapshot = Snapshot(
                snapshot_index, 1, Members(("a/1",)), log.snapshot()
            )
            store.write([snapshot])
        store.write(records[snapshot_index + 1 :] or records[-1:])
        store.close()
        start_s = time.perf_counter()
        state = Store(folder).state
        restored_log = ConfigLog()
        if state.log.snapshot:
            restored_log.restore(state.log.snapshot.data)
        for index in range(state.log.first_index, state.log.last_index + 1):
            restored_log.apply(state.log.entry_at(index).data)
        return (time.perf_counter() - start_s) * 1000


def main(arguments: list[str]) -> int:
    """Measures configuration changes and prints the figures."""
    argparse.ArgumentParser(prog="bench config").parse_args(arguments)
    times_ms = measure_activation_ms()
    catch_up_ms, catch_up_bytes, delta_bytes = measure_catch_up()
    figures = {
        "ms_to_in_force_p50": round(float(np.percentile(times_ms, 50)), 1),
        "ms_to_in_force_p99": round(float(np.percentile(times_ms, 99)), 1),
        "bytes_per_change_per_box": round(delta_bytes),
        "whole_bytes": len(encode_config(make_large_configuration())),
        "catch_up_ms": round(catch_up_ms, 2),
        "catch_up_bytes": catch_up_bytes,
        "recovery_ms": {
            str(length): round(measure_recovery_ms(length), 1)
            for length in LOG_LENGTHS
        },
    }
    return report("config", figures)
