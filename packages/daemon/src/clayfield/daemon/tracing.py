"""Traces: a span for the submission, its claim, its wait and each task."""

import random

from opentelemetry import propagate, trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter

from clayfield.dispatch import StartTask, Submission, TaskEnd
from clayfield.wire.messages import Outcome

NS_PER_MS = 1_000_000
TRACEPARENT = "traceparent"
SAMPLED_SUFFIX = "-01"


class Tracing:
    """The spans of this box's submissions.

    Without an exporter it makes none, and hands a caller's `traceparent` on
    to the worker as it came.
    """

    def __init__(
        self,
        box: str,
        exporter: SpanExporter | None,
        percent: int,
        rng: random.Random,
    ):
        self._rng = rng
        self._percent = percent
        self._roots: dict[str, trace.Span] = {}
        self._tasks: dict[int, trace.Span] = {}
        self._provider: TracerProvider | None = None
        if exporter:
            resource = Resource.create(
                {"service.name": "clayfieldd", "service.instance.id": box}
            )
            self._provider = TracerProvider(resource=resource)
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
            self._tracer = self._provider.get_tracer("clayfield")

    def begin(self, key: str, parent: str) -> str:
        """Starts the trace of a submission, if it is to be traced.

        Args:
            key: the caller's key.
            parent: the caller's traceparent, or "".

        Returns:
            The traceparent that its tasks carry on.
        """
        if self._provider is None or not self._is_sampled(parent):
            return parent
        context = propagate.extract({TRACEPARENT: parent}) if parent else None
        span = self._tracer.start_span(
            "submission", context, attributes={"clayfield.key": key}
        )
        name = _traceparent_of(span)
        self._roots[name] = span
        return name

    def _is_sampled(self, parent: str) -> bool:
        if parent:
            return parent.endswith(SAMPLED_SUFFIX)
        return self._rng.random() * 100 < self._percent

    def on_start(self, action: StartTask) -> str:
        """Starts the span of a task; returns the worker's traceparent."""
        root = self._roots.get(action.traceparent)
        if root is None:
            return action.traceparent
        span = self._tracer.start_span(
            "task",
            trace.set_span_in_context(root),
            attributes={
                "clayfield.worker": action.worker,
                "clayfield.task": action.task,
                "clayfield.attempt": action.attempt,
            },
        )
        self._tasks[action.grant] = span
        return _traceparent_of(span)

    def on_task_end(self, grant: int, end: TaskEnd) -> None:
        """Ends the span of a task."""
        span = self._tasks.pop(grant, None)
        if span:
            span.set_attribute("clayfield.end", end.name.lower())
            span.end()

    def on_finished(self, sub: Submission, outcome: Outcome) -> None:
        """Ends the trace of a submission, with the hops before its tasks."""
        root = self._roots.pop(sub.traceparent, None)
        if root is None:
            return
        if sub.is_claimed:
            self._add_hop(root, "claim", sub.claimed_ms - sub.arrived_ms)
        if sub.granted_ms:
            self._add_hop(root, "slots", sub.granted_ms - sub.arrived_ms)
        root.set_attribute("clayfield.status", outcome.status)
        root.end()

    def _add_hop(self, root: trace.Span, name: str, took_ms: float) -> None:
        """Adds a hop that began with the submission."""
        context = trace.set_span_in_context(root)
        start_ns = root.start_time
        span = self._tracer.start_span(name, context, start_time=start_ns)
        span.end(start_ns + int(took_ms * NS_PER_MS))

    def close(self) -> None:
        """Sends what is left."""
        if self._provider:
            self._provider.shutdown()


def _traceparent_of(span: trace.Span) -> str:
    carrier: dict[str, str] = {}
    propagate.inject(carrier, trace.set_span_in_context(span))
    return carrier.get(TRACEPARENT, "")
