"""Reads the settings of a node and runs it."""

import argparse
import sys

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.base.events import configure_bounded_logging
from clayfield.base.settings import (
    Setting,
    add_flags,
    int_in_range,
    parse_address,
    parse_yes_no,
    read_settings,
)
from clayfield.node.native import NativeCallers, NativeOperators, NativeWorkers
from clayfield.node.process import NodeProcess
from clayfield.node.settings import Address, NodeSettings
from clayfield.node.settings_source import SettingsSource
from clayfield.pool.timing import PoolTiming

EXIT_FAILED = 1
EXIT_USAGE = 2
ROLES = ("entry", "control")
MAX_MS = 3_600_000
# With less, the largest configuration would not fit beside other requests.
MIN_MEMORY_MB = 128
MAX_MEMORY_MB = 1_048_576
MIN_DESCRIPTORS = 512
MAX_DESCRIPTORS = 1_048_576


def _parse_addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part) for part in text.split(",") if part)


def _parse_optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None


SETTINGS = (
    Setting("node", str, None, "name of this node, for logs"),
    Setting("hall", str, "hall", "hall (zone) of this node"),
    Setting(
        "cluster",
        str,
        "clayfield",
        "name of the cluster, the same at all nodes",
    ),
    Setting(
        "peers",
        parse_address,
        None,
        "IP:PORT where this node listens for other nodes",
    ),
    Setting(
        "seeds",
        _parse_addresses,
        None,
        "IP:PORT,... of control nodes to connect to",
    ),
    Setting(
        "callers",
        _parse_optional_address,
        "",
        "IP:PORT for callers; entry nodes",
    ),
    Setting(
        "readiness",
        _parse_optional_address,
        "",
        "IP:PORT for readiness checks; entry nodes",
    ),
    Setting(
        "operators",
        _parse_optional_address,
        "",
        "IP:PORT for operators and workers; control nodes",
    ),
    Setting(
        "advisor",
        _parse_optional_address,
        "",
        "IP:PORT of the advisor; entry nodes",
    ),
    Setting("metrics", _parse_optional_address, "", "IP:PORT for metrics"),
    Setting("data_folder", str, "", "folder for stored state; control nodes"),
    Setting(
        "first_start",
        parse_yes_no,
        "no",
        "yes only if the whole cluster is new",
    ),
    Setting(
        "losses", int_in_range(0, 3), "1", "control nodes that may fail at once"
    ),
    Setting(
        "worker_heartbeat_ms",
        int_in_range(10, MAX_MS),
        "1500",
        "time between a worker's heartbeats",
    ),
    Setting(
        "lease_ms",
        int_in_range(100, MAX_MS),
        "1000",
        "maximum lease of a worker",
    ),
    Setting(
        "stop_ms", int_in_range(1, MAX_MS), "50", "maximum time to stop a run"
    ),
    Setting(
        "grace_ms",
        int_in_range(500, MAX_MS),
        "6000",
        "maximum time of a planned stop",
    ),
    Setting(
        "keep_ended_ms",
        int_in_range(1000, MAX_MS),
        "120000",
        "time for which the state of an ended kept job is available",
    ),
    Setting(
        "resubmit_ms",
        int_in_range(1, MAX_MS),
        "1300",
        "time that a caller who has lost its connection waits before it"
        " submits a job again",
    ),
    Setting(
        "memory_mb",
        int_in_range(MIN_MEMORY_MB, MAX_MEMORY_MB),
        "300",
        "memory that the process may use, in MB",
    ),
    Setting(
        "max_descriptors",
        int_in_range(MIN_DESCRIPTORS, MAX_DESCRIPTORS),
        "4096",
        "descriptors that the process may open",
    ),
    Setting(
        "log_level",
        str,
        "info",
        "lowest level to log: debug, info, warning or error",
    ),
)


def to_settings(values: dict[str, object]) -> NodeSettings:
    """Returns a node's settings from values by setting name."""
    cfg = NodeSettings(values["node"], values["hall"], values["peers"])
    for name in NodeSettings.__slots__:
        if name in values:
            setattr(cfg, name, values[name])
    cfg.is_first_start = values["first_start"]
    return cfg


def check_role(role: str, cfg: NodeSettings) -> None:
    """Checks that the settings which a role requires are given.

    Raises:
        ClayfieldError: of kind BAD_SETTINGS, naming the missing flags.
    """
    required = ("callers", "readiness")
    if role == "control":
        required = ("operators", "data_folder")
    missing = [name for name in required if not getattr(cfg, name)]
    if missing:
        flags = ", ".join("--" + name.replace("_", "-") for name in missing)
        raise ClayfieldError(
            ErrorKind.BAD_SETTINGS, f"{role} node: set {flags}."
        )


def check_resubmit_ms(timing: PoolTiming) -> None:
    """Checks that the runs of a lost entry node end before a resubmission.

    Raises:
        ClayfieldError: of kind BAD_SETTINGS, naming the shortest time.
    """
    if timing.resubmit_ms < timing.min_resubmit_ms:
        raise ClayfieldError(
            ErrorKind.BAD_SETTINGS,
            f"resubmit_ms is {timing.resubmit_ms:.0f}, but runs may end only"
            f" {timing.min_resubmit_ms:.0f} ms after their entry node is lost:"
            " raise --resubmit-ms or lower --stop-ms.",
        )


def main() -> None:
    """Reads the settings, runs the node until it ends, and exits."""
    parser = argparse.ArgumentParser(
        prog="clayfield-node",
        description="Runs one node of a pool of workers. SIGTERM starts a"
        " planned stop; SIGHUP reads the settings again.",
        epilog="Exit codes: 0 stopped; 1 failed; 2 bad settings.",
    )
    parser.add_argument("role", choices=ROLES)
    add_flags(parser, SETTINGS)
    flags = parser.parse_args()

    def load_settings() -> NodeSettings:
        return to_settings(read_settings(SETTINGS, flags))

    try:
        cfg = load_settings()
        check_role(flags.role, cfg)
        configure_bounded_logging(cfg.log_level)
        process = _make_process(flags.role, cfg, SettingsSource(load_settings))
    except ClayfieldError as exc:
        print(f"clayfield-node: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    process.run()
    sys.exit(EXIT_FAILED if process.failure else 0)


def _make_process(
    role: str, cfg: NodeSettings, settings: SettingsSource
) -> NodeProcess:
    if role == "control":
        from clayfield.node.control_process import ControlProcess

        return ControlProcess(cfg, NativeOperators(), settings)
    from clayfield.node.entry_process import EntryProcess, to_timing

    check_resubmit_ms(to_timing(cfg))
    return EntryProcess(
        cfg, NativeCallers(), NativeOperators(), NativeWorkers(), settings
    )
