"""What every clayfield package shares: the clock, errors and log events."""

from clayfield.base.clock import Clock, ManualClock, MonotonicClock
from clayfield.base.errors import ClayfieldError, Kind, Problem, Ran

__all__ = [
    "ClayfieldError",
    "Clock",
    "Kind",
    "ManualClock",
    "MonotonicClock",
    "Problem",
    "Ran",
]
