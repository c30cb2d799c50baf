"""Starts the programs of a small deployment and acts as their platform.

Each machine has a loopback address of its own; on all of them the ports are
alike. Settings are those that the users' page on deployment describes.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
from typing import BinaryIO

from standins import http
from standins.record import Record
from standins.worker import Worker, now_ms

ROOT = pathlib.Path(__file__).resolve().parents[2]
STOP_TIMEOUT_S = 10.0
RESTART_DELAY_S = 0.3
# The site sheet: traffic starts so long after the machines do.
TRAFFIC_AFTER_S = 12.0
READY_INTERVAL_S = 1.0
TASK_CPU = 6800
TASKS = 2
# The rule LOST: nothing runs for so long although a task's turn has come.
LOST_S = 3.0
HOST = "queue.example"
# The port of `metrics` in the deploy file.
METRICS_PORT = 9464
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "recover_s": 12,
    "max_hold_ms": 1000,
    "stop_ms": 50,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote_factor": 1.5,
    "checkpoint_s": 2,
    "restore_ms": 100,
    "notice_ms": 4500,
    "move_s": 1.5,
    "maintenance_s": 2,
    "fencing_required": True,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "pace_ms": 100,
    "harm_ms": 4000,
    "resend_ms": 1300,
}


class CannotRunError(Exception):
    """The case could not be run; says nothing about the rule."""


def find_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free at all given addresses."""
    ports: list[int] = []
    for _ in range(1000):
        port = random.randint(20000, 32000)
        if port in ports or not all(_is_free(host, port) for host in hosts):
            continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRunError("no free ports")


def reserve_net(entries: int) -> tuple[str, socket.socket]:
    """Returns the start of free addresses, and a socket that reserves them."""
    for _ in range(200):
        net = f"127.{random.randint(64, 127)}"
        hosts = [f"{net}.1.{n + 1}" for n in range(3)]
        hosts += [f"{net}.2.{n + 1}" for n in range(entries)]
        reservation = socket.socket()
        try:
            reservation.bind((f"{net}.0.1", METRICS_PORT))
        except OSError:
            reservation.close()
            continue
        if all(_is_free(host, METRICS_PORT) for host in hosts):
            return net, reservation
        reservation.close()
    raise CannotRunError("no free addresses")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


class Node:
    """One process of the system, on a machine of its own.

    Attributes:
        name: name of the machine.
        host: its address.
        log: file with what the process writes.
    """

    def __init__(
        self,
        name: str,
        role: str,
        host: str,
        settings: dict,
        folder: str,
        reaper: BinaryIO,
    ):
        self._reaper = reaper
        self.name = name
        self.role = role
        self.host = host
        self.settings = settings
        self.log = pathlib.Path(folder) / f"{name}.log"
        self._boot = pathlib.Path(folder) / f"{name}.yaml"
        self._process: subprocess.Popen | None = None

    def start(self, bootstrap: bool) -> None:
        """Starts the process with the command of the deploy file."""
        self.settings["bootstrap"] = bootstrap
        self._boot.write_text(json.dumps(self.settings, indent=1))
        env = {name: os.environ[name] for name in ("PATH", "HOME")}
        env["PYTHONPATH"] = "target/deps"
        env["CLAYFIELD_BOOT"] = str(self._boot)
        with open(self.log, "ab") as log:
            self._process = subprocess.Popen(
                ["python3", "platform/main.py", self.role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._reaper.write(b"%d\n" % self._process.pid)
        self._reaper.flush()

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """Ends the process at once."""
        if self.is_running:
            self._process.kill()
            self._process.wait(STOP_TIMEOUT_S)

    def events(self, name: str) -> list[dict]:
        """Returns the logged events of a name."""
        found = []
        for line in self.log.read_bytes().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("name") == name:
                found.append(entry)
        return found


class Deployment:
    """Three control nodes, some entry nodes and the platform around them."""

    def __init__(
        self, record: Record, folder: str, entries: int, reaper: BinaryIO
    ):
        self._started_s = 0.0
        self.record = record
        self._worker_count = 0
        self._net, self._reservation = reserve_net(entries)
        self.control_hosts = [f"{self._net}.1.{n}" for n in (1, 2, 3)]
        self.entry_hosts = [f"{self._net}.2.{n + 1}" for n in range(entries)]
        hosts = [*self.control_hosts, *self.entry_hosts]
        front, ready, control, peers = find_ports(hosts, 4)
        self.front_port, self.ready_port = front, ready
        self.control_port = control
        self.controls: list[Node] = []
        self.entries: list[Node] = []
        for number, host in enumerate(hosts):
            is_control = host in self.control_hosts
            zone = "z-" + "abc"[number % 3]
            role = "control" if is_control else "entry"
            name = f"{role}-{host.rpartition('.')[2]}"
            data = pathlib.Path(folder) / f"{name}-data"
            if is_control:
                data.mkdir()
            listen = {"control": f"{host}:{control}"}
            if not is_control:
                listen = {
                    "front": f"{host}:{front}",
                    "ready": f"{host}:{ready}",
                }
            settings = {
                "node": name,
                "role": role,
                "class": "core" if is_control else "front",
                "serves": ["control" if is_control else "front"],
                "ip": host,
                "zone": zone,
                "region": "r-1",
                "zones": {"z-a": "r-1", "z-b": "r-1", "z-c": "r-1"},
                "listen": listen,
                "ephemeral_ports": [peers, peers + 15],
                "seeds": [f"{c}:{control}" for c in self.control_hosts],
                "bootstrap": True,
                "fault_counted": is_control,
                "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": 300},
                "data_dir": str(data) if is_control else None,
                "discovery": "registry",
                "entry": "vip",
                "heartbeat_ms": 1500,
                "contracts": ["base", "drain", "config", "recover", "sched"],
                "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
                "bounds": BOUNDS,
                "config_mode": "highest",
                "orders": "call",
            }
            node = Node(name, role, host, settings, folder, reaper)
            (self.controls if is_control else self.entries).append(node)

    def make_worker(self, name: str, cpu: int = 16000) -> Worker:
        """Returns a worker at an address of its own."""
        self._worker_count += 1
        host = f"{self._net}.3.{self._worker_count}"
        port = find_ports([host], 1)[0]
        return Worker(self.record, name, "svc", host, port, cpu)

    @property
    def nodes(self) -> list[Node]:
        """All nodes."""
        return [*self.controls, *self.entries]

    @property
    def control_addresses(self) -> list[tuple[str, int]]:
        """Addresses at which workers and operators call."""
        return [(node.host, self.control_port) for node in self.controls]

    async def start(self, config: dict) -> None:
        """Starts all processes, sends the configuration, waits until ready."""
        self._started_s = time.monotonic()
        for node in self.nodes:
            node.start(bootstrap=True)
            self.record.write("process", node.name, "started")
        await self.put_config(config)
        for node in self.entries:
            await self.wait_ready(node)

    async def wait_for_traffic(self) -> None:
        """Waits until clients may send."""
        due_s = self._started_s + TRAFFIC_AFTER_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def put_config(self, config: dict) -> None:
        """Sends a configuration until it is acknowledged."""
        for attempt in range(20):
            host, port = self.control_addresses[attempt % 3]
            for _ in range(3):
                status, headers, _ = await http.call(
                    host, port, "PUT", "/-/config", config
                )
                if status != 307:
                    break
                place = headers["location"].split("/")[2]
                host, _, text = place.rpartition(":")
                port = int(text)
            self.record.write("config", host, f"answer {status}")
            if status == 200:
                return
            await asyncio.sleep(min(2.0, 0.2 * (attempt + 1)))
        raise CannotRunError("the configuration was not acknowledged")

    async def wait_ready(self, node: Node) -> None:
        """Waits until an entry node calls itself ready."""
        for _ in range(30):
            status, _, _ = await http.call(
                node.host, self.ready_port, "GET", "/-/ready"
            )
            if status == 200:
                self.record.write("ready", node.name)
                return
            await asyncio.sleep(READY_INTERVAL_S)
        raise CannotRunError(f"{node.name} is not ready")

    def find_leader(self) -> Node:
        """Returns the control node that leads, by the latest log entry."""
        latest = max(
            (
                (event["time"], node.name)
                for node in self.controls
                for event in node.events("LEADING")
            ),
            default=None,
        )
        if latest is None:
            raise CannotRunError("no control node leads")
        return next(n for n in self.controls if n.name == latest[1])

    def find_holder(self) -> Node:
        """Returns the entry node that schedules, by the latest log entry."""
        latest = max(
            (
                (event["time"], node.name)
                for node in self.entries
                for event in node.events("HOLDING")
            ),
            default=None,
        )
        if latest is None:
            raise CannotRunError("no entry node schedules")
        return next(n for n in self.entries if n.name == latest[1])

    def stop(self) -> None:
        """Ends all processes."""
        for node in self.nodes:
            node.kill()
        self._reservation.close()

    # Clients.

    async def request(
        self,
        node: Node,
        method: str,
        path: str,
        body: object = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, bytes]:
        """Sends a client's request to an entry node and records it."""
        self.record.write("request", node.name, f"{method} {path}")
        status, _, content = await http.call(
            node.host,
            self.front_port,
            method,
            path,
            body,
            {"Host": HOST, "Clayfield-Deadline-Ms": str(int(timeout_s * 1e3))},
            timeout_s,
        )
        text = content.decode() if len(content) < 200 else "..."
        self.record.write(
            "answer", node.name, f"{method} {path} -> {status} {text}"
        )
        return status, content

    async def submit_jobs(self, node: Node, count: int) -> list[str]:
        """Submits kept jobs of two tasks; returns those that were accepted."""
        spec = f'{{"work_ms":200,"cpu":{TASK_CPU}}}'
        step = {
            "count": TASKS,
            "cpu": TASK_CPU,
            "mem_mb": 64,
            "estimate_ms": 200,
        }
        accepted = []
        for _ in range(count):
            key = f"{random.getrandbits(64):016x}"
            body = {"spec": spec, "steps": [step]}
            status, _ = await self.request(node, "POST", f"/q/{key}", body)
            if status == 200:
                accepted.append(key)
            await asyncio.sleep(0.3)
        if not accepted:
            raise CannotRunError("no job was accepted")
        return accepted

    async def find_lost(
        self, node: Node, keys: list[str], workers: list[Worker]
    ) -> list[str]:
        """Returns a line for each accepted job that breaks LOST now.

        None of its tasks was ever started, though it was accepted over 3 s ago
        (the caller waits longer), the workers have had room for it twice over
        for 3 s, and under half of their capacity was in use.
        """
        since_ms = now_ms() - LOST_S * 1000.0
        runs = [run for worker in workers for run in worker.runs]
        room = sum(w.stated_cpu(since_ms) // TASK_CPU for w in workers)
        is_idle = all(
            run.ended_ms is not None and run.ended_ms < since_ms for run in runs
        )
        started = {run.task[:16] for run in runs}
        self.record.note("room", "workers", f"{room} tasks, idle={is_idle}")
        faults = []
        for key in keys:
            _, content = await self.request(node, "GET", f"/q/{key}")
            if key in started or room < 2 * TASKS or not is_idle:
                continue
            text = content.decode()
            faults.append(f"{key} was accepted, never started: {text}")
        return faults

    async def restart_planned(self, node: Node) -> None:
        """Stops a process as the platform does, and starts it again."""
        self.record.note("SIGTERM", node.name, "planned restart")
        node.send(signal.SIGTERM)
        for _ in range(int(BOUNDS["grace_s"] * 10)):
            await asyncio.sleep(0.1)
            if not node.is_running:
                break
        node.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        node.start(bootstrap=False)
        self.record.note("process", node.name, "started again")


def make_config(version: int, guards: bool = True, target_ms: int = 60) -> dict:
    """Returns a configuration with one queue and one service."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": HOST,
                "path_prefix": "/q/",
                "kind": "unsafe",
                "timeout_ms": 3000,
                "target_latency_ms": target_ms,
                "priority": 0,
                "service": "svc",
                "max_attempts": 3,
                "stretch": 1.6,
            }
        ],
        "services": [
            {
                "name": "svc",
                "health_path": "/health",
                "max_conns": 1024,
                "protocol": "h1",
                "tls": False,
                "enforces_capacity": guards,
                "spare": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
