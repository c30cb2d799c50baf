"""The memory that a process holds for its clients, and who has to release it.

All HTTP servers and streams of a process share one `MemoryBudget`. A connection
reports what is held for it; once the total is above the limit, those that
progress most slowly release what they hold.
"""

import abc
from collections.abc import Callable

# Size from which on a holder counts as large.
LARGE_BYTES = 20_480
# Share of the limit that large holders may use together; the rest is left to
# ordinary requests.
LARGE_SHARE = 0.75
# Once over a limit, holders are released down to this share of it, so that the
# slowest ones are not searched for at each arrival.
RELEASE_SHARE = 0.95
MB = 1024 * 1024
# What a process needs before it serves any client.
BASE_MB = 80
# Part of the memory above `BASE_MB` that is used for requests. The rest is for
# decoded jobs, for copies and for what the allocator does not give back.
REQUEST_SHARE = 0.3
JOB_SHARE = 0.45
# With less, the largest configuration could not be received.
MIN_LIMIT_MB = 6.0


class Holder(abc.ABC):
    """A connection for whose peer memory is held.

    Attributes:
        held_bytes: what the connection has reported to its budget last.
    """

    held_bytes = 0

    @property
    @abc.abstractmethod
    def can_release(self) -> bool:
        """Whether `release` frees memory."""

    @abc.abstractmethod
    def rate(self, now_s: float) -> float:
        """Returns how fast it has come to hold that much, in bytes a second.

        Args:
            now_s: current time of the reactor, in s.
        """

    @abc.abstractmethod
    def release(self) -> None:
        """Frees what is held, and ends the exchange with the peer."""


class MemoryBudget:
    """Bounds the bytes that are held for all connections of a process.

    Attributes:
        limit_bytes: most bytes for all holders.
        large_limit_bytes: most bytes for all large holders.
        held_bytes: bytes held now.
        large_bytes: those of large holders.
    """

    __slots__ = (
        "_holders",
        "_seconds",
        "held_bytes",
        "large_bytes",
        "large_limit_bytes",
        "limit_bytes",
    )

    def __init__(self, limit_bytes: int, seconds: Callable[[], float]):
        """Creates a budget of which nothing is used.

        Args:
            limit_bytes: most bytes for all holders.
            seconds: returns the current time of the reactor, in s.
        """
        self.limit_bytes = limit_bytes
        self.large_limit_bytes = int(limit_bytes * LARGE_SHARE)
        self.held_bytes = 0
        self.large_bytes = 0
        self._seconds = seconds
        self._holders: set[Holder] = set()

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Records what is held for a connection.

        Over the limit, the slowest holders release what they hold; the one
        that is updated may be among them.

        Args:
            holder: the connection.
            held_bytes: bytes that are held for it now; 0 once it is closed.
        """
        before = holder.held_bytes
        if held_bytes == before:
            return
        holder.held_bytes = held_bytes
        self.held_bytes += held_bytes - before
        if before > LARGE_BYTES:
            self.large_bytes -= before
        if held_bytes > LARGE_BYTES:
            self.large_bytes += held_bytes
        if not held_bytes:
            self._holders.discard(holder)
        elif not before:
            self._holders.add(holder)
        if held_bytes > before:
            self._enforce()

    def _is_above(self, share: float) -> bool:
        """Returns whether more is held than a share of either limit."""
        return (
            self.held_bytes > share * self.limit_bytes
            or self.large_bytes > share * self.large_limit_bytes
        )

    def _enforce(self) -> None:
        """Makes the slowest holders release memory if a limit is exceeded."""
        if not self._is_above(1.0):
            return
        now_s = self._seconds()
        slowest_first = sorted(
            self._candidates(), key=lambda holder: holder.rate(now_s)
        )
        for holder in slowest_first:
            if not self._is_above(RELEASE_SHARE):
                return
            if holder.can_release:
                holder.release()

    def _candidates(self) -> list[Holder]:
        """Returns the holders that can release, only the large ones if any."""
        large = [
            holder
            for holder in self._holders
            if holder.held_bytes > LARGE_BYTES and holder.can_release
        ]
        return large or [
            holder for holder in self._holders if holder.can_release
        ]


def request_limit_bytes(memory_mb: int) -> int:
    """Returns the budget for requests of a process with some memory."""
    share_mb = (memory_mb - BASE_MB) * REQUEST_SHARE
    return int(max(MIN_LIMIT_MB, share_mb) * MB)


def job_limit_bytes(memory_mb: int) -> int:
    """Returns the budget for open jobs of a process with some memory."""
    share_mb = (memory_mb - BASE_MB) * JOB_SHARE
    return int(max(MIN_LIMIT_MB, share_mb) * MB)
