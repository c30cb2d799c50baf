"""The workers of a pool, their free slots and their health."""

from clayfield.dispatch.breaker import CircuitBreaker

# How long a worker that reported itself as leaving gets no tasks although the
# worker list does not show it as leaving.
LEAVING_REPORT_MS = 15_000.0


class WorkerInfo:
    """A worker's entry in the worker list of the platform.

    Attributes:
        name: name, unique over all halls.
        address: `IP:PORT` of its endpoint.
        hall: hall of the worker.
        rack: rack in the hall; "" if not given.
        pool: pool of the worker; a service names the pool that serves it.
        slots: number of tasks that it runs at once.
        cores: number of processors.
        memory_mb: memory, in MB.
        accelerators: number of accelerators.
        is_leaving: whether it is being removed and takes no new tasks.
    """

    __slots__ = (
        "accelerators",
        "address",
        "cores",
        "hall",
        "is_leaving",
        "memory_mb",
        "name",
        "pool",
        "rack",
        "slots",
    )

    def __init__(
        self,
        name: str,
        address: str,
        hall: str,
        rack: str = "",
        pool: str = "default",
        slots: int = 8,
        cores: int = 0,
        memory_mb: int = 0,
        accelerators: int = 0,
        is_leaving: bool = False,
    ):
        self.name = name
        self.address = address
        self.hall = hall
        self.rack = rack
        self.pool = pool
        self.slots = slots
        self.cores = cores
        self.memory_mb = memory_mb
        self.accelerators = accelerators
        self.is_leaving = is_leaving


class Worker:
    """The scheduler's state of a worker.

    Attributes:
        info: its entry in the latest worker list.
        held: number of slots granted and not yet released.
        breaker: circuit breaker that limits the slots after failures.
    """

    __slots__ = ("_leaving_until_ms", "breaker", "held", "info")

    def __init__(self, info: WorkerInfo):
        self.info = info
        self.held = 0
        self.breaker = CircuitBreaker(info.slots)
        self._leaving_until_ms = 0.0

    def on_leaving_reported(self, now_ms: float) -> None:
        """Records that the worker refused a task because it is leaving."""
        self._leaving_until_ms = now_ms + LEAVING_REPORT_MS

    def is_leaving(self, now_ms: float) -> bool:
        """Returns whether it leaves, by the list or by its own report."""
        return self.info.is_leaving or now_ms < self._leaving_until_ms

    def may_change(self, now_ms: float) -> bool:
        """Returns whether its free slots may have changed with time.

        Clears a report of leaving that has expired.
        """
        has_expired = 0 < self._leaving_until_ms <= now_ms
        if has_expired:
            self._leaving_until_ms = 0.0
        return has_expired or not self.breaker.is_closed

    def free_slots(self, now_ms: float) -> int:
        """Returns the number of tasks that it can take now."""
        if self.is_leaving(now_ms):
            return 0
        return max(0, self.breaker.allowed_slots(now_ms) - self.held)

    def satisfies(self, cores: int, memory_mb: int, accelerators: int) -> bool:
        """Returns whether it has at least these resources."""
        info = self.info
        return (
            info.cores >= cores
            and info.memory_mb >= memory_mb
            and info.accelerators >= accelerators
        )


class FreeSlots:
    """The workers of a pool by number of free slots.

    The worker with the most free slots is chosen, which spreads the load.

    Attributes:
        total: number of free slots of all workers.
    """

    __slots__ = ("_buckets", "_free_by_name", "total")

    def __init__(self) -> None:
        self._buckets: list[dict[str, Worker]] = []
        self._free_by_name: dict[str, int] = {}
        self.total = 0

    def update(self, worker: Worker, now_ms: float) -> None:
        """Adds a worker, or updates its number of free slots."""
        self.remove(worker.info.name)
        free = worker.free_slots(now_ms)
        while len(self._buckets) <= free:
            self._buckets.append({})
        self._buckets[free][worker.info.name] = worker
        self._free_by_name[worker.info.name] = free
        self.total += free

    def remove(self, name: str) -> None:
        """Removes a worker; does nothing if it is absent."""
        free = self._free_by_name.pop(name, None)
        if free is not None:
            del self._buckets[free][name]
            self.total -= free

    def choose(
        self,
        requirements: tuple[int, int, int],
        avoid_racks: set[str] | None = None,
    ) -> Worker | None:
        """Returns the suitable worker with the most free slots, or None.

        Args:
            requirements: cores, memory in MB and accelerators.
            avoid_racks: racks to use only if no other has a free slot.
        """
        fallback = None
        for bucket in reversed(self._buckets[1:]):
            for worker in bucket.values():
                if not worker.satisfies(*requirements):
                    continue
                if not avoid_racks or worker.info.rack not in avoid_racks:
                    return worker
                fallback = fallback or worker
        return fallback
