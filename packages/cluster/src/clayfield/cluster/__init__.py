"""Control nodes: replicated configuration, grants, kept jobs and discovery.

The package does no I/O: its classes receive events and a clock and return
actions.
"""

from clayfield.cluster.actions import (
    Persist,
    Publish,
    Send,
    Settled,
    WriteOutcome,
)
from clayfield.cluster.control import ControlNode, first_records
from clayfield.cluster.directory import ControlState
from clayfield.cluster.voters import VoterPolicy

__all__ = [
    "ControlNode",
    "ControlState",
    "Persist",
    "Publish",
    "Send",
    "Settled",
    "VoterPolicy",
    "WriteOutcome",
    "first_records",
]
