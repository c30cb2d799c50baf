"""Listens at an address, and tries again while another socket uses it.

A port in the system's range for outgoing connections may be the local port of
a connection of any process on the machine, and is then in use until that
connection ends.
"""

import errno
from collections.abc import Callable

from twisted.internet import error, interfaces

from clayfield.base import MonotonicClock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter

RETRY_INTERVAL_S = 0.1
DEFAULT_BACKLOG = 1024
# Least time between two log lines about one address.
LOG_INTERVAL_MS = 5000.0


class Listener:
    """Accepts connections at one address.

    There is no limit on the number of attempts: a node that ended would be
    started again and find the address in the same state.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        factory: interfaces.IProtocolFactory,
        on_listening: Callable[[], None] | None = None,
    ):
        """Creates a listener; `start` begins to listen.

        Args:
            reactor: the twisted reactor.
            factory: makes the protocol of each accepted connection.
            on_listening: called once the address is bound, None for no call.
        """
        self._reactor = reactor
        self._factory = factory
        self._on_listening = on_listening
        self._port: interfaces.IListeningPort | None = None
        self._retry: interfaces.IDelayedCall | None = None
        self._delays = RepeatFilter(MonotonicClock(), LOG_INTERVAL_MS)

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._port is not None

    @property
    def port(self) -> int:
        """The port on which connections are accepted."""
        return self._port.getHost().port

    def start(self, address: tuple[str, int]) -> None:
        """Starts to listen, now or as soon as the address is free.

        Args:
            address: IP address and port; port 0 for any free one.

        Raises:
            OSError: the address can't be used for another reason.
            twisted.internet.error.CannotListenError: likewise.
        """
        self._retry = None
        host, port = address
        try:
            self._port = self._reactor.listenTCP(
                port, self._factory, backlog=DEFAULT_BACKLOG, interface=host
            )
        except (error.CannotListenError, OSError) as exc:
            if not _is_in_use(exc):
                raise
            self._schedule_retry(address)
            return
        if self._on_listening:
            self._on_listening()

    def _schedule_retry(self, address: tuple[str, int]) -> None:
        host, port = address
        name = f"{host}:{port}"
        if self._delays.is_due(name):
            emit(
                Event.ADDRESS_IN_USE,
                address=name,
                remedy="End the process that uses it, or set a port outside"
                " the system's range for outgoing connections.",
            )
        self._retry = self._reactor.callLater(
            RETRY_INTERVAL_S, self.start, address
        )

    def stop(self) -> None:
        """Stops accepting connections; the open ones stay open."""
        if self._retry:
            self._retry.cancel()
            self._retry = None
        if self._port:
            self._port.stopListening()
            self._port = None


def _is_in_use(exc: Exception) -> bool:
    """Returns whether listening failed as another socket has the address."""
    cause = getattr(exc, "socketError", exc)
    return getattr(cause, "errno", None) == errno.EADDRINUSE
