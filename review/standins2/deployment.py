"""A small deployment: control and entry processes as the deploy file runs them.

Each process has a loopback address of its own, as a machine has; the ports are
alike on all of them.
"""

import asyncio
import ctypes
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import time

from standins2.messages import call
from standins2.record import Record

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("west-a", "west-b", "west-c")
# With the control processes, one machine is a tenth of all.
ENTRIES = 7
METRICS_PORT = 9464
# Most tries of the operator at one node: a call follows a 307 twice.
MAX_HOPS = 3
SILENCE_S = 1.0
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
READY_INTERVAL_S = 1.0
_PR_SET_PDEATHSIG = 1
_HELD = re.compile(r"^clayfield_held_workers\S* ([0-9.e+]+)", re.M)
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
    "checkpoint_s": 0.5,
    "restore_ms": 250,
    "notice_ms": 4500,
    "fencing_required": True,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "pace_ms": 100,
    "harm_ms": 4000,
    "resend_ms": 1300,
}


def _end_with_parent() -> None:
    """Makes the system kill this process when the script's process ends."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Machine:
    """One process of the system on a loopback address of its own.

    Attributes:
        name: name of the node.
        ip: its address.
        zone: its zone.
        log: path of what it prints.
    """

    def __init__(self, deployment: "Deployment", role: str, number: int):
        self.name = f"{role}-{number}"
        self.ip = deployment.take_ip()
        self.log = deployment.folder / f"{self.name}.log"
        self.zone = ZONES[number % len(ZONES)]
        self._role = role
        self._deployment = deployment
        self._process: subprocess.Popen | None = None

    def start(self, is_first: bool) -> None:
        """Starts the process by the command of the deploy file."""
        settings = self._deployment.folder / f"{self.name}.yaml"
        content = self._make_settings(is_first)
        settings.write_text(json.dumps(content), encoding="utf-8")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CLAYFIELD_BOOT": str(settings),
        }
        with open(self.log, "ab") as log:
            self._process = subprocess.Popen(
                ["python3", "platform/main.py", self._role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )

    def _make_settings(self, is_first: bool) -> dict[str, object]:
        d = self._deployment
        is_control = self._role == "control"
        listen = {"control": f"{self.ip}:{d.control_port}"}
        if not is_control:
            listen = {
                "front": f"{self.ip}:{d.front_port}",
                "ready": f"{self.ip}:{d.ready_port}",
            }
        data_dir = d.folder / f"{self.name}-data"
        return {
            "node": self.name,
            "role": self._role,
            "class": "core" if is_control else "front",
            "serves": ["control" if is_control else "front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "west",
            "zones": dict.fromkeys(ZONES, "west"),
            "listen": listen,
            "ephemeral_ports": [d.peer_port, d.peer_port + 15],
            "seeds": [f"{ip}:{d.control_port}" for ip in d.control_ips],
            "bootstrap": is_first,
            "fault_counted": is_control,
            "limits": {"memory_mb": 300, "max_fds": 4100},
            "data_dir": str(data_dir) if is_control else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "recover", "sched"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "orders": "call",
        }

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process."""
        self._process.kill()
        self._process.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None


class Deployment:
    """Control and entry processes, and the operator's calls to them.

    Attributes:
        folder: temporary folder for settings, logs and disks.
        controls: the control processes.
        entries: the entry processes.
        control_ips: addresses of the control processes.
    """

    def __init__(self, folder: pathlib.Path, record: Record):
        self.folder = folder
        self._record = record
        self._network = f"127.{random.randrange(20, 250)}"
        self._network += f".{random.randrange(1, 250)}"
        self._last_host = 0
        base = random.randrange(10_000, 28_000, 32)
        self.front_port = base
        self.ready_port = base + 1
        self.control_port = base + 2
        self.worker_port = base + 3
        self.peer_port = base + 8
        self.control_ips: list[str] = []
        self.controls = [Machine(self, "control", n) for n in range(len(ZONES))]
        self.control_ips = [machine.ip for machine in self.controls]
        self.entries = [Machine(self, "entry", n) for n in range(ENTRIES)]

    def take_ip(self) -> str:
        """Returns the next loopback address."""
        self._last_host += 1
        return f"{self._network}.{self._last_host}"

    @property
    def control_addresses(self) -> list[tuple[str, int]]:
        """Addresses for workers and the operator."""
        return [(ip, self.control_port) for ip in self.control_ips]

    def check_ports(self) -> None:
        """Raises OSError if a port of a machine is in use."""
        ports = (
            self.front_port,
            self.ready_port,
            self.control_port,
            self.peer_port,
            METRICS_PORT,
        )
        for machine in (*self.controls, *self.entries):
            for port in ports:
                with socket.socket() as sock:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sock.bind((machine.ip, port))

    def start(self) -> None:
        """Starts all processes for the first time."""
        for machine in (*self.controls, *self.entries):
            machine.start(is_first=True)

    def stop(self) -> None:
        """Ends all processes that run."""
        for machine in (*self.controls, *self.entries):
            if machine.is_running:
                machine.send_signal(signal.SIGCONT)
                machine.kill()

    async def put_config(self, content: dict, until_s: float = 20.0) -> bool:
        """Sends a configuration until it is acknowledged, as the operator."""
        end_s = time.monotonic() + until_s
        turn = 0
        pause_s = MIN_PAUSE_S
        while time.monotonic() < end_s:
            ip = self.control_ips[turn % len(self.control_ips)]
            status = await self._put_at((ip, self.control_port), content)
            if status == 200:
                self._record.add("config", f"version {content['version']} ack")
                return True
            turn += 1
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * 2)
        return False

    async def _put_at(self, address: tuple[str, int], content: dict) -> int:
        """Returns the status of a PUT that follows redirects."""
        status = 0
        for _ in range(MAX_HOPS):
            status, _, headers = await call(
                address, "PUT", "/-/config", content, timeout_s=SILENCE_S
            )
            if status != 307:
                break
            host, _, port = headers["location"].split("/")[2].partition(":")
            address = (host, int(port))
        return status

    async def find_giver(self) -> Machine | None:
        """Returns the entry process that gives the orders, by its figures."""
        for machine in self.entries:
            if not machine.is_running:
                continue
            address = (machine.ip, METRICS_PORT)
            _, body, _ = await call(address, "GET", "/metrics")
            held = _HELD.search(body.decode())
            if held and float(held[1]) > 0:
                return machine
        return None
