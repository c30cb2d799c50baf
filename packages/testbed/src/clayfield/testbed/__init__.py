"""Fakes at a box's interfaces: time, network, disk, workers and callers.

For tests and benchmarks; nothing of the product imports it.
"""

from clayfield.testbed.events import EventQueue
from clayfield.testbed.ledger import Ledger, ViolationError
from clayfield.testbed.network import Faults, Network
from clayfield.testbed.site import Site, SiteShape
from clayfield.testbed.workers import FakeWorker

__all__ = [
    "EventQueue",
    "FakeWorker",
    "Faults",
    "Ledger",
    "Network",
    "Site",
    "SiteShape",
    "ViolationError",
]
