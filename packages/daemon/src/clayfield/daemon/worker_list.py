"""Polls the platform list: the workers of all halls.

The platform serves the list over HTTP as JSON. A change shows in it only after
a delay, so that a listed worker may be unreachable.
"""

from collections.abc import Callable

import msgspec
from twisted.internet import defer, interfaces, task
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from clayfield.base.events import Event, emit
from clayfield.dispatch import WorkerInfo

TIMEOUT_S = 5.0
MAX_LIST_BYTES = 16 * 1024 * 1024
MS_PER_S = 1000.0


class ListedWorker(msgspec.Struct, frozen=True):
    """A worker in the list; see `WorkerInfo`.

    Attributes:
        state: "live", or "leaving" for a worker that accepts no new tasks.
    """

    name: str
    address: str
    hall: str
    rack: str = ""
    pool: str = "default"
    slots: int = 8
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    state: str = "live"


class PlatformList(msgspec.Struct, frozen=True):
    """The document that the platform serves."""

    workers: list[ListedWorker]


_decoder = msgspec.json.Decoder(PlatformList)


def parse_worker_list(body: bytes) -> list[WorkerInfo]:
    """Returns the workers of an encoded platform list.

    Raises:
        msgspec.DecodeError: the body is not a platform list.
    """
    return [
        WorkerInfo(
            worker.name,
            worker.address,
            worker.hall,
            worker.rack,
            worker.pool,
            worker.slots,
            worker.cores,
            worker.memory_mb,
            worker.accelerators,
            worker.state == "leaving",
        )
        for worker in _decoder.decode(body).workers
    ]


class WorkerListPoller:
    """Reads the platform list at intervals.

    A list that is unchanged is not reported again; when one cannot be read,
    the earlier one stays in use.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        url: str,
        interval_ms: int,
        on_list: Callable[[list[WorkerInfo]], None],
    ):
        self._url = url.encode()
        self._on_list = on_list
        self._reactor = reactor
        self._interval_s = interval_ms / MS_PER_S
        pool = HTTPConnectionPool(reactor)
        self._agent = Agent(reactor, connectTimeout=TIMEOUT_S, pool=pool)
        self._loop = task.LoopingCall(self._poll)
        self._last_body = b""

    def start(self) -> None:
        """Starts to fetch the worker list periodically."""
        self._loop.start(self._interval_s)

    def stop(self) -> None:
        """Ends the periodic fetching of the worker list."""
        if self._loop.running:
            self._loop.stop()

    async def _fetch(self) -> bytes:
        response = await self._agent.request(b"GET", self._url)
        body = await readBody(response)
        if response.code != 200 or len(body) > MAX_LIST_BYTES:
            raise ValueError(f"status {response.code}, {len(body)} bytes")
        return body

    def _poll(self) -> defer.Deferred:
        fetched = defer.ensureDeferred(self._fetch())
        fetched.addTimeout(TIMEOUT_S, self._reactor)
        fetched.addCallbacks(self._on_body, self._on_failure)
        return fetched

    def _on_body(self, body: bytes) -> None:
        if body == self._last_body:
            return
        try:
            workers = parse_worker_list(body)
        except msgspec.DecodeError as exc:
            emit(Event.LIST_FAILED, error=str(exc))
            return
        self._last_body = body
        self._on_list(workers)

    def _on_failure(self, failure: object) -> None:
        emit(Event.LIST_FAILED, error=failure.getErrorMessage())
