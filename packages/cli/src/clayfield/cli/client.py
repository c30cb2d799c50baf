"""HTTP client for the boxes and nodes of the system."""

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
    """An HTTP response.

    Attributes:
        status: the HTTP status code.
        body: the complete body.
    """

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes):
        self.status = status
        self.body = body

    @property
    def is_ok(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    def json(self) -> object:
        """Returns the decoded JSON body, None if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


@implementer(IPolicyForHTTPS)
class _AuthorityPolicy:
    """A TLS policy that trusts only the given certificate authority."""

    def __init__(self, authority: str):
        data = pathlib.Path(authority).read_bytes()
        self._authority = ssl.Certificate.loadPEM(data)

    def creatorForNetloc(self, host: bytes, port: int) -> object:  # noqa: N802
        """Returns the TLS options for a host."""
        return ssl.optionsForClientTLS(host.decode(), trustRoot=self._authority)


class Client:
    """An HTTP client with a bearer token and a connection pool."""

    def __init__(
        self, reactor: interfaces.IReactorTCP, token: str, authority: str
    ):
        """Creates a client.

        Args:
            reactor: twisted's reactor.
            token: the bearer token to send.
            authority: path of the certificate to trust, "" for those of the
                system.
        """
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = MAX_CONNECTIONS
        policy = (
            _AuthorityPolicy(authority)
            if authority
            else BrowserLikePolicyForHTTPS()
        )
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
        """Sends a request and returns the complete response."""
        request_headers = Headers({"authorization": [f"Bearer {self._token}"]})
        for name, value in (headers or {}).items():
            request_headers.setRawHeaders(name, [value])
        producer = FileBodyProducer(_as_file(body)) if body else None
        response = await self._agent.request(
            method.encode(), url.encode(), request_headers, producer
        )
        return Response(response.code, await readBody(response))


def _as_file(body: bytes) -> object:
    return io.BytesIO(body)


def gather(coroutines: list) -> defer.Deferred:
    """Runs coroutines concurrently and returns their results in order.

    Raises:
        twisted.internet.defer.FirstError: a coroutine raised an exception.
    """
    return defer.gatherResults(
        [defer.ensureDeferred(coroutine) for coroutine in coroutines],
        consumeErrors=True,
    )
