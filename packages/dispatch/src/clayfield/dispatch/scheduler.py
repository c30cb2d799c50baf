"""Decides which request gets which slot of a hall's workers.

One box of a hall schedules at a time: the leader of the hall's claims. Its
state is soft. A new leader builds it from what the boxes report; a slot that
is granted twice in between costs a refusal by the worker, never a second
start.

Order: strictly by class; within a class the least remaining work, with
ageing. Slots are held back for the first class by its own load. When more
work waits than the limit, the cheapest that has not started is refused.
"""

from clayfield.base import Clock, Kind
from clayfield.config import Configuration, Service
from clayfield.dispatch.estimate import Estimates
from clayfield.dispatch.headroom import Headroom
from clayfield.dispatch.queue import Queue, Waiting
from clayfield.dispatch.workers import FreeSlots, Worker, WorkerInfo
from clayfield.wire.messages import (
    RELEASE_DONE,
    RELEASE_LEAVING,
    RELEASE_LOST,
    RELEASE_REFUSED,
    Message,
    SlotCancel,
    SlotGrant,
    SlotRefuse,
    SlotRelease,
    SlotRequest,
    SlotSync,
)

# A grant or request younger than this may not be in a box's report yet.
SYNC_GRACE_MS = 1000.0
MIN_RETRY_AFTER_MS = 100
# How often a request that waits is checked for still having a worker.
NO_WORKER_MS = 3000.0
MOST_HELD_BACK = 0.25
# The cheapest class may fill this much less of the queue than the dearest.
CHEAPEST_GIVES_WAY = 0.5


class Grant:
    """A slot that is held by a box.

    Attributes:
        number: names it between scheduler and box.
        node: the box's node.
        worker: whose slot it is.
        pool: the worker's pool when it was granted.
        request: what it was granted for.
        is_first: whether for the class that goes first.
        since_ms: when it was granted.
    """

    __slots__ = (
        "is_first",
        "node",
        "number",
        "pool",
        "request",
        "since_ms",
        "worker",
    )

    def __init__(
        self,
        number: int,
        node: str,
        worker: str,
        pool: str,
        request: SlotRequest,
        is_first: bool,
        since_ms: float,
    ):
        self.number = number
        self.node = node
        self.worker = worker
        self.pool = pool
        self.request = request
        self.is_first = is_first
        self.since_ms = since_ms


class _Pool:
    """What the workers of one pool and their queue are doing."""

    __slots__ = ("capacity", "first_held", "free", "headroom", "held", "queue")

    def __init__(self) -> None:
        self.free = FreeSlots()
        self.queue = Queue()
        self.headroom = Headroom()
        self.first_held = 0
        self.held = 0
        self.capacity = 0


class Scheduler:
    """The scheduler of one hall.

    Attributes:
        outbox: (node, message) pairs to send; the caller empties it.
    """

    def __init__(
        self, clock: Clock, hall: str, first_grant: int, cfg: Configuration
    ):
        """Starts with nothing known.

        Args:
            clock: the time.
            hall: whose workers to schedule.
            first_grant: number of the first grant; must be above every grant
                of earlier schedulers.
            cfg: the configuration in force.
        """
        self.outbox: list[tuple[str, Message]] = []
        self._clock = clock
        self._hall = hall
        self._next_grant = first_grant
        self._cfg = cfg
        self._ranks = cfg.ranks()
        self._workers: dict[str, Worker] = {}
        self._pools: dict[str, _Pool] = {}
        self._grants: dict[int, Grant] = {}
        self._waiting: dict[tuple[str, int], Waiting] = {}
        self._running_of: dict[str, int] = {}
        self._estimates = Estimates()
        self._dirty: dict[str, None] = {}

    @property
    def queued_work_ms(self) -> float:
        """The slot time that requests wait for."""
        return sum(
            sum(pool.queue.work_ms.values()) for pool in self._pools.values()
        )

    @property
    def free_slots(self) -> int:
        """The slots that nobody holds."""
        return sum(pool.free.total for pool in self._pools.values())

    # What is known of the world.

    def set_config(self, cfg: Configuration) -> None:
        """Takes the configuration in force."""
        self._cfg = cfg
        self._ranks = cfg.ranks()
        for pool in self._pools.values():
            pool.queue = Queue()
        for waiting in list(self._waiting.values()):
            self._requeue(waiting)

    def _requeue(self, waiting: Waiting) -> None:
        """Files a request anew, under its class and pool of today."""
        service = self._cfg.services.get(waiting.request.service)
        rank = self._ranks.get(waiting.request.priority)
        if service is None or rank is None:
            del self._waiting[waiting.node, waiting.request.request]
            self._refuse(
                waiting.node,
                waiting.request,
                Kind.NOT_FOUND,
                "Its service or class is gone.",
                0,
            )
            return
        waiting.rank = rank
        waiting.pool = service.pool
        self._pool(service.pool).queue.add(waiting)
        self._dirty[service.pool] = None

    def set_workers(self, infos: list[WorkerInfo]) -> None:
        """Takes the platform list; only this hall's workers count."""
        wanted = {i.name: i for i in infos if i.hall == self._hall}
        for name in sorted(self._workers.keys() - wanted.keys()):
            self._drop_worker(name)
        for name, info in wanted.items():
            worker = self._workers.get(name)
            if worker is None:
                worker = self._workers[name] = Worker(info)
            worker.info = info
            worker.breaker.slots = info.slots
            self._refile(worker)
        self._count_capacity()

    def _count_capacity(self) -> None:
        now_ms = self._clock.now_ms()
        for pool in self._pools.values():
            pool.capacity = 0
        for worker in self._workers.values():
            if not worker.is_leaving(now_ms):
                self._pool(worker.info.pool).capacity += worker.info.slots

    def _drop_worker(self, name: str) -> None:
        worker = self._workers.pop(name)
        self._pool(worker.info.pool).free.remove(name)

    def _pool(self, name: str) -> _Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = _Pool()
        return pool

    def _refile(self, worker: Worker) -> None:
        pool = worker.info.pool
        self._pool(pool).free.update(worker, self._clock.now_ms())
        self._dirty[pool] = None

    # Events.

    def on_request(self, node: str, request: SlotRequest) -> None:
        """Takes a request, or refuses it at once."""
        key = (node, request.request)
        if key in self._waiting:
            return
        service = self._cfg.services.get(request.service)
        rank = self._ranks.get(request.priority)
        if service is None or rank is None:
            self._refuse(node, request, Kind.NOT_FOUND, "Unknown service.", 0)
            return
        waiting = self._make_waiting(node, request, service, rank)
        pool = self._pool(service.pool)
        if self._is_first(request):
            pool.headroom.observe(
                self._clock.now_ms(), request.tasks, waiting.task_ms
            )
        refusal = self._why_not(waiting, service, pool)
        if refusal:
            kind, detail, retry_ms = refusal
            self._refuse(node, request, kind, detail, retry_ms)
            return
        self._waiting[key] = waiting
        pool.queue.add(waiting)
        self._dirty[service.pool] = None

    def _make_waiting(
        self, node: str, request: SlotRequest, service: Service, rank: int
    ) -> Waiting:
        task_ms = self._estimates.mean_ms(request.service, service.expected_ms)
        return Waiting(
            node, service.pool, request, rank, task_ms, self._clock.now_ms()
        )

    def _why_not(
        self, waiting: Waiting, service: Service, pool: _Pool
    ) -> tuple[Kind, str, int] | None:
        """Returns why a request cannot be taken, None if it can."""
        if not self._has_worker(service):
            return Kind.NO_WORKER, f"Pool {service.pool!r}.", 1000
        member = self._cfg.members.get(waiting.request.member)
        limit = member.queued_tasks if member else 0
        queued = pool.queue.tasks_of.get(waiting.request.member, 0)
        is_over = limit and queued + waiting.missing > limit
        if is_over and not self._is_first(waiting.request):
            detail = f"{queued} tasks wait, {limit} may."
            return Kind.QUOTA, detail, self._drain_ms(pool, waiting.rank)
        wait_ms = self._drain_ms(pool, waiting.rank - 1)
        end_ms = self._clock.now_ms() + wait_ms + waiting.task_ms
        if end_ms > waiting.deadline_ms:
            return Kind.DEADLINE, f"{wait_ms} ms of work go before it.", wait_ms
        return None

    def _has_worker(self, service: Service) -> bool:
        now_ms = self._clock.now_ms()
        return any(
            w.info.pool == service.pool
            and not w.is_leaving(now_ms)
            and w.satisfies(*_needs(service))
            for w in self._workers.values()
        )

    def _drain_ms(self, pool: _Pool, up_to_rank: int) -> int:
        work_ms = pool.queue.total_ms(up_to_rank)
        return int(work_ms / max(1, pool.capacity))

    def _shed(self, pool: _Pool) -> None:
        """Refuses unstarted work, the cheapest first, beyond the limits.

        What counts is the work that goes before a request, so a large job is
        taken when little else waits, and does not crowd out small ones. A
        cheaper class has a lower limit: the difference is room for dearer
        work to come without driving out what was already taken.
        """
        for rank in reversed(pool.queue.ranks()):
            limit_ms = self._limit_ms(pool, rank)
            while pool.queue.total_ms(rank) > limit_ms:
                victim = pool.queue.next_to_shed(rank)
                if victim is None or pool.queue.ahead_ms(victim) <= limit_ms:
                    break
                self._refuse_waiting(
                    victim,
                    pool,
                    Kind.QUEUE_FULL,
                    "The work that waits exceeds limits.queue_ms.",
                )

    def _limit_ms(self, pool: _Pool, rank: int) -> float:
        """Returns the work that may go before a request of a rank."""
        share = 1.0 - CHEAPEST_GIVES_WAY * rank / max(1, len(self._ranks) - 1)
        return self._cfg.limits.queue_ms * max(1, pool.capacity) * share

    def _refuse_waiting(
        self, waiting: Waiting, pool: _Pool, kind: Kind, detail: str
    ) -> None:
        retry_ms = self._drain_ms(pool, waiting.rank)
        pool.queue.close(waiting)
        del self._waiting[waiting.node, waiting.request.request]
        self._refuse(waiting.node, waiting.request, kind, detail, retry_ms)

    def _refuse(
        self,
        node: str,
        request: SlotRequest,
        kind: Kind,
        detail: str,
        retry_ms: int,
    ) -> None:
        refusal = SlotRefuse(
            request.request,
            kind.code,
            detail,
            max(MIN_RETRY_AFTER_MS, retry_ms),
        )
        self.outbox.append((node, refusal))

    def on_cancel(self, node: str, cancel: SlotCancel) -> None:
        """Forgets a request; slots already granted come back as released."""
        waiting = self._waiting.pop((node, cancel.request), None)
        if waiting:
            self._pool(waiting.pool).queue.close(waiting)

    def on_release(self, node: str, release: SlotRelease) -> None:
        """Takes a slot back and learns how its worker did."""
        grant = self._grants.get(release.grant)
        if grant is None or grant.node != node:
            return
        worker = self._workers.get(grant.worker)
        if worker:
            self._learn(worker, grant, release)
        self._free(grant)

    def _learn(
        self, worker: Worker, grant: Grant, release: SlotRelease
    ) -> None:
        now_ms = self._clock.now_ms()
        match release.result:
            case r if r == RELEASE_DONE:
                worker.breaker.on_success()
                service = self._cfg.services.get(grant.request.service)
                if service:
                    self._estimates.observe(
                        grant.request.service,
                        service.expected_ms,
                        release.took_ms,
                    )
            case r if r == RELEASE_LEAVING:
                worker.on_said_leaving(now_ms)
                self._count_capacity()
            case r if r == RELEASE_REFUSED:
                worker.breaker.on_failure(now_ms, is_certain=False)
            case r if r == RELEASE_LOST:
                worker.breaker.on_failure(now_ms, is_certain=True)

    def _free(self, grant: Grant) -> None:
        del self._grants[grant.number]
        member = grant.request.member
        self._running_of[member] -= 1
        pool = self._pool(grant.pool)
        pool.held -= 1
        pool.first_held -= grant.is_first
        worker = self._workers.get(grant.worker)
        if worker:
            worker.held -= 1
            self._refile(worker)

    def nodes(self) -> set[str]:
        """Returns the boxes' nodes that hold or wait for slots."""
        holders = {grant.node for grant in self._grants.values()}
        return holders | {node for node, _ in self._waiting}

    def on_node_lost(self, node: str) -> None:
        """Frees what a box held that is gone."""
        for grant in [g for g in self._grants.values() if g.node == node]:
            self._free(grant)
        for key in [k for k in self._waiting if k[0] == node]:
            self.on_cancel(node, SlotCancel(key[1]))

    def on_sync(self, node: str, sync: SlotSync) -> None:
        """Makes this state agree with what a box reports."""
        now_ms = self._clock.now_ms()
        held = {slot.grant for slot in sync.held}
        for grant in [g for g in self._grants.values() if g.node == node]:
            is_old = now_ms - grant.since_ms > SYNC_GRACE_MS
            if grant.number not in held and is_old:
                self._free(grant)
        for slot in sync.held:
            if slot.grant not in self._grants:
                self._adopt(node, slot.grant, slot.worker, slot.request)
        wanted = {request.request for request in sync.waiting}
        for key, waiting in list(self._waiting.items()):
            is_old = now_ms - waiting.arrived_ms > SYNC_GRACE_MS
            if key[0] == node and key[1] not in wanted and is_old:
                self.on_cancel(node, SlotCancel(key[1]))
        for request in sync.waiting:
            self.on_request(node, request)

    def _adopt(
        self, node: str, number: int, worker: str, request: SlotRequest
    ) -> None:
        service = self._cfg.services.get(request.service)
        self._hold(
            Grant(
                number,
                node,
                worker,
                service.pool if service else "",
                request,
                self._is_first(request),
                self._clock.now_ms(),
            )
        )

    def _hold(self, grant: Grant) -> None:
        self._grants[grant.number] = grant
        member = grant.request.member
        self._running_of[member] = self._running_of.get(member, 0) + 1
        pool = self._pool(grant.pool)
        pool.held += 1
        pool.first_held += grant.is_first
        worker = self._workers.get(grant.worker)
        if worker:
            worker.held += 1
            self._refile(worker)

    def tick(self) -> None:
        """Lets time act: pauses end, deadlines pass, workers stay away."""
        now_ms = self._clock.now_ms()
        for worker in self._workers.values():
            if worker.is_changing(now_ms):
                self._refile(worker)
        for waiting in list(self._waiting.values()):
            pool = self._pool(waiting.pool)
            is_late = now_ms + waiting.task_ms > waiting.deadline_ms
            if is_late and not waiting.granted:
                self._refuse_waiting(
                    waiting, pool, Kind.DEADLINE, "It waited too long."
                )
            elif now_ms >= waiting.check_ms:
                waiting.check_ms = now_ms + NO_WORKER_MS
                self._refuse_if_no_worker(waiting, pool)

    def _refuse_if_no_worker(self, waiting: Waiting, pool: _Pool) -> None:
        service = self._cfg.services[waiting.request.service]
        if not self._has_worker(service):
            self._refuse_waiting(
                waiting, pool, Kind.NO_WORKER, f"Pool {waiting.pool!r}."
            )

    # Granting.

    def assign(self) -> None:
        """Grants all slots that can be granted now."""
        while self._dirty:
            pool = self._pool(self._dirty.popitem()[0])
            self._assign_pool(pool)
            self._shed(pool)

    def _assign_pool(self, pool: _Pool) -> None:
        for rank in pool.queue.ranks():
            set_aside: list[Waiting] = []
            while self._has_slot(pool, rank):
                waiting = pool.queue.pop(rank)
                if waiting is None:
                    break
                self._grant(pool, waiting)
                if waiting.is_open:
                    set_aside.append(waiting)
            for waiting in set_aside:
                pool.queue.push_back(waiting)

    def _has_slot(self, pool: _Pool, rank: int) -> bool:
        if rank == 0:
            return pool.free.total > 0
        return pool.free.total > self._held_back(pool)

    def _held_back(self, pool: _Pool) -> int:
        """Returns the free slots that are kept for the first class.

        They are at most a share of the slots that are there now, so that
        workers that return slot by slot get work to return with.
        """
        target = pool.headroom.target(self._clock.now_ms())
        most = int((pool.free.total + pool.held) * MOST_HELD_BACK)
        return max(0, min(target - pool.first_held, most))

    def _grant(self, pool: _Pool, waiting: Waiting) -> None:
        service = self._cfg.services[waiting.request.service]
        needs = _needs(service)
        granted: list[tuple[int, str]] = []
        while waiting.missing and self._has_slot(pool, waiting.rank):
            if self._is_over_quota(waiting):
                break
            avoid = waiting.racks if service.spread_racks else None
            worker = pool.free.choose(needs, avoid)
            if worker is None:
                break
            granted.append(self._grant_one(pool, waiting, worker))
        if granted:
            message = SlotGrant(waiting.request.request, granted)
            self.outbox.append((waiting.node, message))
        if not waiting.is_open:
            self._waiting.pop((waiting.node, waiting.request.request), None)

    def _grant_one(
        self, pool: _Pool, waiting: Waiting, worker: Worker
    ) -> tuple[int, str]:
        number = self._next_grant
        self._next_grant += 1
        self._hold(
            Grant(
                number,
                waiting.node,
                worker.info.name,
                waiting.pool,
                waiting.request,
                self._is_first(waiting.request),
                self._clock.now_ms(),
            )
        )
        waiting.racks.add(worker.info.rack)
        pool.queue.on_granted(waiting, 1)
        return number, worker.info.name

    def _is_over_quota(self, waiting: Waiting) -> bool:
        member = self._cfg.members.get(waiting.request.member)
        if member is None or not member.slots:
            return False
        if self._is_first(waiting.request):
            return False
        running = self._running_of.get(waiting.request.member, 0)
        return running >= member.slots

    def _is_first(self, request: SlotRequest) -> bool:
        return self._ranks.get(request.priority) == 0


def _needs(service: Service) -> tuple[int, int, int]:
    return service.cores, service.memory_mb, service.accelerators
