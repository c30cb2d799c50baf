"""Replicated state: Raft consensus, claims and the configuration log."""

from clayfield.state._members import encode_members
from clayfield.state.claims import (
    AdvanceTime,
    ClaimTable,
    OpenTable,
    OwnerLost,
    encode_commands,
)
from clayfield.state.configlog import ApplyResult, ConfigLog
from clayfield.state.consensus import Consensus, Ready, Role, Timing
from clayfield.state.key_location import hall_replicas, home_hall, member_key
from clayfield.state.log import Log, RestoredState, replay
from clayfield.state.records import (
    ANY_RECORD,
    Append,
    HardState,
    LogCreated,
    Record,
    Snapshot,
)

__all__ = [
    "ANY_RECORD",
    "AdvanceTime",
    "Append",
    "LogCreated",
    "ApplyResult",
    "ClaimTable",
    "ConfigLog",
    "Consensus",
    "HardState",
    "Log",
    "OpenTable",
    "OwnerLost",
    "Ready",
    "Record",
    "RestoredState",
    "Role",
    "Snapshot",
    "Timing",
    "encode_commands",
    "encode_members",
    "hall_replicas",
    "home_hall",
    "member_key",
    "replay",
]
