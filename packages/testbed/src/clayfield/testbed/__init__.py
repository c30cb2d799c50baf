"""Simulations, fakes and load generators for tests and benchmarks.

`Site` simulates boxes on a fake clock, network and disk. Other modules
simulate entry nodes and control nodes, or start real processes on loopback.
The product does not import this package.
"""

from clayfield.testbed.events import EventQueue
from clayfield.testbed.invariants import InvariantChecker, ViolationError
from clayfield.testbed.network import Faults, Network
from clayfield.testbed.site import Site, SiteShape
from clayfield.testbed.workers import FakeWorker

__all__ = [
    "EventQueue",
    "FakeWorker",
    "Faults",
    "InvariantChecker",
    "Network",
    "Site",
    "SiteShape",
    "ViolationError",
]
