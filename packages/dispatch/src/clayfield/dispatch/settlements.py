"""Claims that have ended here but whose registry has not confirmed it yet."""

from clayfield.wire.messages import Complete, Outcome, Unclaim

RESEND_MS = 300.0


class _Pending:
    __slots__ = ("digest", "message", "sent_ms")

    def __init__(
        self, message: Complete | Unclaim, digest: bytes, sent_ms: float
    ):
        self.message = message
        self.digest = digest
        self.sent_ms = sent_ms


class Settlements:
    """Sends each end of a claim until the registry confirms it."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending: dict[tuple[str, int], _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(
        self, message: Complete | Unclaim, digest: bytes, now_ms: float
    ) -> None:
        """Takes an end that was just sent for the first time."""
        key = (message.key, message.nonce)
        self._pending.setdefault(key, _Pending(message, digest, now_ms))

    def on_settled(self, key: str, nonce: int) -> None:
        """Learns that the registry has an end."""
        self._pending.pop((key, nonce), None)

    def is_pending(self, key: str, nonce: int) -> bool:
        """Tells whether an end is not confirmed yet."""
        return (key, nonce) in self._pending

    def outcome_of(self, key: str) -> tuple[bytes, Outcome] | None:
        """Returns digest and outcome of a key that has just ended here."""
        for (its_key, _), pending in self._pending.items():
            if its_key == key and isinstance(pending.message, Complete):
                return pending.digest, pending.message.outcome
        return None

    def due(self, now_ms: float) -> list[Complete | Unclaim]:
        """Returns what is to be sent again now."""
        messages = []
        for pending in self._pending.values():
            if now_ms - pending.sent_ms >= RESEND_MS:
                pending.sent_ms = now_ms
                messages.append(pending.message)
        return messages
