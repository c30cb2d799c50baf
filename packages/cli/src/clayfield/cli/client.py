"""HTTP requests to a box."""

import io
import json
import pathlib

from twisted.internet import defer, interfaces, ssl
from twisted.web.client import (
    Agent,
    BrowserLikePolicyForHTTPS,
    FileBodyProducer,
    HTTPConnectionPool,
    readBody,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IPolicyForHTTPS
from zope.interface import implementer

CONNECT_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 64


class Response:
    """A response.

    Attributes:
        status: of HTTP.
        body: whole.
    """

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes):
        self.status = status
        self.body = body

    @property
    def is_ok(self) -> bool:
        """Whether the status is one of success."""
        return 200 <= self.status < 300

    def json(self) -> object:
        """Returns the body as JSON, None where it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


@implementer(IPolicyForHTTPS)
class _Trust:
    """Trusts the certificates that sign the boxes' own."""

    def __init__(self, authority: str):
        data = pathlib.Path(authority).read_bytes()
        self._authority = ssl.Certificate.loadPEM(data)

    def creatorForNetloc(self, host: bytes, port: int) -> object:  # noqa: N802
        """Returns the TLS options for a host."""
        return ssl.optionsForClientTLS(host.decode(), trustRoot=self._authority)


class Client:
    """A client of one or more boxes."""

    def __init__(
        self, reactor: interfaces.IReactorTCP, token: str, authority: str
    ):
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = MAX_CONNECTIONS
        policy = _Trust(authority) if authority else BrowserLikePolicyForHTTPS()
        self._agent = Agent(
            reactor, policy, connectTimeout=CONNECT_TIMEOUT_S, pool=pool
        )
        self._token = token

    async def request(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Sends a request and reads the whole response."""
        fields = Headers({"authorization": [f"Bearer {self._token}"]})
        for name, value in (headers or {}).items():
            fields.setRawHeaders(name, [value])
        producer = FileBodyProducer(_as_file(body)) if body else None
        response = await self._agent.request(
            method.encode(), url.encode(), fields, producer
        )
        return Response(response.code, await readBody(response))


def _as_file(body: bytes) -> object:
    return io.BytesIO(body)


def gather(tasks: list) -> defer.Deferred:
    """Waits for many coroutines at once."""
    return defer.gatherResults(
        [defer.ensureDeferred(one) for one in tasks], consumeErrors=True
    )
