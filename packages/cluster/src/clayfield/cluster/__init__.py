"""Control nodes: replicated configuration, grants, kept jobs and discovery.

The package does no I/O: its classes receive events and a clock and return
actions.
"""

from clayfield.cluster.actions import (
    Action,
    Broadcast,
    Persist,
    Send,
    SendConfig,
    WriteFinished,
    WriteOutcome,
)
from clayfield.cluster.control import ControlNode, make_initial_records
from clayfield.cluster.control_state import ControlState, find_config_version
from clayfield.cluster.voters import VoterPolicy

__all__ = [
    "Action",
    "Broadcast",
    "ControlNode",
    "ControlState",
    "Persist",
    "Send",
    "SendConfig",
    "VoterPolicy",
    "WriteFinished",
    "WriteOutcome",
    "find_config_version",
    "make_initial_records",
]
