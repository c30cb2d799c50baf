"""Tests of rows in the reply to a poll that name no run of a known task.

They guard against one such row that hides the other runs of its worker.
"""

import json

import pytest
from clayfield_platform.workers import MAX_LISTED_ENDS, PlatformWorkers
from hypothesis import given, settings
from hypothesis import strategies as st

from clayfield.node.httpclient import CallOutcome, CallResult
from clayfield.node.native import NativeWorkers
from clayfield.pool import CommandResult, TaskId
from clayfield.testbed.pool_site import HOLDER, make_granted_site
from clayfield.wire.jobs import JobState

KEY = "5c0e7a21d94b36f8"
RUNNING = [f"{KEY}.0.1.17", 2, "00000bb8", 41]
ENDED = [58, f"{KEY}.0.1.9", 1, "done", ""]
NO_TASKS = [
    None,
    7,
    True,
    "",
    "x",
    f"{KEY}.0.1",
    f"{KEY}.0.1.x",
    f"{KEY}.0.1.-1",
    f"{KEY}.0.1.\u00b2",
    f"{KEY}.0.1.{'9' * 400}",
    f"{KEY}.0.1.2.3",
    [],
]
NO_NUMBERS = [None, "2", 1.5, True, -1, 10**20, 2**64]


def _read(running, ended, **fields):
    body = {"clock_ms": 5, "running": running, "ended": ended, **fields}
    content = json.dumps(body).encode()
    result = CallResult(CallOutcome.ANSWERED, 200, content)
    return PlatformWorkers().read_poll_reply(result)


def _with(row, position, value):
    return [*row[:position], value, *row[position + 1 :]]


@pytest.mark.parametrize(
    "row",
    [
        None,
        7,
        {},
        [],
        RUNNING[:2],
        *(_with(RUNNING, 0, value) for value in NO_TASKS),
        *(_with(RUNNING, 1, value) for value in NO_NUMBERS),
    ],
)
def test_running_row_that_names_no_run_is_left_out_alone(row):
    reply = _read([RUNNING, row, RUNNING], [ENDED])
    assert reply.result is CommandResult.DONE
    assert [run.task_id for run in reply.running] == [TaskId(KEY, 1, 17)] * 2
    assert [run.task_id for run in reply.ended] == [TaskId(KEY, 1, 9)]
    assert reply.unreadable_rows == 1


@pytest.mark.parametrize(
    "row",
    [
        [57],
        ENDED[:3],
        *(_with(ENDED, 1, value) for value in NO_TASKS),
        *(_with(ENDED, 2, value) for value in NO_NUMBERS),
    ],
)
def test_ended_row_that_names_no_run_may_be_forgotten_by_its_worker(row):
    reply = _read([RUNNING], [row, _with(ENDED, 0, 59)])
    assert [run.sequence for run in reply.ended] == [row[0], 59]
    assert [run.task_id.job for run in reply.ended] == ["", KEY]


@pytest.mark.parametrize(
    "row",
    [None, 7, [], *(_with(ENDED, 0, value) for value in NO_NUMBERS)],
)
def test_ended_row_without_its_number_is_left_out_alone(row):
    reply = _read([RUNNING], [row, ENDED])
    assert [run.sequence for run in reply.ended] == [58]
    assert reply.unreadable_rows == 1


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        (_with(RUNNING, 2, 7), (41, "")),
        (_with(RUNNING, 3, "x"), (100, "00000bb8")),
        (_with(RUNNING, 3, 10**20), (100, "00000bb8")),
        ([*RUNNING, "x"], (41, "00000bb8")),
    ],
)
def test_run_is_listed_though_its_progress_cannot_be_read(row, expected):
    run = _read([row], []).running[0]
    assert (run.speed_percent, run.checkpoint) == expected
    assert run.tail_latency_ms is None


@pytest.mark.parametrize("count", [0, 1, 499, 500, 501])
def test_reply_with_the_most_ends_that_fit_is_incomplete(count):
    rows = [_with(ENDED, 0, number + 1) for number in range(count)]
    reply = _read([], rows)
    assert reply.is_complete is (count < MAX_LISTED_ENDS)


_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda values: st.lists(values, max_size=5),
    max_leaves=6,
)


@given(st.lists(_JSON, max_size=4), st.lists(_JSON, max_size=4))
@settings(derandomize=True, database=None, max_examples=300)
def test_sound_rows_are_read_beside_any_others(running, ended):
    reply = _read([*running, RUNNING], [*ended, ENDED])
    assert TaskId(KEY, 1, 17) in [run.task_id for run in reply.running]
    assert TaskId(KEY, 1, 9) in [run.task_id for run in reply.ended]


@given(st.binary(max_size=60))
@settings(derandomize=True, database=None, max_examples=200)
def test_any_bytes_are_a_reply_or_count_as_lost(content):
    result = CallResult(CallOutcome.ANSWERED, 200, content)
    protocol = PlatformWorkers()
    assert protocol.read_poll_reply(result).result in (
        CommandResult.DONE,
        CommandResult.LOST,
    )
    protocol.read_command_reply(result)
    protocol.read_advice(result)


@pytest.mark.parametrize(
    "task_id",
    [
        TaskId("job", 0, 99),
        TaskId("job", 0, -1),
        TaskId("job", 1, 0),
        TaskId("job", -1, 0),
        TaskId("job", 0, 0, 1),
        TaskId("job", 0, 0, -1),
        TaskId("none", 0, 0),
        TaskId("", 0, 0),
    ],
)
@pytest.mark.parametrize("changes_holder", [False, True])
def test_end_of_a_task_that_no_job_has_stops_no_other(task_id, changes_holder):
    # It raised in each poll, and the ends after it were never taken.
    site = make_granted_site(workers=1, task_ms=400)
    site.submit("b-1/1", "job", count=3, is_kept=True)
    site.run(50)
    for worker in site.workers.values():
        worker.add_foreign_end(task_id)
    if changes_holder:
        site.kill(HOLDER)
        site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(8000)
    site.request_state("b-1/1", "job")
    site.run(300)
    assert site.reported_states == {"job": JobState.COMPLETED}
    assert site.find_violations() == []
    assert site.find_restarts_after_end() == []
    assert len({run.task_id for run in site.runs}) == 3


def _read_native(ended, running=()):
    body = {"result": "done", "clock_ms": 5, "ended": ended}
    body["running"] = list(running)
    content = json.dumps(body).encode()
    result = CallResult(CallOutcome.ANSWERED, 200, content)
    return NativeWorkers().read_poll_reply(result)


NATIVE_ENDED = {
    "sequence": 1,
    "task": ["job", 0, 0],
    "number": 1,
    "kind": "done",
}


@pytest.mark.parametrize(
    "row",
    [
        None,
        7,
        {},
        {**NATIVE_ENDED, "sequence": 2, "task": 7},
        {**NATIVE_ENDED, "sequence": 2, "number": "1"},
        {**NATIVE_ENDED, "sequence": 2, "kind": "unknown"},
    ],
)
def test_native_row_that_names_no_run_is_left_out_alone(row):
    reply = _read_native([NATIVE_ENDED, row])
    assert reply.result is CommandResult.DONE
    assert TaskId("job", 0, 0) in [run.task_id for run in reply.ended]


@pytest.mark.parametrize("number", [10**20, 2**64, -1])
def test_native_row_with_an_unusable_number_names_no_run(number):
    reply = _read_native([{**NATIVE_ENDED, "number": number}])
    assert number not in [run.number for run in reply.ended]
