"""A worker that follows PROTOCOL.md, "Running tasks".

The `spec` of a job says what its tasks do, as JSON: `cpu` is what a task needs,
`ms` is how long it works, or a list with that of each task, `how` is `done`,
`failed` or `crash`. A task that crashes its worker does so after `ms`; the
worker is back with a new id and no state after `DOWN_S`.
"""

import asyncio
import json
import random
import time

from standins2.messages import call, read_message, render
from standins2.record import Record

MAX_HOLD_MS = 1000.0
STOP_MS = 10.0
DOWN_S = 3.0
HEARTBEAT_S = 1.5
TICK_S = 0.005
MAX_LISTED = 500
CONTROL_TIMEOUT_S = 1.0


class RunRecord:
    """What the worker knows of one run, kept for the check.

    Attributes:
        task: ID.K.STEP.INDEX.
        number: number of the run.
        worker: id of the life that ran it.
        start_ms: time of the start, in ms of the record.
        end_ms: time of the end, None while it runs.
        how: how it ended, "" while it runs, `crash` if the worker crashed.
        is_noted: whether `seen_upto` has reached its end.
        has_lapsed: whether the lease lapsed between its end and that.
    """

    def __init__(self, task: str, number: int, worker: str, start_ms: float):
        self.task = task
        self.number = number
        self.worker = worker
        self.start_ms = start_ms
        self.end_ms: float | None = None
        self.how = ""
        self.is_noted = False
        self.has_lapsed = False


class _Running:
    def __init__(self, record: RunRecord, cpu: int, until_s: float, how: str):
        self.record = record
        self.cpu = cpu
        self.until_s = until_s
        self.how = how


class Worker:
    """One worker, over all of its lives.

    Attributes:
        runs: every run of every life.
        is_shedding: whether starts are answered with 503.
        name: id of the present life.
        is_up: whether it answers.
    """

    def __init__(
        self,
        address: tuple[str, int],
        zone: str,
        labels: list[str],
        cpu: int,
        controls: list[tuple[str, int]],
        record: Record,
    ):
        self.runs: list[RunRecord] = []
        self.is_shedding = False
        self.is_up = False
        self._address = address
        self._zone = zone
        self._labels = labels
        self._cpu = cpu
        self._controls = controls
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: list[asyncio.Task] = []
        self._reset()

    def _reset(self) -> None:
        """Begins a life."""
        self.name = f"i-{random.randrange(16**8):08x}"
        self._seq = 0
        self._fence = 0
        self._lease_until_s = 0.0
        self._running: dict[str, _Running] = {}
        self._last_over: dict[str, int] = {}
        self._ended: list[tuple[int, RunRecord]] = []
        self._end_count = 0
        self._changed = asyncio.Event()

    @property
    def used_cpu(self) -> int:
        """What the present runs need, in thousandths of a core."""
        return sum(running.cpu for running in self._running.values())

    # Life.

    async def start(self) -> None:
        """Starts a life: listens and sends heartbeats."""
        self._reset()
        self._server = await asyncio.start_server(self._serve, *self._address)
        self.is_up = True
        self._record.add("worker", f"{self.name} up at {self._address}")
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._tick()),
        ]

    async def crash(self, down_s: float | None) -> None:
        """Ends the life without a word; the next one begins after `down_s`.

        None: none begins.
        """
        if not self.is_up:
            return
        self.is_up = False
        self._record.add("worker", f"{self.name} crashed")
        for running in self._running.values():
            running.record.end_ms = self._record.now_ms()
            running.record.how = running.record.how or "crash"
        self._running.clear()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()
        if down_s is not None:
            await asyncio.sleep(down_s)
            await self.start()

    async def _beat(self) -> None:
        """Sends heartbeats; the next node is called if one has no answer."""
        turn = random.randrange(len(self._controls))
        while True:
            self._seq += 1
            body = {
                "service": "svc",
                "address": f"{self._address[0]}:{self._address[1]}",
                "zone": self._zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self._cpu, "mem_mb": 32768, "gpu": 0},
                "labels": self._labels,
                "clock_ms": self._clock_ms(),
                "seq": self._seq,
            }
            status, _, _ = await call(
                self._controls[turn % len(self._controls)],
                "PUT",
                f"/-/instances/{self.name}",
                body,
                timeout_s=CONTROL_TIMEOUT_S,
            )
            if 200 <= status < 300:
                await asyncio.sleep(HEARTBEAT_S)
            else:
                turn += 1
                await asyncio.sleep(0.1)

    async def _tick(self) -> None:
        """Ends the runs whose work is over, and all when the lease is."""
        while self.is_up:
            now_s = time.monotonic()
            if now_s >= self._lease_until_s:
                for _, ended in self._ended:
                    ended.has_lapsed = True
            for task, running in list(self._running.items()):
                if now_s >= self._lease_until_s:
                    self._end(task, "lapsed")
                elif now_s >= running.until_s:
                    if running.how == "crash":
                        self._record.add("crash", f"{task} crashes {self.name}")
                        asyncio.get_running_loop().create_task(
                            self.crash(DOWN_S)
                        )
                        return
                    self._end(task, running.how)
            await asyncio.sleep(TICK_S)

    # Runs.

    def _clock_ms(self) -> int:
        return int(time.monotonic() * 1000.0)

    def _end(self, task: str, how: str) -> None:
        running = self._running.pop(task)
        running.record.end_ms = self._record.now_ms()
        running.record.how = how
        self._end_count += 1
        self._ended.append((self._end_count, running.record))
        self._note_over(task, running.record.number)
        number = running.record.number
        self._record.add("end", f"{task} run {number} {how} on {self.name}")
        self._changed.set()
        self._changed = asyncio.Event()

    def _note_over(self, task: str, number: int) -> None:
        self._last_over[task] = max(self._last_over.get(task, 0), number)

    def _extend_lease(self, deadline_ms: float) -> None:
        if not deadline_ms:
            return
        limit_s = time.monotonic() + MAX_HOLD_MS / 1000.0
        until_s = min(deadline_ms / 1000.0, limit_s)
        self._lease_until_s = max(self._lease_until_s, until_s)

    def _start_run(self, body: dict) -> tuple[int, str]:
        """Returns status and reason of a start."""
        if self.is_shedding:
            return 503, ""
        if body.get("fence", 0) < self._fence:
            return 409, "fence"
        self._fence = body.get("fence", 0)
        task, number = body["task"], body["run"]
        present = self._running.get(task)
        if present and present.record.number == number:
            self._extend_lease(body["deadline_ms"])
            return 200, ""
        if body["deadline_ms"] <= self._clock_ms():
            return 409, "late"
        self._extend_lease(body["deadline_ms"])
        if number <= self._last_over.get(task, 0):
            return 409, "old"
        work = json.loads(body["spec"])
        if present or self.used_cpu + work["cpu"] > self._cpu:
            return 409, "room"
        run = RunRecord(task, number, self.name, self._record.now_ms())
        self.runs.append(run)
        work_ms = work["ms"]
        if isinstance(work_ms, list):
            work_ms = work_ms[int(task.rpartition(".")[2])]
        until_s = time.monotonic() + work_ms / 1000.0
        self._running[task] = _Running(run, work["cpu"], until_s, work["how"])
        self._record.add("start", f"{task} run {number} on {self.name}")
        return 200, ""

    def _stop_run(self, body: dict) -> tuple[int, str]:
        """Returns status and reason of a stop."""
        if body.get("fence", 0) < self._fence:
            return 409, "fence"
        self._fence = body.get("fence", 0)
        task, number = body["task"], body["run"]
        self._note_over(task, number)
        present = self._running.get(task)
        if present and present.record.number <= number:
            present.until_s = min(
                present.until_s, time.monotonic() + STOP_MS / 1000.0
            )
            present.how = "stopped"
        return 200, ""

    async def _hold(self, body: dict) -> tuple[int, dict]:
        """Returns status and body of the answer to a poll."""
        if body.get("fence", 0) < self._fence:
            return 409, {"reason": "fence"}
        self._fence = body.get("fence", 0)
        self._extend_lease(body.get("deadline_ms", 0))
        seen = body.get("seen_upto", 0)
        for number, run in self._ended:
            if number <= seen and not run.is_noted:
                run.is_noted = True
                self._record.add("noted", f"{run.task} run {run.number}")
        self._ended = [row for row in self._ended if row[0] > seen]
        wait_ms = min(2000, body.get("wait_ms", 0))
        if wait_ms and not self._ended:
            changed = self._changed
            try:
                async with asyncio.timeout(wait_ms / 1000.0):
                    await changed.wait()
            except TimeoutError:
                pass
        running = [
            [task, entry.record.number, "", 100, entry.cpu]
            for task, entry in self._running.items()
        ]
        ended = [
            [number, run.task, run.number, run.how, ""]
            for number, run in self._ended[:MAX_LISTED]
        ]
        return 200, {"running": running, "ended": ended}

    # Server.

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while self.is_up:
                message = await read_message(reader)
                if message is None:
                    break
                status, answer = await self._answer(*message)
                if not self.is_up:
                    break
                answer["clock_ms"] = self._clock_ms()
                content = json.dumps(answer).encode()
                writer.write(render(f"HTTP/1.1 {status} OK", {}, content))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, first: str, headers: dict[str, str], content: bytes
    ) -> tuple[int, dict]:
        """Returns status and body of the answer to a call."""
        target = headers.get("clayfield-target-instance", self.name)
        if target != self.name:
            return 421, {}
        path = first.split()[1]
        body = json.loads(content) if content else {}
        if path == "/-/hold":
            return await self._hold(body)
        if path == "/-/run-start":
            status, reason = self._start_run(body)
        elif path == "/-/run-stop":
            status, reason = self._stop_run(body)
        elif path == "/-/pace":
            status, reason = 200, ""
        else:
            return 404, {}
        return status, {"reason": reason} if reason else {}
