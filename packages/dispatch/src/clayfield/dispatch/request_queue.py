"""Queues the requests of one pool by priority class and remaining work."""

import heapq

from clayfield.wire.messages import SlotRequest

# Each ms of waiting counts as this many ms less of remaining work.
AGEING = 0.1
FIRST_CHECK_MS = 3000.0
# Closed requests are removed from a rank's arrival list when it is longer
# than this plus twice the heap.
MIN_ARRIVALS_TO_PRUNE = 64


class QueuedRequest:
    """A queued request for slots.

    Attributes:
        node: node of the box that sent the request.
        pool: pool of the requested slots.
        request: the request as received.
        rank: rank of its priority class; 0 is served first.
        remaining_tasks: number of slots still to grant.
        granted: number of slots granted so far.
        task_ms: estimated duration of a task, in ms.
        arrived_ms: time of arrival at the box, on the scheduler's clock.
        deadline_ms: time by which its tasks must have ended; infinite for
            none.
        next_check_ms: time of the next check for a suitable worker.
        racks: racks of the workers granted so far.
        is_open: False once it is refused, cancelled or granted in full.
    """

    __slots__ = (
        "arrived_ms",
        "deadline_ms",
        "granted",
        "is_open",
        "remaining_tasks",
        "next_check_ms",
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
        self.remaining_tasks = request.tasks
        self.granted = 0
        self.task_ms = task_ms
        self.arrived_ms = now_ms - request.waited_ms
        has_deadline = request.deadline_ms > 0
        self.deadline_ms = (
            now_ms + request.deadline_ms if has_deadline else float("inf")
        )
        self.next_check_ms = now_ms + FIRST_CHECK_MS
        self.racks: set[str] = set()
        self.is_open = True

    @property
    def remaining_work_ms(self) -> float:
        """Expected slot time of the missing slots, in ms."""
        return self.remaining_tasks * self.task_ms

    def sort_key(self) -> float:
        """Returns the sort key within the class; the least is served first."""
        return self.remaining_work_ms + AGEING * self.arrived_ms


class RequestQueue:
    """A priority queue of requests for slots.

    Attributes:
        work_ms_by_rank: expected slot time of the queued tasks by rank, in ms.
        tasks_by_member: number of queued tasks by member.
    """

    __slots__ = (
        "_arrivals",
        "_heaps",
        "_push_count",
        "tasks_by_member",
        "work_ms_by_rank",
    )

    def __init__(self) -> None:
        self._heaps: dict[int, list[tuple[float, int, QueuedRequest]]] = {}
        self._arrivals: dict[int, list[QueuedRequest]] = {}
        self._push_count = 0
        self.work_ms_by_rank: dict[int, float] = {}
        self.tasks_by_member: dict[str, int] = {}

    def ranks(self) -> list[int]:
        """Returns the ranks with requests, in the order of service."""
        return sorted(rank for rank, heap in self._heaps.items() if heap)

    def total_ms(self, up_to_rank: int) -> float:
        """Returns the expected slot time up to and including a rank, in ms."""
        return sum(
            work
            for rank, work in self.work_ms_by_rank.items()
            if rank <= up_to_rank
        )

    def add(self, queued: QueuedRequest) -> None:
        """Adds a new request."""
        self._add_to_totals(queued, queued.remaining_tasks)
        self._append_arrival(queued)
        self.requeue(queued)

    def _append_arrival(self, queued: QueuedRequest) -> None:
        arrivals = self._arrivals.setdefault(queued.rank, [])
        if len(arrivals) > MIN_ARRIVALS_TO_PRUNE + 2 * len(
            self._heaps.get(queued.rank, ())
        ):
            arrivals[:] = [other for other in arrivals if other.is_open]
        arrivals.append(queued)

    def requeue(self, queued: QueuedRequest) -> None:
        """Returns a request to the queue that `pop` removed."""
        self._push_count += 1
        heap = self._heaps.setdefault(queued.rank, [])
        heapq.heappush(heap, (queued.sort_key(), self._push_count, queued))

    def pop(self, rank: int) -> QueuedRequest | None:
        """Removes and returns a rank's next open request, or None."""
        heap = self._heaps.get(rank)
        while heap:
            _, _, queued = heapq.heappop(heap)
            if queued.is_open:
                return queued
        # Nothing is queued: drop the arrivals, and clear the rounding error
        # of the work.
        self._arrivals.pop(rank, None)
        self.work_ms_by_rank[rank] = 0.0
        return None

    def on_granted(self, queued: QueuedRequest, count: int) -> None:
        """Records slots granted to a request."""
        self._add_to_totals(queued, -count)
        queued.remaining_tasks -= count
        queued.granted += count
        queued.is_open = queued.remaining_tasks > 0

    def close(self, queued: QueuedRequest) -> None:
        """Closes a request that is refused or cancelled."""
        if queued.is_open:
            self._add_to_totals(queued, -queued.remaining_tasks)
            queued.is_open = False

    def next_to_shed(self, rank: int) -> QueuedRequest | None:
        """Returns the request of a rank to refuse next.

        That is the newest request without a granted slot, so that the
        refusal comes early and older requests stay queued. Returns None if
        there is no such request.
        """
        arrivals = self._arrivals.get(rank, [])
        while arrivals:
            latest = arrivals[-1]
            if latest.is_open and not latest.granted:
                return latest
            arrivals.pop()
        return None

    def work_ahead_ms(self, queued: QueuedRequest) -> float:
        """Returns the expected slot time queued ahead of a request, in ms."""
        own_order = queued.sort_key()
        same_rank = sum(
            other.remaining_work_ms
            for order, _, other in self._heaps.get(queued.rank, ())
            if order <= own_order and other.is_open and other is not queued
        )
        return self.total_ms(queued.rank - 1) + same_rank

    def _add_to_totals(self, queued: QueuedRequest, tasks: int) -> None:
        """Adds tasks to the totals, or subtracts them if negative."""
        work_ms = tasks * queued.task_ms
        self.work_ms_by_rank[queued.rank] = (
            self.work_ms_by_rank.get(queued.rank, 0.0) + work_ms
        )
        member = queued.request.member
        self.tasks_by_member[member] = (
            self.tasks_by_member.get(member, 0) + tasks
        )
