"""A simulated network that delays, drops, duplicates and reorders messages."""

import random
from collections.abc import Callable

from clayfield.testbed.events import EventQueue


class Faults:
    """The rates of random faults in a network.

    Attributes:
        drop: share of messages lost.
        double: share of messages delivered twice.
        jitter_ms: largest random delay added to a message, in ms; messages
            are reordered by it.
    """

    __slots__ = ("double", "drop", "jitter_ms")

    def __init__(
        self, drop: float = 0.0, double: float = 0.0, jitter_ms: float = 0.0
    ):
        self.drop = drop
        self.double = double
        self.jitter_ms = jitter_ms


class Network:
    """Delivers messages between boxes and workers, which are named.

    Attributes:
        faults: the rates of random faults.
        injected_counts: number of faults injected, by kind.
        sent: number of messages sent, including the lost ones.
    """

    def __init__(
        self,
        events: EventQueue,
        rng: random.Random,
        delay_of: Callable[[str, str], float],
    ):
        self.faults = Faults()
        self.injected_counts = {"drop": 0, "double": 0, "reorder": 0, "cut": 0}
        self.sent = 0
        self._events = events
        self._rng = rng
        self._delay_of = delay_of
        self._partitioned_links: set[tuple[str, str]] = set()

    def cut(self, one_side: set[str], other_side: set[str]) -> None:
        """Stops all traffic between two sets of boxes and workers."""
        self.injected_counts["cut"] += 1
        for name in one_side:
            for other in other_side - one_side:
                self._partitioned_links.add((name, other))
                self._partitioned_links.add((other, name))

    def heal(self) -> None:
        """Ends all partitions, so that every link carries traffic again."""
        self._partitioned_links.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Returns whether traffic from `source` to `target` is stopped."""
        return (source, target) in self._partitioned_links

    def send(
        self, source: str, target: str, deliver: Callable[[], None]
    ) -> None:
        """Calls `deliver` after the delay, subject to the faults."""
        self.sent += 1
        if (source, target) in self._partitioned_links:
            return
        faults = self.faults
        if faults.drop and self._rng.random() < faults.drop:
            self.injected_counts["drop"] += 1
            return
        self._schedule(source, target, deliver)
        if faults.double and self._rng.random() < faults.double:
            self.injected_counts["double"] += 1
            self._schedule(source, target, deliver)

    def _schedule(
        self, source: str, target: str, deliver: Callable[[], None]
    ) -> None:
        delay_ms = self._delay_of(source, target)
        if self.faults.jitter_ms:
            self.injected_counts["reorder"] += 1
            delay_ms += self._rng.random() * self.faults.jitter_ms
        self._events.call_later(delay_ms, deliver)
