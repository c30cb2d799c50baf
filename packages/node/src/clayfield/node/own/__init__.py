"""Clayfield's native protocols for callers, operators and workers."""

from clayfield.node.own.callers import OwnCallers
from clayfield.node.own.operators import OwnOperators
from clayfield.node.own.workers import OwnWorkers

__all__ = ["OwnCallers", "OwnOperators", "OwnWorkers"]
