"""The accepted configurations, a replicated state machine.

A configuration file names the version that it replaces. Of two files that
replace the same version, the first in the log is accepted. The digests of all
accepted files are kept, so that a file that is sent again gets the same result
as the first time, however much later.
"""

import hashlib

import msgspec

from clayfield.base import ErrorKind
from clayfield.config import (
    EMPTY,
    Configuration,
    decode_config,
    delta_version,
    diff,
    encode_config,
    patch,
)
from clayfield.state.machine import StateMachine

DIGEST_BYTES = 16
RECENT_DELTAS = 256


class ApplyResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of applying a configuration file.

    Attributes:
        version: version of the accepted file, else the active version.
        code: error code, "" if the file was accepted.
        detail: error text, "" if the file was accepted.
    """

    version: int
    code: str
    detail: str


class _Apply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Command that applies a configuration, given as a change."""

    digest: bytes
    delta: bytes


class _Begin(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Command that opens the log for configurations."""


class _OpenHall(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Command that records a start of a hall's claims registry.

    Attributes:
        hall: name of the hall.
        instance: group instance that opens the registry.
        halls: names of all halls, sorted.
    """

    hall: str
    instance: str
    halls: tuple[str, ...] = ()


class _ConfigLogSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of a `ConfigLog`; `config` is the active configuration."""

    config: bytes
    digests: bytes
    deltas: list[bytes]
    opened_instances: dict[str, list[str]]
    is_open: bool
    hall_sets: list[tuple[str, ...]] = []


_command_decoder = msgspec.msgpack.Decoder(_Apply | _Begin | _OpenHall)
_snapshot_decoder = msgspec.msgpack.Decoder(_ConfigLogSnapshot)


def compute_digest(config: bytes) -> bytes:
    """Returns the digest of a configuration in canonical form."""
    return hashlib.blake2b(config, digest_size=DIGEST_BYTES).digest()


def make_opening_command() -> bytes:
    """Returns the command that opens the log for configurations."""
    return msgspec.msgpack.encode(_Begin())


def is_opening_command(command: bytes) -> bool:
    """Returns whether a command opens the log."""
    return isinstance(_command_decoder.decode(command), _Begin)


class ConfigLog(StateMachine):
    """The active configuration and its history.

    Attributes:
        current: active configuration.
        deltas: latest changes in encoded form, oldest first; the last one
            led to `current`.
        opened_instances: by hall, the group instances that opened its claims
            registry, in order.
        is_open: whether the log was opened, which happens once all first
            voters have joined.
    """

    __slots__ = (
        "_digests",
        "_hall_sets",
        "current",
        "deltas",
        "is_open",
        "opened_instances",
    )

    def __init__(self) -> None:
        self.current: Configuration = EMPTY
        self.deltas: list[bytes] = []
        self._digests = bytearray()
        self.opened_instances: dict[str, list[str]] = {}
        self.is_open = False
        self._hall_sets: list[tuple[str, ...]] = []

    @property
    def version(self) -> int:
        """Number of the active version, 0 before the first."""
        return len(self._digests) // DIGEST_BYTES

    def make_apply_command(
        self, submitted: Configuration
    ) -> bytes | ApplyResult:
        """Returns the command that applies a configuration, or its result.

        The result is returned if no command is needed: the configuration was
        accepted before, or can't be accepted any more.
        """
        result = self._find_earlier_result(
            submitted.replaces, compute_digest(encode_config(submitted))
        )
        if result:
            return result
        delta = diff(self.current, submitted)
        digest = compute_digest(encode_config(submitted))
        return msgspec.msgpack.encode(_Apply(digest, delta))

    def _find_earlier_result(
        self, replaces: int, digest: bytes
    ) -> ApplyResult | None:
        """Returns the result of a file without applying it.

        None if the file replaces the active version and may be applied.
        """
        if replaces == self.version:
            return None
        if replaces > self.version:
            return ApplyResult(
                self.version,
                ErrorKind.VERSION_RACE.code,
                f"Version {replaces} was never accepted, {self.version} is"
                " in force.",
            )
        start = replaces * DIGEST_BYTES
        if self._digests[start : start + DIGEST_BYTES] == digest:
            return ApplyResult(replaces + 1, "", "")
        return ApplyResult(
            self.version,
            ErrorKind.VERSION_RACE.code,
            f"Version {replaces} was replaced by another file; {self.version}"
            " is in force.",
        )

    def make_open_command(
        self, hall: str, instance: str, halls: tuple[str, ...]
    ) -> bytes:
        """Returns the command that records a start of a hall's claims registry.

        Args:
            hall: name of the hall.
            instance: group instance that opens the registry.
            halls: names of all halls, sorted.
        """
        return msgspec.msgpack.encode(_OpenHall(hall, instance, halls))

    def apply(self, command: bytes) -> ApplyResult | int:
        """Applies a command.

        Returns:
            For a configuration file its result; for a start of a hall's
            claims registry the number of starts, this one included; 0 for
            the opening of the log.
        """
        decoded = _command_decoder.decode(command)
        if isinstance(decoded, _Begin):
            self.is_open = True
            return 0
        if isinstance(decoded, _Apply):
            return self._apply_file(decoded)
        return self._open_hall(decoded)

    def _open_hall(self, opening: _OpenHall) -> int:
        """Records a start of a hall's claims registry and returns its number.

        Each earlier set of halls counts as a start, too: when the set
        changes, keys get a new home hall, but their claims stay behind.
        """
        if opening.halls not in self._hall_sets:
            self._hall_sets.append(opening.halls)
        instances = self.opened_instances.setdefault(opening.hall, [])
        if opening.instance not in instances:
            instances.append(opening.instance)
        earlier_set_count = self._hall_sets.index(opening.halls)
        return instances.index(opening.instance) + 1 + earlier_set_count

    def _apply_file(self, command: _Apply) -> ApplyResult:
        replaces = delta_version(command.delta) - 1
        result = self._find_earlier_result(replaces, command.digest)
        if result:
            return result
        self.current = patch(self.current, command.delta)
        self._digests += command.digest
        self.deltas.append(command.delta)
        del self.deltas[:-RECENT_DELTAS]
        return ApplyResult(self.version, "", "")

    def deltas_after(self, version: int) -> list[bytes] | None:
        """Returns the changes after a version, None if one is not held."""
        missing = self.version - version
        if missing < 0 or missing > len(self.deltas):
            return None
        return self.deltas[len(self.deltas) - missing :]

    def snapshot(self) -> bytes:
        """Returns the whole state in encoded form."""
        config = encode_config(self.current) if self.version else b""
        return msgspec.msgpack.encode(
            _ConfigLogSnapshot(
                config,
                bytes(self._digests),
                self.deltas,
                self.opened_instances,
                self.is_open,
                self._hall_sets,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned."""
        saved = _snapshot_decoder.decode(data)
        self.current = decode_config(saved.config) if saved.config else EMPTY
        self._digests = bytearray(saved.digests)
        self.deltas = saved.deltas
        self.opened_instances = saved.opened_instances
        self.is_open = saved.is_open
        self._hall_sets = list(saved.hall_sets)
