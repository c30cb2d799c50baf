"""The accepted configurations, as a state machine under consensus.

A file names the version it replaces. Of two files for the same version the
first in the log wins. The digest of every accepted file is kept by version,
so a file sent again, however much later, is told its first answer.
"""

import hashlib

import msgspec

from clayfield.base import Kind
from clayfield.config import (
    EMPTY,
    Configuration,
    diff,
    from_bytes,
    patch,
    to_bytes,
    version_of,
)
from clayfield.state.machine import StateMachine

DIGEST_BYTES = 16
RECENT_DELTAS = 256


class ApplyResult(msgspec.Struct, frozen=True, array_like=True):
    """What became of a file; `code` is empty when it was accepted."""

    version: int
    code: str
    detail: str


class _Apply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    digest: bytes
    delta: bytes


class _Begin(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class _OpenHall(msgspec.Struct, frozen=True, array_like=True, tag=True):
    hall: str
    instance: str
    halls: tuple[str, ...] = ()


class _Image(msgspec.Struct, frozen=True, array_like=True):
    whole: bytes
    digests: bytes
    deltas: list[bytes]
    openings: dict[str, list[str]]
    is_open: bool
    hall_sets: list[tuple[str, ...]] = []


_command_decoder = msgspec.msgpack.Decoder(_Apply | _Begin | _OpenHall)
_image_decoder = msgspec.msgpack.Decoder(_Image)


def digest_of(whole: bytes) -> bytes:
    """Returns the digest of a canonical configuration."""
    return hashlib.blake2b(whole, digest_size=DIGEST_BYTES).digest()


def beginning() -> bytes:
    """Returns the command that opens the log."""
    return msgspec.msgpack.encode(_Begin())


def is_beginning(command: bytes) -> bool:
    """Tells whether an entry of the log opens it."""
    return isinstance(_command_decoder.decode(command), _Begin)


class ConfigLog(StateMachine):
    """The configuration in force, and how it came about.

    Attributes:
        current: the configuration in force.
        deltas: the latest changes, oldest first, the last to `current`.
        openings: by hall the group instances that opened its claims.
        is_open: whether the log has begun with all of its first voters.
    """

    __slots__ = (
        "_digests",
        "_hall_sets",
        "current",
        "deltas",
        "is_open",
        "openings",
    )

    def __init__(self) -> None:
        self.current: Configuration = EMPTY
        self.deltas: list[bytes] = []
        self._digests = bytearray()
        self.openings: dict[str, list[str]] = {}
        self.is_open = False
        self._hall_sets: list[tuple[str, ...]] = []

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return len(self._digests) // DIGEST_BYTES

    def command_for(self, wanted: Configuration) -> bytes | ApplyResult:
        """Returns the command that applies a file, or its answer already.

        The answer is given without a command when the file can no longer be
        accepted, or was accepted before.
        """
        answer = self._first_answer(
            wanted.replaces, digest_of(to_bytes(wanted))
        )
        if answer:
            return answer
        delta = diff(self.current, wanted)
        digest = digest_of(to_bytes(wanted))
        return msgspec.msgpack.encode(_Apply(digest, delta))

    def _first_answer(self, replaces: int, digest: bytes) -> ApplyResult | None:
        if replaces == self.version:
            return None
        if replaces > self.version:
            return ApplyResult(
                self.version,
                Kind.VERSION_RACE.code,
                f"Version {replaces} was never accepted, {self.version} is"
                " in force.",
            )
        start = replaces * DIGEST_BYTES
        if self._digests[start : start + DIGEST_BYTES] == digest:
            return ApplyResult(replaces + 1, "", "")
        return ApplyResult(
            self.version,
            Kind.VERSION_RACE.code,
            f"Version {replaces} was replaced by another file; {self.version}"
            " is in force.",
        )

    def opening_for(
        self, hall: str, instance: str, halls: tuple[str, ...]
    ) -> bytes:
        """Returns the command that records that a hall's claims start."""
        return msgspec.msgpack.encode(_OpenHall(hall, instance, halls))

    def apply(self, command: bytes) -> ApplyResult | int:
        """Applies a command made by this module, perhaps elsewhere.

        Returns:
            What became of a file; or how often a hall's claims have started.
        """
        decoded = _command_decoder.decode(command)
        if isinstance(decoded, _Begin):
            self.is_open = True
            return 0
        if isinstance(decoded, _Apply):
            return self._apply_file(decoded)
        return self._open_hall(decoded)

    def _open_hall(self, opening: _OpenHall) -> int:
        """Returns how often a hall's claims have started.

        Each earlier set of halls counts as a start too: with the set, keys
        moved here whose claims are elsewhere.
        """
        if opening.halls not in self._hall_sets:
            self._hall_sets.append(opening.halls)
        instances = self.openings.setdefault(opening.hall, [])
        if opening.instance not in instances:
            instances.append(opening.instance)
        earlier_sets = self._hall_sets.index(opening.halls)
        return instances.index(opening.instance) + 1 + earlier_sets

    def _apply_file(self, command: _Apply) -> ApplyResult:
        replaces = version_of(command.delta) - 1
        answer = self._first_answer(replaces, command.digest)
        if answer:
            return answer
        self.current = patch(self.current, command.delta)
        self._digests += command.digest
        self.deltas.append(command.delta)
        del self.deltas[:-RECENT_DELTAS]
        return ApplyResult(self.version, "", "")

    def deltas_after(self, version: int) -> list[bytes] | None:
        """Returns the changes after a version, None if no longer held."""
        missed = self.version - version
        if missed < 0 or missed > len(self.deltas):
            return None
        return self.deltas[len(self.deltas) - missed :]

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        whole = to_bytes(self.current) if self.version else b""
        return msgspec.msgpack.encode(
            _Image(
                whole,
                bytes(self._digests),
                self.deltas,
                self.openings,
                self.is_open,
                self._hall_sets,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        image = _image_decoder.decode(data)
        self.current = from_bytes(image.whole) if image.whole else EMPTY
        self._digests = bytearray(image.digests)
        self.deltas = image.deltas
        self.openings = image.openings
        self.is_open = image.is_open
        self._hall_sets = list(image.hall_sets)
