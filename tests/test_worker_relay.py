"""Tests of which workers an entry node passes on to the holder."""

import pytest

from clayfield.base import ManualClock
from clayfield.pool.worker_relay import CONFIRM_MS, WorkerRelay
from clayfield.wire.jobs import WorkerInfo, WorkerState

HOLDER = "a-0/1"
OTHER = "b-0/1"


def _info(name, state=WorkerState.READY, sequence=1):
    address = f"10.0.0.{name}:80"
    return WorkerInfo(name, "s", address, "a", state, sequence, 1000, 64, 0)


def _relay(known=()):
    clock = ManualClock()
    relay = WorkerRelay(clock)
    relay.set_holder(HOLDER, known)
    return relay, clock


def _take(relay, clock, wait_ms=CONFIRM_MS):
    clock.advance(wait_ms)
    return [info.name for info in relay.take_due()]


@pytest.mark.parametrize(
    ("reporter", "expected"),
    [(HOLDER, []), (OTHER, ["1"]), (None, ["1"])],
)
@pytest.mark.parametrize("is_report_first", [True, False])
def test_worker_that_the_holder_does_not_report_is_passed_on_once(
    reporter, expected, is_report_first
):
    relay, clock = _relay()
    if reporter and is_report_first:
        relay.on_report(reporter, _info("1"))
    relay.on_heartbeat(_info("1"))
    assert _take(relay, clock, CONFIRM_MS / 2) == []
    if reporter and not is_report_first:
        relay.on_report(reporter, _info("1"))
    assert _take(relay, clock) == expected
    relay.on_heartbeat(_info("1", sequence=2))
    assert _take(relay, clock) == []


def test_worker_that_has_changed_is_passed_on_again():
    relay, clock = _relay()
    relay.on_report(HOLDER, _info("1"))
    relay.on_heartbeat(_info("1", WorkerState.DRAINING, 2))
    assert _take(relay, clock) == ["1"]


def test_worker_that_has_left_is_not_passed_on():
    relay, clock = _relay()
    relay.on_heartbeat(_info("1"))
    relay.on_heartbeat(_info("2"))
    relay.on_removed(_info("1"))
    assert _take(relay, clock) == ["2"]


@pytest.mark.parametrize(
    ("reported", "expected"),
    [(("1", "2"), []), (("1",), ["2"]), ((), ["1", "2"])],
)
def test_new_holder_gets_only_what_it_has_not_reported_before_its_grant(
    reported, expected
):
    known = [_info("1"), _info("2")]
    relay, clock = _relay(known)
    for name in reported:
        relay.on_report(OTHER, _info(name))
    relay.set_holder(OTHER, known)
    assert _take(relay, clock) == expected


def test_holder_gets_all_again_after_its_connection_was_lost():
    known = [_info("1")]
    relay, clock = _relay(known)
    assert _take(relay, clock) == ["1"]
    relay.on_disconnected(OTHER)
    relay.set_holder(HOLDER, known)
    assert _take(relay, clock) == []
    relay.on_disconnected(HOLDER)
    assert _take(relay, clock) == []
    relay.set_holder(HOLDER, known)
    assert _take(relay, clock) == ["1"]
