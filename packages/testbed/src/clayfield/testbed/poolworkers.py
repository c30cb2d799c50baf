"""Stand-in workers of a pool, as a process of their own.

Each serves clayfield's own worker protocol on loopback and makes its
statements to the control nodes. Tasks take the time that is set; nothing
else is asked of them.
"""

import argparse
import random

import msgspec
from twisted.internet import reactor, task

from clayfield.base import MonotonicClock
from clayfield.base.settings import address
from clayfield.node.httpclient import ConnectionPool
from clayfield.node.httpserver import HttpBounds, HttpRequest, HttpServer
from clayfield.node.own.operators import WORKERS_PREFIX
from clayfield.node.own.workers import (
    HOLD_PATH,
    START_PATH,
    STOP_PATH,
    EndedItem,
    HoldBody,
    RunningItem,
    StartBody,
    StopBody,
    WorkerAnswer,
)
from clayfield.pool import (
    HoldAnswer,
    HoldWorker,
    OrderResult,
    StartRun,
    StopRun,
)
from clayfield.pool.tasks import TaskId
from clayfield.testbed.fakeadvisor import FakeAdvisor
from clayfield.testbed.fakeworker import FakeGang, FakeWorker, RanTask
from clayfield.wire.jobs import WorkerInfo, WorkerState

CPU = 16_000
MEMORY_MB = 4096
STATEMENT_S = 0.2
CALL_TIMEOUT_S = 1.0
LOOPBACK = "127.0.0.1"


class LiveSite:
    """What a fake worker needs, on the real clock.

    Attributes:
        clock: the machine's.
        ran: every run that was carried out.
        over_room: tasks that were started on a full worker.
        gangs: none, as these workers do not know of each other.
        advised: none.
        advisor: is not asked.
        filling: none.
        rng: unused by workers that are well.
    """

    def __init__(self) -> None:
        self.clock = MonotonicClock()
        self.ran: list[RanTask] = []
        self.over_room: list[TaskId] = []
        self.gangs: dict[tuple[str, int], FakeGang] = {}
        self.advised: set[str] = set()
        self.filling: set[str] = set()
        self.rng = random.Random(0)
        self.advisor = FakeAdvisor(self.clock, self.after, self.rng)

    def after(self, delay_ms: float, act: object) -> None:
        """Has something happen later."""
        reactor.callLater(max(0.0, delay_ms) / 1000.0, act)


class LiveWorker:
    """One worker at a port of its own."""

    def __init__(self, site: LiveSite, number: int, task_ms: float):
        self._site = site
        self._server = HttpServer(reactor, self._on_request, HttpBounds)
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
                self._start(request)
            case path if path == STOP_PATH:
                self._stop(request)
            case path if path == HOLD_PATH:
                self._hold(request)
            case _:
                request.answer(404)

    def _start(self, request: HttpRequest) -> None:
        body = msgspec.json.decode(request.body, type=StartBody)
        order = StartRun(
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
        self._answer(request, self._worker.start(order))

    def _stop(self, request: HttpRequest) -> None:
        body = msgspec.json.decode(request.body, type=StopBody)
        order = StopRun(body.worker, "", body.task, body.number, body.fence)
        self._answer(request, self._worker.stop(order))

    def _hold(self, request: HttpRequest) -> None:
        body = msgspec.json.decode(request.body, type=HoldBody)
        order = HoldWorker(
            body.worker,
            "",
            body.seen_upto,
            body.wait_ms,
            body.lease_until_ms,
            body.fence,
            0,
        )

        def answer(held: HoldAnswer) -> None:
            self._answer(request, held.result, held)

        self._worker.hold(order, answer)

    def _answer(
        self,
        request: HttpRequest,
        result: OrderResult,
        held: HoldAnswer | None = None,
    ) -> None:
        answer = WorkerAnswer(result, self._site.clock.now_ms())
        if held:
            answer.running = [
                RunningItem(row.task_id, row.number, row.percent, row.saved)
                for row in held.running
            ]
            answer.ended = [
                EndedItem(
                    row.sequence, row.task_id, row.number, row.kind, row.saved
                )
                for row in held.ended
            ]
        request.answer(200, msgspec.json.encode(answer))

    def make_statement(self, control: ConnectionPool) -> None:
        """Tells a control node what this worker is."""
        self._sequence += 1
        info = self._worker.info
        statement = {
            "service": info.service,
            "address": info.address,
            "hall": info.hall,
            "state": info.state.value,
            "sequence": self._sequence,
            "cpu": info.cpu,
            "memory_mb": info.memory_mb,
        }
        content = msgspec.json.encode(statement)
        head = (
            f"PUT {WORKERS_PREFIX}{info.name} HTTP/1.1\r\n"
            "Host: control\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        control.call(head.encode() + content, CALL_TIMEOUT_S)


def main() -> None:
    """Runs workers until ended; prints a line once they listen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", required=True, help="IP:PORT,...")
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--task-ms", type=float, default=20.0)
    arguments = parser.parse_args()
    site = LiveSite()
    workers = [
        LiveWorker(site, number, arguments.task_ms)
        for number in range(arguments.workers)
    ]
    places = [place for place in arguments.control.split(",") if address(place)]
    pools = [ConnectionPool(reactor, place) for place in places]

    def make_statements() -> None:
        for pool in pools:
            for worker in workers:
                worker.make_statement(pool)

    task.LoopingCall(make_statements).start(STATEMENT_S)
    reactor.callWhenRunning(lambda: print("ready", flush=True))
    reactor.run()


if __name__ == "__main__":
    main()
