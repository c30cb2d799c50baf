"""Stand-ins of the world outside, as processes: workers and platform list.

One process serves many workers, each on a port of its own. A task's payload
is a JSON object; `run_ms` says how long it takes, and the answer is the
payload itself.
"""

import argparse
import json
import sys

from twisted.internet import reactor, task
from twisted.web import http, resource, server

LEAVING = "leaving"
HTTP_UNAVAILABLE = 503


class WorkerResource(resource.Resource):
    """A worker's `/v1/tasks`.

    Attributes:
        name: of the worker.
        is_leaving: it refuses new work.
        starts: how often each task name was started.
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
        """Runs a task, or refuses it before it starts."""
        if self.is_leaving or self._running >= self._slots:
            self.refused += 1
            request.setResponseCode(HTTP_UNAVAILABLE)
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
    """The platform list."""

    isLeaf = True  # noqa: N815 - twisted's name

    def __init__(self, workers: list[tuple[WorkerResource, dict]]):
        super().__init__()
        self._workers = workers

    def render_GET(self, request: http.Request) -> bytes:  # noqa: N802
        """Gives the list."""
        request.setHeader(b"content-type", b"application/json")
        shown = [
            {**info, "state": LEAVING if worker.is_leaving else "live"}
            for worker, info in self._workers
        ]
        return json.dumps({"workers": shown}).encode()


class CountsResource(resource.Resource):
    """What the workers saw, for checks."""

    isLeaf = True  # noqa: N815 - twisted's name

    def __init__(self, workers: list[tuple[WorkerResource, dict]]):
        super().__init__()
        self._workers = workers

    def render_GET(self, request: http.Request) -> bytes:  # noqa: N802
        """Gives the counts."""
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
    """Serves workers and the list; prints the list's port and serves on."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hall", action="append", required=True)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--racks", type=int, default=1)
    flags = parser.parse_args()
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
