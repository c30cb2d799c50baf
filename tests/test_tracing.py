"""Spans for each hop, and the traceparent that workers get."""

import random

import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from clayfield.daemon.tracing import Tracing
from clayfield.dispatch import JobRequest, StartTask, Submission, TaskEnd
from clayfield.wire.messages import Outcome

TRACE = "0af7651916cd43dd8448eb211c80319c"
SAMPLED = f"00-{TRACE}-b7ad6b7169203331-01"
UNSAMPLED = f"00-{TRACE}-b7ad6b7169203331-00"


def _run(tracing, parent):
    traceparent = tracing.begin("k", parent)
    req = JobRequest("m", "k", b"", "s", "p", [b"1"], traceparent=traceparent)
    sub = Submission(1, "m/k", b"d", req, 100.0)
    sub.is_claimed = True
    sub.claimed_ms = 101.0
    sub.granted_ms = 102.0
    start = StartTask(7, "w", 1, 0, 1, "p", 1000.0, b"1", traceparent)
    to_worker = tracing.on_start(start)
    tracing.on_task_end(7, TaskEnd.ANSWERED)
    tracing.on_finished(sub, Outcome(200, b""))
    tracing.close()
    return to_worker


@pytest.mark.parametrize(
    ("parent", "percent", "names"),
    [
        (SAMPLED, 0, ["task", "claim", "slots", "submission"]),
        ("", 100, ["task", "claim", "slots", "submission"]),
        (UNSAMPLED, 100, []),
        ("", 0, []),
    ],
)
def test_every_hop_has_a_span_in_the_callers_trace(parent, percent, names):
    exporter = InMemorySpanExporter()
    tracing = Tracing("box", exporter, percent, random.Random(1))
    to_worker = _run(tracing, parent)
    spans = exporter.get_finished_spans()
    assert [span.name for span in spans] == names
    if names:
        root = spans[-1].context
        assert all(s.parent.span_id == root.span_id for s in spans[:-1])
        task = spans[0].context
        assert to_worker.split("-")[2] == f"{task.span_id:016x}"
    else:
        assert to_worker == parent
    if parent:
        assert to_worker.split("-")[1] == TRACE


def test_without_an_exporter_the_traceparent_passes_through():
    tracing = Tracing("box", None, 100, random.Random(1))
    assert _run(tracing, SAMPLED) == SAMPLED
