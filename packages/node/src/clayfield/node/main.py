"""The clayfield-node command: one entry or control node of a pool."""

import argparse
import sys

from clayfield.base import ClayfieldError, Kind
from clayfield.base.events import set_up_bounded
from clayfield.base.settings import (
    Setting,
    add_flags,
    address,
    read_settings,
    whole_number,
    yes_or_no,
)
from clayfield.node.own import OwnCallers, OwnOperators, OwnWorkers
from clayfield.node.process import NodeProcess
from clayfield.node.settings import NodeSettings, Place

EXIT_FAILED = 1
EXIT_USAGE = 2
ROLES = ("entry", "control")
MAX_MS = 3_600_000


def _places(text: str) -> tuple[Place, ...]:
    return tuple(address(part) for part in text.split(",") if part)


def _optional_place(text: str) -> Place | None:
    return address(text) if text else None


SETTINGS = (
    Setting("node", str, None, "this node's name"),
    Setting("hall", str, "hall", "where it stands"),
    Setting("cluster", str, "clayfield", "name that all nodes share"),
    Setting("peers", address, None, "IP:PORT where other nodes connect"),
    Setting("seeds", _places, None, "IP:PORT,... of control nodes to join by"),
    Setting("callers", _optional_place, "", "IP:PORT for callers; entries"),
    Setting("readiness", _optional_place, "", "IP:PORT for readiness; entries"),
    Setting("operators", _optional_place, "", "IP:PORT; control nodes"),
    Setting("advisor", _optional_place, "", "IP:PORT of the advisor; entries"),
    Setting("metrics", _optional_place, "", "IP:PORT for figures"),
    Setting("data_folder", str, "", "folder for state; control nodes"),
    Setting("first_start", yes_or_no, "no", "the whole cluster is new"),
    Setting("losses", whole_number(0, 3), "1", "control nodes to be borne"),
    Setting(
        "worker_heartbeat_ms",
        whole_number(10, MAX_MS),
        "1500",
        "between statements",
    ),
    Setting("lease_ms", whole_number(100, MAX_MS), "1000", "longest lease"),
    Setting("stop_ms", whole_number(1, MAX_MS), "50", "a stop's longest time"),
    Setting("grace_ms", whole_number(500, MAX_MS), "6000", "of a planned stop"),
    Setting(
        "keep_ended_ms",
        whole_number(1000, MAX_MS),
        "120000",
        "how long it is told how a kept job ended",
    ),
    Setting("log_level", str, "info", "debug, info, warning or error"),
)


def to_settings(values: dict[str, object]) -> NodeSettings:
    """Returns a node's settings from values by name."""
    cfg = NodeSettings(values["node"], values["hall"], values["peers"])
    for name in NodeSettings.__slots__:
        if name in values:
            setattr(cfg, name, values[name])
    cfg.is_first_start = values["first_start"]
    return cfg


def check_role(role: str, cfg: NodeSettings) -> None:
    """Checks that a role has the addresses that it serves.

    Raises:
        ClayfieldError: of kind BAD_SETTINGS, naming what is missing.
    """
    wanted = ("callers", "readiness")
    if role == "control":
        wanted = ("operators", "data_folder")
    missing = [name for name in wanted if not getattr(cfg, name)]
    if missing:
        flags = ", ".join("--" + name.replace("_", "-") for name in missing)
        raise ClayfieldError(Kind.BAD_SETTINGS, f"{role} needs {flags}.")


def main() -> None:
    """Reads the settings and runs the node until it is stopped."""
    parser = argparse.ArgumentParser(
        prog="clayfield-node",
        description="Runs one node of a pool of workers. SIGTERM stops it as"
        " planned; SIGHUP reads its settings again.",
        epilog="Exit codes: 0 stopped; 1 failed; 2 bad settings.",
    )
    parser.add_argument("role", choices=ROLES)
    add_flags(parser, SETTINGS)
    flags = parser.parse_args()

    def load() -> NodeSettings:
        return to_settings(read_settings(SETTINGS, flags))

    try:
        cfg = load()
        check_role(flags.role, cfg)
        set_up_bounded(cfg.log_level)
        process = _make_process(flags.role, cfg, load)
    except ClayfieldError as exc:
        print(f"clayfield-node: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    process.run()
    sys.exit(EXIT_FAILED if process.failure else 0)


def _make_process(role: str, cfg: NodeSettings, load: object) -> NodeProcess:
    if role == "control":
        from clayfield.node.control_process import ControlProcess

        return ControlProcess(cfg, OwnOperators(), load)
    from clayfield.node.entry_process import EntryProcess

    return EntryProcess(cfg, OwnCallers(), OwnOperators(), OwnWorkers(), load)


if __name__ == "__main__":
    main()
