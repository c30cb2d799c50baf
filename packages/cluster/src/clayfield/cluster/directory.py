"""The replicated state of the control nodes.

Configurations are kept as the operator wrote them; the highest version wins.
A grant names the epoch that it follows, so that of two for the same epoch the
first in the log wins.
"""

import msgspec

from clayfield.state.machine import StateMachine
from clayfield.wire.cluster import Grant


class SetConfig(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Puts a configuration in force unless a version as high is."""

    version: int
    document: bytes


class SetGrant(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Grants the workers to a holder, as the epoch after `follows`."""

    follows: int
    holder: str
    standbys: dict[str, str]


class _Image(msgspec.Struct, frozen=True, array_like=True):
    version: int
    document: bytes
    epoch: int
    holder: str
    standbys: dict[str, str]


_command_decoder = msgspec.msgpack.Decoder(SetConfig | SetGrant)
_image_decoder = msgspec.msgpack.Decoder(_Image)


def encode_command(command: SetConfig | SetGrant) -> bytes:
    """Returns a command as it stands in the log."""
    return msgspec.msgpack.encode(command)


class ControlState(StateMachine):
    """The configuration in force and the latest grant.

    Attributes:
        version: of the configuration, 0 before the first.
        document: the configuration as it was written.
        grant: the latest grant, of epoch 0 before the first.
    """

    __slots__ = ("document", "grant", "version")

    def __init__(self) -> None:
        self.version = 0
        self.document = b""
        self.grant = Grant(0, "")

    def apply(self, command: bytes) -> int:
        """Applies a command; returns the version or epoch in force."""
        decoded = _command_decoder.decode(command)
        if isinstance(decoded, SetConfig):
            return self._set_config(decoded)
        return self._set_grant(decoded)

    def _set_config(self, command: SetConfig) -> int:
        if command.version > self.version:
            self.version = command.version
            self.document = command.document
        return self.version

    def _set_grant(self, command: SetGrant) -> int:
        if command.follows == self.grant.epoch:
            self.grant = Grant(
                command.follows + 1, command.holder, command.standbys
            )
        return self.grant.epoch

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        grant = self.grant
        image = _Image(
            self.version,
            self.document,
            grant.epoch,
            grant.holder,
            grant.standbys,
        )
        return msgspec.msgpack.encode(image)

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        image = _image_decoder.decode(data)
        self.version = image.version
        self.document = image.document
        self.grant = Grant(image.epoch, image.holder, image.standbys)
