"""Files that operators handed to this box, until their fate is known."""

from clayfield.base import Clock, Kind
from clayfield.box.actions import Applied
from clayfield.config import Configuration, to_bytes
from clayfield.wire.messages import ApplyReply, ApplyRequest

RESEND_MS = 400.0
TIMEOUT_MS = 5000.0


class _Asked:
    """A file under way."""

    __slots__ = ("request", "sent_ms", "since_ms")

    def __init__(self, request: ApplyRequest, now_ms: float):
        self.request = request
        self.since_ms = now_ms
        self.sent_ms = now_ms


class Applies:
    """The files under way, by number."""

    __slots__ = ("_asked", "_clock", "_number")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._number = 0
        self._asked: dict[int, _Asked] = {}

    def add(self, cfg: Configuration) -> ApplyRequest:
        """Takes a checked file; returns what to send to the control log."""
        self._number += 1
        request = ApplyRequest(self._number, cfg.replaces, to_bytes(cfg))
        self._asked[self._number] = _Asked(request, self._clock.now_ms())
        return request

    def on_reply(self, reply: ApplyReply) -> Applied | None:
        """Returns what to tell the operator; each is told once."""
        if self._asked.pop(reply.request, None) is None:
            return None
        return Applied(reply.request, reply.version, reply.code, reply.detail)

    def due(self) -> list[ApplyRequest]:
        """Returns what to send again now."""
        now_ms = self._clock.now_ms()
        due = []
        for asked in self._asked.values():
            if now_ms - asked.sent_ms >= RESEND_MS:
                asked.sent_ms = now_ms
                due.append(asked.request)
        return due

    def expire(self, version: int) -> list[Applied]:
        """Returns what to tell operators whose files nobody took.

        Args:
            version: the version in force.
        """
        now_ms = self._clock.now_ms()
        late = [
            number
            for number, asked in self._asked.items()
            if now_ms - asked.since_ms >= TIMEOUT_MS
        ]
        for number in late:
            del self._asked[number]
        code = Kind.NO_CONTROL.code
        return [
            Applied(number, version, code, "No leader answered.")
            for number in late
        ]
