"""Tests of the commands to workers: a failed one affects no other.

They guard against a command that can't be sent, or a reply that can't be read,
which leaves another worker without its command or a sender without a reply.
"""

import pytest
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from clayfield.base import ManualClock
from clayfield.node.native import NativeWorkers
from clayfield.node.workers import WorkerCommands
from clayfield.pool import (
    CommandResult,
    PollWorker,
    RequestAdvice,
    StartRun,
    StopRun,
    TaskId,
)

TASK = TaskId("job", 0, 0)
SOUND = "10.0.0.1:7000"


class _Entry:
    """Records the replies that an entry node gets."""

    def __init__(self):
        self.replies = []

    def on_start_reply(self, name, task_id, number, sent_ms, reply):
        self.replies.append(("start", name, reply.result))

    def on_stop_reply(self, name, task_id, number, sent_ms, reply):
        self.replies.append(("stop", name, reply.result))

    def on_poll_reply(self, name, poll_id, sent_ms, reply):
        self.replies.append(("poll", name, reply.result))

    def on_advice(self, request_id, advice):
        self.replies.append(("advice", request_id, advice.is_reply))


class _UnreadableReplies(NativeWorkers):
    """Raises for every reply, as for one of an unforeseen form."""

    def read_poll_reply(self, result):
        raise ValueError("unreadable")

    def read_command_reply(self, result):
        raise TypeError("unreadable")

    def read_advice(self, result):
        raise KeyError("unreadable")


def _commands(protocol=None, advisor=""):
    reactor = MemoryReactorClock()
    entry = _Entry()
    commands = WorkerCommands(
        reactor,
        ManualClock(),
        protocol or NativeWorkers(),
        entry,
        lambda: None,
        advisor,
    )
    return commands, entry, reactor


def _poll(worker, address):
    return PollWorker(worker, address, 0, 400, None, 4, 1)


def _start(worker, address, spec="text"):
    return StartRun(worker, address, TASK, 1, spec, 1000.0, 4)


@pytest.mark.parametrize(
    "address",
    ["store-7", "", ":", "10.0.0.9", "10.0.0.9:", "10.0.0.9:x", "h:70000"],
)
def test_worker_with_unusable_address_leaves_no_other_without_its_poll(address):
    # review/2: the first polls after a change of the holder were dropped.
    commands, entry, reactor = _commands()
    commands.poll(_poll("foreign", address))
    commands.poll(_poll("sound", SOUND))
    reactor.advance(0)
    assert entry.replies == [("poll", "foreign", CommandResult.UNREACHED)]
    assert [client[:2] for client in reactor.tcpClients] == [("10.0.0.1", 7000)]


@pytest.mark.parametrize(
    ("send", "expected"),
    [
        (
            lambda commands: commands.start(_start("w", "store-7")),
            ("start", "w", CommandResult.UNREACHED),
        ),
        (
            lambda commands: commands.start(_start("w", SOUND, "\ud800")),
            ("start", "w", CommandResult.BAD_ORDER),
        ),
        (
            lambda commands: commands.stop(StopRun("w", "store-7", TASK, 1, 4)),
            ("stop", "w", CommandResult.UNREACHED),
        ),
        (
            lambda commands: commands.request_advice(
                RequestAdvice(5, "job", 0, 0, ["\ud800"])
            ),
            ("advice", 5, False),
        ),
    ],
)
def test_command_that_cannot_be_sent_gets_one_failed_reply(send, expected):
    commands, entry, reactor = _commands(advisor=SOUND)
    send(commands)
    reactor.advance(0)
    assert entry.replies == [expected]
    assert commands.failed == 1


def test_reply_that_cannot_be_read_counts_as_lost():
    # A reply that raised left its poll open for good.
    commands, entry, reactor = _commands(_UnreadableReplies(), SOUND)
    commands.poll(_poll("w", SOUND))
    commands.start(_start("w", SOUND))
    commands.request_advice(RequestAdvice(5, "job", 0, 0, ["w"]))
    for _, _, factory, _, _ in list(reactor.tcpClients):
        factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    reactor.advance(0)
    assert sorted(entry.replies, key=str) == [
        ("advice", 5, False),
        ("poll", "w", CommandResult.LOST),
        ("start", "w", CommandResult.LOST),
    ]
    assert commands.failed == 3
