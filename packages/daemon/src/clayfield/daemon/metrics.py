"""Metrics of a box in the Prometheus text format."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from clayfield.box import BoxCore
from clayfield.dispatch import Submission
from clayfield.wire.messages import Outcome

SLOWDOWN_BUCKETS = [1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2, 3, 5, 10, 30]
RESPONSE_BUCKETS = [10, 30, 50, 100, 200, 300, 500, 1000, 3000, 10000]
HTTP_OK = 200


class Metrics:
    """The metrics of one box."""

    def __init__(self, core: BoxCore):
        self._core = core
        self._registry = Registry()
        self._slowdown = Histogram(
            "clayfield_slowdown",
            "Response over the time of the longest task, by class.",
            buckets=SLOWDOWN_BUCKETS,
            registry=self._registry,
        )
        self._response = Histogram(
            "clayfield_response_ms",
            "Response in ms, by class.",
            buckets=RESPONSE_BUCKETS,
            registry=self._registry,
        )
        self._totals = {
            name: self._counter(name, text)
            for name, text in (
                ("submitted", "Submissions taken."),
                ("resubmitted", "Submissions that joined an open one."),
                ("starts", "Task starts sent to workers."),
                ("answered", "Task answers taken."),
                ("retries", "Starts sent again."),
                ("wasted", "Starts that brought no result."),
                ("late_answers", "Answers that nobody waited for."),
            )
        }
        self._refused = self._counter("refused", "Refusals, by code.")
        self._finished = self._counter("finished", "Ends, by HTTP status.")
        self._gauges = {
            name: self._gauge(name, text)
            for name, text in (
                ("open_submissions", "Submissions without an answer yet."),
                ("held_slots", "Slots that this box holds."),
                ("config_version", "The configuration version in force."),
                ("ready", "Whether the box is ready, 1 or 0."),
                ("queued_work_ms", "Slot time that waits at the scheduler."),
                ("free_slots", "Free slots, where this box schedules."),
                ("claims", "Claims held, by hall."),
            )
        }

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"clayfield_{name}_total", text, registry=self._registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"clayfield_{name}", text, registry=self._registry)

    def on_finished(
        self, sub: Submission, outcome: Outcome, response_ms: float
    ) -> None:
        """Records the response time of a finished submission."""
        labels = {"class": sub.priority}
        self._response.observe(labels, response_ms)
        if outcome.status == HTTP_OK and sub.longest_task_ms:
            self._slowdown.observe(labels, response_ms / sub.longest_task_ms)

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        self._update()
        content, _ = render(self._registry, ["text/plain"])
        return content

    def _update(self) -> None:
        """Sets counters and gauges from the state of the box."""
        entry = self._core.submissions
        for name, metric in self._totals.items():
            metric.set({}, getattr(entry.counters, name))
        for code, count in entry.counters.refused.items():
            self._refused.set({"code": code}, count)
        for status, count in entry.counters.finished.items():
            self._finished.set({"status": str(status)}, count)
        self._gauges["open_submissions"].set({}, entry.open_count)
        self._gauges["held_slots"].set({}, entry.held_count)
        self._gauges["config_version"].set({}, self._core.cfg.version)
        self._gauges["ready"].set({}, int(self._core.is_ready))
        for hall, registry in self._core.registries.items():
            labels = {"hall": hall}
            self._gauges["claims"].set(labels, len(registry.table.claims))
            if registry.scheduler:
                self._update_scheduler(labels, registry.scheduler)

    def _update_scheduler(self, labels: dict, scheduler: object) -> None:
        self._gauges["queued_work_ms"].set(labels, scheduler.queued_work_ms)
        self._gauges["free_slots"].set(labels, scheduler.free_slots)
