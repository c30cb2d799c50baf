"""The platform list: which workers are live and which are leaving.

It is read over HTTP and lags. docs/api.md gives its form.
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
    """A worker as the list shows it; see `WorkerInfo`."""

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
    """The list."""

    workers: list[ListedWorker]


_decoder = msgspec.json.Decoder(PlatformList)


def read_list(body: bytes) -> list[WorkerInfo]:
    """Returns the workers of a list.

    Raises:
        msgspec.DecodeError: the body is not a platform list.
    """
    return [
        WorkerInfo(
            one.name,
            one.address,
            one.hall,
            one.rack,
            one.pool,
            one.slots,
            one.cores,
            one.memory_mb,
            one.accelerators,
            one.state == "leaving",
        )
        for one in _decoder.decode(body).workers
    ]


class PlatformPoll:
    """Reads the list again and again."""

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
        self._last = b""

    def start(self) -> None:
        """Begins to read."""
        self._loop.start(self._interval_s)

    def stop(self) -> None:
        """Ends reading."""
        if self._loop.running:
            self._loop.stop()

    async def _fetch(self) -> bytes:
        response = await self._agent.request(b"GET", self._url)
        body = await readBody(response)
        if response.code != 200 or len(body) > MAX_LIST_BYTES:
            raise ValueError(f"status {response.code}, {len(body)} bytes")
        return body

    def _poll(self) -> defer.Deferred:
        reading = defer.ensureDeferred(self._fetch())
        reading.addTimeout(TIMEOUT_S, self._reactor)
        reading.addCallbacks(self._take, self._on_failure)
        return reading

    def _take(self, body: bytes) -> None:
        if body == self._last:
            return
        try:
            workers = read_list(body)
        except msgspec.DecodeError as exc:
            emit(Event.LIST_FAILED, error=str(exc))
            return
        self._last = body
        self._on_list(workers)

    def _on_failure(self, failure: object) -> None:
        emit(Event.LIST_FAILED, error=failure.getErrorMessage())
