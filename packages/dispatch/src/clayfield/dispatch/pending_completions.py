"""Tracks ended claims until their registry confirms the end."""

from clayfield.dispatch.retransmit import RetransmitTable
from clayfield.wire.messages import Complete, Outcome, Unclaim

RESEND_MS = 300.0


class PendingCompletions:
    """The claims that ended here and are not confirmed by their registry.

    An end is a `Complete` message with the outcome, or an `Unclaim` message
    if no task was started.
    """

    __slots__ = ("_completed", "_pending")

    def __init__(self) -> None:
        self._pending: RetransmitTable[tuple[str, int], Complete | Unclaim] = (
            RetransmitTable(RESEND_MS)
        )
        self._completed: dict[str, tuple[bytes, Outcome]] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(
        self, message: Complete | Unclaim, digest: bytes, now_ms: float
    ) -> None:
        """Adds the end of a claim that was just sent.

        Args:
            message: the end.
            digest: digest of the request body; unused for an `Unclaim`.
            now_ms: the current time, in ms.
        """
        self._pending.add((message.key, message.nonce), message, now_ms)
        if isinstance(message, Complete):
            self._completed.setdefault(message.key, (digest, message.outcome))

    def on_confirmed(self, key: str, nonce: int) -> None:
        """Removes an end that the registry confirmed."""
        if isinstance(self._pending.pop((key, nonce)), Complete):
            self._completed.pop(key, None)

    def is_pending(self, key: str, nonce: int) -> bool:
        """Returns whether the end of a claim is still unconfirmed."""
        return (key, nonce) in self._pending

    def outcome_of(self, key: str) -> tuple[bytes, Outcome] | None:
        """Returns digest and outcome of an unconfirmed `Complete`, or None."""
        return self._completed.get(key)

    def due(self, now_ms: float) -> list[Complete | Unclaim]:
        """Returns the ends that are due to be sent again."""
        return self._pending.due(now_ms)
