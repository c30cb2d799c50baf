"""Shares the event loop between clients of the HTTP ports.

Parsing what a client sends may take far longer than its size suggests, such as
a body in chunks of one byte. Each connection is therefore parsed in small
pieces, within the time that all connections may take together.
"""

from twisted.internet import interfaces
from twisted.protocols import policies
from twisted.python import failure

from clayfield.base.turns import Reader, ReadScheduler

PIECE_BYTES = 1024
READ_BYTES = 16_384


class _FairProtocol(policies.ProtocolWrapper, Reader):
    """Passes received data to a connection's protocol piece by piece."""

    def __init__(self, factory: "FairFactory", protocol: interfaces.IProtocol):
        super().__init__(factory, protocol)
        self._unparsed = b""
        self._arrived_bytes = 0
        # Whether the protocol wants no data, as it handles a request.
        self._is_held = False
        self._is_lost = False

    @property
    def request_bytes(self) -> int:
        """Bytes that have arrived of the request that is being received."""
        return self._arrived_bytes

    def makeConnection(self, transport: object) -> None:  # noqa: N802
        """Connects the protocol, with smaller reads than usual."""
        transport.bufferSize = READ_BYTES
        super().makeConnection(transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses received data, now or when it is this connection's turn."""
        self._unparsed += data
        self._arrived_bytes += len(data)
        self.factory.turns.submit(self)
        if self._unparsed:
            self.transport.pauseProducing()

    def read_some(self) -> bool:
        """Parses a piece of the received data."""
        if not self._can_parse:
            return False
        piece = self._unparsed[:PIECE_BYTES]
        self._unparsed = self._unparsed[PIECE_BYTES:]
        self.wrappedProtocol.dataReceived(piece)
        if not self._unparsed and not self._is_held and not self._is_lost:
            self.transport.resumeProducing()
        return self._can_parse

    @property
    def _can_parse(self) -> bool:
        is_open = not self._is_held and not self._is_lost
        return bool(self._unparsed) and is_open

    def pauseProducing(self) -> None:  # noqa: N802
        """Handles that the protocol wants no data."""
        self._is_held = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Handles that the protocol wants data again."""
        self._is_held = False
        self._arrived_bytes = len(self._unparsed)
        if self._unparsed:
            self.factory.turns.submit(self)
        else:
            self.transport.resumeProducing()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Drops what is not parsed."""
        self._is_lost = True
        self._unparsed = b""
        super().connectionLost(reason)


class FairFactory(policies.WrappingFactory):
    """Wraps the factory of a port.

    Attributes:
        turns: the time that parsing takes, for all ports of the process.
    """

    noisy = False
    protocol = _FairProtocol

    def __init__(
        self, factory: interfaces.IProtocolFactory, turns: ReadScheduler
    ):
        super().__init__(factory)
        self.turns = turns
