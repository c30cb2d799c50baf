"""OpenTelemetry traces of submissions.

A trace has a span for the submission and below it one for the claim of its
key, one for the wait for slots and one for each task.
"""

import random

from opentelemetry import propagate, trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter

from clayfield.dispatch import StartTask, Submission, TaskOutcome
from clayfield.wire.messages import Outcome

NS_PER_MS = 1_000_000
TRACEPARENT = "traceparent"
SAMPLED_SUFFIX = "-01"


class Tracing:
    """Creates the spans of this box's submissions.

    Without an exporter no spans are created, and a caller's `traceparent` is
    passed to the worker unchanged.
    """

    def __init__(
        self,
        box: str,
        exporter: SpanExporter | None,
        percent: int,
        rng: random.Random,
    ):
        """Creates the tracer.

        Args:
            box: name of this box.
            exporter: destination of the spans, None for no tracing.
            percent: percentage of submissions to trace of those that come
                without a `traceparent`.
            rng: source of the sampling decisions.
        """
        self._rng = rng
        self._percent = percent
        self._submission_spans: dict[str, trace.Span] = {}
        self._task_spans: dict[int, trace.Span] = {}
        self._provider: TracerProvider | None = None
        if exporter:
            resource = Resource.create(
                {"service.name": "clayfieldd", "service.instance.id": box}
            )
            self._provider = TracerProvider(resource=resource)
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
            self._tracer = self._provider.get_tracer("clayfield")

    def start_submission(self, key: str, parent: str) -> str:
        """Starts the span of a submission, if it is sampled.

        Args:
            key: the idempotency key.
            parent: the caller's `traceparent`, or "".

        Returns:
            The `traceparent` of the span; that of the caller if not sampled.
        """
        if self._provider is None or not self._is_sampled(parent):
            return parent
        context = propagate.extract({TRACEPARENT: parent}) if parent else None
        span = self._tracer.start_span(
            "submission", context, attributes={"clayfield.key": key}
        )
        traceparent = _format_traceparent(span)
        self._submission_spans[traceparent] = span
        return traceparent

    def _is_sampled(self, parent: str) -> bool:
        if parent:
            return parent.endswith(SAMPLED_SUFFIX)
        return self._rng.random() * 100 < self._percent

    def start_task(self, action: StartTask) -> str:
        """Starts the span of a task and returns its `traceparent`."""
        root = self._submission_spans.get(action.traceparent)
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
        self._task_spans[action.grant] = span
        return _format_traceparent(span)

    def on_task_end(self, grant: int, end: TaskOutcome) -> None:
        """Ends the span of a task."""
        span = self._task_spans.pop(grant, None)
        if span:
            span.set_attribute("clayfield.end", end.name.lower())
            span.end()

    def on_finished(self, sub: Submission, outcome: Outcome) -> None:
        """Ends the span of a submission and adds those of claim and slots."""
        root = self._submission_spans.pop(sub.traceparent, None)
        if root is None:
            return
        if sub.is_claimed:
            self._add_child_span(root, "claim", sub.claimed_ms - sub.arrived_ms)
        if sub.granted_ms:
            self._add_child_span(root, "slots", sub.granted_ms - sub.arrived_ms)
        root.set_attribute("clayfield.status", outcome.status)
        root.end()

    def _add_child_span(
        self, root: trace.Span, name: str, took_ms: float
    ) -> None:
        """Adds a child span that starts with the submission."""
        context = trace.set_span_in_context(root)
        start_ns = root.start_time
        span = self._tracer.start_span(name, context, start_time=start_ns)
        span.end(start_ns + int(took_ms * NS_PER_MS))

    def close(self) -> None:
        """Exports the remaining spans and stops the exporter."""
        if self._provider:
            self._provider.shutdown()


def _format_traceparent(span: trace.Span) -> str:
    carrier: dict[str, str] = {}
    propagate.inject(carrier, trace.set_span_in_context(span))
    return carrier.get(TRACEPARENT, "")
