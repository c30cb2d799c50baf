"""What all HTTP servers of a process share to count refused clients."""

from clayfield.base import MonotonicClock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter

# Least time between two log lines with the same reason.
LOG_INTERVAL_MS = 1000.0


class ClientGuard:
    """The clients that a process has refused, by reason.

    Attributes:
        refused: number of refused or disconnected clients by reason.
    """

    __slots__ = ("_log_filter", "refused")

    def __init__(self) -> None:
        """Creates the counts of a process."""
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
            )
