"""Election timer and vote count of one node of a group."""

import random

from clayfield.base import Clock

# Time between the elections that successive voters start when the connection
# of the leader ends. Random delays would often fall on the same tick.
CANDIDACY_STAGGER_MS = 80.0
LONG_AGO_MS = -1e12


class Election:
    """One node's election timer, and the votes it has received.

    Attributes:
        due_ms: time at which the node starts an election unless a leader
            contacts it before.
    """

    __slots__ = (
        "_clock",
        "_election_timeout_ms",
        "_election_timeout_factor",
        "_leader_contact_ms",
        "_rng",
        "_votes",
        "due_ms",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        election_timeout_ms: float,
        election_timeout_factor: float,
    ):
        """Schedules an election after a random election timeout.

        Args:
            clock: source of the current time.
            rng: randomizes the election timeout.
            election_timeout_ms: election timeout, in ms.
            election_timeout_factor: factor of the election timeout.
        """
        self._clock = clock
        self._rng = rng
        self._election_timeout_ms = election_timeout_ms
        self._election_timeout_factor = election_timeout_factor
        self._leader_contact_ms = LONG_AGO_MS
        self._votes: set[str] = set()
        self.due_ms = 0.0
        self.postpone()

    # Timer.

    @property
    def is_due(self) -> bool:
        """Whether it is time to start an election."""
        return self._clock.now_ms() >= self.due_ms

    @property
    def has_recent_leader(self) -> bool:
        """Whether a leader contacted this node within the election timeout."""
        elapsed_ms = self._clock.now_ms() - self._leader_contact_ms
        return elapsed_ms < self._election_timeout_ms

    def postpone(self) -> None:
        """Postpones the election by a random election timeout."""
        spread = 1.0 + self._rng.random()
        wait_ms = (
            self._election_timeout_ms * spread * self._election_timeout_factor
        )
        self.due_ms = self._clock.now_ms() + wait_ms

    def start_now(self) -> None:
        """Makes the election due at once."""
        self.due_ms = self._clock.now_ms()

    def on_leader_contact(self) -> None:
        """Records contact with a leader and postpones the election."""
        self._leader_contact_ms = self._clock.now_ms()
        self.postpone()

    def on_leader_lost(self, rank: int) -> None:
        """Schedules an election soon, as the leader's connection ended.

        Args:
            rank: position of this node among the remaining voters, from 0.
        """
        self._leader_contact_ms = LONG_AGO_MS
        self.due_ms = self._clock.now_ms() + rank * CANDIDACY_STAGGER_MS

    # Votes.

    def begin(self, node: str) -> None:
        """Starts the vote count with the node's own vote."""
        self._votes = {node}

    def on_vote(self, source: str) -> None:
        """Counts the vote of a node."""
        self._votes.add(source)

    def is_won(self, voters: tuple[str, ...]) -> bool:
        """Returns whether a majority of the voters has voted for the node."""
        return sum(voter in self._votes for voter in voters) * 2 > len(voters)
