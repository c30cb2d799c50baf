"""Settings from command-line flags and environment variables.

Each setting has a flag such as `--peer-tls-key` and an environment variable
such as `CLAYFIELD_PEER_TLS_KEY`; the flag takes precedence. All errors are
reported together.
"""

import argparse
import os
import typing
from collections.abc import Callable, Mapping, Sequence

from clayfield.base.errors import ClayfieldError, ErrorKind

PREFIX = "CLAYFIELD_"
# Settings that only the command-line client reads. The daemon accepts their
# variables, since both programs may run in the same shell.
COMMAND_LINE_NAMES = ("box_urls", "token", "authority", "timeout_s")


class Setting(typing.NamedTuple):
    """A setting.

    Attributes:
        name: name in lower case with underscores.
        parse: parses the text into the value; raises ValueError if invalid.
        default: text used when none is given; None if the setting is required.
        help: help text, a single line.
    """

    name: str
    parse: Callable[[str], object]
    default: str | None
    help: str

    @property
    def flag(self) -> str:
        """Name of the command-line flag, such as `--peer-tls-key`."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return PREFIX + self.name.upper()


def int_in_range(low: int, high: int) -> Callable[[str], int]:
    """Returns a parser of integers from `low` to `high`."""

    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f"must be from {low} to {high}")
        return value

    return parse


def parse_yes_no(text: str) -> bool:
    """Returns whether a text is `yes`; raises ValueError unless yes or no."""
    if text not in ("yes", "no"):
        raise ValueError("must be 'yes' or 'no'")
    return text == "yes"


def parse_address(text: str) -> tuple[str, int]:
    """Returns host and port of an `IP:PORT`; raises ValueError if invalid."""
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError("must be IP:PORT")
    return host, int_in_range(0, 65535)(port)


def add_flags(
    parser: argparse.ArgumentParser, settings: Sequence[Setting]
) -> None:
    """Adds a flag for each setting to a parser."""
    for setting in settings:
        default = (
            "required" if setting.default is None else setting.default or "none"
        )
        parser.add_argument(
            setting.flag,
            metavar="VALUE",
            help=f"{setting.help} [{setting.variable}; {default}]".replace(
                "%", "%%"
            ),
        )


def read_settings(
    settings: Sequence[Setting],
    flags: argparse.Namespace,
    environment: Mapping[str, str] = os.environ,
    is_strict: bool = True,
) -> dict[str, object]:
    """Returns the value of each setting by its name.

    Args:
        settings: the settings to read.
        flags: the parsed command line.
        environment: the environment variables.
        is_strict: whether an unknown CLAYFIELD_ variable is an error.

    Raises:
        ClayfieldError: of kind BAD_SETTINGS, listing every error.
    """
    values: dict[str, object] = {}
    errors: list[str] = []
    for setting in settings:
        text = getattr(flags, setting.name, None)
        if text is None:
            text = environment.get(setting.variable, setting.default)
        if text is None:
            errors.append(f"{setting.flag} ({setting.variable}) is missing.")
            continue
        try:
            values[setting.name] = setting.parse(text)
        except ValueError as exc:
            errors.append(
                f"{setting.flag} ({setting.variable}) {text!r}: {exc}."
            )
    if is_strict:
        errors += find_unknown_variables(settings, environment)
    if errors:
        raise ClayfieldError(ErrorKind.BAD_SETTINGS, " ".join(errors))
    return values


def find_unknown_variables(
    settings: Sequence[Setting], environment: Mapping[str, str]
) -> list[str]:
    """Returns an error text for each CLAYFIELD_ variable of no setting."""
    recognized = {setting.variable for setting in settings}
    recognized |= {PREFIX + name.upper() for name in COMMAND_LINE_NAMES}
    return [
        f"{name} is not a setting; remove it or correct its name."
        for name in sorted(environment)
        if name.startswith(PREFIX) and name not in recognized
    ]
