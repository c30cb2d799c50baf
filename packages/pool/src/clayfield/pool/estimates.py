"""How long tasks take, learnt from those that ended."""

WEIGHT = 0.05
LOWEST = 0.2
HIGHEST = 5.0


class Estimates:
    """Corrects the callers' estimates, by queue."""

    __slots__ = ("_ratios",)

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def expected_ms(self, queue: str, estimate_ms: float) -> float:
        """Returns how long a task of a queue will likely take."""
        return estimate_ms * self._ratios.get(queue, 1.0)

    def on_end(self, queue: str, estimate_ms: float, took_ms: float) -> None:
        """Learns how long a task took on a worker of usual speed."""
        if estimate_ms <= 0:
            return
        ratio = min(HIGHEST, max(LOWEST, took_ms / estimate_ms))
        known = self._ratios.get(queue, 1.0)
        self._ratios[queue] = known + WEIGHT * (ratio - known)
