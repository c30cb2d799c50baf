"""Tests of the streams between boxes, in memory and on a manual clock."""

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.testing import MemoryReactorClock, StringTransport

from clayfield.box import Identity, PeerAddress
from clayfield.daemon.peers import ACK_TIMEOUT_S, Link, Peers
from clayfield.wire import Greeting, encode, encode_greeting
from clayfield.wire.messages import AppendRequest, GroupMessage, LogEntry

STEP_S = 0.1
HERE = IPv4Address("TCP", "127.0.0.1", 7400)
PEER = IPv4Address("TCP", "127.0.0.1", 7401)
GREETING = Greeting("c", "b", 1, "h", halls=("h",))


class _Transport(StringTransport):
    """An open connection that records whether it is aborted."""

    is_aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802 - twisted's name
        pass

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True


def _frame(data):
    return len(data).to_bytes(4, "big") + data


def _accept(reactor, received):
    """Returns a connection that box b has opened to box a."""
    boxes = {
        "a": PeerAddress("h", "127.0.0.1:7400", True),
        "b": PeerAddress("h", "127.0.0.1:7401", True),
    }
    peers = Peers(
        reactor,
        "c",
        Identity("a", 1, boxes),
        lambda node, messages: received.extend(messages),
        lambda node: None,
        None,
    )
    peers.start()
    receiver = reactor.tcpServers[0][1].buildProtocol(None)
    receiver.makeConnection(_Transport())
    receiver.dataReceived(_frame(encode_greeting(GREETING)))
    return receiver


@pytest.mark.parametrize("bytes_per_s", [100_000, 300_000])
def test_frame_that_takes_longer_than_the_ack_timeout_is_acknowledged(
    bytes_per_s,
):
    entry = LogEntry(1, 0, b"x" * 1_000_000)
    append = AppendRequest("g", 1, 0, 0, [entry], 0, 0.0)
    message = GroupMessage("b/1", "a/1", append)
    data = _frame(encode([message]))
    assert len(data) / bytes_per_s > ACK_TIMEOUT_S
    reactor = MemoryReactorClock()
    received = []
    receiver = _accept(reactor, received)
    receiver.transport.clear()
    silent_s = longest_silent_s = 0.0
    step_bytes = int(bytes_per_s * STEP_S)
    for start in range(0, len(data), step_bytes):
        reactor.advance(STEP_S)
        receiver.dataReceived(data[start : start + step_bytes])
        silent_s += STEP_S
        longest_silent_s = max(longest_silent_s, silent_s)
        if receiver.transport.value():
            receiver.transport.clear()
            silent_s = 0.0
    assert received == [message]
    assert longest_silent_s < ACK_TIMEOUT_S


@pytest.mark.parametrize(("local", "is_aborted"), [(HERE, False), (PEER, True)])
def test_connection_of_a_box_to_itself_does_not_count_as_its_peer(
    local, is_aborted
):
    reactor = MemoryReactorClock()
    link = Link(reactor, "b", "127.0.0.1:7401", GREETING, None)
    link.start()
    _, _, factory, _, _ = reactor.tcpClients[0]
    protocol = factory.buildProtocol(PEER)
    transport = _Transport(local, PEER)
    protocol.makeConnection(transport)
    assert transport.is_aborted == is_aborted
    assert bool(transport.value()) != is_aborted
