"""The waiting requests of one pool, by class and remaining work."""

import heapq

from clayfield.wire.messages import SlotRequest

# A job that has waited this many ms counts as one ms shorter.
AGEING = 0.1
FIRST_CHECK_MS = 3000.0
SPARE_ARRIVALS = 64


class Waiting:
    """One request that waits for slots.

    Attributes:
        node: who asked.
        pool: whose slots it waits for.
        request: what was asked.
        rank: of its class, 0 the first.
        missing: slots still to grant.
        granted: slots granted so far.
        task_ms: the estimated time of a task.
        arrived_ms: when it was asked for, on the scheduler's clock.
        deadline_ms: by when its tasks must have ended; infinite for none.
        check_ms: when to see again whether any worker can serve it.
        racks: racks that its tasks are on.
        is_open: False once it was refused, cancelled or granted in full.
    """

    __slots__ = (
        "arrived_ms",
        "check_ms",
        "deadline_ms",
        "granted",
        "is_open",
        "missing",
        "node",
        "pool",
        "racks",
        "rank",
        "request",
        "task_ms",
    )

    def __init__(
        self,
        node: str,
        pool: str,
        request: SlotRequest,
        rank: int,
        task_ms: float,
        now_ms: float,
    ):
        self.node = node
        self.pool = pool
        self.request = request
        self.rank = rank
        self.missing = request.tasks
        self.granted = 0
        self.task_ms = task_ms
        self.arrived_ms = now_ms - request.waited_ms
        has_deadline = request.deadline_ms > 0
        self.deadline_ms = (
            now_ms + request.deadline_ms if has_deadline else float("inf")
        )
        self.check_ms = now_ms + FIRST_CHECK_MS
        self.racks: set[str] = set()
        self.is_open = True

    @property
    def work_ms(self) -> float:
        """The slot time that it still asks for."""
        return self.missing * self.task_ms

    def order(self) -> float:
        """Returns its place within its class: the least goes first."""
        return self.work_ms + AGEING * self.arrived_ms


class Queue:
    """Requests in the order in which they get slots.

    Attributes:
        work_ms: the slot time waited for, by rank.
        tasks_of: the tasks that wait, by member.
    """

    __slots__ = ("_arrivals", "_heaps", "_number", "tasks_of", "work_ms")

    def __init__(self) -> None:
        self._heaps: dict[int, list[tuple[float, int, Waiting]]] = {}
        self._arrivals: dict[int, list[Waiting]] = {}
        self._number = 0
        self.work_ms: dict[int, float] = {}
        self.tasks_of: dict[str, int] = {}

    def ranks(self) -> list[int]:
        """Returns the ranks that have work, the first first."""
        return sorted(rank for rank, heap in self._heaps.items() if heap)

    def total_ms(self, up_to_rank: int) -> float:
        """Returns the slot time waited for at a rank and all before it."""
        return sum(
            work for rank, work in self.work_ms.items() if rank <= up_to_rank
        )

    def add(self, waiting: Waiting) -> None:
        """Takes a request in."""
        self._account(waiting, waiting.missing)
        self._note_arrival(waiting)
        self.push_back(waiting)

    def _note_arrival(self, waiting: Waiting) -> None:
        arrivals = self._arrivals.setdefault(waiting.rank, [])
        if len(arrivals) > SPARE_ARRIVALS + 2 * len(
            self._heaps.get(waiting.rank, ())
        ):
            arrivals[:] = [one for one in arrivals if one.is_open]
        arrivals.append(waiting)

    def push_back(self, waiting: Waiting) -> None:
        """Puts a request that was taken out by `pop` in again."""
        self._number += 1
        heap = self._heaps.setdefault(waiting.rank, [])
        heapq.heappush(heap, (waiting.order(), self._number, waiting))

    def pop(self, rank: int) -> Waiting | None:
        """Takes out the next open request of a rank, None if none waits."""
        heap = self._heaps.get(rank)
        while heap:
            _, _, waiting = heapq.heappop(heap)
            if waiting.is_open:
                return waiting
        # Nothing waits any more, so nothing is to be shed, and what rounding
        # left of the work is none.
        self._arrivals.pop(rank, None)
        self.work_ms[rank] = 0.0
        return None

    def on_granted(self, waiting: Waiting, count: int) -> None:
        """Counts slots granted to a request."""
        self._account(waiting, -count)
        waiting.missing -= count
        waiting.granted += count
        waiting.is_open = waiting.missing > 0

    def close(self, waiting: Waiting) -> None:
        """Drops what a request still waits for."""
        if waiting.is_open:
            self._account(waiting, -waiting.missing)
            waiting.is_open = False

    def next_to_shed(self, rank: int) -> Waiting | None:
        """Returns the request of a rank to refuse first, None if all started.

        That is the one that came last: it hears of it at once, and what was
        taken earlier stays taken.
        """
        arrivals = self._arrivals.get(rank, [])
        while arrivals:
            last = arrivals[-1]
            if last.is_open and not last.granted:
                return last
            arrivals.pop()
        return None

    def ahead_ms(self, waiting: Waiting) -> float:
        """Returns the slot time that goes before a request."""
        own_order = waiting.order()
        same_rank = sum(
            other.work_ms
            for order, _, other in self._heaps.get(waiting.rank, ())
            if order <= own_order and other.is_open and other is not waiting
        )
        return self.total_ms(waiting.rank - 1) + same_rank

    def _account(self, waiting: Waiting, tasks: int) -> None:
        work_ms = tasks * waiting.task_ms
        self.work_ms[waiting.rank] = (
            self.work_ms.get(waiting.rank, 0.0) + work_ms
        )
        member = waiting.request.member
        self.tasks_of[member] = self.tasks_of.get(member, 0) + tasks
