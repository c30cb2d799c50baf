"""HTTP/1.1 client with persistent connections, for calls to workers.

A connection carries one call at a time. A call without a response within its
timeout is lost and its connection is aborted; whether the peer processed it
is then unknown.
"""

import enum

import httptools
from twisted.internet import defer, error, interfaces, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python import failure

from clayfield.base.settings import parse_address as read_address

CONNECT_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
IDLE_TIMEOUT_S = 10.0
# Limit on idle connections of all pools that share it: saves descriptors.
MAX_IDLE_CONNECTIONS = 800


class CallOutcome(enum.Enum):
    """How a call ended.

    ANSWERED: a response arrived. UNREACHED: the connection failed, so nothing
    was sent. REFUSED: likewise, as no process listens at the address. LOST:
    no valid response arrived; the peer may have processed the request or may
    still do so.
    """

    ANSWERED = "answered"
    UNREACHED = "unreached"
    REFUSED = "refused"
    LOST = "lost"


class CallResult:
    """The result of a call.

    Attributes:
        outcome: how the call ended.
        status: HTTP status code, 0 without a response.
        body: body of the response, empty without one.
    """

    __slots__ = ("body", "outcome", "status")

    def __init__(
        self, outcome: CallOutcome, status: int = 0, body: bytes = b""
    ):
        self.outcome = outcome
        self.status = status
        self.body = body


class _Connection(protocol.Protocol):
    """One connection, also the callback target of its response parser.

    Attributes:
        is_open: whether it can carry another call.
        idle_since_s: time at which its last call ended, in s.
    """

    def __init__(self, pool: "ConnectionPool"):
        self._pool = pool
        self._parser: httptools.HttpResponseParser | None = None
        self._body = bytearray()
        self._pending: defer.Deferred | None = None
        self._timer: interfaces.IDelayedCall | None = None
        self.is_open = True
        self.idle_since_s = 0.0

    def call(self, request: bytes, timeout_s: float) -> defer.Deferred:
        """Sends a request; the deferred fires with a `CallResult`."""
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self._pending = defer.Deferred()
        reactor = self._pool.reactor
        self._timer = reactor.callLater(timeout_s, self._on_timeout)
        self.transport.write(request)
        return self._pending

    def close(self) -> None:
        """Closes an idle connection."""
        self.is_open = False
        self.transport.loseConnection()

    def _on_timeout(self) -> None:
        self.transport.abortConnection()
        self._finish(CallResult(CallOutcome.LOST))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted
        """Parses a part of the response; aborts an invalid connection."""
        if self._parser is None:
            self.transport.abortConnection()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()
            self._finish(CallResult(CallOutcome.LOST))

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Handles the loss of the connection."""
        self.is_open = False
        self._pool.on_closed(self)
        self._finish(CallResult(CallOutcome.LOST))

    def on_body(self, body: bytes) -> None:
        """Handles a part of the response body."""
        self._body += body
        if len(self._body) > MAX_RESPONSE_BYTES:
            self.transport.abortConnection()

    def on_message_complete(self) -> None:
        """Handles the end of the response."""
        if self._pending is None:
            return
        status = self._parser.get_status_code()
        if self._parser.should_keep_alive() and self.is_open:
            self._pool.on_idle(self)
        else:
            self.transport.loseConnection()
        self._finish(
            CallResult(CallOutcome.ANSWERED, status, bytes(self._body))
        )

    def _finish(self, result: CallResult) -> None:
        pending = self._pending
        if pending is None:
            return
        self._pending = None
        self._parser = None
        if self._timer and self._timer.active():
            self._timer.cancel()
        pending.callback(result)


class IdleConnections:
    """The idle connections of many pools; over a limit the oldest closes."""

    __slots__ = ("_connections", "_max_connections")

    def __init__(self, max_connections: int):
        """Creates an empty set.

        Args:
            max_connections: maximum number of idle connections.
        """
        self._max_connections = max_connections
        self._connections: dict[_Connection, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: _Connection) -> None:
        """Adds a connection that became idle."""
        self._connections[connection] = None
        if len(self._connections) > self._max_connections:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.close()

    def discard(self, connection: _Connection) -> None:
        """Removes a connection that is in use again or closed."""
        self._connections.pop(connection, None)


class ConnectionPool(protocol.Factory):
    """The connections to one address.

    Attributes:
        reactor: the twisted reactor.
    """

    noisy = False

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        address: str,
        shared_idle: IdleConnections | None = None,
    ):
        """Creates a pool without connections.

        Args:
            reactor: the twisted reactor.
            address: IP:PORT to connect to.
            shared_idle: idle connections of all pools that share one limit,
                None for a limit of its own.
        """
        host, port = read_address(address)
        self.reactor = reactor
        self._shared_idle = shared_idle or IdleConnections(MAX_IDLE_CONNECTIONS)
        self._endpoint = TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        self._idle: list[_Connection] = []
        self._open: set[_Connection] = set()

    def buildProtocol(self, addr: object) -> _Connection:  # noqa: N802
        """Returns the protocol of a new connection."""
        return _Connection(self)

    def call(self, request: bytes, timeout_s: float) -> defer.Deferred:
        """Sends a request; the deferred always fires with a `CallResult`."""
        now_s = self.reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            self._shared_idle.discard(connection)
            if (
                connection.is_open
                and now_s - connection.idle_since_s < IDLE_TIMEOUT_S
            ):
                return connection.call(request, timeout_s)
            connection.close()
        connecting = self._endpoint.connect(self)
        connecting.addCallbacks(
            self._on_connected, self._on_connect_failed, (request, timeout_s)
        )
        return connecting

    def _on_connected(
        self, connection: _Connection, request: bytes, timeout_s: float
    ) -> defer.Deferred:
        connection.transport.setTcpNoDelay(True)
        self._open.add(connection)
        return connection.call(request, timeout_s)

    def _on_connect_failed(self, reason: failure.Failure) -> CallResult:
        reason.trap(error.ConnectError, error.ConnectionClosed, OSError)
        if reason.check(error.ConnectionRefusedError):
            return CallResult(CallOutcome.REFUSED)
        return CallResult(CallOutcome.UNREACHED)

    def on_idle(self, connection: _Connection) -> None:
        """Handles a connection that became idle."""
        connection.idle_since_s = self.reactor.seconds()
        self._idle.append(connection)
        self._shared_idle.add(connection)

    def on_closed(self, connection: _Connection) -> None:
        """Handles a connection that closed."""
        self._open.discard(connection)
        self._shared_idle.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Aborts all open connections, also those with a pending request."""
        for connection in list(self._open):
            connection.transport.abortConnection()
