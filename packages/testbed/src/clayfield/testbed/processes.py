"""Boxes and stand-ins as real processes on loopback."""

import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0


_given_ports: set[int] = set()


def free_port() -> int:
    """Returns a port of loopback that was free just now, never one twice.

    The system may offer a port again before whoever got it first listens.
    """
    while True:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        if port not in _given_ports:
            _given_ports.add(port)
            return port


def fetch(url: str, timeout_s: float = 5.0) -> bytes:
    """Returns what a URL of loopback gives."""
    with urllib.request.urlopen(url, timeout=timeout_s) as response:
        return response.read()


def wait_for(is_met: object, what: str) -> None:
    """Waits until a function returns true.

    Raises:
        TimeoutError: it does not for a long time.
    """
    end_s = time.monotonic() + START_TIMEOUT_S
    while not is_met():
        if time.monotonic() > end_s:
            raise TimeoutError(what)
        time.sleep(0.05)


class StandIns:
    """The process of workers and platform list.

    Attributes:
        list_url: of the platform list.
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
        """Returns what the workers saw."""
        return fetch(f"{self._url}/counts")

    def leave(self, worker: str) -> None:
        """Lets a worker begin to leave."""
        request = urllib.request.Request(
            f"{self._url}/counts?leave={worker}", method="POST"
        )
        urllib.request.urlopen(request, timeout=5).read()

    @property
    def pid(self) -> int:
        """The process."""
        return self._process.pid

    def stop(self) -> None:
        """Ends the process."""
        self._process.terminate()
        self._process.wait(STOP_TIMEOUT_S)
        self._process.stdout.close()


class BoxProcess:
    """One clayfieldd.

    Attributes:
        name: of the box.
        callers: its callers' port.
        operators: its operators' port.
        log: its log file.
    """

    def __init__(
        self,
        name: str,
        boxes: str,
        folder: pathlib.Path,
        list_url: str,
        first_config: str,
        extra: tuple[str, ...] = (),
    ):
        self.name = name
        self.callers = free_port()
        self.operators = free_port()
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
            *extra,
        ]
        for item in boxes.split(","):
            if item.startswith(f"{name}@") and item.endswith("/control"):
                self._command += ["--data-folder", str(folder / name)]
                self._command += ["--first-config", first_config]
        self._process: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        """Starts the process, on the ports it had."""
        command = [
            *self._command,
            "--callers",
            f"127.0.0.1:{self.callers}",
            "--operators",
            f"127.0.0.1:{self.operators}",
        ]
        with open(self.log, "ab") as log:
            self._process = subprocess.Popen(command, stderr=log)

    @property
    def pid(self) -> int:
        """The process."""
        return self._process.pid

    @property
    def is_ready(self) -> bool:
        """Whether the box says that it is ready."""
        try:
            fetch(f"http://127.0.0.1:{self.operators}/readyz", 1.0)
        except OSError:
            return False
        return True

    def wait_ready(self) -> None:
        """Waits until the box is ready.

        Raises:
            TimeoutError: it does not get ready.
        """
        wait_for(lambda: self.is_ready, f"{self.name} ready; see {self.log}")

    def cpu_s(self) -> float:
        """Returns the processor time that the process has used."""
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
        """Waits for the process to end; returns its exit code."""
        return self._process.wait(STOP_TIMEOUT_S)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None


class Cluster:
    """Boxes and stand-ins together.

    Attributes:
        boxes: by name.
        workers: the stand-ins.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        first_config: str,
        halls: dict[str, int],
        workers: int = 3,
        control: int = 3,
        extra: tuple[str, ...] = (),
        extra_of: Callable[[str], tuple[str, ...]] = lambda name: (),
    ):
        folder.mkdir(parents=True, exist_ok=True)
        self.workers = StandIns(list(halls), workers)
        names = [
            (f"{hall}-{chr(ord('a') + number)}", hall)
            for number in range(max(halls.values()))
            for hall, count in halls.items()
            if number < count
        ]
        items = []
        for number, (name, hall) in enumerate(names):
            role = "/control" if number < control else ""
            items.append(f"{name}@{hall}=127.0.0.1:{free_port()}{role}")
        boxes = ",".join(items)
        self.boxes = {
            name: BoxProcess(
                name,
                boxes,
                folder,
                self.workers.list_url,
                first_config,
                (*extra, *extra_of(name)),
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
        """Waits until a box's log holds an event.

        Raises:
            TimeoutError: it does not come.
        """
        wait_for(lambda: f'"{event}"' in log.read_text(), event)

    def stop(self) -> None:
        """Ends every process that it started."""
        for box in self.boxes.values():
            if box.is_running:
                box.kill()
        self.workers.stop()
