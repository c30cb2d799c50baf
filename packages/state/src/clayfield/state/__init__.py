"""Replicated state: Raft consensus, claims and the configuration log."""

from clayfield.state._members import encode_members
from clayfield.state.claims import (
    Advance,
    ClaimTable,
    Open,
    OwnerLost,
    encode_commands,
)
from clayfield.state.configlog import ApplyResult, ConfigLog
from clayfield.state.consensus import Consensus, Ready, Role, Timing
from clayfield.state.homes import hall_replicas, home_hall, owned_key
from clayfield.state.log import Log, Replayed, replay
from clayfield.state.records import (
    ANY_RECORD,
    Append,
    Born,
    HardState,
    Record,
    Snapshot,
)

__all__ = [
    "ANY_RECORD",
    "Advance",
    "Append",
    "Born",
    "ApplyResult",
    "ClaimTable",
    "ConfigLog",
    "Consensus",
    "HardState",
    "Log",
    "Open",
    "OwnerLost",
    "Ready",
    "Record",
    "Replayed",
    "Role",
    "Snapshot",
    "Timing",
    "encode_commands",
    "encode_members",
    "hall_replicas",
    "home_hall",
    "owned_key",
    "replay",
]
