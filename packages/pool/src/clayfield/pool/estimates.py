"""How long tasks take, learnt from those that ended.

A caller's estimate is rough. Of each queue the running means of the
logarithms of estimates and true times are kept, with their covariance; the
expected time is the regression of the true time on the estimate. Where the
estimates tell little, the queue's usual time counts for more.
"""

import math

# Share of a new value in the running means.
WEIGHT = 0.02
# How many values the first guess, that estimates are right, counts for.
PRIOR_COUNT = 20.0
PRIOR_VARIANCE = 0.16
LEAST_MS = 0.5


class _Regression:
    """The regression of one queue, in logarithms."""

    __slots__ = ("_count", "_covariance", "_mean_x", "_mean_y", "_variance")

    def __init__(self, first_x: float):
        self._count = 0.0
        self._mean_x = first_x
        self._mean_y = first_x
        self._variance = PRIOR_VARIANCE
        self._covariance = PRIOR_VARIANCE

    def add(self, x: float, y: float) -> None:
        self._count += 1.0
        weight = max(WEIGHT, 1.0 / (self._count + PRIOR_COUNT))
        apart_x = x - self._mean_x
        apart_y = y - self._mean_y
        self._mean_x += weight * apart_x
        self._mean_y += weight * apart_y
        keep = 1.0 - weight
        self._variance = keep * (self._variance + weight * apart_x * apart_x)
        self._covariance = keep * (
            self._covariance + weight * apart_x * apart_y
        )

    def expect(self, x: float) -> float:
        slope = self._covariance / self._variance if self._variance else 1.0
        slope = min(1.0, max(0.0, slope))
        return self._mean_y + slope * (x - self._mean_x)


class Estimates:
    """Corrects the callers' estimates, by queue."""

    __slots__ = ("_regressions",)

    def __init__(self) -> None:
        self._regressions: dict[str, _Regression] = {}

    def expected_ms(self, queue: str, estimate_ms: float) -> float:
        """Returns how long a task of a queue will likely take."""
        regression = self._regressions.get(queue)
        if regression is None:
            return max(LEAST_MS, estimate_ms)
        return math.exp(regression.expect(_log(estimate_ms)))

    def on_end(self, queue: str, estimate_ms: float, took_ms: float) -> None:
        """Learns how long a task took on a worker of usual speed."""
        x = _log(estimate_ms)
        regression = self._regressions.get(queue)
        if regression is None:
            regression = self._regressions[queue] = _Regression(x)
        regression.add(x, _log(took_ms))


def _log(time_ms: float) -> float:
    return math.log(max(LEAST_MS, time_ms))
