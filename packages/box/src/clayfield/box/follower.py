"""The active configuration of one box, kept up to date from its peers.

Its version never decreases.
"""

from clayfield.base import Clock
from clayfield.config import (
    EMPTY,
    Configuration,
    decode_config,
    encode_config,
    patch,
)
from clayfield.wire.messages import ConfigPull, ConfigPush

RECENT_DELTAS = 256
MAX_PUSH_BYTES = 1 << 20
PULL_INTERVAL_MS = 200.0


class ConfigFollower:
    """The active configuration and the latest deltas that led to it.

    Attributes:
        current: the active configuration, `EMPTY` before the first.
    """

    __slots__ = ("_clock", "_deltas", "_last_pull_ms", "current")

    def __init__(self, clock: Clock):
        self._clock = clock
        self.current: Configuration = EMPTY
        self._deltas: list[bytes] = []
        self._last_pull_ms = -PULL_INTERVAL_MS

    @property
    def version(self) -> int:
        """Version of the active configuration, 0 before the first."""
        return self.current.version

    def make_pull(self, peer_version: int) -> ConfigPull | None:
        """Returns the request for the changes that a peer has.

        Args:
            peer_version: the version active at the peer.

        Returns:
            None if the peer has no later version, or if a request was made
            less than `PULL_INTERVAL_MS` ago.
        """
        now_ms = self._clock.now_ms()
        if (
            peer_version <= self.version
            or now_ms - self._last_pull_ms < PULL_INTERVAL_MS
        ):
            return None
        self._last_pull_ms = now_ms
        return ConfigPull(self.version)

    def on_pull(self, pull: ConfigPull) -> ConfigPush | None:
        """Returns the changes that a peer lacks.

        They are deltas where these are still held and small enough, else the
        whole configuration; None if the peer lacks nothing.
        """
        missed = self.version - pull.version
        if missed <= 0:
            return None
        if missed <= len(self._deltas):
            deltas = self._deltas[len(self._deltas) - missed :]
            if sum(map(len, deltas)) <= MAX_PUSH_BYTES:
                return ConfigPush(pull.version, deltas, b"", self.version)
        full_config = encode_config(self.current)
        return ConfigPush(-1, [], full_config, self.version)

    def on_push(self, push: ConfigPush) -> bool:
        """Applies a peer's reply; returns whether the version rose."""
        if push.version <= self.version:
            return False
        if push.whole:
            return self.apply_full(decode_config(push.whole))
        skip = self.version - push.base
        if skip < 0:
            return False
        for delta in push.deltas[skip:]:
            self._apply_delta(delta)
        return True

    def apply_full(self, cfg: Configuration) -> bool:
        """Activates a whole configuration if its version is later.

        Returns:
            Whether it was activated.
        """
        if cfg.version <= self.version:
            return False
        self.current = cfg
        self._deltas.clear()
        return True

    def apply_deltas(self, deltas: list[bytes]) -> None:
        """Applies deltas, of which the first follows the active version."""
        for delta in deltas:
            self._apply_delta(delta)

    def _apply_delta(self, delta: bytes) -> None:
        self.current = patch(self.current, delta)
        self._deltas.append(delta)
        del self._deltas[:-RECENT_DELTAS]
