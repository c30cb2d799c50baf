"""The routes in force: which queue a request belongs to."""

from clayfield.wire.jobs import Limits, Route, RoutingTable


class Routes:
    """A routing table, ready to be asked.

    Attributes:
        version: of the table, 0 where there is none.
        limits: of one request.
    """

    __slots__ = ("_by_host", "limits", "version")

    def __init__(self, table: RoutingTable | None = None):
        self.version = table.version if table else 0
        self.limits = table.limits if table else Limits()
        self._by_host: dict[str, list[Route]] = {}
        for route in table.routes if table else ():
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a host whose prefix is the longest."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
