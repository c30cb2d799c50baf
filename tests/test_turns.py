"""Tests of the time that the event loop spends on what clients send.

They guard against a loop that stands still while it reads from many clients,
and against ordinary requests that wait behind costly ones.
"""

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from clayfield.base.turns import PERIOD_MS, READING_MS, Reader, ReadScheduler
from clayfield.node.guard import ClientGuard
from clayfield.node.httpserver import HttpLimits, HttpServer

PIECE_MS = 2.0
PERIOD_S = PERIOD_MS / 1000.0
CHUNKS = b"1\r\nx\r\n" * 2000
HEAVY = b"PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS
ORDINARY = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class _Reader(Reader):
    """A reader each of whose pieces takes `PIECE_MS` on the reactor's clock."""

    def __init__(self, reactor, name, pieces, done, read=0):
        self.name = name
        self._reactor = reactor
        self._left = pieces
        self._read = read
        self._done = done

    @property
    def request_bytes(self):
        return self._read

    def read_some(self):
        self._reactor.rightNow += PIECE_MS / 1000.0
        self._read += 1
        self._left -= 1
        if not self._left:
            self._done.append(self.name)
        return self._left > 0


@pytest.fixture
def reactor():
    return MemoryReactorClock()


def test_reading_ends_when_its_share_of_the_period_is_spent(reactor):
    scheduler = ReadScheduler(reactor)
    started_s = reactor.seconds()
    for number in range(20):
        scheduler.submit(_Reader(reactor, number, 100, []))
    spent_ms = (reactor.seconds() - started_s) * 1000.0
    assert spent_ms <= READING_MS + PIECE_MS
    assert scheduler.waiting == 20


def test_those_who_have_sent_least_are_read_first(reactor):
    done = []
    scheduler = ReadScheduler(reactor)
    for number in range(5):
        scheduler.submit(_Reader(reactor, f"large-{number}", 40, done, 1))
    scheduler.submit(_Reader(reactor, "small", 1, done))
    reactor.advance(PERIOD_S)
    assert done[0] == "small"
    for _ in range(40):
        reactor.advance(PERIOD_S)
    assert sorted(done) == [*[f"large-{n}" for n in range(5)], "small"]
    assert scheduler.waiting == 0


class _Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802 - twisted's name
        pass


def test_ordinary_request_is_answered_beside_bodies_in_tiny_chunks(reactor):
    # 600 such bodies kept the event loop from all else for over 15 s.
    def limits():
        # Each piece asks for the limits: reading it takes time.
        reactor.rightNow += PIECE_MS / 1000.0
        return HttpLimits()

    server = HttpServer(
        reactor,
        lambda request: request.respond(200),
        limits,
        ClientGuard(reactor, 300),
    )

    def connect():
        connection = server.buildProtocol(None)
        transport = _Transport()
        connection.makeConnection(transport)
        return connection, transport

    crowd = [connect()[0] for _ in range(100)]
    connection, transport = connect()
    started_s = reactor.seconds()
    for member in crowd:
        member.dataReceived(HEAVY)
    spent_ms = (reactor.seconds() - started_s) * 1000.0
    assert spent_ms <= 2 * READING_MS
    connection.dataReceived(ORDINARY)
    reactor.advance(PERIOD_S)
    reactor.advance(0)
    assert transport.value().startswith(b"HTTP/1.1 200")
