"""Configurations: time to force, bytes a box, catching up, recovery."""

import argparse
import random
import tempfile
import time

import msgspec
import numpy as np

from bench.bounds import finish
from clayfield.box.core import CONTROL_TIMING
from clayfield.box.follower import ConfigFollower
from clayfield.config import (
    Configuration,
    Hall,
    Limits,
    Member,
    PriorityClass,
    Service,
    to_bytes,
)
from clayfield.daemon.store import Store
from clayfield.state import Append, Born, ConfigLog, HardState, Snapshot
from clayfield.testbed import EventQueue, Site, SiteShape
from clayfield.testbed.site import DEFAULT
from clayfield.wire import encode
from clayfield.wire.messages import ConfigPull, LogEntry, Members

HALLS = {"h1": 3, "h2": 3, "h3": 3}
CHANGES = 40
MISSED = 500
TEAMS = 62
SERVICES = 120
LETTER_HALLS = 22
SNAPSHOT_EVERY = CONTROL_TIMING.compact_entries
LOG_LENGTHS = (400, 1600, 6400)


def letter_configuration() -> Configuration:
    """Returns a configuration of the letter's size."""
    return Configuration(
        replaces=0,
        halls={f"h{n}": Hall() for n in range(LETTER_HALLS)},
        classes={f"c{n}": PriorityClass(price=n) for n in range(8)},
        services={f"s{n}": Service() for n in range(SERVICES)},
        members={
            f"team-{n}": Member(tokens=[f"{n:064x}"], slots=100)
            for n in range(TEAMS)
        },
    )


def ms_to_in_force() -> list[float]:
    """Returns, for each change, the time until the last box has it."""
    site = Site(SiteShape(HALLS, workers=1), 11)
    site.settle(DEFAULT)
    rng = random.Random(3)
    times = []
    for number in range(CHANGES):
        box = rng.choice(list(site.boxes))
        base = site.boxes[box].core.cfg
        wanted = msgspec.structs.replace(
            base,
            replaces=base.version,
            limits=Limits(queue_ms=500 + number),
        )
        start_ms = site.events.now_ms()
        site.apply(box, wanted)
        while any(
            b.core.cfg.version < wanted.version for b in site.boxes.values()
        ):
            site.run(5.0)
        times.append(site.events.now_ms() - start_ms)
        site.run(rng.random() * 200)
    return times


def _log_with(changes: int) -> tuple[ConfigLog, list[bytes]]:
    log = ConfigLog()
    current = letter_configuration()
    commands = []
    for number in range(changes):
        wanted = msgspec.structs.replace(
            current,
            replaces=number,
            members={
                **current.members,
                f"team-{number % TEAMS}": Member(slots=number + 1),
            },
        )
        command = log.command_for(wanted)
        commands.append(command)
        log.apply(command)
        current = log.current
    return log, commands


def catch_up() -> tuple[float, int, float]:
    """Returns ms and bytes for 500 missed changes, and bytes a change."""
    log, _ = _log_with(MISSED + 1)
    ahead = ConfigFollower(EventQueue().clock)
    ahead.take_whole(log.current)
    behind = ConfigFollower(EventQueue().clock)
    start_s = time.perf_counter()
    push = ahead.on_pull(ConfigPull(1))
    size = len(encode([push]))
    behind.on_push(push)
    took_ms = (time.perf_counter() - start_s) * 1000
    assert to_bytes(behind.current) == to_bytes(log.current)
    return took_ms, size, float(np.mean([len(d) for d in log.deltas]))


def recovery_ms(changes: int) -> float:
    """Returns the time to open a data folder after a number of changes."""
    log, commands = _log_with(changes)
    with tempfile.TemporaryDirectory() as folder:
        store = Store(folder)
        store.write([Born("control@a/1#1"), HardState(1, "a/1")])
        kept = changes // SNAPSHOT_EVERY * SNAPSHOT_EVERY
        entries = [LogEntry(1, 0, command) for command in commands]
        records = [Append(n, e) for n, e in enumerate(entries, 1)]
        store.write(records[: kept + 1])
        if kept:
            snapshot = Snapshot(kept, 1, Members(("a/1",)), log.snapshot())
            store.write([snapshot])
        store.write(records[kept + 1 :] or records[-1:])
        store.close()
        start_s = time.perf_counter()
        state = Store(folder).state
        machine = ConfigLog()
        if state.log.snapshot:
            machine.restore(state.log.snapshot.data)
        for index in range(state.log.first_index, state.log.last_index + 1):
            machine.apply(state.log.entry_at(index).data)
        return (time.perf_counter() - start_s) * 1000


def main(arguments: list[str]) -> int:
    """Prints the figures."""
    argparse.ArgumentParser(prog="bench config").parse_args(arguments)
    times = ms_to_in_force()
    catch_up_ms, catch_up_bytes, delta_bytes = catch_up()
    figures = {
        "ms_to_in_force_p50": round(float(np.percentile(times, 50)), 1),
        "ms_to_in_force_p99": round(float(np.percentile(times, 99)), 1),
        "bytes_per_change_per_box": round(delta_bytes),
        "whole_bytes": len(to_bytes(letter_configuration())),
        "catch_up_ms": round(catch_up_ms, 2),
        "catch_up_bytes": catch_up_bytes,
        "recovery_ms": {
            str(length): round(recovery_ms(length), 1) for length in LOG_LENGTHS
        },
    }
    return finish("config", figures)
