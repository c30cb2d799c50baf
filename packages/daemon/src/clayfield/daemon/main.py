"""The clayfieldd command: runs one box of the system."""

import argparse
import sys
import time

from clayfield.base import ClayfieldError
from clayfield.base.settings import add_flags, read_settings
from clayfield.daemon.settings import SETTINGS, DaemonSettings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_NOT_DRAINED = 3


def main() -> None:
    """Reads the settings, runs the box until it is stopped, and exits."""
    parser = argparse.ArgumentParser(
        prog="clayfieldd",
        description="Runs one clayfield box. SIGTERM starts a planned stop;"
        " SIGHUP reloads the TLS files.",
        epilog="Exit codes: 0 every submission ended before the stop; 1 failed;"
        " 2 invalid settings; 3 the planned stop ran out of time.",
    )
    add_flags(parser, SETTINGS)
    flags = parser.parse_args()
    try:
        cfg = DaemonSettings(read_settings(SETTINGS, flags))
    except ClayfieldError as exc:
        print(f"clayfieldd: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(_run(cfg))


def _run(cfg: DaemonSettings) -> int:
    """Runs the box and returns the exit code."""
    from clayfield.base import events
    from clayfield.daemon.process import Process

    events.configure_logging(cfg.log_level)
    incarnation = time.time_ns()
    try:
        process = Process(cfg, incarnation)
    except ClayfieldError as exc:
        print(f"clayfieldd: {exc}", file=sys.stderr)
        return EXIT_FAILED
    process.run()
    if process.failure:
        print(f"clayfieldd: {process.failure}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK if process.is_drained else EXIT_NOT_DRAINED


if __name__ == "__main__":
    main()
