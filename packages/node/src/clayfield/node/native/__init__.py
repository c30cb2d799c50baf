"""Clayfield's native protocols for callers, operators and workers."""

from clayfield.node.native.callers import NativeCallers
from clayfield.node.native.operators import NativeOperators
from clayfield.node.native.workers import NativeWorkers

__all__ = ["NativeCallers", "NativeOperators", "NativeWorkers"]
