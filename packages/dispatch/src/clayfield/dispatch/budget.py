"""Bounds retries to a share of first starts."""

BURST = 10.0


class RetryBudget:
    """A bucket that first starts fill and retries empty.

    Attributes:
        share: retries earned by one first start.
    """

    __slots__ = ("_tokens", "share")

    def __init__(self, share: float):
        self.share = share
        self._tokens = BURST

    def on_first(self) -> None:
        """Counts a first start."""
        self._tokens = min(BURST, self._tokens + self.share)

    def try_retry(self) -> bool:
        """Takes a retry from the budget; False when it is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
