"""Questions about keys, asked of their home halls."""

from clayfield.wire.messages import Lookup

RESEND_MS = 300.0
TIMEOUT_MS = 3000.0


class _Asked:
    __slots__ = ("lookup", "sent_ms", "since_ms", "waiter")

    def __init__(self, lookup: Lookup, waiter: object, now_ms: float):
        self.lookup = lookup
        self.waiter = waiter
        self.since_ms = now_ms
        self.sent_ms = now_ms


class Lookups:
    """The questions of one box that are not answered yet.

    Their numbers are negative, those of submissions positive.
    """

    __slots__ = ("_asked", "_node", "_number")

    def __init__(self, node: str):
        self._node = node
        self._number = 0
        self._asked: dict[int, _Asked] = {}

    def ask(self, key: str, waiter: object, now_ms: float) -> Lookup:
        """Returns the question to send."""
        self._number -= 1
        lookup = Lookup(key, self._node, self._number)
        self._asked[self._number] = _Asked(lookup, waiter, now_ms)
        return lookup

    def take(self, number: int) -> object | None:
        """Returns who asked, once; None for a number not asked."""
        asked = self._asked.pop(number, None)
        return asked.waiter if asked else None

    def due(self, now_ms: float) -> list[Lookup]:
        """Returns the questions to send again now."""
        due = []
        for asked in self._asked.values():
            if now_ms - asked.sent_ms >= RESEND_MS:
                asked.sent_ms = now_ms
                due.append(asked.lookup)
        return due

    def expired(self, now_ms: float) -> list[object]:
        """Returns, once, the waiters whose questions stay unanswered."""
        numbers = [
            number
            for number, asked in self._asked.items()
            if now_ms - asked.since_ms >= TIMEOUT_MS
        ]
        return [self.take(number) for number in numbers]
