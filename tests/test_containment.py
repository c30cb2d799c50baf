"""Tests that one message, request or action that fails stops no other.

They guard against an unexpected exception that leaves a caller without an
answer, or other nodes and workers without what was to be done after it.
"""

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from clayfield.base.events import Event
from clayfield.node.control_process import ControlProcess
from clayfield.node.entry_process import EntryProcess
from clayfield.node.httpserver import HttpLimits, HttpServer
from clayfield.node.native import NativeCallers, NativeOperators, NativeWorkers
from clayfield.node.settings import NodeSettings
from clayfield.node.streams import Streams
from clayfield.pool import ReplyToCaller, SendToNode
from clayfield.wire.cluster import (
    MAX_FRAME_BYTES,
    ConfigPush,
    ControlNodes,
    EntryStatus,
    Grant,
    JobEnded,
    NodeGreeting,
    WorkerLeft,
    decode_batch,
)
from clayfield.wire.jobs import Reason, Verdict

REQUEST = b"GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture
def events(monkeypatch):
    """Records the names of the events that the nodes log."""
    names = []

    def record(event, **fields):
        assert set(fields) == set(event.value.fields)
        names.append(event.name)

    for module in ("entry_process", "httpserver", "process", "streams"):
        monkeypatch.setattr(f"clayfield.node.{module}.emit", record)
    return names


@pytest.mark.parametrize("position", [0, 1, 2])
def test_message_that_cannot_be_encoded_is_dropped_alone(events, position):
    messages = [WorkerLeft("w-1"), WorkerLeft("w-2")]
    batch = list(messages)
    batch.insert(position, WorkerLeft("w-3", 10**20))
    stream = _stream(MemoryReactorClock())
    for message in batch:
        stream.send(message)
    stream._streams.reactor.advance(0)
    assert _messages(stream) == messages
    assert events == [Event.MESSAGE_DROPPED.name]


@pytest.mark.parametrize(
    ("sizes", "dropped"),
    [
        ([MAX_FRAME_BYTES // 2] * 5, 0),
        ([10, MAX_FRAME_BYTES + 1, 10], 1),
        ([MAX_FRAME_BYTES - 100] * 3, 0),
    ],
)
def test_messages_that_exceed_a_frame_together_are_sent_in_several(
    events, sizes, dropped
):
    # The receiver closed the connection at such a frame, again and again.
    pushes = [ConfigPush(n, b"x" * size) for n, size in enumerate(sizes)]
    stream = _stream(MemoryReactorClock())
    for push in pushes:
        stream.send(push)
    stream._streams.reactor.advance(0)
    sendable = [p for p in pushes if len(p.document) <= MAX_FRAME_BYTES]
    assert _messages(stream) == sendable
    assert events == [Event.MESSAGE_DROPPED.name] * dropped


def _messages(stream):
    """Returns the messages that a stream has sent after its greeting."""
    frames = _frames(stream.transport.value())
    assert all(len(frame) <= MAX_FRAME_BYTES for frame in frames)
    batches = [decode_batch(frame) for frame in frames[1:]]
    return [message for batch in batches for message in batch]


def _stream(reactor):
    streams = Streams(
        reactor, NodeGreeting("c", "127.0.0.1:1/1", "entry", "h"), None
    )
    streams.start()
    stream = reactor.tcpServers[0][1].buildProtocol(None)
    stream.makeConnection(_Transport())
    return stream


class _Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802 - twisted's name
        pass


def _frames(data):
    frames = []
    while data:
        length = int.from_bytes(data[:4], "big")
        frames.append(data[4 : 4 + length])
        data = data[4 + length :]
    return frames


@pytest.mark.parametrize(
    "paths", [[b"bad", b"good"], [b"good", b"bad"], [b"bad", b"bad", b"good"]]
)
def test_request_whose_handler_raises_gets_an_answer(events, paths):
    def handle(request):
        if request.path == "/bad":
            raise KeyError("unforeseen")
        request.respond(200)

    reactor = MemoryReactorClock()
    server = HttpServer(reactor, handle, HttpLimits)
    connection = server.buildProtocol(None)
    connection.makeConnection(_Transport())
    for path in paths:
        connection.dataReceived(REQUEST % path)
    for _ in paths:
        reactor.advance(0)
    statuses = connection.transport.value().split(b"HTTP/1.1 ")[1:]
    expected = [b"500" if path == b"bad" else b"200" for path in paths]
    assert [status[:3] for status in statuses] == expected
    # The same exception is logged once.
    assert events == [Event.INTERNAL.name]


def _entry_process():
    cfg = NodeSettings("entry-1", "h", ("127.0.0.1", 1))
    return EntryProcess(
        cfg, NativeCallers(), NativeOperators(), NativeWorkers(), lambda: cfg
    )


@pytest.mark.parametrize(
    ("unusable", "event"),
    [
        (ConfigPush(9, b"{"), Event.CONFIG_REJECTED),
        (ConfigPush(9, b'{"version": "x"}'), Event.CONFIG_REJECTED),
        (ControlNodes(("store-7",)), Event.INTERNAL),
    ],
)
def test_message_that_cannot_be_handled_stops_no_later_one(
    events, unusable, event
):
    process = _entry_process()
    process.on_messages(
        "127.0.0.1:2/0", [unusable, Grant(3, "127.0.0.1:3/1", {}, 3)]
    )
    assert process._entry.epoch == 3
    assert event.name in events


def _config_push(version):
    document = b'{"version":%d,"queues":[],"services":[]}' % version
    return ConfigPush(version, document)


@pytest.mark.parametrize(
    "document",
    [
        b"{",
        b'{"version": "x"}',
        b"\xff\xfe",
        b"[" * 100_000,
        b'{"version":9,"queues":[{"name":"q"}],"services":[]}',
        b'{"version":9,"queues":[],"services":[],"of_a_later_version":1}',
    ],
    ids=lambda document: repr(document)[:30],
)
def test_unreadable_configuration_is_logged_once_and_replaces_none(
    events, document
):
    process = _entry_process()
    process.on_messages("127.0.0.1:2/0", [_config_push(8)])
    for _ in range(10):
        process.on_messages("127.0.0.1:2/0", [ConfigPush(9, document)])
    assert process._entry.routes.version == 8
    expected = [
        Event.CONFIG_RECEIVED,
        Event.CONFIG_IN_FORCE,
        Event.CONFIG_RECEIVED,
        Event.CONFIG_REJECTED,
    ]
    assert events == [event.name for event in expected]
    process.on_messages("127.0.0.1:2/0", [_config_push(10)])
    assert process._entry.routes.version == 10


def test_action_that_fails_stops_no_later_one(events, monkeypatch):
    process = _entry_process()
    sent = []

    def send(node, message):
        if node == "bad":
            raise OverflowError("unforeseen")
        sent.append(node)

    monkeypatch.setattr(process._streams, "send", send)
    actions = [SendToNode(node, None) for node in ("bad", "a", "bad", "b")]
    monkeypatch.setattr(process._entry, "take_actions", lambda: actions)
    process.run_actions()
    assert sent == ["a", "b"]
    assert events == [Event.INTERNAL.name]


class _Request:
    """A caller's request that records the status of its response."""

    status = 0
    on_disconnected = None

    def respond(self, status, body=b"", headers=()):
        self.status = status


def test_caller_whose_reply_cannot_be_encoded_gets_an_error(
    events, monkeypatch
):
    process = _entry_process()
    request = _Request()
    number = process._add_pending(request, "job", "queue")

    def fail(ended):
        raise ValueError("unforeseen")

    monkeypatch.setattr(process._callers, "write_job_reply", fail)
    ended = JobEnded("job", Verdict.COMPLETED, Reason.NONE, 0.0)
    actions = [ReplyToCaller(number, ended)]
    monkeypatch.setattr(process._entry, "take_actions", lambda: actions)
    process.run_actions()
    assert request.status == 500


def test_control_node_handles_the_messages_after_one_that_fails(
    events, monkeypatch, tmp_path
):
    cfg = NodeSettings("control-1", "h", ("127.0.0.1", 1))
    cfg.data_folder = str(tmp_path)
    process = ControlProcess(cfg, NativeOperators(), lambda: cfg)
    handled = []

    def handle(node, message):
        if message.epoch < 0:
            raise ValueError("unforeseen")
        handled.append(message.epoch)

    monkeypatch.setattr(process._control, "on_message", handle)
    statuses = [EntryStatus(1, epoch, False) for epoch in (1, -1, 2)]
    process.on_messages("127.0.0.1:2/0", statuses)
    assert handled == [1, 2]
    assert events == [Event.INTERNAL.name]
