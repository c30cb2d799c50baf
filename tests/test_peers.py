"""Tests of the streams between boxes, in memory and on a manual clock."""

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.testing import MemoryReactorClock, StringTransport

from clayfield.daemon.peers import Link
from clayfield.wire import Greeting

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
