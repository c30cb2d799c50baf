"""Crowds of HTTP clients that don't behave, for tests on loopback.

Each client sends the parts of a script as fast as the server takes them and
then keeps its connection open. The parts are shared by all clients, so a crowd
needs little memory beside the server's.
"""

import itertools
import selectors
import socket
import time
from collections.abc import Callable, Iterable, Iterator

from clayfield.testbed.processes import START_TIMEOUT_S

READ_BYTES = 65_536
SELECT_TIMEOUT_S = 0.05
CRLF = b"\r\n"

Script = Callable[[], Iterable[bytes]]


class _Client:
    """One connection with the parts that are still to be sent."""

    __slots__ = ("_parts", "_rest", "has_sent_all", "is_closed", "sock")

    def __init__(self, port: int, parts: Iterator[bytes]):
        self._parts = parts
        self._rest = memoryview(b"")
        self.has_sent_all = False
        self.is_closed = False
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)

    def send(self) -> None:
        """Sends the next bytes, at most one part."""
        if not self._rest:
            part = next(self._parts, None)
            if part is None:
                self.has_sent_all = True
                return
            self._rest = memoryview(part)
        try:
            self._rest = self._rest[self.sock.send(self._rest) :]
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def receive(self) -> None:
        """Drops received bytes; notices the end of the connection."""
        data = b""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            pass
        if not data:
            self.close()

    def close(self) -> None:
        """Closes the connection."""
        self.is_closed = True
        self.sock.close()


class Crowd:
    """Clients that run a script each and stay connected."""

    def __init__(
        self, port: int, count: int, script: Script, reads: bool = True
    ):
        """Creates a crowd without connections.

        Args:
            port: port of the server on loopback.
            count: number of clients.
            script: returns the parts that one client sends.
            reads: whether the clients read what the server sends.
        """
        self._port = port
        self._count = count
        self._script = script
        self._reads = reads
        self._clients: list[_Client] = []
        self._selector = selectors.DefaultSelector()

    def __enter__(self) -> "Crowd":
        for _ in range(self._count):
            self._connect()
        return self

    def _connect(self) -> None:
        try:
            client = _Client(self._port, iter(self._script()))
        except OSError:
            return
        self._clients.append(client)
        events = selectors.EVENT_READ | selectors.EVENT_WRITE
        self._selector.register(client.sock, events, client)

    def __exit__(self, *error: object) -> None:
        for client in self._clients:
            client.close()
        self._selector.close()

    @property
    def cut_off_count(self) -> int:
        """Number of clients that the server disconnected before the end."""
        connected = sum(not client.is_closed for client in self._clients)
        return self._count - connected

    def play(self) -> None:
        """Sends until each client has sent all or has lost its connection.

        Raises:
            TimeoutError: the server neither takes the rest nor disconnects.
        """
        end_s = time.monotonic() + START_TIMEOUT_S
        while self._has_senders():
            if time.monotonic() > end_s:
                raise TimeoutError("the crowd has not sent all")
            self._step()

    def _has_senders(self) -> bool:
        return any(
            not client.is_closed and not client.has_sent_all
            for client in self._clients
        )

    def _step(self) -> None:
        for key, events in self._selector.select(SELECT_TIMEOUT_S):
            client = key.data
            if events & selectors.EVENT_READ and self._reads:
                client.receive()
            if events & selectors.EVENT_WRITE and not client.is_closed:
                client.send()
            if client.is_closed or client.has_sent_all:
                self._selector.unregister(client.sock)


def head(
    method: bytes, path: bytes, *lines: bytes, is_complete: bool = True
) -> bytes:
    """Returns the head of a request.

    Args:
        method: HTTP method.
        path: path of the request.
        lines: headers besides Host.
        is_complete: whether it ends with an empty line.
    """
    first = method + b" " + path + b" HTTP/1.1"
    end = CRLF + CRLF if is_complete else CRLF
    return CRLF.join((first, b"Host: crowd", *lines)) + end


def content_length(count: int) -> bytes:
    """Returns the header that declares the length of a body."""
    return b"Content-Length: %d" % count


def chunk(data: bytes) -> bytes:
    """Returns a part of a chunked body."""
    return b"%x" % len(data) + CRLF + data + CRLF


def split(data: bytes, size: int) -> Iterator[bytes]:
    """Returns the parts of some data, each of at most `size` bytes."""
    return (data[n : n + size] for n in range(0, len(data), size))


def repeat(part: bytes, total: int) -> Iterable[bytes]:
    """Returns a part as often as it takes to send `total` bytes."""
    return itertools.repeat(part, -(-total // len(part)))
