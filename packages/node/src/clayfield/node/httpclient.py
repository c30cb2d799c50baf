"""Calls to workers over persistent HTTP/1.1 connections.

A connection carries one call at a time. A call that gets no answer within
its time is given up and its connection aborted; whether it was carried out
is then not known.
"""

import enum

import httptools
from twisted.internet import defer, error, interfaces, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python import failure

from clayfield.base.settings import address as read_address

CONNECT_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
IDLE_S = 10.0
# Free connections of all pools that share a bound; descriptors are few.
MAX_IDLE_CONNECTIONS = 800


class CallOutcome(enum.Enum):
    """How a call ended.

    UNREACHED says that no byte of it has left; LOST that it may have been
    carried out, or may yet be.
    """

    ANSWERED = "answered"
    UNREACHED = "unreached"
    LOST = "lost"


class CallResult:
    """What came of a call.

    Attributes:
        end: how it ended.
        status: the HTTP status, 0 without an answer.
        body: the answer's body.
    """

    __slots__ = ("body", "end", "status")

    def __init__(self, end: CallOutcome, status: int = 0, body: bytes = b""):
        self.end = end
        self.status = status
        self.body = body


class _Connection(protocol.Protocol):
    """One connection."""

    def __init__(self, pool: "ConnectionPool"):
        self._pool = pool
        self._parser: httptools.HttpResponseParser | None = None
        self._body = bytearray()
        self._waiter: defer.Deferred | None = None
        self._timer: interfaces.IDelayedCall | None = None
        self.is_open = True
        self.idle_since_s = 0.0

    def call(self, request: bytes, timeout_s: float) -> defer.Deferred:
        """Writes a call; the result is a `CallResult`."""
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self._waiter = defer.Deferred()
        reactor = self._pool.reactor
        self._timer = reactor.callLater(timeout_s, self._on_timeout)
        self.transport.write(request)
        return self._waiter

    def retire(self) -> None:
        """Closes a free connection; no call may use it any more."""
        self.is_open = False
        self.transport.loseConnection()

    def _on_timeout(self) -> None:
        self.transport.abortConnection()
        self._finish(CallResult(CallOutcome.LOST))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted
        """Takes bytes."""
        if self._parser is None:
            self.transport.abortConnection()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()
            self._finish(CallResult(CallOutcome.LOST))

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Learns that the connection is gone."""
        self.is_open = False
        self._pool.on_closed(self)
        self._finish(CallResult(CallOutcome.LOST))

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        self._body += body
        if len(self._body) > MAX_RESPONSE_BYTES:
            self.transport.abortConnection()

    def on_message_complete(self) -> None:
        """Takes the end of the answer."""
        if self._waiter is None:
            return
        status = self._parser.get_status_code()
        if self._parser.should_keep_alive() and self.is_open:
            self._pool.on_idle(self)
        else:
            self.transport.loseConnection()
        self._finish(
            CallResult(CallOutcome.ANSWERED, status, bytes(self._body))
        )

    def _finish(self, answer: CallResult) -> None:
        waiter = self._waiter
        if waiter is None:
            return
        self._waiter = None
        self._parser = None
        if self._timer and self._timer.active():
            self._timer.cancel()
        waiter.callback(answer)


class IdleConnections:
    """The free connections of many pools; the oldest beyond a bound close."""

    __slots__ = ("_connections", "_most")

    def __init__(self, most: int):
        """Starts with none.

        Args:
            most: how many may stay open.
        """
        self._most = most
        self._connections: dict[_Connection, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: _Connection) -> None:
        """Takes a connection that is free again."""
        self._connections[connection] = None
        if len(self._connections) > self._most:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.retire()

    def discard(self, connection: _Connection) -> None:
        """Forgets a connection that is in use again, or gone."""
        self._connections.pop(connection, None)


class ConnectionPool(protocol.Factory):
    """The connections to one address.

    Attributes:
        reactor: of twisted.
    """

    noisy = False

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        address: str,
        idle_of_all: IdleConnections | None = None,
    ):
        """Starts without connections.

        Args:
            reactor: of twisted.
            address: IP:PORT.
            idle_of_all: of all pools that share a bound.
        """
        host, port = read_address(address)
        self.reactor = reactor
        self._idle_of_all = idle_of_all or IdleConnections(MAX_IDLE_CONNECTIONS)
        self._endpoint = TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        self._idle: list[_Connection] = []
        self._open: set[_Connection] = set()

    def buildProtocol(self, addr: object) -> _Connection:  # noqa: N802
        """Makes a connection's protocol."""
        return _Connection(self)

    def call(self, request: bytes, timeout_s: float) -> defer.Deferred:
        """Makes a call; the result is a `CallResult`, never a failure."""
        now_s = self.reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            self._idle_of_all.discard(connection)
            if connection.is_open and now_s - connection.idle_since_s < IDLE_S:
                return connection.call(request, timeout_s)
            connection.retire()
        connecting = self._endpoint.connect(self)
        connecting.addCallbacks(
            self._on_connected, self._on_refused, (request, timeout_s)
        )
        return connecting

    def _on_connected(
        self, connection: _Connection, request: bytes, timeout_s: float
    ) -> defer.Deferred:
        connection.transport.setTcpNoDelay(True)
        self._open.add(connection)
        return connection.call(request, timeout_s)

    def _on_refused(self, reason: failure.Failure) -> CallResult:
        reason.trap(error.ConnectError, error.ConnectionClosed, OSError)
        return CallResult(CallOutcome.UNREACHED)

    def on_idle(self, connection: _Connection) -> None:
        """Takes back a connection that is free again."""
        connection.idle_since_s = self.reactor.seconds()
        self._idle.append(connection)
        self._idle_of_all.add(connection)

    def on_closed(self, connection: _Connection) -> None:
        """Forgets a connection that is gone."""
        self._open.discard(connection)
        self._idle_of_all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Ends all connections at once."""
        for connection in list(self._open):
            connection.transport.abortConnection()
