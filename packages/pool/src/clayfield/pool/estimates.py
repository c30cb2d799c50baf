"""Estimates task durations from those of tasks that have ended.

A caller's estimate is rough. For each queue, the running means of the
logarithms of estimates and durations are kept with their variance and
covariance; the expected duration is the linear regression of the duration on
the estimate. Where estimates and durations correlate weakly, it is close to
the queue's mean duration.
"""

import math

# Least weight of a new sample in the running means.
MIN_WEIGHT = 0.02
# Number of samples that the prior, by which estimates are exact, counts for.
PRIOR_COUNT = 20.0
PRIOR_VARIANCE = 0.16
# Lower times count as this one, since their logarithms are unbounded.
MIN_MS = 0.5


class _Regression:
    """The linear regression of one queue, in logarithms.

    x is the logarithm of the estimate, y that of the duration.
    """

    __slots__ = ("_count", "_covariance", "_mean_x", "_mean_y", "_variance")

    def __init__(self, first_x: float):
        self._count = 0.0
        self._mean_x = first_x
        self._mean_y = first_x
        self._variance = PRIOR_VARIANCE
        self._covariance = PRIOR_VARIANCE

    def add(self, x: float, y: float) -> None:
        """Adds a sample to the weighted means, variance and covariance."""
        self._count += 1.0
        weight = max(MIN_WEIGHT, 1.0 / (self._count + PRIOR_COUNT))
        diff_x = x - self._mean_x
        diff_y = y - self._mean_y
        self._mean_x += weight * diff_x
        self._mean_y += weight * diff_y
        decay = 1.0 - weight
        self._variance = decay * (self._variance + weight * diff_x * diff_x)
        self._covariance = decay * (self._covariance + weight * diff_x * diff_y)

    def predict(self, x: float) -> float:
        """Returns the expected y for an x."""
        slope = self._covariance / self._variance if self._variance else 1.0
        slope = min(1.0, max(0.0, slope))
        return self._mean_y + slope * (x - self._mean_x)


class DurationEstimator:
    """Corrects callers' estimates of task durations, by queue."""

    __slots__ = ("_regressions",)

    def __init__(self) -> None:
        self._regressions: dict[str, _Regression] = {}

    def expected_ms(self, queue: str, estimate_ms: float) -> float:
        """Returns the expected duration of a task.

        Args:
            queue: name of the queue.
            estimate_ms: the caller's estimate, in ms.

        Returns:
            The duration on a worker of usual speed, in ms.
        """
        regression = self._regressions.get(queue)
        if regression is None:
            return max(MIN_MS, estimate_ms)
        return math.exp(regression.predict(_log(estimate_ms)))

    def add_sample(
        self, queue: str, estimate_ms: float, took_ms: float
    ) -> None:
        """Adds the duration of a task that has ended.

        Args:
            queue: name of the queue.
            estimate_ms: the caller's estimate, in ms.
            took_ms: duration, converted to a worker of usual speed, in ms.
        """
        x = _log(estimate_ms)
        regression = self._regressions.get(queue)
        if regression is None:
            regression = self._regressions[queue] = _Regression(x)
        regression.add(x, _log(took_ms))


def _log(time_ms: float) -> float:
    return math.log(max(MIN_MS, time_ms))
