"""The workers of a pool: which slots are free, and whom to trust."""

from clayfield.dispatch.breaker import Breaker

# A worker's own word that it leaves holds this long against a list that
# still shows it live.
SAID_LEAVING_MS = 15_000.0


class WorkerInfo:
    """What the platform list says of a worker.

    Attributes:
        name: unique over all halls.
        address: `IP:PORT` of its endpoint.
        hall: where it stands.
        rack: its rack in the hall.
        pool: which services it serves.
        slots: tasks it runs at once.
        cores: its processors.
        memory_mb: its memory.
        accelerators: how many it has.
        is_leaving: it takes no new work.
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
    """A worker as the scheduler sees it.

    Attributes:
        info: the latest word of the platform list.
        held: slots granted and not yet released.
        breaker: bounds the slots after failures.
    """

    __slots__ = ("_leaving_until_ms", "breaker", "held", "info")

    def __init__(self, info: WorkerInfo):
        self.info = info
        self.held = 0
        self.breaker = Breaker(info.slots)
        self._leaving_until_ms = 0.0

    def on_said_leaving(self, now_ms: float) -> None:
        """Learns from a refusal that it leaves; the list will follow."""
        self._leaving_until_ms = now_ms + SAID_LEAVING_MS

    def is_leaving(self, now_ms: float) -> bool:
        """Tells whether it leaves, by the list or by its own refusal."""
        return self.info.is_leaving or now_ms < self._leaving_until_ms

    def is_changing(self, now_ms: float) -> bool:
        """Tells whether its free slots may change by time alone."""
        has_returned = 0 < self._leaving_until_ms <= now_ms
        if has_returned:
            self._leaving_until_ms = 0.0
        return has_returned or not self.breaker.is_closed

    def free_slots(self, now_ms: float) -> int:
        """Returns how many more tasks may start at it."""
        if self.is_leaving(now_ms):
            return 0
        return max(0, self.breaker.allowance(now_ms) - self.held)

    def satisfies(self, cores: int, memory_mb: int, accelerators: int) -> bool:
        """Tells whether it has at least these resources."""
        info = self.info
        return (
            info.cores >= cores
            and info.memory_mb >= memory_mb
            and info.accelerators >= accelerators
        )


class FreeSlots:
    """The workers of a pool by how many slots they have free.

    A choice looks from the emptiest worker on, so load spreads evenly.
    """

    __slots__ = ("_buckets", "_free_of", "total")

    def __init__(self) -> None:
        self._buckets: list[dict[str, Worker]] = []
        self._free_of: dict[str, int] = {}
        self.total = 0

    def update(self, worker: Worker, now_ms: float) -> None:
        """Files a worker under its present free slots."""
        self.remove(worker.info.name)
        free = worker.free_slots(now_ms)
        while len(self._buckets) <= free:
            self._buckets.append({})
        self._buckets[free][worker.info.name] = worker
        self._free_of[worker.info.name] = free
        self.total += free

    def remove(self, name: str) -> None:
        """Forgets a worker."""
        free = self._free_of.pop(name, None)
        if free is not None:
            del self._buckets[free][name]
            self.total -= free

    def choose(
        self,
        needs: tuple[int, int, int],
        avoid_racks: set[str] | None = None,
    ) -> Worker | None:
        """Returns the emptiest worker that satisfies the needs, or None.

        Args:
            needs: cores, memory in MB and accelerators.
            avoid_racks: racks to take only when no other has a free slot.
        """
        second_best = None
        for bucket in reversed(self._buckets[1:]):
            for worker in bucket.values():
                if not worker.satisfies(*needs):
                    continue
                if not avoid_racks or worker.info.rack not in avoid_racks:
                    return worker
                second_best = second_best or worker
        return second_best
