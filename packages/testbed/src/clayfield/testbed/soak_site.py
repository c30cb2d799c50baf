"""The processes of a configuration soak: nodes behind a proxy, and workers."""

import http.client
import itertools
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import threading
import time

from clayfield.testbed.proxied_node import INNER_PORT
from clayfield.testbed.proxy import Proxy

PEERS_PORT = 20_100
INNER_PEERS_PORT = 20_101
OPERATORS_PORT = 20_110
CALLERS_PORT = 20_111
READINESS_PORT = 20_112
METRICS_PORT = 20_113
STOP_TIMEOUT_S = 20.0
HALLS = 3
REDIRECTS = 2
Reply = tuple[int, bytes]
SILENCE: Reply = (0, b"")


class SoakNode:
    """A node process at an IP address of its own.

    Attributes:
        ip: its IP address.
        role: "entry" or "control".
        process: the running process, None if there is none.
        life: number of starts.
        is_away: whether a fault keeps the process from running.
    """

    def __init__(self, site: "SoakSite", role: str, number: int):
        self.ip = site.ip(role, number)
        self.role = role
        self.name = f"{role}-{number}"
        self.log = site.folder / f"{self.name}.log"
        self.data = site.folder / self.name
        self.process: subprocess.Popen | None = None
        self.life = 0
        self.is_away = False
        self._disturbances = 0
        self._calm_since_s = time.monotonic()
        self._site = site
        self._number = number

    def start(self, seeds: list[str], is_first: bool = False) -> None:
        """Starts the process."""
        command = [
            sys.executable,
            "-m",
            "clayfield.testbed.proxied_node",
            self.role,
            f"--node={self.name}",
            f"--hall=hall-{self._number % HALLS}",
            f"--peers={self.ip}:{PEERS_PORT}",
            "--seeds=" + ",".join(f"{ip}:{PEERS_PORT}" for ip in seeds),
            f"--metrics={self.ip}:{METRICS_PORT}",
            f"--losses={self._site.losses}",
            f"--first-start={'yes' if is_first else 'no'}",
        ]
        if self.role == "control":
            command += [
                f"--operators={self.ip}:{OPERATORS_PORT}",
                f"--data-folder={self.data}",
            ]
        else:
            command += [
                f"--callers={self.ip}:{CALLERS_PORT}",
                f"--readiness={self.ip}:{READINESS_PORT}",
            ]
        self.life += 1
        environment = {**os.environ, INNER_PORT: str(INNER_PEERS_PORT)}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment
            )

    def begin_disturbance(self) -> None:
        """Records the start of a fault at the node or one of its links."""
        self._disturbances += 1

    def end_disturbance(self) -> None:
        """Records the end of a fault."""
        self._disturbances -= 1
        self._calm_since_s = time.monotonic()

    def calm_s(self, now_s: float) -> float:
        """Returns for how long there was no fault, in s; 0 during one."""
        return 0.0 if self._disturbances else now_s - self._calm_since_s

    def send(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once, also a suspended one."""
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait(STOP_TIMEOUT_S)

    def lose_disk(self) -> None:
        """Removes the stored state of the ended process."""
        shutil.rmtree(self.data, ignore_errors=True)

    @property
    def has_started(self) -> bool:
        """Whether the process has logged that it runs, in this life."""
        return self.log.read_bytes().count(b'"NODE_STARTED"') >= self.life


class SoakSite:
    """All processes of a soak.

    Attributes:
        folder: where logs and data are kept.
        losses: number of control nodes that may be lost at once.
        controls: the control nodes in use.
        entries: the entry nodes.
        proxy: forwards the connections between nodes.
    """

    def __init__(self, folder: pathlib.Path, controls: int, entries: int):
        folder.mkdir(parents=True)
        self.folder = folder
        self.losses = (controls - 1) // 2
        self._network = os.getpid() % 200 + 20
        self._numbers = itertools.count(controls)
        self.proxy = Proxy(INNER_PEERS_PORT)
        self.controls = [
            SoakNode(self, "control", number) for number in range(controls)
        ]
        self.entries = [
            SoakNode(self, "entry", number) for number in range(entries)
        ]
        self._workers: subprocess.Popen | None = None

    def ip(self, role: str, number: int) -> str:
        """Returns the IP address of a node."""
        group = 1 if role == "control" else 2
        return f"127.{self._network}.{group}.{number + 1}"

    @property
    def nodes(self) -> list[SoakNode]:
        """All nodes in use."""
        return [*self.controls, *self.entries]

    @property
    def seeds(self) -> list[str]:
        """Addresses of the control nodes in use."""
        return [node.ip for node in self.controls]

    def start(self) -> None:
        """Starts all processes for the first time."""
        for node in self.nodes:
            self.proxy.listen((node.ip, PEERS_PORT))
            node.start(self.seeds, is_first=True)
        addresses = ",".join(f"{ip}:{OPERATORS_PORT}" for ip in self.seeds)
        self._workers = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "clayfield.testbed.pool_workers",
                f"--control={addresses}",
            ],
            stdout=subprocess.DEVNULL,
        )

    def replace(self, node: SoakNode) -> SoakNode:
        """Starts a control node at a new address in place of another one."""
        node.kill()
        successor = SoakNode(self, "control", next(self._numbers))
        self.controls[self.controls.index(node)] = successor
        self.proxy.listen((successor.ip, PEERS_PORT))
        successor.start([ip for ip in self.seeds if ip != successor.ip])
        return successor

    def stop(self) -> None:
        """Ends all processes."""
        for node in self.nodes:
            node.kill()
        if self._workers:
            self._workers.kill()
            self._workers.wait(STOP_TIMEOUT_S)
        self.proxy.stop()


class Client:
    """HTTP connections that stay open, one for each address."""

    def __init__(self) -> None:
        self._conns: dict[tuple[str, int], http.client.HTTPConnection] = {}
        self._lock = threading.Lock()

    def call(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = 1.0,
    ) -> Reply:
        """Sends a request, follows redirects; status 0 stands for silence."""
        for _ in range(REDIRECTS + 1):
            status, content, location = self._send(
                address, method, path, body, timeout_s
            )
            if status != http.HTTPStatus.TEMPORARY_REDIRECT:
                break
            host, _, port = location.split("/")[2].rpartition(":")
            address = (host, int(port))
        return status, content

    def _send(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes, str]:
        conn = self._conns.pop(address, None)
        if conn is None:
            conn = http.client.HTTPConnection(*address, timeout=timeout_s)
        try:
            if conn.sock:
                conn.sock.settimeout(timeout_s)
            conn.request(method, path, body)
            response = conn.getresponse()
            content = response.read()
            self._conns[address] = conn
            return response.status, content, response.headers.get("Location")
        except (OSError, http.client.HTTPException):
            conn.close()
            return *SILENCE, ""


def read_events(log: pathlib.Path, prefix: str) -> list[dict]:
    """Returns the log events whose names begin with a prefix."""
    lines = log.read_bytes().splitlines() if log.exists() else []
    events = [json.loads(line) for line in lines if line.startswith(b"{")]
    return [event for event in events if event["name"].startswith(prefix)]
