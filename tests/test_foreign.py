"""Tests of heartbeats of other writers, beside workers that serve.

They guard against a foreign heartbeat that keeps other workers from being
used, or hides the worker whose name it bears.
"""

import json

import msgspec
import pytest
from clayfield_platform.operators import PlatformOperators
from hypothesis import given, settings
from hypothesis import strategies as st

from clayfield.base.settings import parse_address
from clayfield.cluster import Broadcast
from clayfield.node.httpserver import HttpRequest
from clayfield.node.interfaces import HeartbeatCall, RejectedHeartbeat
from clayfield.node.native import NativeOperators
from clayfield.testbed.control_site import ControlSite
from clayfield.testbed.pool_site import DEFAULT_STEP, HOLDER, make_granted_site
from clayfield.wire.cluster import WorkersPush, encode_batch
from clayfield.wire.jobs import JobState, Verdict, WorkerInfo, WorkerState

PLATFORM = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z",
    "state": "ready",
    "seq": 4,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
}
NATIVE = {
    "service": "s",
    "address": "10.0.0.9:80",
    "hall": "z",
    "state": "ready",
    "sequence": 4,
    "cpu": 16000,
}
PROTOCOLS = [
    (PlatformOperators(), "/-/instances/", PLATFORM),
    (NativeOperators(), "/v1/workers/", NATIVE),
]
FOREIGN_BODIES = [
    b"",
    b"\xff\xfe",
    b"{",
    b"[]",
    b"7",
    b'{"service":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    {"service": None},
    {"service": ""},
    {"service": 7},
    {"state": "primary"},
    {"state": None},
    {"address": None},
    {"address": "store-7"},
    {"address": "10.0.0.9"},
    {"address": "10.0.0.9:"},
    {"address": "10.0.0.9:0"},
    {"address": "10.0.0.9:65536"},
    {"address": "10.0.0.9:80\r\nX: y"},
    {"address": "0.0.0.0:80"},
    {"address": "224.0.0.1:80"},
    {"address": "255.255.255.255:80"},
    {"address": "[::1]:80"},
    {"address": "\ud800:80"},
    {"labels": [1]},
    {"labels": "a"},
    {"labels": ["x" * 201]},
    {"labels": ["x"] * 17},
    {"service": "x" * 201},
]
FOREIGN_NUMBERS = [-1, 10**20, 2**63, 1.5, "4", None, True]


def _read(operators, path, body):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return operators.read_call(HttpRequest(None, "PUT", path, {}, raw))


@pytest.mark.parametrize(("operators", "prefix", "sound"), PROTOCOLS)
@pytest.mark.parametrize("change", FOREIGN_BODIES, ids=lambda c: str(c)[:40])
def test_heartbeat_with_foreign_content_names_no_worker(
    operators, prefix, sound, change
):
    body = change if isinstance(change, bytes) else {**sound, **change}
    call = _read(operators, f"{prefix}w-1", body)
    assert isinstance(call, RejectedHeartbeat)
    assert call.error
    assert 400 <= call.reply.status < 500


@pytest.mark.parametrize(("operators", "prefix", "sound"), PROTOCOLS)
@pytest.mark.parametrize("number", FOREIGN_NUMBERS)
def test_heartbeat_with_foreign_number_names_no_worker(
    operators, prefix, sound, number
):
    name = "seq" if "seq" in sound else "sequence"
    call = _read(operators, f"{prefix}w-1", {**sound, name: number})
    assert isinstance(call, RejectedHeartbeat)


@pytest.mark.parametrize(("operators", "prefix", "sound"), PROTOCOLS)
@pytest.mark.parametrize("name", ["", "a b", "w\x80", "x" * 201, "\x00"])
def test_heartbeat_with_foreign_name_names_no_worker(
    operators, prefix, sound, name
):
    call = _read(operators, prefix + name, sound)
    assert isinstance(call, RejectedHeartbeat)


@pytest.mark.parametrize(("operators", "prefix", "sound"), PROTOCOLS)
@pytest.mark.parametrize("field", ["service", "address", "state"])
def test_heartbeat_without_a_field_names_no_worker(
    operators, prefix, sound, field
):
    body = {key: value for key, value in sound.items() if key != field}
    call = _read(operators, f"{prefix}w-1", body)
    assert isinstance(call, RejectedHeartbeat)


@pytest.mark.parametrize(("operators", "prefix", "sound"), PROTOCOLS)
@pytest.mark.parametrize(
    "change", [{}, {"state": "draining"}, {"labels": []}, {"service": "other"}]
)
def test_sound_heartbeat_is_passed_on(operators, prefix, sound, change):
    call = _read(operators, f"{prefix}w-1", {**sound, **change})
    assert isinstance(call, HeartbeatCall)


def _foreign(**fields):
    info = WorkerInfo(
        "store-7",
        "service",
        "10.9.9.9:80",
        "a",
        WorkerState.READY,
        1,
        16000,
        32768,
        0,
    )
    return msgspec.structs.replace(info, **fields)


def _verdicts_over_a_change_of_holder(site):
    """Returns the verdicts of jobs submitted before and after the change."""
    for worker in site.workers.values():
        worker.task_ms = 400
    site.submit("c-1/1", "before", count=4)
    site.run(100)
    site.kill(HOLDER)
    site.run(200)
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(300)
    site.submit("c-1/1", "after", count=4)
    site.run(4000)
    return {key: ended.verdict for key, (_, ended) in site.outcomes.items()}


@pytest.mark.parametrize(
    "foreign",
    [
        _foreign(address="store-7"),
        _foreign(address=""),
        _foreign(address="10.0.0.9:0"),
        _foreign(service=""),
        _foreign(cpu=-1),
        _foreign(cpu=2**62),
        _foreign(name=""),
    ],
)
def test_jobs_run_after_a_change_of_holder_as_without_a_foreign_heartbeat(
    foreign,
):
    expected = _verdicts_over_a_change_of_holder(make_granted_site())
    site = make_granted_site()
    site.send_foreign_heartbeat(foreign)
    site.run(100)
    assert foreign.name not in site.entries[HOLDER].known_workers
    assert _verdicts_over_a_change_of_holder(site) == expected
    assert expected["after"] is Verdict.COMPLETED
    assert site.find_violations() == []


def test_foreign_heartbeat_among_sound_ones_is_left_out_alone():
    site = make_granted_site()
    sound = _foreign(name="worker-new", address="10.9.9.8:80")
    push = WorkersPush((_foreign(address="store-7"), sound))
    site.entries[HOLDER].on_message("control", push)
    assert "worker-new" in site.entries[HOLDER].known_workers
    assert "store-7" not in site.entries[HOLDER].known_workers


def _count_ends(site, until_ms):
    """Returns how many jobs, submitted one every 50 ms, are completed."""
    for number in range(until_ms // 50):
        site.submit("b-1/1", f"job-{number}", count=2)
        site.run(50)
    site.run(2000)
    verdicts = [ended.verdict for _, ended in site.outcomes.values()]
    return verdicts.count(Verdict.COMPLETED)


HIDING = [
    {"service": "stock", "sequence": 2**40},
    {"service": "stock", "sequence": 2**40, "state": WorkerState.DRAINING},
    {"service": "stock", "address": "10.9.9.9:80", "sequence": 2**40},
    {"address": "10.9.9.9:80", "sequence": 2**40},
    {"address": "of another worker", "sequence": 2**40, "cpu": 1},
]


def _hide(site, name, fields):
    """Sends a foreign heartbeat under the name of a worker."""
    fields = dict(fields)
    if fields.get("address") == "of another worker":
        names = list(site.workers)
        other = names[names.index(name) - 1]
        fields["address"] = site.workers[other].info.address
    info = msgspec.structs.replace(site.workers[name].info, **fields)
    site.send_foreign_heartbeat(info)


@pytest.mark.parametrize("fields", HIDING)
def test_foreign_heartbeat_under_the_name_of_a_worker_does_not_hide_it(fields):
    # Its own later heartbeats counted as outdated, and it got no task again.
    expected = _count_ends(make_granted_site(workers=1), 1000)
    site = make_granted_site(workers=1)
    for name in site.workers:
        _hide(site, name, fields)
    site.run(100)
    for name in site.workers:
        site.send_heartbeat(name)
    assert _count_ends(site, 1000) == expected
    assert site.find_violations() == []


@pytest.mark.parametrize("fields", HIDING)
def test_worker_under_a_foreign_name_is_used_and_drains_as_it_states(fields):
    site = make_granted_site(workers=1)
    name = "worker-a-0"
    _hide(site, name, fields)
    site.run(100)
    site.drain_worker(name)
    site.run(100)
    count = len(site.runs)
    site.submit("b-1/1", "job", count=3)
    site.run(1000)
    assert len(site.runs) > count
    assert name not in {run.worker for run in site.runs[count:]}


@pytest.mark.parametrize(
    "fields",
    [{"service": "stock"}, {"address": "10.9.9.7:80"}],
)
def test_control_node_passes_on_a_worker_beside_its_foreign_namesake(fields):
    control = ControlSite(1, seed=1)
    node = next(iter(control.nodes.values()))
    sound = _foreign(name="w-1")
    node.on_worker_heartbeat(sound)
    node.on_worker_heartbeat(
        msgspec.structs.replace(sound, sequence=2**40, **fields)
    )
    drains = msgspec.structs.replace(
        sound, sequence=2, state=WorkerState.DRAINING
    )
    node.take_actions()
    node.on_worker_heartbeat(drains)
    pushes = [
        action.message
        for action in node.take_actions()
        if isinstance(action, Broadcast)
    ]
    assert pushes == [WorkersPush((drains,))]


def test_worker_of_a_service_without_name_waits_for_its_configuration():
    site = make_granted_site(workers=1)
    info = _foreign(service="new", address="10.9.9.8:80")
    site.send_foreign_heartbeat(info)
    site.run(100)
    holder = site.entries[HOLDER]
    assert "store-7" not in holder.dispatcher.fleet.workers
    site.name_service("new")
    site.run(100)
    assert "store-7" in holder.dispatcher.fleet.workers
    site.name_service("service")
    site.run(100)
    assert "store-7" in holder.dispatcher.fleet.workers


@pytest.mark.parametrize("is_kept", [False, True])
def test_job_of_a_service_that_is_not_named_any_more_ends(is_kept):
    site = make_granted_site()
    for worker in site.workers.values():
        worker.task_ms = 1500
    step = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=1500)
    site.submit("c-1/1", "job", count=4, is_kept=is_kept, template=step)
    site.run(200)
    site.name_service("other")
    site.run(100)
    site.kill(HOLDER)
    site.run(200)
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(4000)
    site.request_state("c-1/1", "job")
    site.run(300)
    if is_kept:
        assert site.reported_states["job"] is JobState.COMPLETED
    else:
        assert site.outcomes["job"][1].verdict is Verdict.COMPLETED
    assert len(site.runs) == 4


_TEXTS = st.text(max_size=12) | st.sampled_from(
    ["service", "stock", "worker-a-0", "10.0.0.1:80", "10.9.9.9:80", "a", "b"]
)
_NUMBERS = st.integers(-(2**70), 2**70) | st.sampled_from([0, 1, 2, 2**53])
_INFOS = st.builds(
    WorkerInfo,
    _TEXTS,
    _TEXTS,
    _TEXTS,
    _TEXTS,
    st.sampled_from(WorkerState),
    _NUMBERS,
    _NUMBERS,
    _NUMBERS,
    _NUMBERS,
    st.lists(_TEXTS, max_size=2).map(tuple),
    _TEXTS,
)


@given(st.lists(_INFOS, min_size=1, max_size=6))
@settings(derandomize=True, database=None, max_examples=40, deadline=None)
def test_sound_work_is_served_beside_any_heartbeats(infos):
    site = make_granted_site(workers=1, settle_ms=1000)
    for info in infos:
        site.send_foreign_heartbeat(info)
    site.run(50)
    for name in site.workers:
        site.send_heartbeat(name)
    site.submit("c-1/1", "before", count=3)
    site.run(200)
    site.kill(HOLDER)
    site.run(200)
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(4000)
    site.submit("c-1/1", "after", count=3, is_kept=True)
    site.run(2000)
    site.request_state("c-1/1", "after")
    site.run(300)
    assert site.outcomes["before"][1].verdict is Verdict.COMPLETED
    assert site.reported_states == {"after": JobState.COMPLETED}
    assert site.find_violations() == []


@pytest.mark.parametrize(("operators", "prefix", "sound"), PROTOCOLS)
@given(body=st.binary(max_size=80))
@settings(derandomize=True, database=None, max_examples=200)
def test_any_bytes_are_a_heartbeat_or_rejected(operators, prefix, sound, body):
    call = _read(operators, f"{prefix}w-1", body)
    assert isinstance(call, RejectedHeartbeat | HeartbeatCall)


@pytest.mark.parametrize(("operators", "prefix", "sound"), PROTOCOLS)
@given(data=st.data())
@settings(derandomize=True, database=None, max_examples=200)
def test_heartbeat_that_is_passed_on_can_be_sent_and_used(
    operators, prefix, sound, data
):
    field = data.draw(st.sampled_from(sorted(sound)))
    value = data.draw(_TEXTS | _NUMBERS | st.none() | st.lists(_TEXTS))
    call = _read(operators, f"{prefix}w-1", {**sound, field: value})
    if isinstance(call, HeartbeatCall):
        encode_batch([WorkersPush((call.info,))])
        parse_address(call.info.address)
