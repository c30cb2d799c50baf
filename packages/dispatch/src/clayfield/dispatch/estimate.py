"""Estimates how long a task of a service takes."""

WEIGHT = 0.02


class Estimates:
    """A running mean for each service, starting from its declaration."""

    __slots__ = ("_mean_ms",)

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}

    def mean_ms(self, service: str, expected_ms: float) -> float:
        """Returns the mean time of a task in milliseconds."""
        return self._mean_ms.get(service, expected_ms)

    def observe(self, service: str, expected_ms: float, took_ms: float) -> None:
        """Takes one measured time."""
        mean_ms = self.mean_ms(service, expected_ms)
        self._mean_ms[service] = mean_ms + WEIGHT * (took_ms - mean_ms)
