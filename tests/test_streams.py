"""Tests of streams between nodes over slow and broken connections.

Connections are in memory and time is manual.
"""

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from clayfield.node.streams import PEER_TIMEOUT_S, StreamListener, Streams
from clayfield.wire.cluster import (
    ConfigPush,
    NodeGreeting,
    encode_batch,
    encode_node_greeting,
)

PEER = NodeGreeting("c", "127.0.0.1:2/1", "entry", "h")
STEP_S = 0.1


class _Transport(StringTransport):
    """An open connection that records what is sent and whether it is aborted.

    Attributes:
        is_aborted: whether this end has aborted the connection.
    """

    is_aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802 - twisted's name
        pass

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True


class _Listener(StreamListener):
    """Records the events of the streams."""

    def __init__(self):
        self.events = []
        self.messages = []

    def on_connected(self, greeting):
        self.events.append("connected")

    def on_disconnected(self, node):
        self.events.append("disconnected")

    def on_messages(self, node, messages):
        self.messages += messages


class _Node:
    """The streams of one node, to whose port a peer connects."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.listener = _Listener()
        greeting = NodeGreeting("c", "127.0.0.1:1/1", "control", "h")
        self.streams = Streams(self.reactor, greeting, self.listener)
        self.streams.start()

    def accept(self):
        """Returns a new connection on which the peer has greeted."""
        stream = self.reactor.tcpServers[0][1].buildProtocol(None)
        stream.makeConnection(_Transport())
        stream.dataReceived(_frame(encode_node_greeting(PEER)))
        stream.transport.clear()
        return stream

    def send(self, message):
        self.streams.send(PEER.node, message)
        self.reactor.advance(0)


def _frame(data):
    return len(data).to_bytes(4, "big") + data


@pytest.mark.parametrize("bytes_per_s", [100_000, 500_000, 800_000])
def test_frame_that_takes_longer_than_the_peer_timeout_arrives(bytes_per_s):
    # The receiver aborted the connection, and again after each reconnect.
    push = ConfigPush(1, b"x" * 1_000_000)
    data = _frame(encode_batch([push]))
    assert len(data) / bytes_per_s > PEER_TIMEOUT_S
    node = _Node()
    stream = node.accept()
    step_bytes = int(bytes_per_s * STEP_S)
    for start in range(0, len(data), step_bytes):
        node.reactor.advance(STEP_S)
        stream.dataReceived(data[start : start + step_bytes])
    assert not stream.transport.is_aborted
    assert node.listener.messages == [push]


def test_connection_that_is_silent_is_aborted_after_the_peer_timeout():
    node = _Node()
    stream = node.accept()
    for _ in range(15):
        node.reactor.advance(STEP_S)
    assert stream.transport.is_aborted
