"""A network that delays, drops, doubles, reorders and cuts."""

import random
from collections.abc import Callable

from clayfield.testbed.events import EventQueue


class Faults:
    """How badly the network behaves.

    Attributes:
        drop: share of messages lost.
        double: share of messages delivered twice.
        jitter_ms: up to this much is added, so messages overtake each other.
    """

    __slots__ = ("double", "drop", "jitter_ms")

    def __init__(
        self, drop: float = 0.0, double: float = 0.0, jitter_ms: float = 0.0
    ):
        self.drop = drop
        self.double = double
        self.jitter_ms = jitter_ms


class Network:
    """Carries batches between named places.

    Attributes:
        faults: what goes wrong at random.
        injected: how often each kind of fault was put in.
        sent: messages sent.
    """

    def __init__(
        self,
        events: EventQueue,
        rng: random.Random,
        delay_of: Callable[[str, str], float],
    ):
        self.faults = Faults()
        self.injected = {"drop": 0, "double": 0, "reorder": 0, "cut": 0}
        self.sent = 0
        self._events = events
        self._rng = rng
        self._delay_of = delay_of
        self._cuts: set[tuple[str, str]] = set()

    def cut(self, one_side: set[str], other_side: set[str]) -> None:
        """Stops all traffic between two sets of places."""
        self.injected["cut"] += 1
        for one in one_side:
            for other in other_side - one_side:
                self._cuts.add((one, other))
                self._cuts.add((other, one))

    def heal(self) -> None:
        """Ends all cuts."""
        self._cuts.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Tells whether traffic between two places is stopped."""
        return (source, target) in self._cuts

    def send(
        self, source: str, target: str, deliver: Callable[[], None]
    ) -> None:
        """Delivers something after the delay, unless a fault befalls it."""
        self.sent += 1
        if (source, target) in self._cuts:
            return
        faults = self.faults
        if faults.drop and self._rng.random() < faults.drop:
            self.injected["drop"] += 1
            return
        self._schedule(source, target, deliver)
        if faults.double and self._rng.random() < faults.double:
            self.injected["double"] += 1
            self._schedule(source, target, deliver)

    def _schedule(
        self, source: str, target: str, deliver: Callable[[], None]
    ) -> None:
        delay_ms = self._delay_of(source, target)
        if self.faults.jitter_ms:
            self.injected["reorder"] += 1
            delay_ms += self._rng.random() * self.faults.jitter_ms
        self._events.after(delay_ms, deliver)
