"""Runs a case: starts, cleans up, and turns the result into an exit code."""

import asyncio
import pathlib
import signal
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable

from standins.deployment import CannotRunError, Deployment
from standins.record import Record

REAPER = pathlib.Path(__file__).with_name("reaper.py")

Play = Callable[[Record, Deployment], Awaitable[list[str]]]


def run_case(folder: pathlib.Path, rule: str, entries: int, play: Play) -> int:
    """Runs a case.

    Args:
        folder: folder of the case, for `record.txt`.
        rule: name of the rule.
        entries: number of entry nodes.
        play: plays the case and returns what broke the rule, a line each.

    Returns:
        The exit code: 1 if the rule was broken, 0 if it held, 2 if the case
        could not run.
    """
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, _on_signal)
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as scratch:
        reaper = subprocess.Popen(
            [sys.executable, str(REAPER), scratch],
            stdin=subprocess.PIPE,
            start_new_session=True,
        )
        deployment = Deployment(record, scratch, entries, reaper.stdin)
        try:
            faults = asyncio.run(play(record, deployment))
        except CannotRunError as exc:
            record.note("cannot-run", "case", str(exc))
            return 2
        finally:
            deployment.stop()
            reaper.stdin.close()
            reaper.wait()
            record.save()
        for fault in faults:
            record.write(rule, "rule", fault)
        record.note(rule, "rule", f"broken {len(faults)} times")
        record.save()
    return 1 if faults else 0


def _on_signal(*_: object) -> None:
    raise SystemExit(2)
