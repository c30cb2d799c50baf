"""Streams of frames between nodes, over TCP, in both directions.

A node dials the addresses it is told to and keeps dialling; whoever dials,
both sides may send. Each side speaks at least every `KEEPALIVE_S`; a stream
on which nothing was heard for `SILENCE_S` is aborted. What cannot be sent is
dropped: every decision that needs an answer asks again.
"""

import abc

from twisted.internet import error, interfaces, protocol, task
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.protocols.basic import Int32StringReceiver
from twisted.python import failure

from clayfield.base import ClayfieldError, Kind
from clayfield.base.events import Event, emit
from clayfield.base.settings import address as read_address
from clayfield.state.membership import box_of
from clayfield.wire.cluster import (
    MAX_FRAME_BYTES,
    NodeGreeting,
    decode_batch,
    decode_node_greeting,
    encode_batch,
    encode_node_greeting,
)
from clayfield.wire.messages import Message

CONNECT_TIMEOUT_S = 0.8
KEEPALIVE_S = 0.2
SILENCE_S = 1.1
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.4
MAX_UNSENT_BYTES = 32 * 1024 * 1024
KEEPALIVE = b""


class StreamListener(abc.ABC):
    """Who hears of streams and of what arrives on them."""

    @abc.abstractmethod
    def on_open(self, greeting: NodeGreeting) -> None:
        """Learns that a stream to a node is open."""

    @abc.abstractmethod
    def on_closed(self, node: str) -> None:
        """Learns that no stream to a node is open any more."""

    @abc.abstractmethod
    def on_messages(self, node: str, messages: list[Message]) -> None:
        """Takes messages of a node."""


class _Stream(Int32StringReceiver):
    """One connection, dialled or accepted."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, streams: "Streams", dialled: str = ""):
        self._streams = streams
        self.dialled = dialled
        self.node = ""
        self.heard_s = 0.0
        self._queue: list[Message] = []
        self._is_flush_due = False
        self._unsent_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802 - twisted's name
        """Greets the peer."""
        self.transport.setTcpNoDelay(True)
        self.heard_s = self._streams.reactor.seconds()
        self.sendString(encode_node_greeting(self._streams.greeting))
        self._streams.on_connected(self)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Takes a frame; one that is bad ends the stream."""
        self.heard_s = self._streams.reactor.seconds()
        if not string:
            return
        try:
            if self.node:
                messages = decode_batch(string)
                self._streams.listener.on_messages(self.node, messages)
            else:
                self._greet(string)
        except ClayfieldError as exc:
            emit(Event.FRAME_REFUSED, peer=self.node, error=str(exc))
            self.transport.abortConnection()

    def _greet(self, string: bytes) -> None:
        greeting = decode_node_greeting(string)
        if greeting.cluster != self._streams.greeting.cluster:
            raise ClayfieldError(
                Kind.BAD_FRAME, f"peer is of cluster {greeting.cluster!r}."
            )
        self.node = greeting.node
        self._streams.on_greeted(self, greeting)

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Learns that the connection is gone."""
        self._streams.on_lost(self, reason)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Refuses a frame that is too large."""
        emit(Event.FRAME_REFUSED, peer=self.node, error=f"{length} bytes")
        self.transport.abortConnection()

    def send(self, message: Message) -> None:
        """Queues a message for the frame of this turn of the loop."""
        self._queue.append(message)
        if not self._is_flush_due:
            self._is_flush_due = True
            self._streams.reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        batch = self._queue
        self._queue = []
        if batch and self.transport.connected:
            self.sendString(encode_batch(batch))

    def keep_alive(self) -> None:
        """Speaks, and ends a stream whose peer has been silent too long."""
        silence_s = self._streams.reactor.seconds() - self.heard_s
        if silence_s > SILENCE_S:
            self.transport.abortConnection()
        else:
            self.sendString(KEEPALIVE)


class _Dial:
    """Keeps one address connected."""

    def __init__(self, streams: "Streams", address: str):
        self.address = address
        self._streams = streams
        host, port = read_address(address)
        self._endpoint = TCP4ClientEndpoint(
            streams.reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        self._pause_s = FIRST_PAUSE_S

    def start(self) -> None:
        """Connects."""
        if self._streams.is_stopped:
            return
        factory = protocol.Factory.forProtocol(
            lambda: _Stream(self._streams, self.address)
        )
        connecting = self._endpoint.connect(factory)
        connecting.addCallbacks(self._on_connected, self._on_refused)

    def _on_connected(self, _: _Stream) -> None:
        self._pause_s = FIRST_PAUSE_S

    def _on_refused(self, reason: failure.Failure) -> None:
        reason.trap(error.ConnectError, error.ConnectionClosed, OSError)
        self.again()

    def again(self) -> None:
        """Connects after a pause that grows with each failure."""
        self._streams.reactor.callLater(self._pause_s, self.start)
        self._pause_s = min(self._pause_s * 2, LONGEST_PAUSE_S)


class Streams:
    """All streams of this node.

    Attributes:
        reactor: of twisted.
        greeting: who this node is.
        listener: hears of what happens.
        is_stopped: whether no more streams are to be opened.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        greeting: NodeGreeting,
        listener: StreamListener,
    ):
        self.reactor = reactor
        self.greeting = greeting
        self.listener = listener
        self.is_stopped = False
        self._dials: dict[str, _Dial] = {}
        self._connections: set[_Stream] = set()
        self._by_node: dict[str, list[_Stream]] = {}
        self._roles: dict[str, str] = {}
        self._port: interfaces.IListeningPort | None = None
        self._keeping = task.LoopingCall(self._keep_alive)

    def start(self) -> None:
        """Listens at this node's own address.

        Raises:
            twisted.internet.error.CannotListenError: the address is taken.
        """
        host, port = read_address(box_of(self.greeting.node))
        factory = protocol.Factory.forProtocol(lambda: _Stream(self))
        self._port = self.reactor.listenTCP(port, factory, interface=host)
        self._keeping.start(KEEPALIVE_S, now=False)

    def stop(self) -> None:
        """Ends all streams."""
        self.is_stopped = True
        if self._keeping.running:
            self._keeping.stop()
        for stream in list(self._connections):
            stream.transport.loseConnection()
        if self._port:
            self._port.stopListening()

    def dial(self, address: str) -> None:
        """Keeps an address connected from now on."""
        if address in self._dials or address == box_of(self.greeting.node):
            return
        dial = self._dials[address] = _Dial(self, address)
        dial.start()

    def send(self, node: str, message: Message) -> bool:
        """Sends a message to a node; False when no stream to it is open."""
        streams = self._by_node.get(node)
        if not streams:
            return False
        streams[-1].send(message)
        return True

    def publish(self, role: str, message: Message) -> None:
        """Sends a message to every connected node of a role."""
        for node, streams in self._by_node.items():
            if self._roles[node] == role:
                streams[-1].send(message)

    def _keep_alive(self) -> None:
        for stream in list(self._connections):
            stream.keep_alive()

    # Calls of the streams.

    def on_connected(self, stream: _Stream) -> None:
        """Learns that a connection is made."""
        self._connections.add(stream)

    def on_greeted(self, stream: _Stream, greeting: NodeGreeting) -> None:
        """Learns who is at the other end of a connection."""
        streams = self._by_node.setdefault(greeting.node, [])
        streams.append(stream)
        self._roles[greeting.node] = greeting.role
        if len(streams) == 1:
            emit(Event.PEER_CONNECTED, peer=greeting.node)
            self.listener.on_open(greeting)

    def on_lost(self, stream: _Stream, reason: failure.Failure) -> None:
        """Learns that a connection is gone."""
        self._connections.discard(stream)
        dial = self._dials.get(stream.dialled)
        if dial and not self.is_stopped:
            dial.again()
        streams = self._by_node.get(stream.node, [])
        if stream not in streams:
            return
        streams.remove(stream)
        if not streams:
            del self._by_node[stream.node]
            del self._roles[stream.node]
            emit(
                Event.PEER_LOST,
                peer=stream.node,
                error=reason.getErrorMessage(),
            )
            self.listener.on_closed(stream.node)
