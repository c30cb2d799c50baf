"""Limits retries to a share of first attempts."""

MAX_TOKENS = 10.0


class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    Attributes:
        share: tokens added by each first attempt; a retry takes one token.
    """

    __slots__ = ("_tokens", "share")

    def __init__(self, share: float):
        self.share = share
        self._tokens = MAX_TOKENS

    def on_first_attempt(self) -> None:
        """Adds tokens for the first attempt of a task."""
        self._tokens = min(MAX_TOKENS, self._tokens + self.share)

    def try_acquire(self) -> bool:
        """Takes a token for a retry; returns False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
