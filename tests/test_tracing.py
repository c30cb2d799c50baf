"""Tests of the spans of a submission and of trace propagation."""

import random

import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from clayfield.daemon.tracing import Tracing
from clayfield.dispatch import JobRequest, StartTask, Submission, TaskOutcome
from clayfield.wire.messages import Outcome

TRACE = "0af7651916cd43dd8448eb211c80319c"
SAMPLED = f"00-{TRACE}-b7ad6b7169203331-01"
UNSAMPLED = f"00-{TRACE}-b7ad6b7169203331-00"


def _trace_submission(tracing, parent):
    traceparent = tracing.start_submission("k", parent)
    req = JobRequest("m", "k", b"", "s", "p", [b"1"], traceparent=traceparent)
    sub = Submission(1, "m/k", b"d", req, 100.0)
    sub.is_claimed = True
    sub.claimed_ms = 101.0
    sub.granted_ms = 102.0
    start = StartTask(7, "w", 1, 0, 1, "p", 1000.0, b"1", traceparent)
    worker_traceparent = tracing.start_task(start)
    tracing.on_task_end(7, TaskOutcome.ANSWERED)
    tracing.on_finished(sub, Outcome(200, b""))
    tracing.close()
    return worker_traceparent


@pytest.mark.parametrize(
    ("parent", "percent", "names"),
    [
        (SAMPLED, 0, ["task", "claim", "slots", "submission"]),
        ("", 100, ["task", "claim", "slots", "submission"]),
        (UNSAMPLED, 100, []),
        ("", 0, []),
    ],
)
def test_sampled_submission_has_spans_in_the_trace_of_its_caller(
    parent, percent, names
):
    exporter = InMemorySpanExporter()
    tracing = Tracing("box", exporter, percent, random.Random(1))
    worker_traceparent = _trace_submission(tracing, parent)
    spans = exporter.get_finished_spans()
    assert [span.name for span in spans] == names
    if names:
        root = spans[-1].context
        assert all(s.parent.span_id == root.span_id for s in spans[:-1])
        task = spans[0].context
        assert worker_traceparent.split("-")[2] == f"{task.span_id:016x}"
    else:
        assert worker_traceparent == parent
    if parent:
        assert worker_traceparent.split("-")[1] == TRACE


def test_traceparent_is_forwarded_unchanged_without_exporter():
    tracing = Tracing("box", None, 100, random.Random(1))
    assert _trace_submission(tracing, SAMPLED) == SAMPLED
