"""Timers of the event loop that follow the monotonic clock.

By default, twisted's timers follow the time of day, and stand still or end
early when it is stepped.
"""

from typing import Protocol

from clayfield.base.clock import MS_PER_S, Clock


class TimedReactor(Protocol):
    """The part of a twisted reactor that determines when its timers end."""

    seconds: object

    def getDelayedCalls(self) -> list[object]:  # noqa: N802 - twisted's name
        """Returns the pending timers."""


def use_monotonic_timers(reactor: TimedReactor, clock: Clock) -> None:
    """Makes all timers of a reactor follow the monotonic time of a clock.

    Args:
        reactor: the reactor, before its first timer.
        clock: the clock to follow.

    Raises:
        RuntimeError: a timer is pending, which was set by another clock.
    """
    if reactor.getDelayedCalls():
        raise RuntimeError("cannot change the clock while timers are pending")
    reactor.seconds = lambda: clock.now_ms() / MS_PER_S
