"""Tests of timers while the time of day is stepped."""

import pathlib
import re
import time

import pytest
from twisted.internet import task
from twisted.internet.epollreactor import EPollReactor

from clayfield.base import ManualClock, use_monotonic_timers

ROOT = pathlib.Path(__file__).parent.parent


def test_timers_follow_the_given_clock_when_the_time_of_day_goes_back(
    monkeypatch,
):
    clock = ManualClock(5000.0)
    reactor = EPollReactor()
    use_monotonic_timers(reactor, clock)
    calls = []
    reactor.callLater(1.0, calls.append, "call")
    loop = task.LoopingCall(lambda: calls.append("loop"))
    loop.clock = reactor
    loop.start(0.5, now=False)
    monkeypatch.setattr(time, "time", lambda: -10.0)
    clock.advance(500.0)
    reactor.runUntilCurrent()
    assert (calls, reactor.timeout()) == (["loop"], 0.5)
    clock.advance(500.0)
    reactor.runUntilCurrent()
    assert sorted(calls) == ["call", "loop", "loop"]


def test_clock_is_not_changed_while_a_timer_is_pending():
    reactor = EPollReactor()
    reactor.callLater(1.0, lambda: None)
    with pytest.raises(RuntimeError, match="pending"):
        use_monotonic_timers(reactor, ManualClock())


def test_every_program_runs_its_event_loop_on_the_monotonic_clock():
    starts = re.compile(r"\breactor\.run\(|\btask\.react\(")
    sources = {
        path: path.read_text()
        for folder in ("packages", "platform")
        for path in (ROOT / folder).rglob("*.py")
    }
    programs = {path for path, text in sources.items() if starts.search(text)}
    missing = {
        path
        for path in programs
        if "use_monotonic_timers(reactor" not in sources[path]
    }
    assert len(programs) > 4
    assert not missing
