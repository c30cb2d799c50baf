"""Bidirectional streams of message frames between nodes, over TCP.

A node connects to the addresses that it is given and reconnects after each
failure; on every stream both sides may send. Each side sends a keepalive
frame every `KEEPALIVE_INTERVAL_S`, and a stream on which nothing arrives for
`PEER_TIMEOUT_S` is aborted. A message that can't be sent is dropped: whoever
needs a reply sends the message again. One that can't be encoded is dropped
alone.
"""

import abc

from twisted.internet import error, interfaces, protocol, task
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.protocols.basic import Int32StringReceiver
from twisted.python import failure

from clayfield.base import ClayfieldError, ErrorKind, MonotonicClock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter
from clayfield.base.settings import parse_address as read_address
from clayfield.node.descriptors import MAX_SIDE_CONNECTIONS
from clayfield.node.listening import Listener
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
KEEPALIVE_INTERVAL_S = 0.2
PEER_TIMEOUT_S = 1.1
# Bounds of a stream whose peer has not sent its greeting: size and time. Their
# number is bounded by `MAX_SIDE_CONNECTIONS`.
MAX_GREETING_BYTES = 4096
GREETING_TIMEOUT_S = 3.0
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4
KEEPALIVE_FRAME = b""
# Least time between two log lines about dropped messages of one type to a peer.
LOG_INTERVAL_MS = 10_000.0


class StreamListener(abc.ABC):
    """Handles the events of the streams to other nodes."""

    @abc.abstractmethod
    def on_connected(self, greeting: NodeGreeting) -> None:
        """Handles the opening of the first stream to a node."""

    @abc.abstractmethod
    def on_disconnected(self, node: str) -> None:
        """Handles the loss of the last stream to a node."""

    @abc.abstractmethod
    def on_stream_lost(self, greeting: NodeGreeting) -> None:
        """Handles the loss of a stream to a node while another stays open.

        Messages sent on the lost one may not have arrived.
        """

    @abc.abstractmethod
    def on_data(self, node: str, is_in_message: bool) -> None:
        """Handles the arrival of bytes from a node.

        Args:
            node: the node.
            is_in_message: whether the rest of a message is still to arrive.
        """

    @abc.abstractmethod
    def on_messages(self, node: str, messages: list[Message]) -> None:
        """Handles messages from a node."""


class _Stream(Int32StringReceiver):
    """One connection, opened by this node or accepted from a peer.

    Attributes:
        address: IP:PORT that this node connected to, "" if it accepted.
        node: name of the peer, "" before its greeting has arrived.
        last_received_s: time of the last data from the peer, in s.
    """

    MAX_LENGTH = MAX_GREETING_BYTES

    def __init__(self, streams: "Streams", address: str = ""):
        self._streams = streams
        self.address = address
        self.node = ""
        self.last_received_s = 0.0
        self._opened_s = 0.0
        self._queue: list[Message] = []
        self._is_flush_due = False

    def connectionMade(self) -> None:  # noqa: N802 - twisted's name
        """Sends this node's greeting."""
        if self.transport.getHost() == self.transport.getPeer():
            self._abort_self_connection()
            return
        self.transport.setTcpNoDelay(True)
        self._opened_s = self._streams.reactor.seconds()
        self.last_received_s = self._opened_s
        self.sendString(encode_node_greeting(self._streams.greeting))
        self._streams.on_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes, which may end in the middle of a frame."""
        self.last_received_s = self._streams.reactor.seconds()
        super().dataReceived(data)
        if self.node:
            self._streams.listener.on_data(self.node, bool(self._unprocessed))

    def _abort_self_connection(self) -> None:
        """Frees the peer's port, which the system took as the local one."""
        emit(Event.SELF_CONNECTED, address=self.address)
        self.transport.abortConnection()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handles a frame; an invalid one aborts the connection."""
        if not string:
            return
        try:
            if self.node:
                messages = decode_batch(string)
                self._streams.listener.on_messages(self.node, messages)
            else:
                self._on_greeting(string)
        except ClayfieldError as exc:
            emit(Event.FRAME_REFUSED, peer=self.node, error=str(exc))
            self.transport.abortConnection()

    def _on_greeting(self, string: bytes) -> None:
        """Handles the first frame, which identifies the peer."""
        greeting = decode_node_greeting(string)
        if greeting.cluster != self._streams.greeting.cluster:
            raise ClayfieldError(
                ErrorKind.BAD_FRAME,
                f"peer is in another cluster, {greeting.cluster!r}.",
            )
        if greeting.node == self._streams.greeting.node:
            raise ClayfieldError(
                ErrorKind.BAD_FRAME, "the peer is this node itself."
            )
        self.node = greeting.node
        self.MAX_LENGTH = MAX_FRAME_BYTES
        self._streams.on_greeted(self, greeting)

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Handles the loss of the connection."""
        self._streams.on_lost(self, reason)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Aborts the connection on a frame over `MAX_LENGTH` bytes."""
        emit(
            Event.FRAME_REFUSED,
            peer=self.node,
            error=f"{length} bytes exceed the limit",
        )
        self.transport.abortConnection()

    def send(self, message: Message) -> None:
        """Queues a message; those of one loop iteration share a frame."""
        self._queue.append(message)
        if not self._is_flush_due:
            self._is_flush_due = True
            self._streams.reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        batch = self._queue
        self._queue = []
        if batch and self.transport.connected:
            for frame in self._encode(batch):
                self.sendString(frame)

    def _encode(self, batch: list[Message]) -> list[bytes]:
        """Returns the frames of a batch, without messages that can't be sent.

        A batch that can't be sent as one frame is halved until the message at
        fault is alone.
        """
        try:
            frame = encode_batch(batch)
            error = f"{len(frame)} bytes exceed the limit"
        except Exception as exc:
            frame = b""
            error = str(exc)
        if frame and len(frame) <= MAX_FRAME_BYTES:
            return [frame]
        if len(batch) > 1:
            middle = len(batch) // 2
            return self._encode(batch[:middle]) + self._encode(batch[middle:])
        self._streams.log_dropped(self.node, batch[0], error)
        return []

    @property
    def waiting_bytes(self) -> int:
        """Number of bytes that the system has not accepted for sending yet."""
        transport = self.transport
        buffered = len(transport.dataBuffer) - transport.offset
        return buffered + transport._tempDataLen

    def keep_alive(self) -> None:
        """Sends a keepalive frame, or aborts if the peer timed out."""
        now_s = self._streams.reactor.seconds()
        is_silent = now_s - self.last_received_s > PEER_TIMEOUT_S
        has_greeted = self.node or now_s - self._opened_s <= GREETING_TIMEOUT_S
        if is_silent or not has_greeted:
            self.transport.abortConnection()
        else:
            self.sendString(KEEPALIVE_FRAME)


class _Connector:
    """Keeps a connection to one address open."""

    def __init__(self, streams: "Streams", address: str):
        self.address = address
        self._streams = streams
        host, port = read_address(address)
        self._endpoint = TCP4ClientEndpoint(
            streams.reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        self._retry_delay_s = MIN_RETRY_DELAY_S

    def start(self) -> None:
        """Starts an attempt to connect."""
        if self._streams.is_stopped:
            return
        factory = protocol.Factory.forProtocol(
            lambda: _Stream(self._streams, self.address)
        )
        connecting = self._endpoint.connect(factory)
        connecting.addCallbacks(self._on_connected, self._on_connect_failed)

    def _on_connected(self, _: _Stream) -> None:
        self._retry_delay_s = MIN_RETRY_DELAY_S

    def _on_connect_failed(self, reason: failure.Failure) -> None:
        reason.trap(error.ConnectError, error.ConnectionClosed, OSError)
        self.retry()

    def retry(self) -> None:
        """Schedules a new attempt, with exponential backoff."""
        self._streams.reactor.callLater(self._retry_delay_s, self.start)
        self._retry_delay_s = min(self._retry_delay_s * 2, MAX_RETRY_DELAY_S)


class Streams:
    """All streams between this node and other nodes.

    Attributes:
        reactor: the twisted reactor.
        greeting: name, role, hall and cluster of this node.
        listener: handler of stream events.
        is_stopped: whether the streams are closed for good.
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
        self._connectors: dict[str, _Connector] = {}
        self._open_streams: set[_Stream] = set()
        # Streams that others have opened and not greeted on, oldest first.
        self._strangers: dict[_Stream, None] = {}
        self._by_node: dict[str, list[_Stream]] = {}
        self._greetings: dict[str, NodeGreeting] = {}
        self._dropped = RepeatFilter(MonotonicClock(), LOG_INTERVAL_MS)
        self._listener = Listener(
            reactor,
            protocol.Factory.forProtocol(lambda: _Stream(self)),
            self._on_listening,
        )
        self._keepalive_loop = task.LoopingCall(self._keep_alive)
        self._keepalive_loop.clock = reactor

    def start(self) -> None:
        """Listens at this node's address and starts the keepalive timer.

        No connection is opened before the address is this node's: a second
        process of the same control node must not vote beside the first.

        Raises:
            twisted.internet.error.CannotListenError: the address can't be
                used, though no other socket has it.
        """
        self._listener.start(read_address(box_of(self.greeting.node)))
        self._keepalive_loop.start(KEEPALIVE_INTERVAL_S, now=False)

    def _on_listening(self) -> None:
        for connector in self._connectors.values():
            connector.start()

    def stop(self) -> None:
        """Closes all streams and stops listening."""
        self.is_stopped = True
        if self._keepalive_loop.running:
            self._keepalive_loop.stop()
        for stream in list(self._open_streams):
            stream.transport.loseConnection()
        self._listener.stop()

    def connect(self, address: str) -> None:
        """Opens a stream to an address and reopens it whenever it closes."""
        if address in self._connectors or address == box_of(self.greeting.node):
            return
        connector = self._connectors[address] = _Connector(self, address)
        if self._listener.is_listening:
            connector.start()

    def send(self, node: str, message: Message) -> bool:
        """Sends a message to a node.

        Returns:
            Whether a stream to the node was open.
        """
        streams = self._by_node.get(node)
        if not streams:
            return False
        streams[-1].send(message)
        return True

    def broadcast(self, role: str, message: Message) -> None:
        """Sends a message to every connected node of a role."""
        for node, streams in self._by_node.items():
            if self._greetings[node].role == role:
                streams[-1].send(message)

    def waiting_bytes(self, node: str | None = None) -> int:
        """Returns how many bytes wait to be sent.

        Args:
            node: a connected node; None for all streams.
        """
        streams = self._open_streams
        if node is not None:
            streams = self._by_node.get(node, [])
        return sum(stream.waiting_bytes for stream in streams)

    def _keep_alive(self) -> None:
        for stream in list(self._open_streams):
            stream.keep_alive()

    # Callbacks of `_Stream`.

    def log_dropped(self, node: str, message: Message, error: str) -> None:
        """Logs a message to a node that can't be sent, unless done lately."""
        message_type = type(message).__name__
        if self._dropped.is_due(f"{message_type} {node}"):
            emit(
                Event.MESSAGE_DROPPED,
                peer=node,
                message_type=message_type,
                error=error,
            )

    def on_connected(self, stream: _Stream) -> None:
        """Registers a connection whose peer is not identified yet.

        Of too many that others have opened the oldest is aborted: a node sends
        its greeting at once.
        """
        self._open_streams.add(stream)
        if stream.address:
            return
        self._strangers[stream] = None
        if len(self._strangers) > MAX_SIDE_CONNECTIONS:
            oldest = next(iter(self._strangers))
            del self._strangers[oldest]
            oldest.transport.abortConnection()

    def on_greeted(self, stream: _Stream, greeting: NodeGreeting) -> None:
        """Registers a connection under the node that greeted on it."""
        self._strangers.pop(stream, None)
        streams = self._by_node.setdefault(greeting.node, [])
        streams.append(stream)
        self._greetings[greeting.node] = greeting
        if len(streams) == 1:
            emit(Event.PEER_CONNECTED, peer=greeting.node)
            self.listener.on_connected(greeting)

    def on_lost(self, stream: _Stream, reason: failure.Failure) -> None:
        """Removes a connection and schedules a reconnect."""
        self._open_streams.discard(stream)
        self._strangers.pop(stream, None)
        connector = self._connectors.get(stream.address)
        if connector and not self.is_stopped:
            connector.retry()
        streams = self._by_node.get(stream.node, [])
        if stream not in streams:
            return
        streams.remove(stream)
        if streams:
            self.listener.on_stream_lost(self._greetings[stream.node])
        else:
            del self._by_node[stream.node]
            del self._greetings[stream.node]
            emit(
                Event.PEER_LOST,
                peer=stream.node,
                error=reason.getErrorMessage(),
            )
            self.listener.on_disconnected(stream.node)
