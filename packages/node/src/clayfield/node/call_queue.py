"""Calls to workers that wait until fewer are open.

Each open call takes a connection, and with it a descriptor. Polls are not
counted here: there is one for each worker, and it renews the worker's lease.
"""

import collections
from collections.abc import Hashable
from typing import Generic, TypeVar

# Most open calls to one address, polls apart.
MAX_CALLS_PER_ADDRESS = 32

CallT = TypeVar("CallT")


class CallQueue(Generic[CallT]):
    """Counts open calls and keeps those that are over a bound.

    The addresses with waiting calls take turns, so that calls to one that does
    not answer keep no others waiting.
    """

    __slots__ = ("_keys", "_max_calls", "_open", "_open_count", "_waiting")

    def __init__(self, max_calls: int):
        """Creates a queue without calls.

        Args:
            max_calls: most open calls to all addresses.
        """
        self._max_calls = max_calls
        self._open: collections.Counter[str] = collections.Counter()
        self._open_count = 0
        self._waiting: collections.OrderedDict[
            str, collections.deque[tuple[Hashable, CallT]]
        ] = collections.OrderedDict()
        self._keys: set[Hashable] = set()

    @property
    def waiting(self) -> int:
        """Number of waiting calls."""
        return len(self._keys)

    @property
    def open(self) -> int:
        """Number of open calls."""
        return self._open_count

    def add(self, address: str, key: Hashable, call: CallT) -> None:
        """Adds a waiting call, unless one with the same key waits already.

        Args:
            address: address of the receiver.
            key: what the call asks for.
            call: the call.
        """
        if key in self._keys:
            return
        self._keys.add(key)
        queue = self._waiting.setdefault(address, collections.deque())
        queue.append((key, call))

    def take(self) -> CallT | None:
        """Returns the next call to send, which then counts as open."""
        if self._open_count >= self._max_calls:
            return None
        for address in self._waiting:
            if self._open[address] < MAX_CALLS_PER_ADDRESS:
                break
        else:
            return None
        queue = self._waiting[address]
        key, call = queue.popleft()
        self._keys.discard(key)
        self._waiting.move_to_end(address)
        if not queue:
            del self._waiting[address]
        self._open[address] += 1
        self._open_count += 1
        return call

    def end(self, address: str) -> None:
        """Handles the end of an open call."""
        self._open_count -= 1
        self._open[address] -= 1
        if not self._open[address]:
            del self._open[address]
