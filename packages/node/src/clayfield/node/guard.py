"""What all HTTP servers of a process share to bound what their clients use."""

from twisted.internet import interfaces

from clayfield.base import MonotonicClock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter
from clayfield.base.turns import ReadScheduler
from clayfield.node.budget import MemoryBudget, request_limit_bytes

DEFAULT_MEMORY_MB = 300
# Least time between two log lines with the same reason.
LOG_INTERVAL_MS = 1000.0


class ClientGuard:
    """The limits on what the clients of a process may use together.

    Attributes:
        budget: the memory that is held for clients.
        turns: the time that reading from clients takes.
        refused: number of refused or disconnected clients by reason.
    """

    __slots__ = ("_log_filter", "budget", "refused", "turns")

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        memory_mb: int = DEFAULT_MEMORY_MB,
    ):
        """Creates the limits of a process.

        Args:
            reactor: the twisted reactor.
            memory_mb: memory that the process may use, in MB.
        """
        # Looked up at each call, as the reactor's clock may be replaced.
        self.budget = MemoryBudget(
            request_limit_bytes(memory_mb), lambda: reactor.seconds()
        )
        self.turns = ReadScheduler(reactor)
        self.refused: dict[str, int] = {}
        self._log_filter = RepeatFilter(MonotonicClock(), LOG_INTERVAL_MS)

    def on_refused(
        self, reason: str, peer: str, figure: float, limit: float
    ) -> None:
        """Counts a refused or disconnected client; logs it unless done lately.

        Args:
            reason: which limit was exceeded.
            peer: address of the client.
            figure: the value that exceeded the limit.
            limit: the limit.
        """
        self.refused[reason] = self.refused.get(reason, 0) + 1
        if self._log_filter.is_due(reason):
            emit(
                Event.CLIENT_REFUSED,
                reason=reason,
                peer=peer,
                figure=round(figure),
                limit=round(limit),
                held_bytes=self.budget.held_bytes,
            )
