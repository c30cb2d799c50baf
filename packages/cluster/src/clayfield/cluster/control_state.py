"""The replicated state of the control nodes.

Configurations are stored as the operator wrote them; the highest version is
active. A grant names the epoch that it follows, so that of two grants that
follow the same epoch only the first in the log takes effect. Changes of kept
jobs carry the epoch of the holder that makes them, and are rejected once
another grant is active.
"""

import msgspec

from clayfield.base import Clock
from clayfield.cluster.job_store import JobStore, JobStoreSnapshot
from clayfield.state.machine import StateMachine
from clayfield.wire.cluster import Grant
from clayfield.wire.job_store import JobChange


class SetConfig(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Command that activates a configuration.

    It has no effect if the same version or a higher one is active.

    Attributes:
        version: version of the configuration.
        document: the configuration as the operator wrote it.
    """

    version: int
    document: bytes


class SetGrant(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Command that grants the workers to a holder.

    Attributes:
        previous_epoch: epoch of the grant that this one replaces. The command
            has no effect if another epoch is active.
        holder: name of the node that is to schedule all workers.
        standbys: by hall, the node that schedules the hall's workers while
            the hall is partitioned from the holder.
    """

    previous_epoch: int
    holder: str
    standbys: dict[str, str]


class SetJobs(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Command that changes kept jobs.

    Attributes:
        epoch: epoch of the holder's grant. The command has no effect if
            another epoch is active.
        changes: changes in the order in which to apply them.
    """

    epoch: int
    changes: tuple[JobChange, ...]


class ForgetJobs(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Command that removes ended kept jobs.

    Attributes:
        keys: keys of the jobs.
    """

    keys: tuple[str, ...]


Command = SetConfig | SetGrant | SetJobs | ForgetJobs


class _ControlStateSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of a `ControlState`."""

    version: int
    document: bytes
    epoch: int
    holder: str
    standbys: dict[str, str]
    jobs: JobStoreSnapshot = msgspec.field(default_factory=JobStoreSnapshot)
    since_epoch: int = 0


_command_decoder = msgspec.msgpack.Decoder(Command)
_snapshot_decoder = msgspec.msgpack.Decoder(_ControlStateSnapshot)


def encode_command(command: Command) -> bytes:
    """Returns a command as the data of a log entry."""
    return msgspec.msgpack.encode(command)


# Type tag of an encoded `SetConfig`: an array of three, then its name.
_SET_CONFIG_HEAD = encode_command(SetConfig(0, b""))[: 2 + len("SetConfig")]


def find_config_version(command: bytes) -> int | None:
    """Returns the version that an encoded command activates, if it does."""
    if not command.startswith(_SET_CONFIG_HEAD):
        return None
    return _command_decoder.decode(command).version


class ControlState(StateMachine):
    """The active configuration, the latest grant and the kept jobs.

    Attributes:
        version: version of the active configuration, 0 before the first.
        document: active configuration as the operator wrote it.
        grant: latest grant, with epoch 0 before the first.
        jobs: kept jobs.
    """

    __slots__ = ("document", "grant", "jobs", "version")

    def __init__(self, clock: Clock) -> None:
        self.version = 0
        self.document = b""
        self.grant = Grant(0, "")
        self.jobs = JobStore(clock)

    def apply(self, command: bytes) -> bool:
        """Applies a command; returns whether it took effect."""
        decoded = _command_decoder.decode(command)
        match decoded:
            case SetConfig():
                return self._set_config(decoded)
            case SetGrant():
                return self._set_grant(decoded)
            case SetJobs():
                return self._set_jobs(decoded)
            case ForgetJobs(keys=keys):
                self.jobs.delete_ended(keys)
        return True

    def _set_config(self, command: SetConfig) -> bool:
        if command.version <= self.version:
            return False
        self.version = command.version
        self.document = command.document
        return True

    def _set_grant(self, command: SetGrant) -> bool:
        if command.previous_epoch != self.grant.epoch:
            return False
        epoch = command.previous_epoch + 1
        since_epoch = epoch
        if command.holder == self.grant.holder:
            since_epoch = self.grant.since_epoch or self.grant.epoch
        self.grant = Grant(epoch, command.holder, command.standbys, since_epoch)
        return True

    def _set_jobs(self, command: SetJobs) -> bool:
        if command.epoch != self.grant.epoch:
            return False
        self.jobs.apply(command.changes)
        return True

    def snapshot(self) -> bytes:
        """Returns the whole state in encoded form."""
        grant = self.grant
        saved = _ControlStateSnapshot(
            self.version,
            self.document,
            grant.epoch,
            grant.holder,
            grant.standbys,
            self.jobs.snapshot(),
            grant.since_epoch,
        )
        return msgspec.msgpack.encode(saved)

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned."""
        saved = _snapshot_decoder.decode(data)
        self.version = saved.version
        self.document = saved.document
        self.grant = Grant(
            saved.epoch, saved.holder, saved.standbys, saved.since_epoch
        )
        self.jobs.restore(saved.jobs)
