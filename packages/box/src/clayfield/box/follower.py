"""Keeps the configuration in force at one box; it never goes back."""

from clayfield.base import Clock
from clayfield.config import (
    EMPTY,
    Configuration,
    from_bytes,
    patch,
    to_bytes,
)
from clayfield.wire.messages import ConfigPull, ConfigPush

RECENT_DELTAS = 256
MAX_PUSH_BYTES = 1 << 20
PULL_MS = 200.0


class ConfigFollower:
    """The configuration in force at a box.

    Attributes:
        current: it.
    """

    __slots__ = ("_clock", "_deltas", "_pulled_ms", "current")

    def __init__(self, clock: Clock):
        self._clock = clock
        self.current: Configuration = EMPTY
        self._deltas: list[bytes] = []
        self._pulled_ms = -PULL_MS

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self.current.version

    def pull_from(self, peer_version: int) -> ConfigPull | None:
        """Returns what to ask a peer that has a version, None for nothing."""
        now_ms = self._clock.now_ms()
        if peer_version <= self.version or now_ms - self._pulled_ms < PULL_MS:
            return None
        self._pulled_ms = now_ms
        return ConfigPull(self.version)

    def on_pull(self, pull: ConfigPull) -> ConfigPush | None:
        """Returns what a peer lacks, None if it lacks nothing."""
        missed = self.version - pull.version
        if missed <= 0:
            return None
        if missed <= len(self._deltas):
            deltas = self._deltas[len(self._deltas) - missed :]
            if sum(map(len, deltas)) <= MAX_PUSH_BYTES:
                return ConfigPush(pull.version, deltas, b"", self.version)
        whole = to_bytes(self.current)
        return ConfigPush(-1, [], whole, self.version)

    def on_push(self, push: ConfigPush) -> bool:
        """Takes what a peer sent; True when the version in force rose."""
        if push.version <= self.version:
            return False
        if push.whole:
            return self.take_whole(from_bytes(push.whole))
        skip = self.version - push.base
        if skip < 0:
            return False
        for delta in push.deltas[skip:]:
            self._put_in_force(delta)
        return True

    def take_whole(self, wanted: Configuration) -> bool:
        """Takes a whole configuration; True when it is a later one."""
        if wanted.version <= self.version:
            return False
        self.current = wanted
        self._deltas.clear()
        return True

    def take_deltas(self, deltas: list[bytes]) -> None:
        """Takes the changes that follow the version in force."""
        for delta in deltas:
            self._put_in_force(delta)

    def _put_in_force(self, delta: bytes) -> None:
        self.current = patch(self.current, delta)
        self._deltas.append(delta)
        del self._deltas[:-RECENT_DELTAS]
