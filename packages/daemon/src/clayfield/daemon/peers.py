"""Streams of frames between boxes, over TCP.

A box opens one stream to each peer it talks to and sends on it; it receives
on the streams that peers open. What cannot be sent is dropped: every decision
that needs an answer asks again. The receiving side acknowledges from time to
time, so that the sender of a stream that is cut in silence opens another.

docs/design/peers.md has the measurements that speak against grpc here.
"""

from collections.abc import Callable

from twisted.internet import error, interfaces, protocol, task
from twisted.internet.endpoints import TCP4ClientEndpoint, wrapClientTLS
from twisted.protocols.basic import Int32StringReceiver
from twisted.python import failure

from clayfield.base import ClayfieldError, Kind
from clayfield.base.events import Event, emit
from clayfield.base.settings import address
from clayfield.box import Identity
from clayfield.daemon.peertls import PeerFiles, name_in
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

MAX_QUEUED = 20_000
FRAME_MESSAGES = 2000
CONNECT_TIMEOUT_S = 2.0
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
ACK_S = 0.5
SILENCE_S = 2.5
ACK = b""

OnMessages = Callable[[str, list[Message]], None]


class _Sender(Int32StringReceiver):
    """The sending end of a stream."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, link: "Link"):
        self._link = link

    def connectionMade(self) -> None:  # noqa: N802 - twisted's name
        """Greets the peer."""
        self.transport.setTcpNoDelay(True)
        self.sendString(encode_greeting(self._link.greeting))
        self._link.on_open(self)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Takes an acknowledgement."""
        self._link.on_ack()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Learns that the stream broke."""
        self._link.on_closed(reason)


class Link:
    """The stream to one peer.

    Attributes:
        greeting: what it begins with.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        peer: str,
        place: str,
        greeting: Greeting,
        files: PeerFiles | None,
    ):
        self.greeting = greeting
        self._reactor = reactor
        self._peer = peer
        host, port = address(place)
        endpoint = TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        if files:
            endpoint = wrapClientTLS(files.for_client(peer), endpoint)
        self._endpoint = endpoint
        self._queue: list[Message] = []
        self._sender: _Sender | None = None
        self._is_flush_due = False
        self._is_stopped = False
        self._acked_s = 0.0
        self._pause_s = FIRST_PAUSE_S

    def start(self) -> None:
        """Begins to connect."""
        factory = protocol.Factory.forProtocol(lambda: _Sender(self))
        connecting = self._endpoint.connect(factory)
        connecting.addErrback(self._on_refused)

    def stop(self) -> None:
        """Sends what is queued and ends the stream."""
        self._is_stopped = True
        if self._sender:
            self._flush()
            self._sender.transport.loseConnection()

    def send(self, message: Message) -> None:
        """Queues a message for the frame of this turn of the loop."""
        if self._sender is None or len(self._queue) >= MAX_QUEUED:
            return
        self._queue.append(message)
        if not self._is_flush_due:
            self._is_flush_due = True
            self._reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        while self._queue and self._sender:
            batch = self._queue[:FRAME_MESSAGES]
            del self._queue[:FRAME_MESSAGES]
            self._sender.sendString(encode(batch))

    def on_open(self, sender: _Sender) -> None:
        """Learns that the stream is open."""
        self._sender = sender
        self._acked_s = self._reactor.seconds()
        self._pause_s = FIRST_PAUSE_S
        emit(Event.PEER_CONNECTED, peer=self._peer)

    def on_ack(self) -> None:
        """Learns that the peer still reads."""
        self._acked_s = self._reactor.seconds()

    def on_closed(self, reason: failure.Failure) -> None:
        """Learns that the stream broke, and opens another."""
        self._sender = None
        self._queue.clear()
        if not self._is_stopped:
            emit(
                Event.PEER_LOST,
                peer=self._peer,
                error=reason.getErrorMessage(),
            )
            self._try_again()

    def _on_refused(self, reason: failure.Failure) -> None:
        reason.trap(error.ConnectError, error.ConnectionClosed, OSError)
        if not self._is_stopped:
            self._try_again()

    def _try_again(self) -> None:
        self._reactor.callLater(self._pause_s, self._start_unless_stopped)
        self._pause_s = min(self._pause_s * 2, LONGEST_PAUSE_S)

    def _start_unless_stopped(self) -> None:
        if not self._is_stopped:
            self.start()

    def check(self) -> None:
        """Ends a stream whose peer has read nothing for too long."""
        silence_s = self._reactor.seconds() - self._acked_s
        if self._sender and silence_s > SILENCE_S:
            self._sender.transport.abortConnection()


class _Receiver(Int32StringReceiver):
    """The receiving end of a stream."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, peers: "Peers"):
        self._peers = peers
        self._node = ""
        self._box = ""
        self._acked_s = 0.0

    def connectionMade(self) -> None:  # noqa: N802 - twisted's name
        """Prepares for frames."""
        self.transport.setTcpNoDelay(True)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Takes a frame; one that is bad ends the stream."""
        try:
            if self._node:
                self._peers.on_messages(self._node, decode(string))
            else:
                self._greet(string)
        except ClayfieldError as exc:
            emit(Event.FRAME_REFUSED, peer=self._box, error=str(exc))
            self.transport.abortConnection()
            return
        now_s = self._peers.reactor.seconds()
        if now_s - self._acked_s >= ACK_S:
            self._acked_s = now_s
            self.sendString(ACK)

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Tells that the peer's stream ended."""
        if self._node:
            self._peers.on_closed(self._node)

    def _greet(self, string: bytes) -> None:
        greeting = decode_greeting(string)
        self._box = greeting.box
        check_greeting(
            greeting, self._peers.cluster, self._peers.identity.halls
        )
        if greeting.box not in self._peers.identity.boxes:
            raise ClayfieldError(
                Kind.BAD_FRAME, f"{greeting.box!r} is no box of --boxes."
            )
        certified = name_in(self.transport)
        if certified not in (None, greeting.box):
            raise ClayfieldError(
                Kind.BAD_FRAME,
                f"the certificate is {certified!r}'s, not {greeting.box!r}'s.",
            )
        self._node = node_name(greeting.box, greeting.incarnation)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Refuses a frame that is too large."""
        emit(Event.FRAME_REFUSED, peer=self._box, error=f"{length} bytes")
        self.transport.abortConnection()


class Peers:
    """All streams of this box.

    Attributes:
        reactor: of twisted.
        cluster: the name that all boxes share.
        identity: this box.
        on_messages: called with a node and its messages.
        on_closed: called with a node whose stream ended.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        cluster: str,
        identity: Identity,
        on_messages: OnMessages,
        on_closed: Callable[[str], None],
        files: PeerFiles | None,
    ):
        self.reactor = reactor
        self.cluster = cluster
        self.identity = identity
        self.on_messages = on_messages
        self.on_closed = on_closed
        self._files = files
        self._port: interfaces.IListeningPort | None = None
        greeting = Greeting(
            cluster,
            identity.box,
            identity.incarnation,
            identity.hall,
            halls=identity.halls,
        )
        self._links = {
            name: Link(reactor, name, peer.address, greeting, files)
            for name, peer in identity.boxes.items()
            if name != identity.box
        }
        self._checking = task.LoopingCall(self._check)

    def start(self) -> None:
        """Listens and connects.

        Raises:
            twisted.internet.error.CannotListenError: the address is taken.
        """
        host, port = address(self.identity.boxes[self.identity.box].address)
        factory = protocol.Factory.forProtocol(lambda: _Receiver(self))
        if self._files:
            self._port = self.reactor.listenSSL(
                port, factory, self._files.for_server(), interface=host
            )
        else:
            self._port = self.reactor.listenTCP(port, factory, interface=host)
        for link in self._links.values():
            link.start()
        self._checking.start(ACK_S, now=False)

    def stop(self) -> None:
        """Ends all streams."""
        if self._checking.running:
            self._checking.stop()
        for link in self._links.values():
            link.stop()
        if self._port:
            self._port.stopListening()

    def send(self, box: str, message: Message) -> None:
        """Sends a message, as far as the peer can be reached."""
        link = self._links.get(box)
        if link:
            link.send(message)

    def _check(self) -> None:
        for link in self._links.values():
            link.check()
