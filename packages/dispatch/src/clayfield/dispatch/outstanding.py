"""Messages that wait for an answer and are sent again until it comes."""

from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Item = TypeVar("Item")


class _Sent:
    __slots__ = ("item", "sent_ms", "since_ms")

    def __init__(self, item: object, now_ms: float):
        self.item = item
        self.since_ms = now_ms
        self.sent_ms = now_ms


class Outstanding(Generic[Key, Item]):
    """What was sent and not answered yet, by key."""

    __slots__ = ("_resend_ms", "_sent")

    def __init__(self, resend_ms: float):
        self._resend_ms = resend_ms
        self._sent: dict[Key, _Sent] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def __contains__(self, key: Key) -> bool:
        return key in self._sent

    def add(self, key: Key, item: Item, now_ms: float) -> None:
        """Takes what was just sent; what has the key already stays."""
        self._sent.setdefault(key, _Sent(item, now_ms))

    def pop(self, key: Key) -> Item | None:
        """Takes out what was answered, None if nothing has the key."""
        sent = self._sent.pop(key, None)
        return sent.item if sent else None

    def due(self, now_ms: float) -> list[Item]:
        """Returns what is to be sent again now."""
        due = []
        for sent in self._sent.values():
            if now_ms - sent.sent_ms >= self._resend_ms:
                sent.sent_ms = now_ms
                due.append(sent.item)
        return due

    def expire(
        self, now_ms: float, timeout_ms: float
    ) -> list[tuple[Key, Item]]:
        """Takes out, with their keys, what has waited for too long."""
        late = [
            key
            for key, sent in self._sent.items()
            if now_ms - sent.since_ms >= timeout_ms
        ]
        return [(key, self._sent.pop(key).item) for key in late]
