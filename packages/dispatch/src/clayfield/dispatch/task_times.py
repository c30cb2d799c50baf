"""Estimates the duration of a service's tasks."""

SMOOTHING = 0.02


class TaskTimeEstimates:
    """Exponential moving averages of task duration by service."""

    __slots__ = ("_mean_ms",)

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}

    def mean_ms(self, service: str, expected_ms: float) -> float:
        """Returns the mean duration of a service's tasks, in ms.

        Args:
            service: name of the service.
            expected_ms: declared duration, used until one is measured.
        """
        return self._mean_ms.get(service, expected_ms)

    def observe(self, service: str, expected_ms: float, took_ms: float) -> None:
        """Adds one measured duration."""
        mean_ms = self.mean_ms(service, expected_ms)
        self._mean_ms[service] = mean_ms + SMOOTHING * (took_ms - mean_ms)
