"""Tests of configurations whose streams end in between."""

import random

from clayfield.base import ManualClock
from clayfield.cluster import (
    ControlNode,
    Persist,
    SendConfig,
    VoterPolicy,
    make_initial_records,
)
from clayfield.pool import EntryNode, PoolTiming, SendToNode
from clayfield.state import replay
from clayfield.wire.cluster import NodeGreeting
from clayfield.wire.jobs import Limits, RoutingTable


def _make_control(clock):
    node = "10.0.0.1:1/0"
    return ControlNode(
        node,
        clock,
        random.Random(1),
        replay(list(make_initial_records((node,)))),
        VoterPolicy(1),
        500.0,
    )


def test_newest_version_is_sent_after_the_ends_of_a_stream_fail_in_turn():
    clock = ManualClock()
    control = _make_control(clock)
    entry = EntryNode("10.1.0.1:1/1", "h", clock, PoolTiming())
    control_greeting = NodeGreeting("test", control.node, "control", "h")
    entry_greeting = NodeGreeting("test", entry.node, "entry", "h")
    entry.on_connected(control_greeting)
    control.on_connected(entry_greeting)
    delivered = []

    def exchange():
        for _ in range(3):
            for action in control.take_actions():
                if isinstance(action, Persist):
                    control.on_persisted(action.last_index)
                if isinstance(action, SendConfig):
                    version = action.message.version
                    delivered.append(version)
                    entry.on_config_received(control.node, version)
                    entry.on_config(RoutingTable(version, (), (), Limits()))
            for action in entry.take_actions():
                if isinstance(action, SendToNode):
                    control.on_message(entry.node, action.message)

    def run(ticks):
        for _ in range(ticks):
            clock.advance(10)
            control.tick()
            entry.tick()
            exchange()

    run(200)
    assert control.write_config(1, 1, b"1")
    exchange()
    # A second stream stays open; the control node notices the loss first.
    control.on_stream_lost(entry.node)
    exchange()
    assert control.write_config(2, 2, b"2")
    exchange()
    entry.on_disconnected(control.node)
    entry.on_connected(control_greeting)
    exchange()
    assert control.write_config(3, 3, b"3")
    run(500)
    assert delivered == [1, 2, 3]
