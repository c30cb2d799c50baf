"""Assigns the slots of a hall's workers to requests.

A slot is the right to run one task on a worker. One box of a hall schedules
at a time: the leader of the hall's claims. Its state is soft: a new leader
rebuilds it from what the boxes report. If a slot is granted twice in between,
the worker refuses the second task, so no task starts twice.

Order: strictly by priority class; within a class by least remaining work,
with ageing. Some slots are reserved for the top class (rank 0) according to
its load. While the queued work exceeds its limit, requests that have no slot
yet are refused, those of the lowest-priced class first.
"""

from clayfield.base import Clock, ErrorKind
from clayfield.config import Configuration, Service
from clayfield.dispatch.headroom import Headroom
from clayfield.dispatch.request_queue import QueuedRequest, RequestQueue
from clayfield.dispatch.task_times import TaskTimeEstimates
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

# A grant or request younger than this may be missing from a box's report.
SYNC_GRACE_MS = 1000.0
MIN_RETRY_AFTER_MS = 100
# Interval at which a queued request is checked for a suitable worker.
WORKER_CHECK_MS = 3000.0
# Largest share of a pool's usable slots that is reserved for the top class.
MAX_RESERVED_SHARE = 0.25
# Share by which the queue limit of the lowest-priced class is below that of
# the top class.
LOWEST_CLASS_REDUCTION = 0.5


class GrantedSlot:
    """A slot that a box holds.

    Attributes:
        number: number of the grant, unique over the hall's schedulers.
        node: node of the box that holds the slot.
        worker: name of the worker.
        pool: the worker's pool at the time of the grant.
        request: the request that the slot was granted for.
        is_top_class: whether the request is of the top class.
        since_ms: time of the grant, in ms.
    """

    __slots__ = (
        "is_top_class",
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
        is_top_class: bool,
        since_ms: float,
    ):
        self.number = number
        self.node = node
        self.worker = worker
        self.pool = pool
        self.request = request
        self.is_top_class = is_top_class
        self.since_ms = since_ms


class _Pool:
    """Slots and queued requests of one pool of workers.

    Attributes:
        free: the workers by number of free slots.
        queue: the requests that wait for slots.
        headroom: estimate of the slots that the top class needs.
        top_class_held: number of slots held for the top class.
        held: number of slots held in all.
        capacity: number of slots of the workers that are not leaving.
    """

    __slots__ = (
        "capacity",
        "free",
        "headroom",
        "held",
        "queue",
        "top_class_held",
    )

    def __init__(self) -> None:
        self.free = FreeSlots()
        self.queue = RequestQueue()
        self.headroom = Headroom()
        self.top_class_held = 0
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
        """Makes a scheduler without workers and requests.

        Args:
            clock: source of the current time.
            hall: the hall whose workers are scheduled.
            first_grant: number of the first grant; must be above every grant
                number of earlier schedulers of the hall.
            cfg: the active configuration.
        """
        self.outbox: list[tuple[str, Message]] = []
        self._clock = clock
        self._hall = hall
        self._next_grant = first_grant
        self._cfg = cfg
        self._ranks = cfg.class_ranks()
        self._workers: dict[str, Worker] = {}
        self._pools: dict[str, _Pool] = {}
        self._grants: dict[int, GrantedSlot] = {}
        self._queued: dict[tuple[str, int], QueuedRequest] = {}
        self._held_by_member: dict[str, int] = {}
        self._estimates = TaskTimeEstimates()
        self._changed_pools: dict[str, None] = {}

    @property
    def queued_work_ms(self) -> float:
        """Expected slot time of all queued tasks, in ms."""
        return sum(
            sum(pool.queue.work_ms_by_rank.values())
            for pool in self._pools.values()
        )

    @property
    def free_slots(self) -> int:
        """Number of free slots in all pools."""
        return sum(pool.free.total for pool in self._pools.values())

    def set_config(self, cfg: Configuration) -> None:
        """Activates a configuration and sorts all queued requests by it."""
        self._cfg = cfg
        self._ranks = cfg.class_ranks()
        for pool in self._pools.values():
            pool.queue = RequestQueue()
        for queued in list(self._queued.values()):
            self._reclassify(queued)

    def _reclassify(self, queued: QueuedRequest) -> None:
        """Queues a request under its current class and pool.

        The request is refused if its service or class is not declared any
        more.
        """
        service = self._cfg.services.get(queued.request.service)
        rank = self._ranks.get(queued.request.priority)
        if service is None or rank is None:
            del self._queued[queued.node, queued.request.request]
            self._refuse(
                queued.node,
                queued.request,
                ErrorKind.NOT_FOUND,
                "Its service or class is gone.",
                0,
            )
            return
        queued.rank = rank
        queued.pool = service.pool
        self._pool(service.pool).queue.add(queued)
        self._changed_pools[service.pool] = None

    def set_workers(self, infos: list[WorkerInfo]) -> None:
        """Replaces the workers by those of this hall in a worker list."""
        listed = {i.name: i for i in infos if i.hall == self._hall}
        for name in sorted(self._workers.keys() - listed.keys()):
            self._remove_worker(name)
        for name, info in listed.items():
            worker = self._workers.get(name)
            if worker is None:
                worker = self._workers[name] = Worker(info)
            worker.info = info
            worker.breaker.slots = info.slots
            self._update_free_slots(worker)
        self._update_capacity()

    def _update_capacity(self) -> None:
        now_ms = self._clock.now_ms()
        for pool in self._pools.values():
            pool.capacity = 0
        for worker in self._workers.values():
            if not worker.is_leaving(now_ms):
                self._pool(worker.info.pool).capacity += worker.info.slots

    def _remove_worker(self, name: str) -> None:
        worker = self._workers.pop(name)
        self._pool(worker.info.pool).free.remove(name)

    def _pool(self, name: str) -> _Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = _Pool()
        return pool

    def _update_free_slots(self, worker: Worker) -> None:
        pool = worker.info.pool
        self._pool(pool).free.update(worker, self._clock.now_ms())
        self._changed_pools[pool] = None

    def on_request(self, node: str, request: SlotRequest) -> None:
        """Queues a request, or refuses it at once.

        A request that is already queued is ignored.
        """
        key = (node, request.request)
        if key in self._queued:
            return
        service = self._cfg.services.get(request.service)
        rank = self._ranks.get(request.priority)
        if service is None or rank is None:
            self._refuse(
                node,
                request,
                ErrorKind.NOT_FOUND,
                "Unknown service.",
                0,
            )
            return
        queued = self._make_queued(node, request, service, rank)
        pool = self._pool(service.pool)
        if self._is_top_class(request):
            pool.headroom.observe(
                self._clock.now_ms(), request.tasks, queued.task_ms
            )
        refusal = self._find_refusal(queued, service, pool)
        if refusal:
            kind, detail, retry_ms = refusal
            self._refuse(node, request, kind, detail, retry_ms)
            return
        self._queued[key] = queued
        pool.queue.add(queued)
        self._changed_pools[service.pool] = None

    def _make_queued(
        self, node: str, request: SlotRequest, service: Service, rank: int
    ) -> QueuedRequest:
        task_ms = self._estimates.mean_ms(request.service, service.expected_ms)
        return QueuedRequest(
            node, service.pool, request, rank, task_ms, self._clock.now_ms()
        )

    def _find_refusal(
        self, queued: QueuedRequest, service: Service, pool: _Pool
    ) -> tuple[ErrorKind, str, int] | None:
        """Returns why a request cannot be queued, or None if it can.

        Returns:
            Kind of error, detail, and ms after which to retry.
        """
        if not self._has_worker(service):
            return (
                ErrorKind.NO_WORKER,
                f"Pool {service.pool!r}.",
                1000,
            )
        member = self._cfg.members.get(queued.request.member)
        limit = member.queued_tasks if member else 0
        queued_tasks = pool.queue.tasks_by_member.get(queued.request.member, 0)
        is_over = limit and queued_tasks + queued.remaining_tasks > limit
        if is_over and not self._is_top_class(queued.request):
            detail = f"{queued_tasks} tasks wait, {limit} may."
            return ErrorKind.QUOTA, detail, self._drain_ms(pool, queued.rank)
        wait_ms = self._drain_ms(pool, queued.rank - 1)
        end_ms = self._clock.now_ms() + wait_ms + queued.task_ms
        if end_ms > queued.deadline_ms:
            return (
                ErrorKind.DEADLINE,
                f"{wait_ms} ms of work go before it.",
                wait_ms,
            )
        return None

    def _has_worker(self, service: Service) -> bool:
        """Returns whether any worker in service can run a service's tasks."""
        now_ms = self._clock.now_ms()
        return any(
            w.info.pool == service.pool
            and not w.is_leaving(now_ms)
            and w.satisfies(*_requirements(service))
            for w in self._workers.values()
        )

    def _drain_ms(self, pool: _Pool, up_to_rank: int) -> int:
        """Returns the ms that a pool needs for its queue up to a rank."""
        work_ms = pool.queue.total_ms(up_to_rank)
        return int(work_ms / max(1, pool.capacity))

    def _shed(self, pool: _Pool) -> None:
        """Refuses requests without slots while queued work exceeds the limits.

        The lowest-priced class goes first. A request is measured by the work
        queued ahead of it, so a large job is accepted when little else is
        queued, and it does not displace small ones. A lower-priced class has
        a lower limit, which leaves space for later requests of higher-priced
        classes without refusing accepted ones.
        """
        for rank in reversed(pool.queue.ranks()):
            limit_ms = self._queue_limit_ms(pool, rank)
            while pool.queue.total_ms(rank) > limit_ms:
                victim = pool.queue.next_to_shed(rank)
                if (
                    victim is None
                    or pool.queue.work_ahead_ms(victim) <= limit_ms
                ):
                    break
                self._refuse_queued(
                    victim,
                    pool,
                    ErrorKind.QUEUE_FULL,
                    "The work that waits exceeds limits.queue_ms.",
                )

    def _queue_limit_ms(self, pool: _Pool, rank: int) -> float:
        """Returns the ms of work allowed ahead of a request of a rank."""
        share = 1.0 - LOWEST_CLASS_REDUCTION * rank / max(
            1, len(self._ranks) - 1
        )
        return self._cfg.limits.queue_ms * max(1, pool.capacity) * share

    def _refuse_queued(
        self, queued: QueuedRequest, pool: _Pool, kind: ErrorKind, detail: str
    ) -> None:
        retry_ms = self._drain_ms(pool, queued.rank)
        pool.queue.close(queued)
        del self._queued[queued.node, queued.request.request]
        self._refuse(queued.node, queued.request, kind, detail, retry_ms)

    def _refuse(
        self,
        node: str,
        request: SlotRequest,
        kind: ErrorKind,
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
        """Removes a request from the queue.

        The box releases the slots that the request already got.
        """
        queued = self._queued.pop((node, cancel.request), None)
        if queued:
            self._pool(queued.pool).queue.close(queued)

    def on_release(self, node: str, release: SlotRelease) -> None:
        """Frees a slot and records the result that its worker gave."""
        grant = self._grants.get(release.grant)
        if grant is None or grant.node != node:
            return
        worker = self._workers.get(grant.worker)
        if worker:
            self._record_result(worker, grant, release)
        self._remove_grant(grant)

    def _record_result(
        self, worker: Worker, grant: GrantedSlot, release: SlotRelease
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
                worker.on_leaving_reported(now_ms)
                self._update_capacity()
            case r if r == RELEASE_REFUSED:
                worker.breaker.on_failure(now_ms, opens_at_once=False)
            case r if r == RELEASE_LOST:
                worker.breaker.on_failure(now_ms, opens_at_once=True)

    def _remove_grant(self, grant: GrantedSlot) -> None:
        del self._grants[grant.number]
        member = grant.request.member
        self._held_by_member[member] -= 1
        pool = self._pool(grant.pool)
        pool.held -= 1
        pool.top_class_held -= grant.is_top_class
        worker = self._workers.get(grant.worker)
        if worker:
            worker.held -= 1
            self._update_free_slots(worker)

    def active_nodes(self) -> set[str]:
        """Returns the nodes of the boxes that hold or wait for slots."""
        holders = {grant.node for grant in self._grants.values()}
        return holders | {node for node, _ in self._queued}

    def on_node_lost(self, node: str) -> None:
        """Frees the slots and removes the requests of a lost node."""
        for grant in [g for g in self._grants.values() if g.node == node]:
            self._remove_grant(grant)
        for key in [k for k in self._queued if k[0] == node]:
            self.on_cancel(node, SlotCancel(key[1]))

    def on_slot_sync(self, node: str, sync: SlotSync) -> None:
        """Aligns grants and queued requests with a box's report."""
        now_ms = self._clock.now_ms()
        held = {slot.grant for slot in sync.held}
        for grant in [g for g in self._grants.values() if g.node == node]:
            is_old = now_ms - grant.since_ms > SYNC_GRACE_MS
            if grant.number not in held and is_old:
                self._remove_grant(grant)
        for slot in sync.held:
            if slot.grant not in self._grants:
                self._restore_grant(node, slot.grant, slot.worker, slot.request)
        reported = {request.request for request in sync.waiting}
        for key, queued in list(self._queued.items()):
            is_old = now_ms - queued.arrived_ms > SYNC_GRACE_MS
            if key[0] == node and key[1] not in reported and is_old:
                self.on_cancel(node, SlotCancel(key[1]))
        for request in sync.waiting:
            self.on_request(node, request)

    def _restore_grant(
        self, node: str, number: int, worker: str, request: SlotRequest
    ) -> None:
        """Records a grant that an earlier scheduler made."""
        service = self._cfg.services.get(request.service)
        self._add_grant(
            GrantedSlot(
                number,
                node,
                worker,
                service.pool if service else "",
                request,
                self._is_top_class(request),
                self._clock.now_ms(),
            )
        )

    def _add_grant(self, grant: GrantedSlot) -> None:
        self._grants[grant.number] = grant
        member = grant.request.member
        self._held_by_member[member] = self._held_by_member.get(member, 0) + 1
        pool = self._pool(grant.pool)
        pool.held += 1
        pool.top_class_held += grant.is_top_class
        worker = self._workers.get(grant.worker)
        if worker:
            worker.held += 1
            self._update_free_slots(worker)

    def tick(self) -> None:
        """Runs the periodic work.

        Updates the free slots of workers whose pause or notice of leaving may
        have ended, and refuses queued requests that cannot meet their
        deadline or have no suitable worker.
        """
        now_ms = self._clock.now_ms()
        for worker in self._workers.values():
            if worker.may_change(now_ms):
                self._update_free_slots(worker)
        for queued in list(self._queued.values()):
            pool = self._pool(queued.pool)
            is_late = now_ms + queued.task_ms > queued.deadline_ms
            if is_late and not queued.granted:
                self._refuse_queued(
                    queued,
                    pool,
                    ErrorKind.DEADLINE,
                    "It waited too long.",
                )
            elif now_ms >= queued.next_check_ms:
                queued.next_check_ms = now_ms + WORKER_CHECK_MS
                self._refuse_if_no_worker(queued, pool)

    def _refuse_if_no_worker(self, queued: QueuedRequest, pool: _Pool) -> None:
        service = self._cfg.services[queued.request.service]
        if not self._has_worker(service):
            self._refuse_queued(
                queued,
                pool,
                ErrorKind.NO_WORKER,
                f"Pool {queued.pool!r}.",
            )

    def grant_slots(self) -> None:
        """Grants the free slots of changed pools and sheds excess requests."""
        while self._changed_pools:
            pool = self._pool(self._changed_pools.popitem()[0])
            self._assign_pool(pool)
            self._shed(pool)

    def _assign_pool(self, pool: _Pool) -> None:
        """Grants a pool's free slots to its queued requests in order."""
        for rank in pool.queue.ranks():
            incomplete: list[QueuedRequest] = []
            while self._has_slot(pool, rank):
                queued = pool.queue.pop(rank)
                if queued is None:
                    break
                self._grant(pool, queued)
                if queued.is_open:
                    incomplete.append(queued)
            for queued in incomplete:
                pool.queue.requeue(queued)

    def _has_slot(self, pool: _Pool, rank: int) -> bool:
        if rank == 0:
            return pool.free.total > 0
        return pool.free.total > self._reserved_slots(pool)

    def _reserved_slots(self, pool: _Pool) -> int:
        """Returns the number of free slots reserved for the top class.

        It is at most a share of the slots that can be used now, so that
        workers which come back slot by slot get tasks of all classes.
        """
        target = pool.headroom.target(self._clock.now_ms())
        max_reserved = int((pool.free.total + pool.held) * MAX_RESERVED_SHARE)
        return max(0, min(target - pool.top_class_held, max_reserved))

    def _grant(self, pool: _Pool, queued: QueuedRequest) -> None:
        """Grants a request as many slots as its order and quota allow."""
        service = self._cfg.services[queued.request.service]
        requirements = _requirements(service)
        granted: list[tuple[int, str]] = []
        while queued.remaining_tasks and self._has_slot(pool, queued.rank):
            if self._is_over_quota(queued):
                break
            avoid_racks = queued.racks if service.spread_racks else None
            worker = pool.free.choose(requirements, avoid_racks)
            if worker is None:
                break
            granted.append(self._grant_slot(pool, queued, worker))
        if granted:
            message = SlotGrant(queued.request.request, granted)
            self.outbox.append((queued.node, message))
        if not queued.is_open:
            self._queued.pop((queued.node, queued.request.request), None)

    def _grant_slot(
        self, pool: _Pool, queued: QueuedRequest, worker: Worker
    ) -> tuple[int, str]:
        """Grants one slot of a worker; returns grant number and worker."""
        number = self._next_grant
        self._next_grant += 1
        self._add_grant(
            GrantedSlot(
                number,
                queued.node,
                worker.info.name,
                queued.pool,
                queued.request,
                self._is_top_class(queued.request),
                self._clock.now_ms(),
            )
        )
        queued.racks.add(worker.info.rack)
        pool.queue.on_granted(queued, 1)
        return number, worker.info.name

    def _is_over_quota(self, queued: QueuedRequest) -> bool:
        member = self._cfg.members.get(queued.request.member)
        if member is None or not member.slots:
            return False
        if self._is_top_class(queued.request):
            return False
        held = self._held_by_member.get(queued.request.member, 0)
        return held >= member.slots

    def _is_top_class(self, request: SlotRequest) -> bool:
        return self._ranks.get(request.priority) == 0


def _requirements(service: Service) -> tuple[int, int, int]:
    """Returns the cores, memory in MB and accelerators of a service."""
    return service.cores, service.memory_mb, service.accelerators
