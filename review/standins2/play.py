"""Runs a case: starts the deployment, plays it, checks it, ends it."""

import asyncio
import pathlib
import shutil
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable

from standins2.client import Clients
from standins2.deployment import ZONES, Deployment
from standins2.ingress import Ingress
from standins2.record import Record
from standins2.worker import Worker

HOST = "jobs.example"
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
WORKER_CPU = 16_000
# A case that takes longer could not be run.
MAX_S = 114.0
# Traffic starts this time after the machines do (SYSTEM.md).
TRAFFIC_AT_S = 12.0
READY_BY_S = 30.0
SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


class CaseError(Exception):
    """The case could not be run."""


class Play:
    """What a case has at hand.

    Attributes:
        record: the record of the run.
        deployment: the processes of the system.
        ingress: passes the clients' connections to the entry processes.
        clients: the clients.
        workers: the workers.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        worker_labels: list[list[str]],
    ):
        self.record = record
        self.deployment = Deployment(folder, record)
        self.ingress = Ingress(self.deployment)
        self.clients = Clients(self.deployment, self.ingress, HOST, record)
        self.workers = [
            Worker(
                (self.deployment.take_ip(), self.deployment.worker_port),
                ZONES[number % len(ZONES)],
                labels,
                WORKER_CPU,
                self.deployment.control_addresses,
                record,
            )
            for number, labels in enumerate(worker_labels)
        ]

    async def begin(self, config: dict[str, object]) -> None:
        """Starts everything and waits until traffic may start.

        Raises:
            CaseError: the system does not serve in time.
        """
        self.deployment.check_ports()
        begin_s = time.monotonic()
        self.deployment.start()
        for worker in self.workers:
            await worker.start()
        self.ingress.start()
        if not await self.deployment.put_config(config):
            raise CaseError("no acknowledgement of the configuration")
        while not self.ingress.has_all:
            if time.monotonic() - begin_s > READY_BY_S:
                raise CaseError("an entry process is not ready")
            await asyncio.sleep(0.1)
        rest_s = TRAFFIC_AT_S - (time.monotonic() - begin_s)
        await asyncio.sleep(max(0.0, rest_s))
        self.record.add("traffic", "may start")


def run_case(
    case_file: str,
    config: dict[str, object],
    play_case: Callable[[Play], Awaitable[list[str]]],
    worker_labels: list[list[str]],
) -> None:
    """Plays a case and exits with its result.

    Args:
        case_file: path of the case's program; the record goes beside it.
        config: the first configuration.
        play_case: plays the case and returns what broke the rule.
        worker_labels: the labels of each worker.
    """
    record = Record(pathlib.Path(case_file).parent / "record.txt")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="clayfield-review-"))
    code = EXIT_NOT_RUN
    # Ends the processes that were started if the case itself is ended.
    for number in SIGNALS:
        signal.signal(number, lambda *_: sys.exit(EXIT_NOT_RUN))
    play = Play(folder, record, worker_labels)
    try:
        breaks = asyncio.run(_play(play, config, play_case))
        for text in breaks:
            record.add("BROKEN", text)
        code = EXIT_BROKEN if breaks else EXIT_HELD
        record.add("result", f"{len(breaks)} breaks")
        print(f"{len(breaks)} breaks")
    except Exception as exc:
        if not isinstance(exc, CaseError):
            traceback.print_exc()
        record.add("result", f"could not run: {exc}")
        print(f"could not run: {exc}")
    finally:
        play.deployment.stop()
        shutil.rmtree(folder, ignore_errors=True)
        record.write()
    sys.exit(code)


async def _play(
    play: Play,
    config: dict[str, object],
    play_case: Callable[[Play], Awaitable[list[str]]],
) -> list[str]:
    async with asyncio.timeout(MAX_S):
        await play.begin(config)
        return await play_case(play)
