"""The declarative configuration: its model, file parser and deltas."""

from clayfield.config.delta import delta_version, diff, patch
from clayfield.config.diagnostics import Diagnostic, InvalidConfigError
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
    decode_config,
    encode_config,
)
from clayfield.config.parse import parse

__all__ = [
    "EMPTY",
    "InvalidConfigError",
    "Configuration",
    "Diagnostic",
    "Hall",
    "Job",
    "Limits",
    "Member",
    "Operator",
    "PriorityClass",
    "Service",
    "diff",
    "decode_config",
    "parse",
    "patch",
    "encode_config",
    "delta_version",
]
