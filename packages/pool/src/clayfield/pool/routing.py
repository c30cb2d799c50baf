"""Finds the route of a request, which determines its queue."""

from clayfield.wire.jobs import Limits, Route, RoutingTable, normalize_host


class Routes:
    """An index of a routing table.

    Attributes:
        version: version of the table, 0 if there is none.
        limits: limits of a single request.
        services: names of the services.
    """

    __slots__ = ("_by_host", "limits", "services", "version")

    def __init__(self, table: RoutingTable | None = None):
        """Indexes a table.

        Args:
            table: the table; None for one without routes.
        """
        self.version = table.version if table else 0
        self.limits = table.limits if table else Limits()
        services = table.services if table else ()
        self.services = frozenset(service.name for service in services)
        self._by_host: dict[str, list[Route]] = {}
        for route in table.routes if table else ():
            host = normalize_host(route.host)
            self._by_host.setdefault(host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the matching route with the longest prefix, or None.

        Args:
            host: value of the request's Host header.
            path: path of the request.
        """
        for route in self._by_host.get(normalize_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None
