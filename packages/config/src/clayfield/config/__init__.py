"""The declarative configuration: its model, file parser and deltas."""

from clayfield.config.delta import diff, patch, version_of
from clayfield.config.faults import BadConfigError, Fault
from clayfield.config.model import (
    EMPTY,
    Configuration,
    Hall,
    Job,
    Limits,
    Member,
    Operator,
    PriorityClass,
    Service,
    from_bytes,
    to_bytes,
)
from clayfield.config.parse import parse

__all__ = [
    "EMPTY",
    "BadConfigError",
    "Configuration",
    "Fault",
    "Hall",
    "Job",
    "Limits",
    "Member",
    "Operator",
    "PriorityClass",
    "Service",
    "diff",
    "from_bytes",
    "parse",
    "patch",
    "to_bytes",
    "version_of",
]
