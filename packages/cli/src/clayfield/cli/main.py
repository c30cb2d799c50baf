"""The clayfield command: check, apply, show, status, submit, job and watch."""

import argparse
import sys

from twisted.internet import defer, error, reactor, task

from clayfield.base import (
    ClayfieldError,
    MonotonicClock,
    use_monotonic_timers,
)
from clayfield.base.settings import add_flags, read_settings
from clayfield.cli import commands, jobs
from clayfield.cli.client import Client
from clayfield.cli.commands import Context, ExitError
from clayfield.cli.settings import SETTINGS

EPILOG = """\
Exit codes:
  0  done
  1  refused: the file has errors, or a submission failed
  2  the command line or a setting is invalid
  3  no box could be reached, or none responded in time
  4  another file was accepted first; merge and apply again
  5  accepted, but not yet in force on every reachable box
"""

COMMANDS = {
    "check": ("check a configuration file without applying it", commands.check),
    "apply": (
        "apply a configuration file, all of it or nothing",
        commands.apply,
    ),
    "show": ("show the configuration in force", commands.show),
    "status": ("show the status of each box", commands.status),
    "submit": ("submit jobs from a file of JSON lines", commands.submit),
    "job": ("submit a job of steps, show its state or cancel it", jobs.job),
    "watch": ("show the version in force by box until stopped", commands.watch),
}
WITH_FILE = ("check", "apply", "submit")


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="clayfield",
        description="Operates a clayfield system and submits work to it.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    common = argparse.ArgumentParser(add_help=False)
    add_flags(common, SETTINGS)
    common.add_argument(
        "--output",
        choices=("text", "json"),
        default="text",
        help="format of the result [text]",
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name, (text, _) in COMMANDS.items():
        sub = subparsers.add_parser(name, help=text, parents=[common])
        if name in WITH_FILE:
            sub.add_argument(
                "file", help="the file to read, - for standard input"
            )
        if name == "job":
            jobs.add_arguments(sub)
        if name == "apply":
            sub.add_argument(
                "--wait",
                action="store_true",
                help="wait until the file is in force on every reachable box",
            )
    return parser


def main(arguments: list[str] | None = None) -> None:
    """Runs one command and exits with its code."""
    flags = make_parser().parse_args(arguments)
    try:
        values = read_settings(SETTINGS, flags, is_strict=False)
    except ClayfieldError as exc:
        print(f"clayfield: {exc}", file=sys.stderr)
        sys.exit(commands.EXIT_USAGE)
    use_monotonic_timers(reactor, MonotonicClock())
    task.react(_run, (flags, values), reactor)


def _run(
    reactor: object, flags: argparse.Namespace, values: dict
) -> defer.Deferred:
    return defer.ensureDeferred(_run_command(reactor, flags, values))


async def _run_command(
    reactor: object, flags: argparse.Namespace, values: dict
) -> None:
    """Runs the command of the flags and exits with its code."""
    ctx = Context(
        reactor,
        Client(reactor, values["token"], values["authority"]),
        values["box_urls"],
        values["timeout_s"],
        flags.output == "json",
    )
    _, run = COMMANDS[flags.command]
    try:
        code = await run(ctx, flags)
    except ExitError as exc:
        print(f"clayfield: {exc}", file=sys.stderr)
        code = exc.code
    except (error.ConnectError, defer.TimeoutError, OSError) as exc:
        print(f"clayfield: {exc}", file=sys.stderr)
        code = commands.EXIT_UNREACHABLE
    raise SystemExit(code)


if __name__ == "__main__":
    main()
