"""Files that operators handed to this box, until their fate is known."""

from clayfield.base import Clock, Kind
from clayfield.box.actions import Applied
from clayfield.config import Configuration, to_bytes
from clayfield.dispatch.outstanding import Outstanding
from clayfield.wire.messages import ApplyReply, ApplyRequest

RESEND_MS = 400.0
TIMEOUT_MS = 5000.0


class Applies:
    """The files under way, by number."""

    __slots__ = ("_asked", "_clock", "_number")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._number = 0
        self._asked: Outstanding[int, ApplyRequest] = Outstanding(RESEND_MS)

    def add(self, cfg: Configuration) -> ApplyRequest:
        """Takes a checked file; returns what to send to the control log."""
        self._number += 1
        request = ApplyRequest(self._number, cfg.replaces, to_bytes(cfg))
        self._asked.add(self._number, request, self._clock.now_ms())
        return request

    def on_reply(self, reply: ApplyReply) -> Applied | None:
        """Returns what to tell the operator; each is told once."""
        if self._asked.pop(reply.request) is None:
            return None
        return Applied(reply.request, reply.version, reply.code, reply.detail)

    def due(self) -> list[ApplyRequest]:
        """Returns what to send again now."""
        return self._asked.due(self._clock.now_ms())

    def expire(self, version: int) -> list[Applied]:
        """Returns what to tell operators whose files nobody took.

        Args:
            version: the version in force.
        """
        code = Kind.NO_CONTROL.code
        late = self._asked.expire(self._clock.now_ms(), TIMEOUT_MS)
        return [
            Applied(number, version, code, "No leader answered.")
            for number, _ in late
        ]
