"""Tests of which connections are closed when all are taken.

They guard against clients that only connect and keep others out.
"""

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from clayfield.node.descriptors import MAX_SIDE_CONNECTIONS, DescriptorShares
from clayfield.node.httpserver import HttpLimits, HttpServer

MAX_CONNECTIONS = 4
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class _Transport(StringTransport):
    is_aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802 - twisted's name
        pass

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True
        super().abortConnection()

    @property
    def is_closed(self):
        return self.is_aborted or self.disconnecting


class _Site:
    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.requests = []
        self.server = HttpServer(
            self.reactor,
            self.requests.append,
            HttpLimits,
            max_connections=MAX_CONNECTIONS,
        )

    def connect(self, data=b"", answers=False):
        """Returns the transport of a new connection, None if refused."""
        connection = self.server.buildProtocol(None)
        if connection is None:
            return None
        transport = _Transport()
        connection.makeConnection(transport)
        connection.dataReceived(data)
        if answers:
            self.requests.pop().respond(200)
        self.reactor.advance(1.0)
        return transport


@pytest.fixture
def site():
    return _Site()


def test_connection_without_a_request_is_closed_for_a_new_one(site):
    served = site.connect(REQUEST, answers=True)
    silent = site.connect()
    served_later = [site.connect(REQUEST, answers=True) for _ in range(2)]
    assert site.connect() is not None
    assert silent.is_closed
    assert not any(each.is_closed for each in (served, *served_later))


def test_of_idle_connections_the_one_idle_longest_is_closed(site):
    idle = [site.connect(REQUEST, answers=True) for _ in range(4)]
    assert site.connect() is not None
    assert [each.is_closed for each in idle] == [True, False, False, False]


def test_connection_whose_answer_is_not_read_is_aborted_for_a_new_one(site):
    # Closing it waited for the client, which kept the descriptor.
    idle = [site.connect(REQUEST, answers=True) for _ in range(4)]
    idle[0].producer.pauseProducing()
    assert site.connect() is not None
    assert [each.is_aborted for each in idle] == [True, False, False, False]


def test_slowest_unfinished_request_is_closed_if_none_is_idle(site):
    slow = site.connect(REQUEST[:-2])
    others = [site.connect(REQUEST) for _ in range(3)]
    assert site.connect() is not None
    assert slow.is_closed
    assert not any(each.is_closed for each in others)


def test_connections_with_requests_in_progress_are_kept(site):
    busy = [site.connect(REQUEST) for _ in range(4)]
    assert site.connect() is None
    assert not any(each.is_closed for each in busy)
    assert site.server.guard.refused == {"connections": 1}


@pytest.mark.parametrize("max_descriptors", [100, 200, 300])
def test_few_descriptors_still_leave_some_for_each_kind(max_descriptors):
    # The platform's settings file may name any number: all were refused.
    shares = DescriptorShares(max_descriptors)
    assert shares.callers >= 25
    assert shares.operators >= 25
    assert min(shares.calls, shares.idle_calls) >= 10


@pytest.mark.parametrize("max_descriptors", [512, 1000, 4096, 4100, 65_536])
def test_shares_fit_the_descriptors(max_descriptors):
    shares = DescriptorShares(max_descriptors)
    entry = shares.callers + shares.calls + shares.idle_calls
    side = 3 * MAX_SIDE_CONNECTIONS
    assert entry + side <= max_descriptors
    assert shares.operators + 2 * MAX_SIDE_CONNECTIONS <= max_descriptors
