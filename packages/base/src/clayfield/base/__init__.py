"""The clock, errors, log events and settings used by every package."""

from clayfield.base.clock import Clock, ManualClock, MonotonicClock
from clayfield.base.errors import ClayfieldError, ErrorKind, Problem, Ran

__all__ = [
    "ClayfieldError",
    "Clock",
    "ErrorKind",
    "ManualClock",
    "MonotonicClock",
    "Problem",
    "Ran",
]
