"""A small HTTP/1.1 server: the httptools parser on a twisted transport.

The requests of one connection are handled one at a time, in the order of
their arrival. It is used instead of twisted.web, which is too slow for the
request path.
"""

import heapq
from collections.abc import Callable, Collection

from twisted.internet import interfaces, protocol

from clayfield.base import MonotonicClock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter
from clayfield.node.guard import ClientGuard
from clayfield.node.httpconnection import HttpConnection, Refusal
from clayfield.node.httpmessages import (
    JSON_TYPE,
    TEXT_TYPE,
    HttpLimits,
    HttpRequest,
)
from clayfield.node.listening import Listener

__all__ = [
    "JSON_TYPE",
    "TEXT_TYPE",
    "HttpLimits",
    "HttpRequest",
    "HttpServer",
]

DEFAULT_MAX_CONNECTIONS = 1900
# One in so many connections is closed at once to make room for new ones.
CLOSED_SHARE = 32
# Least time between two log lines about the same exception.
LOG_INTERVAL_MS = 1000.0


class HttpServer(protocol.Factory):
    """Serves HTTP at one address.

    Attributes:
        reactor: the twisted reactor.
        handle: called with each complete request.
        limits: returns the current limits.
        guard: the limits on all clients of the process.
        header_names: names in lower case of the headers that requests keep.
        max_connections: most open connections; at this number, those that are
            needed least are closed for a new one.
        connections: the open connections.
        is_closing: whether a connection closes after its next response.
    """

    noisy = False

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        handle: Callable[[HttpRequest], None],
        limits: Callable[[], HttpLimits],
        guard: ClientGuard | None = None,
        header_names: Collection[str] = (),
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ):
        self.reactor = reactor
        self.handle = handle
        self.limits = limits
        self.guard = guard or ClientGuard(reactor)
        self.header_names = frozenset(header_names)
        self.max_connections = max_connections
        self.connections: set[HttpConnection] = set()
        self.is_closing = False
        self._failures = RepeatFilter(MonotonicClock(), LOG_INTERVAL_MS)
        self._listener = Listener(reactor, self)

    def buildProtocol(  # noqa: N802 - twisted's name
        self, addr: interfaces.IAddress | None
    ) -> HttpConnection | None:
        """Returns the protocol of a new connection, None to close it."""
        peer = getattr(addr, "host", "")
        open_count = len(self.connections)
        if open_count >= self.max_connections:
            self._make_room()
        if len(self.connections) >= self.max_connections:
            self.guard.on_refused(
                Refusal.CONNECTIONS, peer, open_count, self.max_connections
            )
            return None
        return HttpConnection(self, peer)

    def _make_room(self) -> None:
        """Closes the connections that are needed least.

        Several at once, as the search takes longer the more are open.
        """
        now_s = self.reactor.seconds()
        found = [
            (need, number, connection)
            for number, connection in enumerate(self.connections)
            if (need := connection.need(now_s)) is not None
        ]
        count = max(1, self.max_connections // CLOSED_SHARE)
        for _, _, connection in heapq.nsmallest(count, found):
            self.connections.discard(connection)
            connection.give_up()

    def listen(self, address: tuple[str, int]) -> None:
        """Starts to listen, now or as soon as the address is free.

        Args:
            address: IP address and port; port 0 for any free one.

        Raises:
            twisted.internet.error.CannotListenError: the address can't be
                used, though no other socket has it.
        """
        self._listener.start(address)

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._listener.is_listening

    @property
    def port(self) -> int:
        """The port on which the server listens."""
        return self._listener.port

    def log_failure(self, error: str) -> None:
        """Logs an exception of the handler, unless done lately."""
        if self._failures.is_due(error):
            emit(Event.INTERNAL, error=error)

    def check_timeouts(self) -> None:
        """Closes connections over a time limit; to be called periodically."""
        now_s = self.reactor.seconds()
        for connection in list(self.connections):
            connection.check_timeouts(now_s)

    def begin_close(self) -> None:
        """Makes each connection close after its next response."""
        self.is_closing = True

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def stop(self) -> None:
        """Stops accepting connections; the open ones stay open."""
        self._listener.stop()
