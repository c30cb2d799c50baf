"""A process that serves stand-in workers and the platform's worker list.

Each worker listens at a port of its own. The payload of a task is a JSON
object whose `run_ms` is the duration of the task; the answer is the payload.
"""

import argparse
import json
import sys

from twisted.internet import reactor, task
from twisted.web import http, resource, server

from clayfield.base import MonotonicClock, use_monotonic_timers

LEAVING = "leaving"
SERVICE_UNAVAILABLE = 503


class WorkerResource(resource.Resource):
    """The resource `/v1/tasks` of a worker.

    Attributes:
        name: name of the worker.
        is_leaving: whether it rejects starts because it is being removed.
        starts: number of starts of each task, by name of the task.
        refused: number of rejected starts.
    """

    isLeaf = True  # noqa: N815 - twisted's name

    def __init__(self, name: str, slots: int):
        super().__init__()
        self.name = name
        self.is_leaving = False
        self.starts: dict[str, int] = {}
        self.refused = 0
        self._slots = slots
        self._running = 0

    def render_POST(self, request: http.Request) -> int | bytes:  # noqa: N802
        """Runs a task, or rejects it before it starts."""
        if self.is_leaving or self._running >= self._slots:
            self.refused += 1
            request.setResponseCode(SERVICE_UNAVAILABLE)
            request.setHeader(b"clayfield-started", b"no")
            if self.is_leaving:
                request.setHeader(b"clayfield-leaving", b"true")
            return b"{}"
        body = request.content.read()
        name = request.getHeader("clayfield-task")
        self.starts[name] = self.starts.get(name, 0) + 1
        self._running += 1
        run_s = json.loads(body).get("run_ms", 0) / 1000
        task.deferLater(reactor, run_s, self._finish, request, body)
        return server.NOT_DONE_YET

    def _finish(self, request: http.Request, body: bytes) -> None:
        self._running -= 1
        if request.channel is None:
            return
        request.setHeader(b"content-type", b"application/json")
        request.setHeader(b"content-length", str(len(body)).encode())
        request.write(body)
        request.finish()


class ListResource(resource.Resource):
    """The worker list of the platform."""

    isLeaf = True  # noqa: N815 - twisted's name

    def __init__(self, workers: list[tuple[WorkerResource, dict]]):
        super().__init__()
        self._workers = workers

    def render_GET(self, request: http.Request) -> bytes:  # noqa: N802
        """Returns the list as JSON."""
        request.setHeader(b"content-type", b"application/json")
        workers = [
            {**info, "state": LEAVING if worker.is_leaving else "live"}
            for worker, info in self._workers
        ]
        return json.dumps({"workers": workers}).encode()


class CountsResource(resource.Resource):
    """The counters of all workers, for checks."""

    isLeaf = True  # noqa: N815 - twisted's name

    def __init__(self, workers: list[tuple[WorkerResource, dict]]):
        super().__init__()
        self._workers = workers

    def render_GET(self, request: http.Request) -> bytes:  # noqa: N802
        """Returns the counters as JSON."""
        doubled = sum(
            count > 1
            for worker, _ in self._workers
            for count in worker.starts.values()
        )
        return json.dumps(
            {
                "starts": sum(sum(w.starts.values()) for w, _ in self._workers),
                "doubled": doubled,
                "refused": sum(w.refused for w, _ in self._workers),
            }
        ).encode()

    def render_POST(self, request: http.Request) -> bytes:  # noqa: N802
        """Marks a worker as leaving: `?leave=NAME`."""
        name = request.args[b"leave"][0].decode()
        for worker, info in self._workers:
            if info["name"] == name:
                worker.is_leaving = True
        return b"{}"


def main() -> None:
    """Serves the workers and the list; prints the port of the list."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hall", action="append", required=True)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--racks", type=int, default=1)
    flags = parser.parse_args()
    use_monotonic_timers(reactor, MonotonicClock())
    workers = []
    for hall in flags.hall:
        for number in range(flags.workers):
            name = f"{hall}-w{number}"
            worker = WorkerResource(name, flags.slots)
            root = resource.Resource()
            versioned = resource.Resource()
            root.putChild(b"v1", versioned)
            versioned.putChild(b"tasks", worker)
            port = _listen(root)
            rack = f"{hall}-r{number * flags.racks // flags.workers}"
            info = {
                "name": name,
                "address": f"127.0.0.1:{port}",
                "hall": hall,
                "rack": rack,
                "slots": flags.slots,
                "cores": 16,
                "memory_mb": 32768,
            }
            workers.append((worker, info))
    root = resource.Resource()
    root.putChild(b"list", ListResource(workers))
    root.putChild(b"counts", CountsResource(workers))
    print(_listen(root), flush=True)
    reactor.run()


def _listen(root: resource.Resource) -> int:
    site = server.Site(root)
    site.log = lambda request: None
    return reactor.listenTCP(0, site, interface="127.0.0.1").getHost().port


if __name__ == "__main__":
    sys.exit(main())
