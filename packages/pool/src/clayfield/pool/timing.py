"""The times that a pool keeps, as it is told at its start."""


class PoolTiming:
    """The times that a pool keeps.

    Attributes:
        lease_ms: the longest lease that a worker takes.
        stop_ms: how long a stop takes at most.
        keep_ended_ms: how long it is told how a kept job ended.
    """

    __slots__ = ("keep_ended_ms", "lease_ms", "stop_ms")

    def __init__(
        self,
        lease_ms: float = 1000.0,
        stop_ms: float = 50.0,
        keep_ended_ms: float = 120_000.0,
    ):
        self.lease_ms = lease_ms
        self.stop_ms = stop_ms
        self.keep_ended_ms = keep_ended_ms
