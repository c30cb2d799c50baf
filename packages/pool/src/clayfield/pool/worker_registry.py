"""The heartbeats that an entry node has received, by name of the worker.

Several writers may use one name: the worker, and others whose heartbeats are
sound but not the worker's. A writer is identified by its service and address,
which stay the same while a worker runs. The numbers of heartbeats order those
of one writer only, so that another writer can't make them count as outdated.
"""

from collections.abc import Set

from clayfield.wire.jobs import WorkerInfo

# Writers that are recorded for one name; further ones are ignored.
MAX_WRITERS = 8


class WorkerRegistry:
    """The latest heartbeat of each writer, by name of the worker."""

    __slots__ = ("_by_name",)

    def __init__(self) -> None:
        self._by_name: dict[str, list[WorkerInfo]] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._by_name

    def names(self) -> list[str]:
        """Returns the names under which heartbeats are recorded."""
        return list(self._by_name)

    def all(self) -> tuple[WorkerInfo, ...]:
        """Returns the latest heartbeat of each writer."""
        return tuple(info for infos in self._by_name.values() for info in infos)

    def put(self, info: WorkerInfo) -> WorkerInfo | None:
        """Records a heartbeat.

        Returns:
            None if it was recorded, else the heartbeat of the same writer by
            which it counts as outdated, or the first one of the name if there
            are too many writers.
        """
        infos = self._by_name.setdefault(info.name, [])
        for position, existing in enumerate(infos):
            if existing.is_same_writer(info):
                if info.is_older_than(existing):
                    return existing
                infos[position] = info
                return None
        if len(infos) >= MAX_WRITERS:
            return infos[0]
        infos.append(info)
        return None

    def select(
        self,
        name: str,
        services: Set[str] | None,
        in_use: WorkerInfo | None = None,
    ) -> WorkerInfo | None:
        """Returns the heartbeat that describes the worker of a name.

        That is one of the latest incarnation, of the writer in use if there is
        one, else of the writer that was recorded first.

        Args:
            name: name of the worker.
            services: the services that may be used, None for any.
            in_use: the worker as it is used now; its service may be used even
                if it is not named any more.

        Returns:
            The heartbeat, None if no writer has a service that may be used.
        """
        usable = [
            info
            for info in self._by_name.get(name, ())
            if services is None
            or info.service in services
            or (in_use and info.is_same_writer(in_use))
        ]
        if not usable:
            return None
        return max(
            usable,
            key=lambda info: (
                info.born_ms,
                in_use is not None and info.is_same_writer(in_use),
            ),
        )

    def remove(
        self, name: str, born_ms: int, address: str = ""
    ) -> list[WorkerInfo]:
        """Removes the heartbeats of incarnations that have ended.

        Args:
            name: name of the worker.
            born_ms: start time of the incarnation that has ended, in ms since
                1970; later ones remain. 0 for any.
            address: address of the writer, "" for all writers.

        Returns:
            The heartbeats that were removed.
        """
        kept: list[WorkerInfo] = []
        removed: list[WorkerInfo] = []
        for info in self._by_name.pop(name, ()):
            is_later = born_ms and info.born_ms > born_ms
            is_other = address and info.address != address
            (kept if is_later or is_other else removed).append(info)
        if kept:
            self._by_name[name] = kept
        return removed
