"""Tests of the platform's message and settings formats."""

import json
import pathlib
import re

import pytest
import yaml
from clayfield_platform.boot import read_boot, to_settings
from clayfield_platform.callers import PlatformCallers
from clayfield_platform.operators import PlatformOperators
from clayfield_platform.workers import PlatformWorkers, read_task

from clayfield.base import ClayfieldError, ManualClock
from clayfield.node.httpclient import CallOutcome, CallResult
from clayfield.node.httpserver import HttpRequest
from clayfield.node.interfaces import (
    CancelCall,
    CountCall,
    HeartbeatCall,
    HttpReply,
    LeaveCall,
    ReadCall,
    StateCall,
    SubmitCall,
    WriteCall,
)
from clayfield.node.native import NativeCallers, NativeOperators
from clayfield.pool import (
    CommandResult,
    EndKind,
    PollReply,
    PollWorker,
    PoolTiming,
    RequestAdvice,
    Routes,
    StartRun,
    StopRun,
    TaskId,
)
from clayfield.pool.dispatcher import Dispatcher
from clayfield.wire.cluster import JobEnded, JobStateReply, SubmitJob
from clayfield.wire.jobs import (
    JobState,
    Reason,
    Schedule,
    Step,
    Verdict,
    WorkerState,
)

ROOT = pathlib.Path(__file__).parent.parent
KEY = "5c0e7a21d94b36f8"
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path_prefix": "/q/",
            "kind": "unsafe",
            "timeout_ms": 1500,
            "target_latency_ms": 60,
            "priority": 1,
            "service": "s",
            "max_attempts": 4,
            "stretch": 1.6,
        },
        {
            "name": "r-2",
            "host": "a.example",
            "path_prefix": "/q/long/",
            "timeout_ms": 1500,
            "service": "s",
        },
    ],
    "services": [{"name": "s", "max_conns": 64, "enforces_capacity": True}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
}
JOB = {
    "spec": "text",
    "steps": [{"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900}],
    "best_effort": True,
}


def _request(method, path, body=b"", host="a.example", **headers):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    fields = {"host": host, **headers}
    return HttpRequest(None, method, path, fields, raw)


def _routes(config=CONFIG):
    document = json.dumps(config).encode()
    return Routes(PlatformOperators().read_table(document))


def _call(method, path, body=b"", **headers):
    request = _request(method, path, body, **headers)
    return PlatformCallers().read_call(request, _routes())


def test_submitted_job_gets_settings_of_its_route():
    call = _call("POST", f"/q/{KEY}", JOB, **{"clayfield-deadline-ms": "2210"})
    job = call.job
    assert isinstance(call, SubmitCall)
    assert (job.key, job.queue, job.service) == (KEY, "r-1", "s")
    assert (job.priority, job.max_attempts) == (1, 4)
    assert (job.stretch, job.target_ms, job.timeout_ms) == (1.6, 60, 2210)
    step = job.steps[0]
    assert (step.count, step.cpu, step.memory_mb) == (4, 500, 256)


def test_longest_matching_prefix_selects_the_route():
    call = _call("POST", f"/q/long/{KEY}", JOB)
    assert call.job.queue == "r-2"


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", f"/other/{KEY}", JOB, 404),
        ("POST", "/q/short", JOB, 404),
        ("PATCH", f"/q/{KEY}", JOB, 405),
        ("POST", f"/q/{KEY}", b"{", 400),
        ("POST", f"/q/{KEY}", {**JOB, "spec": "x" * 4001}, 400),
        ("POST", f"/q/{KEY}", {**JOB, "steps": []}, 400),
        (
            "POST",
            f"/q/{KEY}",
            {**JOB, "steps": [{"count": 1, "after": [0]}]},
            400,
        ),
        ("POST", f"/q/{KEY}", {**JOB, "repeats": 9000}, 413),
    ],
)
def test_invalid_request_gets_error_status(method, path, body, status):
    reply = _call(method, path, body)
    assert isinstance(reply, HttpReply)
    assert reply.status == status
    has_retry = any(name == "Retry-After" for name, _ in reply.headers)
    assert has_retry == (status == 503)


@pytest.mark.parametrize(("fields", "is_kept"), [({}, True), (JOB, False)])
def test_job_is_kept_unless_best_effort(fields, is_kept):
    body = {"spec": JOB["spec"], "steps": JOB["steps"], **fields}
    assert _call("POST", f"/q/{KEY}", body).job.is_kept == is_kept


def test_requirements_of_a_step_are_decoded():
    fields = {
        "count": 2,
        "gang": True,
        "same_rack": True,
        "checkpointing": True,
        "requires": "b",
        "affinity": "r1-3",
        "anti_affinity": 1,
        "long_running": True,
        "target_ms": 80,
        "fills": True,
    }
    step = _call("POST", f"/q/{KEY}", {**JOB, "steps": [fields]}).job.steps[0]
    assert step == Step(
        2,
        required_label="b",
        rack="r1-3",
        max_per_worker=1,
        is_checkpointing=True,
        is_gang=True,
        prefers_one_rack=True,
        is_long_running=True,
        target_ms=80,
        is_batch=True,
    )


def test_schedule_of_a_job_is_decoded():
    times = {"repeats": 3, "start_delay_ms": 1e12, "interval_ms": 500}
    job = _call("POST", f"/q/{KEY}", {**JOB, **times}).job
    assert job.schedule == Schedule(3, 1e12, 500)
    assert job.task_count == 12


def test_state_count_and_cancel_requests_are_decoded():
    assert isinstance(_call("GET", f"/q/{KEY}"), StateCall)
    assert isinstance(_call("DELETE", f"/q/{KEY}"), CancelCall)
    assert _call("GET", "/q/").queue == "r-1"
    assert isinstance(_call("GET", "/q/"), CountCall)
    assert _call("GET", "/nothing/").status == 404


def test_request_without_configuration_gets_503():
    reply = PlatformCallers().read_call(
        _request("POST", f"/q/{KEY}", JOB), Routes()
    )
    assert reply.status == 503


@pytest.mark.parametrize(
    ("verdict", "reason", "status", "retry"),
    [
        (Verdict.COMPLETED, Reason.NONE, 200, None),
        (Verdict.FAILED, Reason.ATTEMPTS, 200, None),
        (Verdict.REFUSED, Reason.TOO_LATE, 429, "2"),
        (Verdict.REFUSED, Reason.NO_HOLDER, 503, "2"),
        (Verdict.ABANDONED, Reason.TIMED_OUT, 504, None),
        (Verdict.CANCELLED, Reason.CANCELLED, 410, None),
        (Verdict.ACCEPTED, Reason.NONE, 200, None),
        (Verdict.REFUSED, Reason.NOT_STORED, 503, "2"),
        (Verdict.REFUSED, Reason.TOO_MANY, 429, "2"),
    ],
)
def test_verdict_on_a_job_sets_status_and_retry_after(
    verdict, reason, status, retry
):
    ended = JobEnded(KEY, verdict, reason, 1200.0)
    reply = PlatformCallers().write_job_reply(ended)
    assert reply.status == status
    assert dict(reply.headers).get("Retry-After") == retry


@pytest.mark.parametrize(
    ("state_reply", "status", "state"),
    [
        (JobStateReply(1, JobState.RUNNING, True), 200, "running"),
        (JobStateReply(1, JobState.COMPLETED, True), 200, "completed"),
        (JobStateReply(1, None, True), 410, None),
        (JobStateReply(1, None, False), 503, None),
        (None, 503, None),
    ],
)
def test_job_state_sets_status_and_body(state_reply, status, state):
    reply = PlatformCallers().write_state_reply(state_reply)
    assert reply.status == status
    if state:
        assert json.loads(reply.body) == {"state": state}


def _config_with(path, value):
    config = json.loads(json.dumps(CONFIG))
    container = config
    for step in path[:-1]:
        container = container[step]
    container[path[-1]] = value
    return config


@pytest.mark.parametrize(
    "config",
    [
        json.dumps(CONFIG).encode()[:-40],
        _config_with(["routes", 0, "service"], "unknown"),
        _config_with(["routes", 1, "path_prefix"], "/q/"),
        _config_with(["routes", 0, "timeout_ms"], 0),
        _config_with(["version"], 0),
        _config_with(["version"], "seven"),
        b"\xff\xfe",
        b"[]",
    ],
)
def test_invalid_configuration_is_rejected(config):
    request = _request("PUT", "/-/config", config)
    assert PlatformOperators().read_call(request).status == 400


def test_valid_configuration_is_passed_on_unchanged():
    document = json.dumps({**CONFIG, "unknown": [1, 2]}, indent=3).encode()
    call = PlatformOperators().read_call(_request("PUT", "/-/config", document))
    assert isinstance(call, WriteCall)
    assert (call.version, call.document) == (7, document)
    read = PlatformOperators().read_call(_request("GET", "/-/config"))
    assert isinstance(read, ReadCall)


def test_heartbeat_and_leave_of_a_worker_are_decoded():
    body = {
        "service": "s",
        "address": "10.0.0.9:80",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "draining",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1},
        "labels": ["a", "r1-3"],
        "clock_ms": 482113,
        "seq": 4,
        "born": 1764767473000,
    }
    call = PlatformOperators().read_call(
        _request("PUT", "/-/instances/i-7", body)
    )
    assert isinstance(call, HeartbeatCall)
    info = call.info
    assert (info.name, info.state) == ("i-7", WorkerState.DRAINING)
    assert (info.cpu, info.memory_mb, info.gpu) == (16000, 32768, 1)
    assert info.labels == ("a", "r1-3")
    assert info.born_ms == 1764767473000
    leave = PlatformOperators().read_call(
        _request("DELETE", "/-/instances/i-7")
    )
    assert isinstance(leave, LeaveCall)
    assert leave.name == "i-7"


TASK = TaskId(KEY, 1, 17)


def _parse_request(request):
    head, _, body = request.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:])
    assert int(headers["Content-Length"]) == len(body)
    return lines[0], headers, json.loads(body)


def test_start_request_has_iteration_checkpoint_and_ticket():
    task_id = TaskId(KEY, 1, 17, 3)
    start = StartRun("i-1", "1.2.3.4:5", task_id, 2, "t", 9.0, 7, "00b", "c8")
    _, _, body = _parse_request(PlatformWorkers().write_start(start))
    assert body["task"] == f"{KEY}.3.1.17"
    assert (body["checkpoint"], body["ticket"]) == ("00b", "c8")


def test_advisor_request_is_encoded_and_reply_decoded():
    protocol = PlatformWorkers()
    command = RequestAdvice(1, KEY, 0, 1, ["i-1", "i-2"])
    line, headers, body = _parse_request(
        protocol.write_advice_request(command, "1.2.3.4:5")
    )
    assert line == "POST /-/advise HTTP/1.1"
    assert "Clayfield-Target-Instance" not in headers
    assert body == {"step": f"{KEY}.0.1", "workers": ["i-1", "i-2"]}
    result = CallResult(
        CallOutcome.ANSWERED,
        200,
        b'{"good":[["i-1","c81e"]],"valid_ms":3000}',
    )
    advice = protocol.read_advice(result)
    assert (advice.is_reply, advice.tickets) == (True, {"i-1": "c81e"})
    assert advice.valid_ms == 3000


@pytest.mark.parametrize(
    "result",
    [
        CallResult(CallOutcome.ANSWERED, 429, b""),
        CallResult(CallOutcome.ANSWERED, 200, b"{"),
        CallResult(CallOutcome.LOST),
        CallResult(CallOutcome.UNREACHED),
        CallResult(CallOutcome.REFUSED),
    ],
)
def test_failed_advisor_call_gives_no_advice(result):
    assert not PlatformWorkers().read_advice(result).is_reply


def test_worker_requests_have_the_platforms_format():
    protocol = PlatformWorkers()
    start = StartRun("i-1", "10.0.0.9:80", TASK, 2, "text", 486000.7, 7)
    line, headers, body = _parse_request(protocol.write_start(start))
    assert line == "POST /-/run-start HTTP/1.1"
    assert headers["Clayfield-Target-Instance"] == "i-1"
    assert body == {
        "task": f"{KEY}.0.1.17",
        "run": 2,
        "spec": "text",
        "deadline_ms": 486000,
        "fence": 7,
    }
    stop = StopRun("i-1", "10.0.0.9:80", TASK, 2, 7)
    _, _, body = _parse_request(protocol.write_stop(stop))
    assert body == {"task": f"{KEY}.0.1.17", "run": 2, "fence": 7}
    poll = PollWorker("i-1", "10.0.0.9:80", 57, 400, None, 7, 1)
    _, _, body = _parse_request(protocol.write_poll(poll))
    assert body == {"fence": 7, "seen_upto": 57, "wait_ms": 400}


@pytest.mark.parametrize(
    ("status", "body", "result"),
    [
        (200, {"clock_ms": 5}, CommandResult.DONE),
        (409, {"clock_ms": 5, "reason": "fence"}, CommandResult.FENCED),
        (409, {"clock_ms": 5, "reason": "old"}, CommandResult.OLD_RUN),
        (409, {"clock_ms": 5, "reason": "late"}, CommandResult.TOO_LATE),
        (409, {"clock_ms": 5, "reason": "room"}, CommandResult.NO_ROOM),
        (400, {}, CommandResult.BAD_ORDER),
        (421, {}, CommandResult.GONE),
        (429, {}, CommandResult.UNHEALTHY),
        (503, {}, CommandResult.UNHEALTHY),
    ],
)
def test_reply_to_a_start_is_decoded(status, body, result):
    call_result = CallResult(
        CallOutcome.ANSWERED, status, json.dumps(body).encode()
    )
    assert PlatformWorkers().read_command_reply(call_result).result is result


def test_poll_reply_is_decoded():
    body = {
        "clock_ms": 482113,
        "running": [[f"{KEY}.0.1.17", 2, "00000bb8", 41]],
        "ended": [[58, f"{KEY}.0.1.9", 1, "done", ""]],
        "born": 1764767473000,
    }
    call_result = CallResult(
        CallOutcome.ANSWERED, 200, json.dumps(body).encode()
    )
    reply = PlatformWorkers().read_poll_reply(call_result)
    assert reply.result is CommandResult.DONE
    assert reply.born_ms == 1764767473000
    assert reply.running[0].task_id == TASK
    assert reply.running[0].speed_percent == 41
    ended = reply.ended[0]
    assert (ended.sequence, ended.kind) == (58, EndKind.DONE)
    assert ended.task_id == read_task(f"{KEY}.0.1.9")
    truncated = CallResult(CallOutcome.ANSWERED, 200, b'{"clock_ms":')
    assert (
        PlatformWorkers().read_poll_reply(truncated).result
        is CommandResult.LOST
    )


BOOT = {
    "node": "front-a-1",
    "role": "entry",
    "class": "front",
    "ip": "10.1.0.13",
    "zone": "a",
    "listen": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
    "ephemeral_ports": [7720, 7735],
    "seeds": ["10.1.0.16:8166", "10.2.0.33:8166"],
    "bootstrap": True,
    "data_dir": None,
    "fault_tolerance": {"machines": 2, "zones": 1},
    "bounds": {"max_hold_ms": 900, "stop_ms": 40, "grace_s": 5},
    "limits": {"cpu_share": 0.5, "memory_mb": 296, "max_fds": 4100},
    "orders": "call",
    "unknown": {"to": "be ignored"},
}


def _write_boot(tmp_path, **changes):
    path = tmp_path / "boot.yaml"
    path.write_text(yaml.safe_dump({**BOOT, **changes}))
    return str(path)


def test_settings_file_is_converted(tmp_path):
    cfg = to_settings(read_boot(_write_boot(tmp_path)))
    assert cfg.seeds == (("10.1.0.16", 7720), ("10.2.0.33", 7720))
    assert cfg.callers == ("10.1.0.13", 8161)
    assert cfg.operators is None
    assert (cfg.losses, cfg.lease_ms, cfg.stop_ms) == (2, 900, 40)
    assert cfg.grace_ms == 5000
    assert cfg.is_first_start
    assert (cfg.memory_mb, cfg.max_descriptors) == (296, 4100)


@pytest.mark.parametrize(
    ("changes", "setting"),
    [
        ({"orders": "heartbeat"}, "orders"),
        ({"discovery": "list"}, "discovery"),
        ({"config_mode": "compare"}, "config_mode"),
        ({"seeds": 7}, "seeds"),
        ({"ip": None}, "ip"),
    ],
)
def test_unsupported_setting_is_rejected_by_name(tmp_path, changes, setting):
    with pytest.raises(ClayfieldError, match=setting):
        read_boot(_write_boot(tmp_path, **changes))


def test_packages_contain_no_platform_names():
    names = re.compile(
        r"/-/|clayfield-(deadline-ms|target-instance|instance-id|lease-holder"
        r"|fencing-token)",
        re.IGNORECASE,
    )
    for path in (ROOT / "packages").glob("*/src/**/*.py"):
        assert not names.search(path.read_text()), path


NATIVE_ROUTING = {
    "version": 7,
    "queues": [
        {
            "name": "r-1",
            "host": "a.example",
            "timeout_ms": 1500,
            "target_ms": 60,
            "priority": 1,
            "service": "s",
            "max_attempts": 4,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "s"}],
}
NATIVE_JOB = {
    "spec": "text",
    "steps": [{"count": 4, "cpu": 500, "memory_mb": 256, "estimate_ms": 900}],
}
NATIVE_HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.9:80",
    "hall": "z",
    "state": "ready",
    "sequence": 1,
    "cpu": 2000,
    "memory_mb": 32768,
    "labels": ["a"],
}
HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z",
    "state": "ready",
    "seq": 1,
    "capacity": {"cpu": 2000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a"],
}


def _commands_for_job(callers, operators, config, heartbeat, job, path):
    """Returns the commands for one job on one worker."""
    put = _request("PUT", heartbeat[0], heartbeat[1])
    info = operators.read_call(put).info
    routes = Routes(operators.read_table(json.dumps(config).encode()))
    call = callers.read_call(_request("POST", path, job), routes)
    clock = ManualClock(1000.0)
    dispatcher = Dispatcher(clock, PoolTiming(), 8)
    dispatcher.on_worker_heartbeat(info)
    dispatcher.tick()
    (poll,) = dispatcher.take_actions()
    reply = PollReply(CommandResult.DONE, 5000.0)
    dispatcher.fleet.on_poll_reply(info.name, poll.poll_id, 1000.0, reply)
    dispatcher.on_submit("entry/1", SubmitJob(call.job, 0.0, 1))
    dispatcher.place_tasks()
    return [
        (
            type(command).__name__,
            *(getattr(command, n) for n in command.__slots__),
        )
        for command in dispatcher.take_actions()
    ]


def test_native_and_platform_protocols_give_the_same_commands():
    native = _commands_for_job(
        NativeCallers(),
        NativeOperators(),
        NATIVE_ROUTING,
        ("/v1/workers/i-7", NATIVE_HEARTBEAT),
        NATIVE_JOB,
        f"/v1/queues/r-1/jobs/{KEY}",
    )
    platform = _commands_for_job(
        PlatformCallers(),
        PlatformOperators(),
        {**CONFIG, "routes": CONFIG["routes"][:1]},
        ("/-/instances/i-7", HEARTBEAT),
        JOB,
        f"/q/{KEY}",
    )
    assert native == platform
    assert [command[0] for command in native].count("StartRun") == 4
