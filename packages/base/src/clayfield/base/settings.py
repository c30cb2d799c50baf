"""Settings in flags and environment variables, checked all at once.

Each setting has a flag, `--peer-port`, and a variable, `CLAYFIELD_PEER_PORT`;
the flag goes first.
"""

import argparse
import os
import typing
from collections.abc import Callable, Mapping, Sequence

from clayfield.base.errors import ClayfieldError, Kind

PREFIX = "CLAYFIELD_"
# Both binaries may be used from one shell: what the command line reads is no
# fault to the daemon, and the other way round the command line does not ask.
COMMAND_LINE_NAMES = ("box_urls", "token", "authority", "timeout_s")


class Setting(typing.NamedTuple):
    """One setting.

    Attributes:
        name: in lower case with underscores.
        read: turns text into the value, or raises ValueError.
        default: the text used when none is given; None when required.
        help: one line.
    """

    name: str
    read: Callable[[str], object]
    default: str | None
    help: str

    @property
    def flag(self) -> str:
        """The flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return PREFIX + self.name.upper()


def whole_number(low: int, high: int) -> Callable[[str], int]:
    """Returns a reader of whole numbers within bounds."""

    def read(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f"not from {low} to {high}")
        return value

    return read


def yes_or_no(text: str) -> bool:
    """Reads `yes` or `no`."""
    if text not in ("yes", "no"):
        raise ValueError("not 'yes' or 'no'")
    return text == "yes"


def address(text: str) -> tuple[str, int]:
    """Reads `IP:PORT`."""
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError("not IP:PORT")
    return host, whole_number(0, 65535)(port)


def add_flags(
    parser: argparse.ArgumentParser, settings: Sequence[Setting]
) -> None:
    """Adds a flag for each setting."""
    for one in settings:
        default = "required" if one.default is None else one.default or "none"
        parser.add_argument(
            one.flag,
            metavar="VALUE",
            help=f"{one.help} [{one.variable}; {default}]".replace("%", "%%"),
        )


def read_settings(
    settings: Sequence[Setting],
    flags: argparse.Namespace,
    environment: Mapping[str, str] = os.environ,
    is_strict: bool = True,
) -> dict[str, object]:
    """Returns the value of each setting by its name.

    Args:
        settings: those that there are.
        flags: as parsed.
        environment: the variables.
        is_strict: take an unknown CLAYFIELD_ variable for a fault.

    Raises:
        ClayfieldError: of kind BAD_SETTINGS, naming every fault.
    """
    values: dict[str, object] = {}
    faults: list[str] = []
    for one in settings:
        text = getattr(flags, one.name, None)
        if text is None:
            text = environment.get(one.variable, one.default)
        if text is None:
            faults.append(f"{one.flag} ({one.variable}) is missing.")
            continue
        try:
            values[one.name] = one.read(text)
        except ValueError as exc:
            faults.append(f"{one.flag} ({one.variable}) {text!r}: {exc}.")
    if is_strict:
        faults += unknown_variables(settings, environment)
    if faults:
        raise ClayfieldError(Kind.BAD_SETTINGS, " ".join(faults))
    return values


def unknown_variables(
    settings: Sequence[Setting], environment: Mapping[str, str]
) -> list[str]:
    """Returns a fault for each CLAYFIELD_ variable that means nothing."""
    known = {one.variable for one in settings}
    known |= {PREFIX + name.upper() for name in COMMAND_LINE_NAMES}
    return [
        f"{name} is not a setting; remove it or correct its name."
        for name in sorted(environment)
        if name.startswith(PREFIX) and name not in known
    ]
