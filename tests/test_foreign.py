"""Tests of heartbeats of other writers, beside workers that serve.

They guard against a foreign heartbeat that keeps other workers from being
used, or hides the worker whose name it bears.
"""

import json

import msgspec
import pytest
from clayfield_platform.operators import PlatformOperators

from clayfield.node.httpserver import HttpRequest
from clayfield.node.interfaces import HeartbeatCall, RejectedHeartbeat
from clayfield.node.native import NativeOperators
from clayfield.testbed.pool_site import HOLDER, make_granted_site
from clayfield.wire.cluster import WorkersPush
from clayfield.wire.jobs import Verdict, WorkerInfo, WorkerState

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
