"""A process of stand-in workers on loopback.

Each worker serves clayfield's native worker protocol and sends its heartbeats
to the control nodes. Every task takes the same fixed time and does nothing. On
SIGUSR1 all workers start again under the names that they have.
"""

import argparse
import random
import signal

import msgspec
from twisted.internet import reactor, task

from clayfield.base import MonotonicClock, use_monotonic_timers
from clayfield.base.settings import parse_address
from clayfield.node.httpclient import ConnectionPool
from clayfield.node.httpserver import HttpLimits, HttpRequest, HttpServer
from clayfield.node.native.operators import WORKERS_PREFIX
from clayfield.node.native.workers import (
    POLL_PATH,
    START_PATH,
    STOP_PATH,
    EndedItem,
    PollBody,
    RunningItem,
    StartBody,
    StopBody,
    WorkerReply,
)
from clayfield.pool import (
    CommandResult,
    PollReply,
    PollWorker,
    StartRun,
    StopRun,
)
from clayfield.pool.tasks import TaskId
from clayfield.testbed.fake_advisor import FakeAdvisor
from clayfield.testbed.fake_worker import ExecutedRun, FakeGang, FakeWorker
from clayfield.wire.jobs import WorkerInfo, WorkerState

CPU = 16_000
MEMORY_MB = 4096
HEARTBEAT_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 1.0
LOOPBACK = "127.0.0.1"


class LiveSite:
    """The surroundings of a fake worker, on the real clock.

    Attributes:
        clock: the monotonic clock of the machine.
        runs: every run that a worker executed.
        over_capacity: the tasks that were started on a worker without free CPU.
        gangs: always empty: gangs are not supported here.
        advised_jobs: always empty.
        advisor: never used.
        batch_jobs: always empty.
        rng: random numbers; they have no effect while
            `FakeWorker.duration_spread` is 0.
    """

    def __init__(self) -> None:
        self.clock = MonotonicClock()
        self.runs: list[ExecutedRun] = []
        self.over_capacity: list[TaskId] = []
        self.gangs: dict[tuple[str, int], FakeGang] = {}
        self.advised_jobs: set[str] = set()
        self.batch_jobs: set[str] = set()
        self.rng = random.Random(0)
        self.advisor = FakeAdvisor(self.clock, self.call_later, self.rng)

    def call_later(self, delay_ms: float, callback: object) -> None:
        """Schedules a call after a delay."""
        reactor.callLater(max(0.0, delay_ms) / 1000.0, callback)


class LiveWorker:
    """A worker that listens at a port of its own."""

    def __init__(self, site: LiveSite, number: int, task_ms: float):
        self._site = site
        self._server = HttpServer(reactor, self._on_request, HttpLimits)
        self._server.listen((LOOPBACK, 0))
        info = WorkerInfo(
            f"worker-{number}",
            "demo",
            f"{LOOPBACK}:{self._server.port}",
            "hall",
            WorkerState.READY,
            1,
            CPU,
            MEMORY_MB,
            0,
        )
        self._worker = FakeWorker(site, info, task_ms)
        self._sequence = 0

    def _on_request(self, request: HttpRequest) -> None:
        match request.path:
            case path if path == START_PATH:
                self._on_start(request)
            case path if path == STOP_PATH:
                self._on_stop(request)
            case path if path == POLL_PATH:
                self._on_poll(request)
            case _:
                request.respond(404)

    def _on_start(self, request: HttpRequest) -> None:
        body = msgspec.json.decode(request.body, type=StartBody)
        command = StartRun(
            body.worker,
            "",
            body.task,
            body.number,
            body.spec,
            body.lease_until_ms,
            body.fence,
            body.checkpoint,
            body.ticket,
        )
        self._send_response(request, self._worker.start(command))

    def _on_stop(self, request: HttpRequest) -> None:
        body = msgspec.json.decode(request.body, type=StopBody)
        command = StopRun(body.worker, "", body.task, body.number, body.fence)
        self._send_response(request, self._worker.stop(command))

    def _on_poll(self, request: HttpRequest) -> None:
        body = msgspec.json.decode(request.body, type=PollBody)
        poll = PollWorker(
            body.worker,
            "",
            body.seen_upto,
            body.wait_ms,
            body.lease_until_ms,
            body.fence,
            0,
        )

        def send_reply(runs: PollReply) -> None:
            self._send_response(request, runs.result, runs)

        self._worker.poll(poll, send_reply)

    def _send_response(
        self,
        request: HttpRequest,
        result: CommandResult,
        runs: PollReply | None = None,
    ) -> None:
        """Sends the HTTP response, with the runs if it replies to a poll."""
        reply = WorkerReply(result, self._worker.clock_ms)
        reply.born_ms = self._worker.info.born_ms
        if runs:
            reply.running = [
                RunningItem(
                    row.task_id, row.number, row.speed_percent, row.checkpoint
                )
                for row in runs.running
            ]
            reply.ended = [
                EndedItem(
                    row.sequence,
                    row.task_id,
                    row.number,
                    row.kind,
                    row.checkpoint,
                )
                for row in runs.ended
            ]
        request.respond(200, msgspec.json.encode(reply))

    def restart(self) -> None:
        """Starts the worker again under its name and address."""
        self._worker.restart()
        self._sequence = 0

    def send_heartbeat(self, control: ConnectionPool) -> None:
        """Sends the description of this worker to a control node."""
        self._sequence += 1
        info = self._worker.info
        heartbeat = {
            "service": info.service,
            "address": info.address,
            "hall": info.hall,
            "state": info.state.value,
            "sequence": self._sequence,
            "cpu": info.cpu,
            "memory_mb": info.memory_mb,
            "born_ms": info.born_ms,
        }
        content = msgspec.json.encode(heartbeat)
        head = (
            f"PUT {WORKERS_PREFIX}{info.name} HTTP/1.1\r\n"
            "Host: control\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        control.call(head.encode() + content, CALL_TIMEOUT_S)


def main() -> None:
    """Serves the workers; prints "ready" once they listen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", required=True, help="IP:PORT,...")
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--task-ms", type=float, default=20.0)
    arguments = parser.parse_args()
    site = LiveSite()
    use_monotonic_timers(reactor, site.clock)
    workers = [
        LiveWorker(site, number, arguments.task_ms)
        for number in range(arguments.workers)
    ]
    controls = [
        control
        for control in arguments.control.split(",")
        if parse_address(control)
    ]
    pools = [ConnectionPool(reactor, control) for control in controls]

    def send_heartbeats() -> None:
        for pool in pools:
            for worker in workers:
                worker.send_heartbeat(pool)

    def restart_all() -> None:
        for worker in workers:
            worker.restart()

    def on_signal(*_: object) -> None:
        reactor.callFromThread(restart_all)

    signal.signal(signal.SIGUSR1, on_signal)
    task.LoopingCall(send_heartbeats).start(HEARTBEAT_INTERVAL_S)
    reactor.callWhenRunning(lambda: print("ready", flush=True))
    reactor.run()


if __name__ == "__main__":
    main()
