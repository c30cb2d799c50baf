"""When a node stands for leader, and who votes for it."""

import random

from clayfield.base import Clock

# When a leader's stream ends, its voters stand for leader this far apart: by
# turns rather than at random, since ticks would make random times meet.
HASTE_MS = 80.0
LONG_AGO_MS = -1e12


class Election:
    """One node's part in the elections of its group.

    Attributes:
        at_ms: when the node stands next, unless it hears a leader before.
    """

    __slots__ = (
        "_clock",
        "_election_ms",
        "_heard_leader_ms",
        "_patience",
        "_rng",
        "_votes",
        "at_ms",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        election_ms: float,
        patience: float,
    ):
        """Starts with an election ahead.

        Args:
            clock: the time.
            rng: spreads the election times.
            election_ms: silence after which a voter may ask for votes.
            patience: multiplies the election time.
        """
        self._clock = clock
        self._rng = rng
        self._election_ms = election_ms
        self._patience = patience
        self._heard_leader_ms = LONG_AGO_MS
        self._votes: set[str] = set()
        self.at_ms = 0.0
        self.put_off()

    # Time.

    @property
    def is_due(self) -> bool:
        """Whether it is time to stand."""
        return self._clock.now_ms() >= self.at_ms

    @property
    def hears_leader(self) -> bool:
        """Whether a leader was heard so lately that none may be deposed."""
        quiet_ms = self._clock.now_ms() - self._heard_leader_ms
        return quiet_ms < self._election_ms

    def put_off(self) -> None:
        """Has the node stand a random election time from now."""
        spread = 1.0 + self._rng.random()
        wait_ms = self._election_ms * spread * self._patience
        self.at_ms = self._clock.now_ms() + wait_ms

    def hold_now(self) -> None:
        """Has the node stand at once."""
        self.at_ms = self._clock.now_ms()

    def on_leader_heard(self) -> None:
        """Learns that a leader has spoken."""
        self._heard_leader_ms = self._clock.now_ms()
        self.put_off()

    def on_leader_lost(self, turn: int) -> None:
        """Learns that the leader's stream ended.

        Args:
            turn: of this node among those that may stand.
        """
        self._heard_leader_ms = LONG_AGO_MS
        self.at_ms = self._clock.now_ms() + turn * HASTE_MS

    # Votes.

    def begin(self, node: str) -> None:
        """Begins an election with the node's own vote."""
        self._votes = {node}

    def on_vote(self, source: str) -> None:
        """Takes a vote."""
        self._votes.add(source)

    def is_won(self, voters: tuple[str, ...]) -> bool:
        """Tells whether a majority of the voters has voted for the node."""
        return sum(voter in self._votes for voter in voters) * 2 > len(voters)
