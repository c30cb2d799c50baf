"""A stand-in worker that follows the users' page on running tasks.

The text of a job states what its tasks need: `{"work_ms":50,"cpu":200}`. A
worker takes one connection per call and answers calls in order of arrival.
"""

import asyncio
import json
import time

from standins import http
from standins.record import Record

MAX_HOLD_MS = 1000
STOP_MS = 10
HEARTBEAT_S = 1.5
# The page: of the ends that are not seen yet, 500 are given at once.
ENDS_AT_ONCE = 500


def now_ms() -> float:
    """Returns the steady clock of the machine, in ms."""
    return time.monotonic() * 1000.0


class Run:
    """One start of a task; see `Worker.runs`."""

    def __init__(self, worker: str, task: str, number: int):
        self.worker = worker
        self.task = task
        self.number = number
        self.started_ms = now_ms()
        self.ended_ms: float | None = None
        self.how = ""
        self.noted_ms: float | None = None
        self.lapsed_between = False
        self.cpu = 0
        self.timer: asyncio.TimerHandle | None = None


class Worker:
    """One life of a worker.

    Attributes:
        runs: every run that it has started, in order.
        capacity: the room that it states and, if it guards it, keeps.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        host: str,
        port: int,
        cpu: int = 16000,
        zone: str = "z-a",
    ):
        self.record = record
        self.name = name
        self.service = service
        self.host = host
        self.port = port
        self.zone = zone
        self.capacity = {"cpu": cpu, "mem_mb": 32768, "gpu": 0}
        self.runs: list[Run] = []
        self.is_up = False
        self._changed_ms = now_ms()
        self._running: dict[tuple[str, int], Run] = {}
        self._highest: dict[str, int] = {}
        self._ended: list[tuple[int, Run]] = []
        self._last_end = 0
        self._fence = 0
        self._deadline_ms = now_ms()
        self._lapse_timer: asyncio.TimerHandle | None = None
        self._lapsed_ms: list[float] = []
        self._on_end = asyncio.Event()
        self._sequence = 0
        self._beats: asyncio.Task | None = None
        self._server: http.Server | None = None
        self._controls: list[tuple[str, int]] = []

    # Life.

    async def start(self, controls: list[tuple[str, int]]) -> None:
        """Listens and begins to report to the control nodes."""
        self._controls = list(controls)
        self._server = http.Server(self._handle)
        await self._server.listen(self.host, self.port)
        self.is_up = True
        self.record.write("worker-up", self.name, f"cpu={self.capacity['cpu']}")
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def close(self) -> None:
        """Ends the worker without a word."""
        self.is_up = False
        if self._beats:
            self._beats.cancel()
        if self._server:
            self._server.abort()
        for run in list(self._running.values()):
            run.timer.cancel()

    def set_cpu(self, cpu: int) -> None:
        """Changes the room; the next heartbeat states it."""
        self.capacity["cpu"] = cpu
        self._changed_ms = now_ms()
        self.record.write("worker-room", self.name, f"cpu={cpu}")

    def stated_cpu(self, since_ms: float) -> int:
        """Returns the room if it has been stated unchanged since a time."""
        is_old = self._changed_ms + HEARTBEAT_S * 1000.0 < since_ms
        return self.capacity["cpu"] if is_old else 0

    async def _send_heartbeats(self) -> None:
        while True:
            self._sequence += 1
            beat = {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 1024,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": ["a", "r1-0"],
                "clock_ms": int(now_ms()),
                "seq": self._sequence,
            }
            pause_s = 0.1
            for _ in self._controls:
                host, port = self._controls[0]
                path = f"/-/instances/{self.name}"
                status, _, _ = await http.call(host, port, "PUT", path, beat)
                if 200 <= status < 300:
                    break
                self._controls.append(self._controls.pop(0))
                await asyncio.sleep(pause_s)
                pause_s *= 2
            await asyncio.sleep(HEARTBEAT_S)

    # Calls.

    async def _handle(self, request: http.Request) -> tuple[int, dict | None]:
        target = request.headers.get("clayfield-target-instance", self.name)
        if target != self.name:
            return 421, None
        body = request.json()
        if body.get("fence", 0) < self._fence:
            return 409, self._answer(reason="fence")
        self._fence = body.get("fence", 0)
        match request.path:
            case "/-/run-start":
                return self._start_run(body)
            case "/-/run-stop":
                return self._stop_run(body)
            case "/-/hold":
                return await self._hold(body)
        return 404, None

    def _answer(self, **fields: object) -> dict:
        return {"clock_ms": int(now_ms()), **fields}

    def _start_run(self, body: dict) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= now_ms():
            return 409, self._answer(reason="late")
        self._renew(body["deadline_ms"])
        if (task, number) in self._running:
            return 200, self._answer()
        if number <= self._highest.get(task, 0):
            return 409, self._answer(reason="old")
        need = json.loads(body["spec"])
        used = sum(run.cpu for run in self._running.values())
        if used + need["cpu"] > self.capacity["cpu"]:
            self.record.write("refused", self.name, f"{task} run={number} room")
            return 409, self._answer(reason="room")
        run = Run(self.name, task, number)
        run.cpu = need["cpu"]
        self.runs.append(run)
        self._running[task, number] = run
        self.record.write("start", self.name, f"{task} run={number}")
        loop = asyncio.get_running_loop()
        work_s = need["work_ms"] / 1000.0
        run.timer = loop.call_later(work_s, self._end, run, "done")
        return 200, self._answer()

    def _stop_run(self, body: dict) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self._running.get((task, number))
        if run:
            run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(
                STOP_MS / 1000.0, self._end, run, "stopped"
            )
        return 200, self._answer()

    async def _hold(self, body: dict) -> tuple[int, dict]:
        if body.get("deadline_ms", 0) > now_ms():
            self._renew(body["deadline_ms"])
        self._note(body["seen_upto"])
        if body.get("wait_ms") and not self._ended:
            self._on_end.clear()
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000.0):
                    await self._on_end.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", 100] for run in self._running.values()
        ]
        ended = [
            [number, run.task, run.number, run.how, ""]
            for number, run in self._ended[:ENDS_AT_ONCE]
        ]
        return 200, self._answer(running=running, ended=ended)

    # Ends and lease.

    def _end(self, run: Run, how: str) -> None:
        del self._running[run.task, run.number]
        run.ended_ms = now_ms()
        run.how = how
        highest = self._highest.get(run.task, 0)
        self._highest[run.task] = max(run.number, highest)
        self._last_end += 1
        self._ended.append((self._last_end, run))
        self.record.write(
            "end", self.name, f"{run.task} run={run.number} {how}"
        )
        self._on_end.set()

    def _note(self, seen_upto: int) -> None:
        """Forgets the ends that the caller has seen."""
        while self._ended and self._ended[0][0] <= seen_upto:
            run = self._ended.pop(0)[1]
            run.noted_ms = now_ms()
            run.lapsed_between = any(
                lapsed_ms >= run.ended_ms for lapsed_ms in self._lapsed_ms
            )
            self.record.write(
                "noted", self.name, f"{run.task} run={run.number} {run.how}"
            )

    def _renew(self, deadline_ms: float) -> None:
        until_ms = min(deadline_ms, now_ms() + MAX_HOLD_MS)
        if until_ms <= self._deadline_ms:
            return
        self._deadline_ms = until_ms
        if self._lapse_timer:
            self._lapse_timer.cancel()
        loop = asyncio.get_running_loop()
        self._lapse_timer = loop.call_later(
            (until_ms - now_ms()) / 1000.0, self._lapse
        )

    def _lapse(self) -> None:
        self._lapsed_ms.append(now_ms())
        self.record.write("lapse", self.name, f"runs={len(self._running)}")
        for run in list(self._running.values()):
            run.timer.cancel()
            self._end(run, "lapsed")
