"""Workers that are reserved for jobs which others would overtake for ever.

A task that needs much of a worker, or a gang, may never find room while
smaller tasks take up whatever becomes free. After a time, the workers that can
make room for it are therefore closed to other jobs of the same or a lower
priority until it has started.
"""

from clayfield.wire.jobs import Job


class Reservation:
    """The workers that are reserved for one job.

    Attributes:
        job: the job.
        workers: names of the workers.
    """

    __slots__ = ("job", "workers")

    def __init__(self, job: Job, workers: frozenset[str]):
        self.job = job
        self.workers = workers


class Reservations:
    """The reservations, at most one for each service."""

    __slots__ = ("_by_service",)

    def __init__(self) -> None:
        self._by_service: dict[str, Reservation] = {}

    def get(self, service: str) -> Reservation | None:
        """Returns the reservation for a job of a service, None without one."""
        return self._by_service.get(service)

    def services(self) -> list[str]:
        """Returns the names of the services that have a reservation."""
        return list(self._by_service)

    def put(self, reservation: Reservation) -> None:
        """Replaces the reservation of a job's service."""
        self._by_service[reservation.job.service] = reservation

    def cancel(self, service: str) -> None:
        """Removes the reservation of a service, if there is one."""
        self._by_service.pop(service, None)

    def reserved_workers(self, service: str) -> frozenset[str]:
        """Returns the names of the workers of a service that are reserved."""
        reservation = self._by_service.get(service)
        return reservation.workers if reservation else frozenset()

    def bars(self, worker: str, job: Job) -> bool:
        """Returns whether a worker is reserved for a job before another one.

        Args:
            worker: name of the worker.
            job: the job that would use it.
        """
        reservation = self._by_service.get(job.service)
        return (
            reservation is not None
            and worker in reservation.workers
            and job.key != reservation.job.key
            and job.priority >= reservation.job.priority
        )
