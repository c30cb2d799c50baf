"""Runs entry and control nodes of a pool as processes on loopback."""

import http.client
import json
import pathlib
import signal
import subprocess
import sys

from clayfield.testbed.processes import free_port

LOOPBACK = "127.0.0.1"
REPLY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
KB_PER_MB = 1024
SIGHUP_MASK = 1 << (signal.SIGHUP - 1)


class Node:
    """A clayfield-node process, entry or control, on loopback ports.

    Attributes:
        role: `entry` or `control`.
        port: port for callers, or for operators and workers.
        ready: port for readiness checks.
        metrics: port for metrics.
        peers: port for other nodes.
        log: path of its log file.
        process: the running process.
    """

    def __init__(
        self,
        role: str,
        name: str,
        seeds: list[int],
        folder: pathlib.Path,
        first: str = "yes",
        peers: int | None = None,
        program: tuple[str, ...] = ("clayfield.node.main",),
        flags: tuple[str, ...] = (),
    ):
        """Starts the process.

        Args:
            role: `entry` or `control`.
            name: name of the node.
            seeds: ports for other nodes of the control nodes.
            folder: folder for its log and its stored state.
            first: `yes` if the whole cluster is new.
            peers: port for other nodes, None for any.
            program: the module to run, with arguments before the role.
            flags: further flags.
        """
        self.role = role
        self.port = free_port()
        self.ready = free_port()
        self.metrics = free_port()
        self.peers = peers or free_port()
        self.log = folder / f"{name}.log"
        self._command = [
            sys.executable,
            "-m",
            *program,
            role,
            f"--node={name}",
            f"--peers={LOOPBACK}:{self.peers}",
            "--seeds=" + ",".join(f"{LOOPBACK}:{seed}" for seed in seeds),
            f"--metrics={LOOPBACK}:{self.metrics}",
            "--grace-ms=6000",
            *flags,
        ]
        if role == "control":
            self._command += [
                f"--operators={LOOPBACK}:{self.port}",
                f"--data-folder={folder / name}",
            ]
        else:
            self._command += [
                f"--callers={LOOPBACK}:{self.port}",
                f"--readiness={LOOPBACK}:{self.ready}",
            ]
        self.start(first)

    def start(self, first: str = "no") -> None:
        """Starts the process, with the same ports at each start."""
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [*self._command, f"--first-start={first}"],
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Ends the process at once."""
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)

    def terminate(self) -> None:
        """Begins a planned stop."""
        self.process.send_signal(signal.SIGTERM)

    def request(
        self,
        method: str,
        path: str,
        body: object = None,
        port: int | None = None,
    ) -> tuple[int, bytes, object]:
        """Sends a request; returns status, body and headers of the response.

        Args:
            method: HTTP method.
            path: path of the request.
            body: bytes, or a value to send as JSON; None for no body.
            port: port to send it to, None for `self.port`.

        Returns:
            (0, b"", {}) if there was no response.
        """
        conn = http.client.HTTPConnection(
            LOOPBACK, port or self.port, timeout=REPLY_TIMEOUT_S
        )
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        try:
            conn.request(method, path, content if body is not None else None)
            response = conn.getresponse()
            return response.status, response.read(), response.headers
        except (OSError, http.client.HTTPException):
            return 0, b"", {}
        finally:
            conn.close()

    @property
    def is_ready(self) -> bool:
        """Whether the readiness check of an entry node succeeds."""
        return self.request("GET", "/", port=self.ready)[0] == 200

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    @property
    def heeds_reloads(self) -> bool:
        """Whether SIGHUP no longer has its default effect, to end the process.

        A program has no say before its first instruction.
        """
        status = self._proc("status").read_text().splitlines()
        masks = [
            int(line.split()[1], 16)
            for line in status
            if line.startswith(("SigIgn", "SigCgt"))
        ]
        return any(mask & SIGHUP_MASK for mask in masks)

    @property
    def peak_mb(self) -> float:
        """The most memory that the process has had resident, in MB."""
        status = self._proc("status").read_text().splitlines()
        line = next(line for line in status if line.startswith("VmHWM"))
        return int(line.split()[1]) / KB_PER_MB

    @property
    def descriptors(self) -> int:
        """Number of open file descriptors."""
        return len(list(self._proc("fd").iterdir()))

    def _proc(self, name: str) -> pathlib.Path:
        return pathlib.Path(f"/proc/{self.process.pid}/{name}")
