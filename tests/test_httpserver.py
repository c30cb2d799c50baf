"""Tests of what the HTTP server takes for a whole request, and what not.

They guard against a request that is handled although a part of it is missing,
and a whole one that is not answered.
"""

import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python import failure

from clayfield.node.httpserver import HttpLimits, HttpServer

BODY = b'{"version":7}'


class _Transport(StringTransport):
    is_aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802 - twisted's name
        pass

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True
        super().abortConnection()

    def loseWriteConnection(self):  # noqa: N802
        # What the client sees: no answer comes after this one.
        self.disconnecting = True


class _Client:
    """A connection to a server that answers each request with its body."""

    def __init__(self, limits=HttpLimits, answers=True, header_names=()):
        self.reactor = MemoryReactorClock()
        self.requests = []
        self.headers = []
        self._unanswered = []
        self._answers = answers
        self.server = HttpServer(
            self.reactor, self._handle, limits, header_names=header_names
        )
        self._connection = self.server.buildProtocol(None)
        self._transport = _Transport()
        self._connection.makeConnection(self._transport)

    def _handle(self, request):
        self.requests.append((request.method, request.path, request.body))
        self.headers.append(request.headers)
        self._unanswered.append(request)
        if self._answers:
            self.answer_next()

    def answer_next(self):
        request = self._unanswered.pop(0)
        request.respond(200, request.body)

    def send(self, *parts):
        for part in parts:
            self._connection.dataReceived(part)
            self.reactor.advance(0)

    def wait(self, seconds, step_s=0.1):
        for _ in range(round(seconds / step_s)):
            self.reactor.advance(step_s)
            self.server.check_timeouts()

    def block(self):
        """Stands for a client that does not read what was sent to it."""
        self._transport.producer.pauseProducing()

    def unblock(self):
        self._transport.producer.resumeProducing()

    def end(self):
        reason = failure.Failure(error.ConnectionDone())
        self._connection.connectionLost(reason)

    @property
    def output(self):
        return self._transport.value()

    @property
    def statuses(self):
        return [int(part[:3]) for part in self.output.split(b"HTTP/1.1 ")[1:]]

    @property
    def is_closed(self):
        return self._transport.disconnecting

    @property
    def is_aborted(self):
        return self._transport.is_aborted

    @property
    def is_paused(self):
        return self._transport.producerState == "paused"


def _head(*lines, method=b"PUT"):
    all_lines = (method + b" /c HTTP/1.1", b"Host: h", *lines)
    return b"\r\n".join(all_lines) + b"\r\n\r\n"


def _length(count):
    return b"Content-Length: %d" % count


CHUNKED = b"Transfer-Encoding: chunked"
CHUNKS = b"6\r\n" + BODY[:6] + b"\r\n7\r\n" + BODY[6:] + b"\r\n"


@pytest.mark.parametrize(
    "data",
    [
        _head(_length(len(BODY))) + BODY[:-1],
        _head(_length(len(BODY) + 1)) + BODY,
        _head(_length(len(BODY)))[:-2],
        _head(CHUNKED) + CHUNKS,
        _head(CHUNKED) + CHUNKS + b"0\r\n",
        _head(CHUNKED) + CHUNKS[:-4],
    ],
)
@pytest.mark.parametrize("is_split", [False, True])
def test_request_that_is_cut_short_is_not_handled(data, is_split):
    client = _Client()
    parts = [data[n : n + 1] for n in range(len(data))] if is_split else [data]
    client.send(*parts)
    client.end()
    assert client.requests == []
    assert client.statuses == []


@pytest.mark.parametrize(
    "head",
    [
        _head(_length(len(BODY)), _length(len(BODY) - 1)),
        _head(_length(len(BODY)), _length(len(BODY))),
        _head(_length(len(BODY)), CHUNKED),
        _head(CHUNKED, _length(len(BODY))),
        _head(b"Content-Length: -1"),
        _head(b"Content-Length: 0x0d"),
        _head(b"Content-Length: 13, 13"),
        _head(b"Content-Length:"),
        _head(b"Transfer-Encoding: identity, chunked, x"),
        _head(b"Content-Length : 13"),
        _head(b"Host: h\x00"),
    ],
)
def test_request_of_uncertain_length_is_rejected(head):
    client = _Client()
    client.send(head + BODY)
    assert client.requests == []
    assert client.statuses == [400]
    assert client.is_closed


def test_rest_of_a_body_that_is_longer_than_its_length_is_no_request():
    client = _Client()
    client.send(_head(_length(len(BODY) - 1)) + BODY + b"\r\n")
    assert client.requests == [("PUT", "/c", BODY[:-1])]
    assert client.statuses == [200, 400]
    assert client.is_closed


@pytest.mark.parametrize("size", [1, 7, 10**6])
@pytest.mark.parametrize(
    "data",
    [
        _head(_length(len(BODY))) + BODY,
        _head(CHUNKED) + CHUNKS + b"0\r\n\r\n",
        _head(CHUNKED) + CHUNKS + b"0\r\nTrailer: x\r\n\r\n",
    ],
)
def test_whole_request_is_handled_in_any_parts(data, size):
    client = _Client()
    client.send(*(data[n : n + size] for n in range(0, len(data), size)))
    assert client.requests == [("PUT", "/c", BODY)]
    assert client.statuses == [200]
    assert not client.is_closed


def test_pipelined_requests_are_answered_in_order():
    client = _Client()
    bodies = [b"%d" % number for number in range(10)]
    client.send(b"".join(_head(_length(1)) + body for body in bodies))
    for _ in bodies:
        client.reactor.advance(0)
    assert [body for _, _, body in client.requests] == bodies
    answers = client.output.split(b"HTTP/1.1 ")[1:]
    assert [answer[-1:] for answer in answers] == bodies


@pytest.mark.parametrize("value", [b"100-continue", b"100-Continue"])
def test_client_that_waits_for_100_continue_is_not_left_without_answer(value):
    client = _Client()
    client.send(_head(_length(len(BODY)), b"Expect: " + value))
    assert client.output == b"HTTP/1.1 100 Continue\r\n\r\n"
    client.send(BODY)
    assert client.requests == [("PUT", "/c", BODY)]
    assert client.statuses == [100, 200]


@pytest.mark.parametrize(
    "data",
    [
        _head(_length(len(BODY)), b"Expect: 100-continue") + BODY,
        _head(_length(0), b"Expect: 100-continue"),
        _head(b"Expect: 100-continue"),
        _head(_length(len(BODY))) + BODY,
        _head(_length(len(BODY)), b"Expect: 100-continue").replace(
            b"HTTP/1.1", b"HTTP/1.0"
        )
        + BODY,
    ],
)
def test_client_that_does_not_wait_gets_one_answer(data):
    client = _Client()
    client.send(data)
    assert client.statuses == [200]


def test_100_continue_does_not_overtake_an_earlier_answer():
    client = _Client(answers=False)
    client.send(
        _head(_length(len(BODY))) + BODY,
        _head(_length(len(BODY)), b"Expect: 100-continue"),
    )
    assert client.statuses == []
    client.answer_next()
    assert client.statuses == [200, 100]
    client.send(BODY)
    assert len(client.requests) == 2


def test_body_over_the_limit_is_rejected_before_it_is_sent():
    client = _Client(lambda: HttpLimits(body_bytes=10))
    client.send(_head(_length(len(BODY)), b"Expect: 100-continue"))
    assert client.statuses == [413]
    assert client.is_closed


def test_large_body_that_comes_slowly_is_handled():
    client = _Client(lambda: HttpLimits(body_bytes=2**22))
    part = b"x" * 50_000
    client.send(_head(_length(20 * len(part))))
    for _ in range(20):
        client.wait(0.5)
        client.send(part)
    assert client.requests == [("PUT", "/c", part * 20)]
    assert client.statuses == [200]


@pytest.mark.parametrize(
    "data", [_head(b"X: " + b"x" * 200), _head(_length(200)) + b"x" * 200]
)
def test_request_that_trickles_is_not_received_for_ever(data):
    client = _Client()
    for number in range(len(data)):
        if client.is_closed:
            break
        client.send(data[number : number + 1])
        client.wait(1.0)
    assert client.requests == []
    assert client.statuses == [408]


def test_answer_to_head_has_no_body():
    client = _Client()
    client.send(_head(_length(len(BODY)), method=b"HEAD") + BODY)
    head, _, body = client.output.partition(b"\r\n\r\n")
    assert b"Content-Length: 13" in head
    assert body == b""


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (_head(_length(20)) + b"x" * 20, 413),
        (_head(_length(1), _length(2)), 400),
        (_head(b"X: " + b"x" * 300), 431),
    ],
)
def test_rejection_is_no_answer_to_an_earlier_request(data, status):
    # A job that runs must not look refused to its caller.
    client = _Client(
        lambda: HttpLimits(header_bytes=200, body_bytes=10), answers=False
    )
    client.send(_head(_length(1)) + b"1", _head(_length(1)) + b"2", data)
    assert client.statuses == []
    client.answer_next()
    client.reactor.advance(0)
    assert client.statuses == [200]
    client.answer_next()
    assert client.statuses == [200, 200, status]
    assert client.is_closed


def test_many_requests_that_wait_are_all_answered_in_order():
    # The 65th request was rejected in place of the first one's answer.
    client = _Client(answers=False)
    bodies = [b"%03d" % number for number in range(300)]
    client.send(b"".join(_head(_length(3)) + body for body in bodies))
    assert client.statuses == []
    assert client.is_paused
    for _ in bodies:
        client.answer_next()
        client.reactor.advance(0)
    answers = client.output.split(b"HTTP/1.1 ")[1:]
    assert [answer[-3:] for answer in answers] == bodies
    assert not client.is_paused


def test_answer_to_a_rejected_request_outlasts_unread_data():
    # Closing a connection with unread data resets it and loses the answer.
    client = _Client(lambda: HttpLimits(body_bytes=10))
    client.send(_head(_length(10**6)) + b"x" * 20)
    assert client.statuses == [413]
    client.send(b"x" * 1000)
    assert not client.is_aborted
    client.wait(2)
    assert client.is_aborted


def test_trailer_does_not_replace_a_header():
    # The queue of a job is selected by its Host header.
    client = _Client(header_names=("host",))
    client.send(_head(CHUNKED) + CHUNKS + b"0\r\nHost: other\r\n\r\n")
    assert client.headers == [{"host": "h"}]


def test_requests_of_a_client_that_reads_no_answers_wait():
    # Answers that nobody read were kept without a bound.
    client = _Client()
    client.send(_head(_length(1)) + b"1")
    client.block()
    client.send(_head(_length(1)) + b"2", _head(_length(1)) + b"3")
    assert client.statuses == [200]
    client.unblock()
    client.reactor.advance(0)
    client.reactor.advance(0)
    assert client.statuses == [200, 200, 200]


def test_client_that_reads_no_answer_is_disconnected():
    client = _Client()
    client.send(_head(_length(1)) + b"1")
    client.block()
    client.wait(14)
    assert not client.is_aborted
    client.wait(3)
    assert client.is_aborted
