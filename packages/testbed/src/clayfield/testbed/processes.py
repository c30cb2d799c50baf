"""Runs boxes and stand-in workers as processes on loopback, for tests."""

import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
MIN_PORT = 10_000
MAX_PORT = 65_535
OUTGOING_PORTS_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


_used_ports: set[int] = set()


def free_port() -> int:
    """Returns a free port of loopback, a different one at each call.

    It lies outside the range from which the system takes the local ports of
    outgoing connections.
    """
    first, last = _outgoing_ports()
    candidates = [
        port
        for port in range(MIN_PORT, MAX_PORT + 1)
        if not first <= port <= last and port not in _used_ports
    ]
    random.SystemRandom().shuffle(candidates)
    for port in candidates:
        if _is_free(port):
            _used_ports.add(port)
            return port
    raise OSError(f"no port outside {first} to {last} is free")


def _outgoing_ports() -> tuple[int, int]:
    """Returns the first and the last local port of outgoing connections."""
    first, last = OUTGOING_PORTS_FILE.read_text().split()
    return int(first), int(last)


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def fetch(url: str, timeout_s: float = 5.0) -> bytes:
    """Returns the body of the response to a GET request."""
    with urllib.request.urlopen(url, timeout=timeout_s) as response:
        return response.read()


def wait_for(is_met: object, description: str) -> None:
    """Waits until a condition is met.

    Args:
        is_met: a function that returns whether the condition is met.
        description: the text of the timeout error.

    Raises:
        TimeoutError: the condition is not met within `START_TIMEOUT_S`.
    """
    end_s = time.monotonic() + START_TIMEOUT_S
    while not is_met():
        if time.monotonic() > end_s:
            raise TimeoutError(description)
        time.sleep(0.05)


class StandInProcess:
    """The process that serves the stand-in workers and the worker list.

    Attributes:
        list_url: URL of the worker list.
    """

    def __init__(
        self, halls: list[str], workers: int, slots: int = 8, racks: int = 1
    ):
        command = [sys.executable, "-m", "clayfield.testbed.standins"]
        for hall in halls:
            command += ["--hall", hall]
        command += ["--workers", str(workers), "--slots", str(slots)]
        command += ["--racks", str(racks)]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE)
        port = int(self._process.stdout.readline())
        self._url = f"http://127.0.0.1:{port}"
        self.list_url = f"{self._url}/list"

    def counts(self) -> bytes:
        """Returns the counters of the workers, as JSON."""
        return fetch(f"{self._url}/counts")

    def leave(self, worker: str) -> None:
        """Marks a worker as leaving."""
        request = urllib.request.Request(
            f"{self._url}/counts?leave={worker}", method="POST"
        )
        urllib.request.urlopen(request, timeout=5).read()

    @property
    def pid(self) -> int:
        """Process id given by the operating system."""
        return self._process.pid

    def stop(self) -> None:
        """Terminates the process and waits until it has ended."""
        self._process.terminate()
        self._process.wait(STOP_TIMEOUT_S)
        self._process.stdout.close()


class BoxProcess:
    """A box that runs as a daemon process.

    Attributes:
        name: name of the box.
        callers_port: port of the interface for callers.
        operators_port: port of the interface for operators.
        log: path of its log file.
    """

    def __init__(
        self,
        name: str,
        boxes: str,
        folder: pathlib.Path,
        list_url: str,
        first_config: str,
        extra_flags: tuple[str, ...] = (),
    ):
        self.name = name
        self.callers_port = free_port()
        self.operators_port = free_port()
        self.log = folder / f"{name}.log"
        self._command = [
            sys.executable,
            "-m",
            "clayfield.daemon.main",
            "--box",
            name,
            "--boxes",
            boxes,
            "--platform-list",
            list_url,
            "--platform-list-ms",
            "300",
            "--balancer-lag-ms",
            "200",
            *extra_flags,
        ]
        for item in boxes.split(","):
            if item.startswith(f"{name}@") and item.endswith("/control"):
                self._command += ["--data-folder", str(folder / name)]
                self._command += ["--first-config", first_config]
        self._process: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        """Starts the process, with the same ports at each start."""
        command = [
            *self._command,
            "--callers",
            f"127.0.0.1:{self.callers_port}",
            "--operators",
            f"127.0.0.1:{self.operators_port}",
        ]
        with open(self.log, "ab") as log:
            self._process = subprocess.Popen(command, stderr=log)

    @property
    def pid(self) -> int:
        """Process id given by the operating system."""
        return self._process.pid

    @property
    def is_ready(self) -> bool:
        """Whether the readiness check of the box succeeds."""
        try:
            fetch(f"http://127.0.0.1:{self.operators_port}/readyz", 1.0)
        except OSError:
            return False
        return True

    def wait_ready(self) -> None:
        """Waits until the box is ready.

        Raises:
            TimeoutError: the box is not ready within `START_TIMEOUT_S`.
        """
        wait_for(
            lambda: self.is_ready,
            f"box {self.name} is not ready; see {self.log}",
        )

    def cpu_s(self) -> float:
        """Returns the CPU time used by the process, in seconds."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        parts = fields.rpartition(")")[2].split()
        return (int(parts[11]) + int(parts[12])) / 100

    def resident_mb(self) -> float:
        """Returns the resident memory of the process in MB."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        line = next(s for s in status.splitlines() if s.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    def kill(self) -> None:
        """Ends the process at once."""
        self._process.kill()
        self._process.wait(STOP_TIMEOUT_S)

    def begin_stop(self) -> None:
        """Begins a planned stop."""
        self._process.send_signal(signal.SIGTERM)

    def send(self, number: int) -> None:
        """Sends a signal to the process."""
        self._process.send_signal(number)

    def wait(self) -> int:
        """Waits until the process ends and returns its exit code."""
        return self._process.wait(STOP_TIMEOUT_S)

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process.poll() is None


class Cluster:
    """The processes of several boxes and of the stand-in workers.

    Attributes:
        boxes: the boxes, by name.
        workers: the process of the stand-in workers.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        first_config: str,
        halls: dict[str, int],
        workers: int = 3,
        control_count: int = 3,
        extra_flags: tuple[str, ...] = (),
        extra_flags_of: Callable[[str], tuple[str, ...]] = lambda name: (),
    ):
        folder.mkdir(parents=True, exist_ok=True)
        self.workers = StandInProcess(list(halls), workers)
        names = [
            (f"{hall}-{chr(ord('a') + number)}", hall)
            for number in range(max(halls.values()))
            for hall, count in halls.items()
            if number < count
        ]
        items = []
        for number, (name, hall) in enumerate(names):
            role = "/control" if number < control_count else ""
            items.append(f"{name}@{hall}=127.0.0.1:{free_port()}{role}")
        boxes = ",".join(items)
        self.boxes = {
            name: BoxProcess(
                name,
                boxes,
                folder,
                self.workers.list_url,
                first_config,
                (*extra_flags, *extra_flags_of(name)),
            )
            for name, _ in names
        }

    def __enter__(self) -> "Cluster":
        try:
            for box in self.boxes.values():
                box.wait_ready()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    def wait_for_log(self, log: pathlib.Path, event: str) -> None:
        """Waits until a log file contains an event.

        Raises:
            TimeoutError: the event is not logged within `START_TIMEOUT_S`.
        """
        wait_for(lambda: f'"{event}"' in log.read_text(), event)

    def stop(self) -> None:
        """Ends the processes of all boxes and workers."""
        for box in self.boxes.values():
            if box.is_running:
                box.kill()
        self.workers.stop()
