"""Tests of streams between nodes over slow and broken connections.

Connections are in memory and time is manual.
"""

import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python import failure

from clayfield.node.entry_process import EntryProcess
from clayfield.node.native import NativeCallers, NativeOperators, NativeWorkers
from clayfield.node.settings import NodeSettings
from clayfield.node.settings_source import SettingsSource
from clayfield.node.streams import PEER_TIMEOUT_S, StreamListener, Streams
from clayfield.pool import SendToNode
from clayfield.wire.cluster import (
    ConfigPush,
    Grant,
    NodeGreeting,
    SubmitJob,
    encode_batch,
    encode_node_greeting,
)
from clayfield.wire.jobs import Job

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
        self.in_message = []

    def on_connected(self, greeting):
        self.events.append("connected")

    def on_stream_lost(self, greeting):
        self.events.append("stream lost")

    def on_disconnected(self, node):
        self.events.append("disconnected")

    def on_data(self, node, is_in_message):
        self.in_message.append(is_in_message)

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


def _lose(stream):
    stream.connectionLost(failure.Failure(error.ConnectionLost()))


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
    # The bytes of the greeting come first, those of the last step at the end.
    assert node.listener.in_message[-1] is False
    assert all(node.listener.in_message[1:-1])


def test_connection_that_is_silent_is_aborted_after_the_peer_timeout():
    node = _Node()
    stream = node.accept()
    for _ in range(15):
        node.reactor.advance(STEP_S)
    assert stream.transport.is_aborted


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0), (1, 0, 2)])
def test_loss_of_a_stream_beside_an_open_one_is_reported(order):
    # What was sent on the lost one would be missing without notice.
    node = _Node()
    streams = [node.accept() for _ in order]
    for position in order:
        _lose(streams[position])
    assert node.listener.events == [
        "connected",
        "stream lost",
        "stream lost",
        "disconnected",
    ]


def test_job_sent_on_a_lost_stream_is_sent_again_on_an_open_one():
    cfg = NodeSettings("entry-1", "h", ("127.0.0.1", 1))
    process = EntryProcess(
        cfg,
        NativeCallers(),
        NativeOperators(),
        NativeWorkers(),
        SettingsSource(lambda: cfg),
    )
    process.on_connected(PEER)
    process.on_messages("127.0.0.1:3/0", [Grant(3, PEER.node, {}, 3)])
    job = Job("job", "queue", "service", "", (), 0, 3, 1.6, 60.0, 5000.0)
    process._entry.submit(job, 1)
    assert _submitted(process) == ["job"]
    process.on_stream_lost(PEER)
    assert _submitted(process) == ["job"]


def _submitted(process):
    """Returns the keys of the jobs that a process sends to the holder."""
    sent = [
        action.message
        for action in process._entry.take_actions()
        if isinstance(action, SendToNode)
    ]
    return [m.job.key for m in sent if isinstance(m, SubmitJob)]
