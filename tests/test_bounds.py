"""Tests of jobs and configurations with numbers that can't be used.

They guard against a number that can't be stored or sent to another node, which
keeps other jobs from being accepted or answered.
"""

import copy
import json

import msgspec
import pytest
from clayfield_platform.callers import PlatformCallers
from clayfield_platform.operators import PlatformOperators
from hypothesis import given, settings
from hypothesis import strategies as st

from clayfield.base import ManualClock
from clayfield.cluster import ControlState
from clayfield.cluster.job_store_leader import JobStoreLeader
from clayfield.node.httpserver import HttpRequest
from clayfield.node.interfaces import HttpReply, SubmitCall, WriteCall
from clayfield.node.native import NativeCallers, NativeOperators
from clayfield.pool import Routes
from clayfield.pool.job_store_client import (
    MAX_WRITE_BYTES,
    JobChangeRecord,
    JobStoreClient,
)
from clayfield.testbed.pool_site import (
    DEFAULT_STEP,
    HOLDER,
    make_granted_site,
)
from clayfield.wire.checks import find_job_error
from clayfield.wire.cluster import MAX_FRAME_BYTES, Grant, encode_batch
from clayfield.wire.job_store import (
    AcceptJob,
    EndTask,
    HolderLease,
    JobsWritten,
    LoadJobs,
)
from clayfield.wire.jobs import Job, JobState, Schedule, Step, Verdict

KEY = "5c0e7a21d94b36f8"
UNUSABLE = [10**20, 2**64, 2**63, 2**53 + 2, -1]
PLATFORM_CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "q",
            "host": "a.example",
            "path_prefix": "/q/",
            "timeout_ms": 1500,
            "target_latency_ms": 60,
            "priority": 1,
            "service": "s",
            "max_attempts": 4,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "s", "max_conns": 64}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
}
NATIVE_CONFIG = {
    "version": 3,
    "queues": [
        {
            "name": "q",
            "service": "s",
            "timeout_ms": 1500,
            "target_ms": 60,
            "priority": 1,
            "max_attempts": 3,
            "stretch": 2.0,
        }
    ],
    "services": [{"name": "s", "max_connections": 64}],
    "limits": {"header_bytes": 16384},
}
PLATFORM_STEP = {
    "count": 4,
    "cpu": 500,
    "mem_mb": 256,
    "gpu": 0,
    "estimate_ms": 900,
    "anti_affinity": 2,
    "target_ms": 0,
}
NATIVE_STEP = {
    "count": 4,
    "cpu": 500,
    "memory_mb": 256,
    "gpu": 0,
    "estimate_ms": 900,
    "max_per_worker": 2,
    "target_ms": 0,
}


def _submit(callers, operators, config, path, step, headers=()):
    routes = Routes(operators.read_table(json.dumps(config).encode()))
    body = json.dumps({"spec": "text", "steps": [step]}).encode()
    fields = {"host": "a.example", **dict(headers)}
    return callers.read_call(
        HttpRequest(None, "POST", path, fields, body), routes
    )


def _submit_platform(step, headers=()):
    return _submit(
        PlatformCallers(),
        PlatformOperators(),
        PLATFORM_CONFIG,
        f"/q/{KEY}",
        step,
        headers,
    )


def _submit_native(step):
    return _submit(
        NativeCallers(),
        NativeOperators(),
        NATIVE_CONFIG,
        f"/v1/queues/q/jobs/{KEY}",
        step,
    )


@pytest.mark.parametrize("number", UNUSABLE)
@pytest.mark.parametrize("field", sorted(PLATFORM_STEP))
def test_platform_job_with_an_unusable_number_is_rejected(field, number):
    reply = _submit_platform({**PLATFORM_STEP, field: number})
    assert isinstance(reply, HttpReply)
    assert reply.status == 400


@pytest.mark.parametrize("number", UNUSABLE)
@pytest.mark.parametrize("field", sorted(NATIVE_STEP))
def test_native_job_with_an_unusable_number_is_rejected(field, number):
    reply = _submit_native({**NATIVE_STEP, field: number})
    assert isinstance(reply, HttpReply)
    assert reply.status == 422


@pytest.mark.parametrize(
    ("submit", "step"),
    [(_submit_platform, PLATFORM_STEP), (_submit_native, NATIVE_STEP)],
)
def test_job_with_usable_numbers_is_passed_on(submit, step):
    call = submit(step)
    assert isinstance(call, SubmitCall)
    assert find_job_error(call.job) == ""


@pytest.mark.parametrize("text", ["\u00b2", "9" * 400, "-1", "1e9", "", "x"])
def test_unusable_deadline_counts_as_none(text):
    call = _submit_platform(PLATFORM_STEP, {"clayfield-deadline-ms": text})
    assert call.job.timeout_ms == 1500


def _configs_with(config, number):
    """Returns copies of a configuration, each with one number replaced."""
    copies = []
    for section in [[], *_sections(config)]:
        values = _at(config, section)
        for name, value in values.items():
            if isinstance(value, int | float) and name != "version":
                changed = copy.deepcopy(config)
                _at(changed, section)[name] = number
                copies.append(changed)
    return copies


def _sections(config):
    lists = [name for name, value in config.items() if isinstance(value, list)]
    return [["limits"], *([name, 0] for name in lists)]


def _at(config, section):
    for part in section:
        config = config[part]
    return config


@pytest.mark.parametrize("number", [10**20, 2**64, -1])
@pytest.mark.parametrize(
    ("operators", "path", "config"),
    [
        (PlatformOperators(), "/-/config", PLATFORM_CONFIG),
        (NativeOperators(), "/v1/routing", NATIVE_CONFIG),
    ],
)
def test_configuration_with_an_unusable_number_is_rejected(
    operators, path, config, number
):
    # Each job of such a queue could not be sent to the holder.
    configs = _configs_with(config, number)
    assert len(configs) >= 7
    for changed in configs:
        body = json.dumps(changed).encode()
        reply = operators.read_call(HttpRequest(None, "PUT", path, {}, body))
        assert isinstance(reply, HttpReply), changed
        assert 400 <= reply.status < 500
    sound = json.dumps(config).encode()
    call = operators.read_call(HttpRequest(None, "PUT", path, {}, sound))
    assert isinstance(call, WriteCall)


@pytest.mark.parametrize("field", ["max_per_worker", "gpu", "cpu"])
@pytest.mark.parametrize("number", [10**20, 2**64])
def test_job_that_cannot_be_stored_keeps_no_other_from_its_answer(
    field, number
):
    # Its acceptance was written again and again, and no other change was.
    site = make_granted_site()
    template = msgspec.structs.replace(DEFAULT_STEP, **{field: number})
    site.submit(HOLDER, "before", count=2, is_kept=True)
    site.submit(HOLDER, "unusable", is_kept=True, template=template)
    site.run(50)
    site.submit("b-1/1", "after", count=2, is_kept=True)
    site.run(3000)
    verdicts = {key: ended.verdict for key, (_, ended) in site.outcomes.items()}
    assert verdicts == {
        "before": Verdict.ACCEPTED,
        "unusable": Verdict.REFUSED,
        "after": Verdict.ACCEPTED,
    }
    for key in ("before", "after"):
        site.request_state("b-1/1", key)
    site.run(300)
    assert set(site.reported_states.values()) == {JobState.COMPLETED}


def _large_job(number):
    """Returns a kept job of 700 kB, near the most that a caller may send."""
    steps = (Step(1, 1, required_label="x" * 100),) * 5000
    key = f"job-{number}"
    return Job(key, "q", "s", "", steps, 0, 3, 1.6, 60.0, 5000.0, True)


def test_large_jobs_are_written_in_messages_that_can_be_sent():
    # A write over the limit of a frame was sent again and again.
    clock = ManualClock()
    client = JobStoreClient(clock, 1)
    client.on_lease("leader", HolderLease(1, clock.now_ms()))
    jobs = [_large_job(number) for number in range(40)]
    for job in jobs:
        client.write(JobChangeRecord(AcceptJob(job)))
    keys = []
    while len(keys) < len(jobs):
        client.actions.clear()
        client.flush()
        (action,) = client.actions
        assert len(encode_batch([action.message])) <= MAX_FRAME_BYTES
        assert len(encode_batch([action.message])) <= 2 * MAX_WRITE_BYTES
        written = JobsWritten(1, action.message.sequence)
        keys += [r.change.job.key for r in client.on_written(written)]
    assert keys == [job.key for job in jobs]


def test_small_changes_share_one_write():
    clock = ManualClock()
    client = JobStoreClient(clock, 1)
    client.on_lease("leader", HolderLease(1, clock.now_ms()))
    for index in range(5000):
        client.write(JobChangeRecord(EndTask("job", 0, index, 1, True)))
    client.actions.clear()
    client.flush()
    assert len(client.actions[0].message.changes) == 5000


@pytest.mark.parametrize("count", [0, 1, 2, 40])
def test_large_jobs_are_loaded_in_parts_that_can_be_sent(count):
    # A new holder never got the stored jobs, and no kept job ran any more.
    state = ControlState(ManualClock())
    state.grant = Grant(1, "holder")
    jobs = [_large_job(number) for number in range(count)]
    state.jobs.apply(tuple(AcceptJob(job) for job in jobs))
    leader = JobStoreLeader(ManualClock(), None, state, 1000.0)
    parts = [
        action.message for action in leader.on_load("holder", LoadJobs(1, 1))
    ]
    sizes = [len(encode_batch([part])) for part in parts]
    assert max(sizes) <= MAX_FRAME_BYTES
    assert [part.is_last for part in parts] == [False] * (len(parts) - 1) + [
        True
    ]
    loaded = [kept.job.key for part in parts for kept in part.open_jobs]
    assert loaded == [job.key for job in jobs]


_NUMBERS = st.sampled_from([0, 1, 2, 100, 6800, 10**6, 2**31, 2**53])
_STEPS = st.builds(
    Step,
    count=st.integers(1, 4),
    cpu=_NUMBERS,
    memory_mb=_NUMBERS,
    gpu=st.sampled_from([0, 0, 0, 1, 2**53]),
    estimate_ms=_NUMBERS | st.floats(0, 2**53),
    required_label=st.sampled_from(["", "kind", "\x00"]),
    rack=st.sampled_from(["", "rack-a", "?"]),
    max_per_worker=_NUMBERS,
    is_speculative=st.booleans(),
    is_checkpointing=st.booleans(),
    is_gang=st.booleans(),
    prefers_one_rack=st.booleans(),
    is_long_running=st.booleans(),
    target_ms=_NUMBERS,
    is_batch=st.booleans(),
)
_SCHEDULES = st.none() | st.builds(
    Schedule,
    st.sampled_from([1, 2, 50]),
    _NUMBERS | st.floats(0, 2**53),
    _NUMBERS | st.floats(0, 2**53),
)


@given(
    st.lists(
        st.tuples(_STEPS, _SCHEDULES, st.booleans(), st.booleans()),
        min_size=1,
        max_size=4,
    )
)
@settings(derandomize=True, database=None, max_examples=25, deadline=None)
def test_callers_are_answered_beside_jobs_of_any_usable_numbers(jobs):
    site = make_granted_site(workers=1, settle_ms=1000)
    for number, (step, schedule, is_kept, is_advised) in enumerate(jobs):
        site.submit(
            "b-1/1",
            f"job-{number}",
            step.count,
            2,
            is_kept=is_kept,
            template=step,
            schedule=schedule,
            is_advised=is_advised,
        )
        site.run(30)
    site.submit("c-1/1", "sound", count=1)
    site.submit("c-1/1", "kept", count=1, is_kept=True)
    site.run(1000)
    site.kill(HOLDER)
    site.run(200)
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(7000)
    assert {"sound", "kept"} <= site.outcomes.keys()
