"""Claims that have ended here but whose registry has not confirmed it yet."""

from clayfield.dispatch.outstanding import Outstanding
from clayfield.wire.messages import Complete, Outcome, Unclaim

RESEND_MS = 300.0


class Settlements:
    """Sends each end of a claim until the registry confirms it."""

    __slots__ = ("_ended", "_pending")

    def __init__(self) -> None:
        self._pending: Outstanding[tuple[str, int], Complete | Unclaim] = (
            Outstanding(RESEND_MS)
        )
        self._ended: dict[str, tuple[bytes, Outcome]] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(
        self, message: Complete | Unclaim, digest: bytes, now_ms: float
    ) -> None:
        """Takes an end that was just sent for the first time."""
        self._pending.add((message.key, message.nonce), message, now_ms)
        if isinstance(message, Complete):
            self._ended.setdefault(message.key, (digest, message.outcome))

    def on_settled(self, key: str, nonce: int) -> None:
        """Learns that the registry has an end."""
        if isinstance(self._pending.pop((key, nonce)), Complete):
            self._ended.pop(key, None)

    def is_pending(self, key: str, nonce: int) -> bool:
        """Tells whether an end is not confirmed yet."""
        return (key, nonce) in self._pending

    def outcome_of(self, key: str) -> tuple[bytes, Outcome] | None:
        """Returns digest and outcome of a key that has just ended here."""
        return self._ended.get(key)

    def due(self, now_ms: float) -> list[Complete | Unclaim]:
        """Returns what is to be sent again now."""
        return self._pending.due(now_ms)
