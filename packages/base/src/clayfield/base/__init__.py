"""The clock, timers, errors, log events and settings used by every package."""

from clayfield.base.clock import Clock, ManualClock, MonotonicClock
from clayfield.base.errors import ClayfieldError, ErrorKind, Problem, Ran
from clayfield.base.timers import use_monotonic_timers

__all__ = [
    "ClayfieldError",
    "Clock",
    "ErrorKind",
    "ManualClock",
    "MonotonicClock",
    "Problem",
    "Ran",
    "use_monotonic_timers",
]
