"""Decides which waiting job workers are reserved for.

A job qualifies if it is kept, waits for room that workers could make, and none
of its tasks was started for a time while it was the first of those with the
same need. Of each service the one that waits longest gets a reservation.
"""

from collections.abc import Iterable

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.pool.admission import idle_in_ms
from clayfield.pool.fleet import Fleet
from clayfield.pool.job_table import JobTable
from clayfield.pool.needs import Need, count_fitting, is_of_kind
from clayfield.pool.reservations import Reservation, Reservations
from clayfield.pool.stalls import StalledNeeds, usable_capacity
from clayfield.pool.tasks import OpenJob
from clayfield.pool.worker import Worker

REVIEW_MS = 100.0
# How long a job may be overtaken by others; below the 3 s after which callers
# count a job that could run as forgotten.
MAX_OVERTAKEN_MS = 2000.0


class Reserver:
    """Makes and ends the reservations of one scheduler."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_jobs",
        "_next_ms",
        "_reservations",
        "_stalled",
        "_waits",
    )

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        jobs: JobTable,
        stalled: StalledNeeds,
        reservations: Reservations,
    ):
        """Creates it without reservations.

        Args:
            clock: source of the current time.
            fleet: the workers.
            jobs: the open jobs.
            stalled: the needs that no worker can meet.
            reservations: the reservations, which it changes.
        """
        self._clock = clock
        self._fleet = fleet
        self._jobs = jobs
        self._stalled = stalled
        self._reservations = reservations
        self._next_ms = 0.0
        # Number of starts of a job, and since when it has had that, by key.
        self._waits: dict[str, tuple[int, float]] = {}

    def review_if_due(self) -> None:
        """Updates the reservations, at intervals."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + REVIEW_MS
        heads = self._overtaken_heads(now_ms)
        for service in {*heads, *self._reservations.services()}:
            self._review(service, heads.get(service), now_ms)

    def _overtaken_heads(self, now_ms: float) -> dict[str, OpenJob]:
        """Returns by service the job that has been overtaken for longest."""
        waits: dict[str, tuple[int, float]] = {}
        longest: dict[str, tuple[float, OpenJob]] = {}
        for needs, positions in self._jobs.waiting.groups().items():
            open_job = self._jobs.waiting.job(positions[0].key)
            if not open_job.job.is_kept or not self._placeable(needs):
                continue
            starts, since_ms = self._waits.get(
                open_job.job.key, (open_job.start_count, now_ms)
            )
            if starts != open_job.start_count or not open_job.is_placeable:
                since_ms = now_ms
            waits[open_job.job.key] = (open_job.start_count, since_ms)
            service = open_job.job.service
            if now_ms - since_ms >= MAX_OVERTAKEN_MS and (
                service not in longest or since_ms < longest[service][0]
            ):
                longest[service] = (since_ms, open_job)
        self._waits = waits
        return {service: job for service, (_, job) in longest.items()}

    def _review(
        self, service: str, open_job: OpenJob | None, now_ms: float
    ) -> None:
        """Updates the reservation of a service.

        Args:
            service: the service.
            open_job: the job that qualifies, None without one.
            now_ms: the current time, in ms.
        """
        if open_job is None:
            self._reservations.cancel(service)
            return
        need = self._largest_need(open_job)
        current = self._reservations.get(service)
        if current and current.job.key == open_job.job.key:
            reserved = [
                self._fleet.workers[name]
                for name in current.workers
                if name in self._fleet.workers
            ]
            is_usable = _select(need, reserved, now_ms) == current.workers
            if is_usable and not _has_room(need, reserved, now_ms):
                return
        workers = self._fleet.leasable_workers()
        names = _select(need, workers, now_ms)
        if not names or _has_room(need, workers, now_ms):
            self._reservations.cancel(service)
            return
        self._reservations.put(Reservation(open_job.job, names))
        emit(
            Event.WORKERS_RESERVED,
            job=open_job.job.key,
            queue=open_job.job.queue,
            workers=sorted(names),
            cpu=need.cpu,
            gang_size=need.gang_size,
        )

    def _placeable(self, needs: Iterable[Need]) -> list[Need]:
        """Returns the needs that some worker could meet if it had room.

        Suspects are left out: workers are set aside for them. So are stages
        that also wait for tickets, or for other tasks of the stage.
        """
        return [
            need
            for need in needs
            if need not in self._stalled.needs
            and not need.isolation
            and not need.stage
        ]

    def _largest_need(self, open_job: OpenJob) -> Need:
        """Returns the need of a job that takes most of a worker."""
        needs, _ = self._jobs.waiting.place_of(open_job.job.key)
        return max(
            self._placeable(needs),
            key=lambda need: (need.gang_size, need.cpu, need.memory_mb),
        )


def _select(need: Need, workers: list[Worker], now_ms: float) -> frozenset[str]:
    """Returns the workers that can make room for a need first; may be empty."""
    usable = [
        worker
        for worker in workers
        if is_of_kind(worker, need) and worker.accepts_tasks(now_ms)
    ]
    usable.sort(key=lambda worker: idle_in_ms(worker, now_ms))
    missing = need.gang_size
    names: set[str] = set()
    for worker in usable:
        count = count_fitting(need, *usable_capacity(worker))
        if count:
            names.add(worker.name)
            missing -= count
        if missing <= 0:
            return frozenset(names)
    return frozenset()


def _has_room(need: Need, workers: list[Worker], now_ms: float) -> bool:
    """Returns whether there is room for a need now.

    A job that waits all the same waits for something else.
    """
    fitting = sum(
        count_fitting(need, *worker.free)
        for worker in workers
        if is_of_kind(worker, need) and worker.accepts_tasks(now_ms)
    )
    return fitting >= need.gang_size
