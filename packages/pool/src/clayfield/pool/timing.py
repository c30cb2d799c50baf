"""Times that a pool is configured with at its start."""


class PoolTiming:
    """Times that a pool is configured with.

    Attributes:
        lease_ms: longest lease that a worker accepts, in ms.
        stop_ms: longest time that a worker needs to stop a run, in ms.
        keep_ended_ms: how long the end state of a kept job can be queried, in
            ms.
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
