"""The replicated state of the control nodes.

Configurations are kept as the operator wrote them; the highest version wins.
A grant names the epoch that it follows, so that of two for the same epoch the
first in the log wins. Changes of kept jobs name the epoch of the holder that
makes them, and count only while its grant is in force.
"""

import msgspec

from clayfield.base import Clock
from clayfield.cluster.jobbook import JobBook, JobsImage
from clayfield.state.machine import StateMachine
from clayfield.wire.cluster import Grant
from clayfield.wire.ledger import JobChange


class SetConfig(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Puts a configuration in force unless a version as high is."""

    version: int
    document: bytes


class SetGrant(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Grants the workers to a holder, as the epoch after `follows`."""

    follows: int
    holder: str
    standbys: dict[str, str]


class SetJobs(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Changes kept jobs, if the holder of an epoch still holds."""

    epoch: int
    changes: tuple[JobChange, ...]


class ForgetJobs(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Drops kept jobs that ended long ago."""

    keys: tuple[str, ...]


Command = SetConfig | SetGrant | SetJobs | ForgetJobs


class _Image(msgspec.Struct, frozen=True, array_like=True):
    version: int
    document: bytes
    epoch: int
    holder: str
    standbys: dict[str, str]
    jobs: JobsImage = msgspec.field(default_factory=JobsImage)


_command_decoder = msgspec.msgpack.Decoder(Command)
_image_decoder = msgspec.msgpack.Decoder(_Image)


def encode_command(command: Command) -> bytes:
    """Returns a command as it stands in the log."""
    return msgspec.msgpack.encode(command)


class ControlState(StateMachine):
    """The configuration in force, the latest grant and the kept jobs.

    Attributes:
        version: of the configuration, 0 before the first.
        document: the configuration as it was written.
        grant: the latest grant, of epoch 0 before the first.
        jobs: the kept jobs.
    """

    __slots__ = ("document", "grant", "jobs", "version")

    def __init__(self, clock: Clock) -> None:
        self.version = 0
        self.document = b""
        self.grant = Grant(0, "")
        self.jobs = JobBook(clock)

    def apply(self, command: bytes) -> bool:
        """Applies a command; returns whether it came into force."""
        decoded = _command_decoder.decode(command)
        match decoded:
            case SetConfig():
                return self._set_config(decoded)
            case SetGrant():
                return self._set_grant(decoded)
            case SetJobs():
                return self._set_jobs(decoded)
            case ForgetJobs(keys=keys):
                self.jobs.forget(keys)
        return True

    def _set_config(self, command: SetConfig) -> bool:
        if command.version <= self.version:
            return False
        self.version = command.version
        self.document = command.document
        return True

    def _set_grant(self, command: SetGrant) -> bool:
        if command.follows != self.grant.epoch:
            return False
        self.grant = Grant(
            command.follows + 1, command.holder, command.standbys
        )
        return True

    def _set_jobs(self, command: SetJobs) -> bool:
        if command.epoch != self.grant.epoch:
            return False
        self.jobs.apply(command.changes)
        return True

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        grant = self.grant
        image = _Image(
            self.version,
            self.document,
            grant.epoch,
            grant.holder,
            grant.standbys,
            self.jobs.image(),
        )
        return msgspec.msgpack.encode(image)

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        image = _image_decoder.decode(data)
        self.version = image.version
        self.document = image.document
        self.grant = Grant(image.epoch, image.holder, image.standbys)
        self.jobs.restore(image.jobs)
