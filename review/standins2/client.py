"""Clients that hand in jobs, ask for their state and cancel them."""

import asyncio
import json
import random

from standins2.deployment import ZONES, Deployment, Machine
from standins2.ingress import Ingress
from standins2.messages import NO_ANSWER, call
from standins2.record import Record

RETRY_S = 0.3
MAX_TRIES = 8


class Job:
    """A job as a client sees it.

    Attributes:
        key: its ID.
        path: path of its queue.
        content: the body of its POST.
        is_accepted: whether a 2xx came.
        accepted_ms: when, in ms of the record.
        is_rejected: whether each attempt was rejected by 429 or 503.
        state: the state that was read last, "" for none.
        zone: the zone of its client.
    """

    def __init__(self, path: str, content: dict[str, object]):
        self.key = f"{random.randrange(16**16):016x}"
        self.path = path
        self.content = content
        self.is_accepted = False
        self.accepted_ms = 0.0
        self.is_rejected = False
        self.state = ""
        self.zone = random.choice(ZONES)


class Clients:
    """Clients of a deployment; the ingress chooses the node of each call."""

    def __init__(
        self,
        deployment: Deployment,
        ingress: Ingress,
        host: str,
        record: Record,
    ):
        self._deployment = deployment
        self._ingress = ingress
        self._host = host
        self._record = record

    async def submit(self, job: Job) -> None:
        """Hands in a job; sends it again after silence, 502 or 504."""
        is_rejected = True
        tried: set[str] = set()
        for _ in range(MAX_TRIES):
            machine = self._ingress.pick(job.zone, tried)
            tried.add(machine.name)
            status, _ = await self._call(machine, "POST", job, job.content)
            self._record.add("post", f"{job.key} {status} at {machine.name}")
            if 200 <= status < 300:
                job.is_accepted = True
                job.accepted_ms = self._record.now_ms()
                return
            if status not in (NO_ANSWER, 502, 504):
                job.is_rejected = is_rejected
                return
            is_rejected = False
            await asyncio.sleep(RETRY_S)

    async def read_state(self, job: Job) -> str:
        """Returns the state of a job; "" without a clear answer."""
        machine = self._ingress.pick(job.zone)
        status, body = await self._call(machine, "GET", job)
        state = json.loads(body)["state"] if status == 200 else ""
        if state:
            job.state = state
        self._record.add("get", f"{job.key} {status} {state}")
        return state

    async def _call(
        self, machine: Machine, method: str, job: Job, content: object = None
    ) -> tuple[int, bytes]:
        headers = {"Host": self._host, "Clayfield-Deadline-Ms": "1500"}
        status, body, _ = await call(
            (machine.ip, self._deployment.front_port),
            method,
            job.path + job.key,
            content,
            headers,
            timeout_s=2.0,
        )
        return status, body


def make_config(
    routes: dict[str, tuple[str, int, int]], host: str, version: int = 1
) -> dict[str, object]:
    """Returns a configuration with one service.

    Args:
        routes: path, priority and max_attempts by name of the queue.
        host: host name of the queues.
        version: its version.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": host,
                "path_prefix": path,
                "kind": "unsafe",
                "timeout_ms": 1500,
                "target_latency_ms": 60,
                "priority": priority,
                "service": "svc",
                "max_attempts": attempts,
                "stretch": 1.6,
            }
            for name, (path, priority, attempts) in routes.items()
        ],
        "services": [
            {
                "name": "svc",
                "health_path": "/health",
                "max_conns": 64,
                "protocol": "h1",
                "tls": False,
                "enforces_capacity": True,
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
