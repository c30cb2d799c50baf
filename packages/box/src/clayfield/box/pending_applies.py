"""Configurations that operators submitted here and that await a result."""

from clayfield.base import Clock, ErrorKind
from clayfield.box.actions import ApplyFinished
from clayfield.config import Configuration, encode_config
from clayfield.dispatch.retransmit import RetransmitTable
from clayfield.wire.messages import ApplyReply, ApplyRequest

RESEND_MS = 400.0
TIMEOUT_MS = 5000.0


class PendingApplies:
    """Apply requests without a reply yet, by request number."""

    __slots__ = ("_clock", "_number", "_requests")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._number = 0
        self._requests: RetransmitTable[int, ApplyRequest] = RetransmitTable(
            RESEND_MS
        )

    def add(self, cfg: Configuration) -> ApplyRequest:
        """Adds a validated configuration.

        Returns:
            The request to send to the leader of the control log.
        """
        self._number += 1
        request = ApplyRequest(self._number, cfg.replaces, encode_config(cfg))
        self._requests.add(self._number, request, self._clock.now_ms())
        return request

    def on_reply(self, reply: ApplyReply) -> ApplyFinished | None:
        """Returns the result of a request, None if it was returned before."""
        if self._requests.pop(reply.request) is None:
            return None
        return ApplyFinished(
            reply.request, reply.version, reply.code, reply.detail
        )

    def due(self) -> list[ApplyRequest]:
        """Returns the requests to send again now."""
        return self._requests.due(self._clock.now_ms())

    def expire(self, version: int) -> list[ApplyFinished]:
        """Removes the requests that timed out and returns their results.

        Args:
            version: version of the active configuration.
        """
        code = ErrorKind.NO_CONTROL.code
        expired = self._requests.expire(self._clock.now_ms(), TIMEOUT_MS)
        return [
            ApplyFinished(
                number,
                version,
                code,
                "No leader answered.",
            )
            for number, _ in expired
        ]
