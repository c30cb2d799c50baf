"""Tracks unanswered messages and when to send them again."""

from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Item = TypeVar("Item")


class _SentMessage:
    """An unanswered message, with the times of its first and last sending."""

    __slots__ = ("first_sent_ms", "item", "last_sent_ms")

    def __init__(self, item: object, now_ms: float):
        self.item = item
        self.first_sent_ms = now_ms
        self.last_sent_ms = now_ms


class RetransmitTable(Generic[Key, Item]):
    """Messages that were sent and have no reply yet, by key."""

    __slots__ = ("_resend_ms", "_sent")

    def __init__(self, resend_ms: float):
        """Makes an empty table.

        Args:
            resend_ms: interval between two sendings of a message, in ms.
        """
        self._resend_ms = resend_ms
        self._sent: dict[Key, _SentMessage] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def __contains__(self, key: Key) -> bool:
        return key in self._sent

    def add(self, key: Key, item: Item, now_ms: float) -> None:
        """Adds a message just sent, unless its key is already present."""
        self._sent.setdefault(key, _SentMessage(item, now_ms))

    def pop(self, key: Key) -> Item | None:
        """Removes and returns the message with a key, or None."""
        sent = self._sent.pop(key, None)
        return sent.item if sent else None

    def due(self, now_ms: float) -> list[Item]:
        """Returns the messages due to be sent again; restarts their timers."""
        due = []
        for sent in self._sent.values():
            if now_ms - sent.last_sent_ms >= self._resend_ms:
                sent.last_sent_ms = now_ms
                due.append(sent.item)
        return due

    def expire(
        self, now_ms: float, timeout_ms: float
    ) -> list[tuple[Key, Item]]:
        """Removes and returns overdue messages as (key, message) pairs.

        Args:
            now_ms: the current time, in ms.
            timeout_ms: time since the first sending after which a message is
                overdue, in ms.
        """
        overdue = [
            key
            for key, sent in self._sent.items()
            if now_ms - sent.first_sent_ms >= timeout_ms
        ]
        return [(key, self._sent.pop(key).item) for key in overdue]
