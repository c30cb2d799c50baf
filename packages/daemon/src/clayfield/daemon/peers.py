"""Message streams between boxes, over TCP with optional TLS.

A box opens one stream to each other box and sends its messages on it; it
receives messages on the streams that the others open. A stream starts with a
greeting and then carries length-prefixed frames of messages.

Delivery is at most once: a message that cannot be sent is dropped, and every
protocol above repeats requests that get no reply. The receiver acknowledges
at intervals with an empty frame, so that the sender detects a broken network
path and reconnects.
"""

from collections.abc import Callable

from twisted.internet import error, interfaces, protocol, task
from twisted.internet.endpoints import TCP4ClientEndpoint, wrapClientTLS
from twisted.protocols.basic import Int32StringReceiver
from twisted.python import failure

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.base.events import Event, emit
from clayfield.base.settings import parse_address
from clayfield.box import Identity
from clayfield.daemon.peertls import PeerFiles, get_peer_name
from clayfield.state.membership import node_name
from clayfield.wire import (
    MAX_FRAME_BYTES,
    Greeting,
    check_greeting,
    decode,
    decode_greeting,
    encode,
    encode_greeting,
)
from clayfield.wire.messages import Message

MAX_QUEUED_MESSAGES = 20_000
MAX_FRAME_MESSAGES = 2000
CONNECT_TIMEOUT_S = 2.0
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
ACK_INTERVAL_S = 0.5
ACK_TIMEOUT_S = 2.5
ACK = b""

OnMessages = Callable[[str, list[Message]], None]


class _Sender(Int32StringReceiver):
    """Protocol of the sending side of a stream."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, link: "Link"):
        self._link = link

    def connectionMade(self) -> None:  # noqa: N802 - twisted's name
        """Sends the greeting and reports the open stream to the link.

        A connection of this box to itself is aborted: the system may take the
        port of a peer that is down as the local port, and the peer could not
        listen there again.
        """
        if self.transport.getHost() == self.transport.getPeer():
            self._link.on_self_connected()
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.sendString(encode_greeting(self._link.greeting))
        self._link.on_open(self)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Reports an acknowledgement of the peer to the link."""
        self._link.on_ack()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Reports the closed stream to the link."""
        self._link.on_closed(reason)


class Link:
    """The outgoing stream to one peer, reopened whenever it breaks.

    Attributes:
        greeting: first frame of the stream.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        peer: str,
        address_text: str,
        greeting: Greeting,
        tls_files: PeerFiles | None,
    ):
        self.greeting = greeting
        self._reactor = reactor
        self._peer = peer
        self._address = address_text
        host, port = parse_address(address_text)
        endpoint = TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        if tls_files:
            endpoint = wrapClientTLS(tls_files.for_client(peer), endpoint)
        self._endpoint = endpoint
        self._queue: list[Message] = []
        self._sender: _Sender | None = None
        self._is_flush_due = False
        self._is_stopped = False
        self._acked_s = 0.0
        self._retry_delay_s = MIN_RETRY_DELAY_S

    def start(self) -> None:
        """Starts to connect to the peer, without waiting for the result."""
        factory = protocol.Factory.forProtocol(lambda: _Sender(self))
        connected = self._endpoint.connect(factory)
        connected.addErrback(self._on_connect_failed)

    def stop(self) -> None:
        """Sends the queued messages and closes the stream."""
        self._is_stopped = True
        if self._sender:
            self._flush()
            self._sender.transport.loseConnection()

    def send(self, message: Message) -> None:
        """Queues a message for the next frame.

        Messages queued in one turn of the reactor share a frame. The message
        is dropped if the stream is down or the queue is full.
        """
        if self._sender is None or len(self._queue) >= MAX_QUEUED_MESSAGES:
            return
        self._queue.append(message)
        if not self._is_flush_due:
            self._is_flush_due = True
            self._reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        while self._queue and self._sender:
            batch = self._queue[:MAX_FRAME_MESSAGES]
            del self._queue[:MAX_FRAME_MESSAGES]
            self._sender.sendString(encode(batch))

    def on_open(self, sender: _Sender) -> None:
        """Starts to use a new stream."""
        self._sender = sender
        self._acked_s = self._reactor.seconds()
        self._retry_delay_s = MIN_RETRY_DELAY_S
        emit(Event.PEER_CONNECTED, peer=self._peer)

    def on_self_connected(self) -> None:
        """Logs a connection that reached this box instead of the peer."""
        emit(Event.SELF_CONNECTED, address=self._address)

    def on_ack(self) -> None:
        """Records the time of an acknowledgement."""
        self._acked_s = self._reactor.seconds()

    def on_closed(self, reason: failure.Failure) -> None:
        """Drops the queued messages and schedules a new stream."""
        self._sender = None
        self._queue.clear()
        if not self._is_stopped:
            emit(
                Event.PEER_LOST,
                peer=self._peer,
                error=reason.getErrorMessage(),
            )
            self._schedule_reconnect()

    def _on_connect_failed(self, reason: failure.Failure) -> None:
        reason.trap(error.ConnectError, error.ConnectionClosed, OSError)
        if not self._is_stopped:
            self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        self._reactor.callLater(self._retry_delay_s, self._reconnect)
        self._retry_delay_s = min(self._retry_delay_s * 2, MAX_RETRY_DELAY_S)

    def _reconnect(self) -> None:
        if not self._is_stopped:
            self.start()

    def check_timeout(self) -> None:
        """Closes the stream if the last acknowledgement is too long ago."""
        since_ack_s = self._reactor.seconds() - self._acked_s
        if self._sender and since_ack_s > ACK_TIMEOUT_S:
            self._sender.transport.abortConnection()


class _Receiver(Int32StringReceiver):
    """Protocol of the receiving side of a stream."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, peers: "Peers"):
        self._peers = peers
        self._node = ""
        self._box = ""
        self._acked_s = 0.0

    def connectionMade(self) -> None:  # noqa: N802 - twisted's name
        """Disables Nagle's algorithm, which would delay acknowledgements."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes, and acknowledges them at intervals.

        A large frame may take longer to arrive than the sender waits for an
        acknowledgement, so a part of a frame counts.
        """
        super().dataReceived(data)
        now_s = self._peers.reactor.seconds()
        if self._node and now_s - self._acked_s >= ACK_INTERVAL_S:
            self._acked_s = now_s
            self.sendString(ACK)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handles a frame; an invalid one closes the stream."""
        try:
            if self._node:
                self._peers.on_messages(self._node, decode(string))
            else:
                self._on_greeting(string)
        except ClayfieldError as exc:
            emit(Event.FRAME_REFUSED, peer=self._box, error=str(exc))
            self.transport.abortConnection()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Reports the closed stream of a peer."""
        if self._node:
            self._peers.on_closed(self._node)

    def _on_greeting(self, string: bytes) -> None:
        """Checks the greeting and identifies the peer.

        Raises:
            ClayfieldError: of kind BAD_FRAME, when the peer is not accepted.
        """
        greeting = decode_greeting(string)
        self._box = greeting.box
        check_greeting(
            greeting, self._peers.cluster, self._peers.identity.halls
        )
        if greeting.box not in self._peers.identity.boxes:
            raise ClayfieldError(
                ErrorKind.BAD_FRAME,
                f"box {greeting.box!r} is not listed in --boxes.",
            )
        certified_name = get_peer_name(self.transport)
        if certified_name not in (None, greeting.box):
            raise ClayfieldError(
                ErrorKind.BAD_FRAME,
                f"the certificate names {certified_name!r},"
                f" not {greeting.box!r}.",
            )
        self._node = node_name(greeting.box, greeting.incarnation)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Closes a stream whose frame is too large."""
        emit(
            Event.FRAME_REFUSED,
            peer=self._box,
            error=f"frame of {length} bytes is too large",
        )
        self.transport.abortConnection()


class Peers:
    """All message streams of this box.

    Attributes:
        reactor: twisted's reactor.
        cluster: name of the cluster, the same on all its boxes.
        identity: this box and the others.
        on_messages: called with a node and the messages of a frame from it.
        on_closed: called with a node whose stream to this box closed.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        cluster: str,
        identity: Identity,
        on_messages: OnMessages,
        on_closed: Callable[[str], None],
        tls_files: PeerFiles | None,
    ):
        self.reactor = reactor
        self.cluster = cluster
        self.identity = identity
        self.on_messages = on_messages
        self.on_closed = on_closed
        self._tls_files = tls_files
        self._port: interfaces.IListeningPort | None = None
        greeting = Greeting(
            cluster,
            identity.box,
            identity.incarnation,
            identity.hall,
            halls=identity.halls,
        )
        self._links = {
            name: Link(reactor, name, peer.address, greeting, tls_files)
            for name, peer in identity.boxes.items()
            if name != identity.box
        }
        self._timeout_check = task.LoopingCall(self._check_timeouts)

    def start(self) -> None:
        """Opens the port for peers and connects to all of them.

        Raises:
            twisted.internet.error.CannotListenError: the port cannot be
                opened.
        """
        host, port = parse_address(
            self.identity.boxes[self.identity.box].address
        )
        factory = protocol.Factory.forProtocol(lambda: _Receiver(self))
        if self._tls_files:
            self._port = self.reactor.listenSSL(
                port, factory, self._tls_files.for_server(), interface=host
            )
        else:
            self._port = self.reactor.listenTCP(port, factory, interface=host)
        for link in self._links.values():
            link.start()
        self._timeout_check.start(ACK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Closes the outgoing streams and the port for peers."""
        if self._timeout_check.running:
            self._timeout_check.stop()
        for link in self._links.values():
            link.stop()
        if self._port:
            self._port.stopListening()

    def send(self, box: str, message: Message) -> None:
        """Sends a message to a box; drops it if the box is not connected."""
        link = self._links.get(box)
        if link:
            link.send(message)

    def _check_timeouts(self) -> None:
        for link in self._links.values():
            link.check_timeout()
