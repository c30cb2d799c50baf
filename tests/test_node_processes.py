"""Tests of a pool of nodes and workers as separate processes."""

import http.client
import json
import re
import signal
import subprocess
import sys

import pytest

from clayfield.testbed.node_processes import LOOPBACK, Node
from clayfield.testbed.node_site import ROUTING
from clayfield.testbed.processes import fetch, free_port, wait_for

HELD_WORKERS = r"clayfield_held_workers\S* 4\b"
JOB = {
    "spec": "text",
    "steps": [
        {"count": 3, "cpu": 6800, "memory_mb": 64, "estimate_ms": 20},
        {"count": 1, "cpu": 6800, "estimate_ms": 20, "after": [0]},
    ],
}


class Pool:
    """Three control nodes, two entry nodes and a process of fake workers."""

    def __init__(self, folder):
        seeds = [free_port() for _ in range(3)]
        self.controls = [
            Node("control", f"control-{n}", seeds, folder, peers=seed)
            for n, seed in enumerate(seeds)
        ]
        self.entries = [
            Node("entry", f"entry-{n}", seeds, folder) for n in range(2)
        ]
        addresses = ",".join(f"{LOOPBACK}:{c.port}" for c in self.controls)
        self.workers = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "clayfield.testbed.pool_workers",
                f"--control={addresses}",
            ],
            stdout=subprocess.PIPE,
        )
        self.workers.stdout.readline()

    def write(self, routing):
        """Sends a routing to all control nodes; returns the final replies."""
        replies = [
            c.request("PUT", "/v1/routing", routing) for c in self.controls
        ]
        return [reply for reply in replies if reply[0] not in (0, 307, 503)]

    def stop(self):
        for node in (*self.controls, *self.entries):
            node.process.kill()
            node.process.wait(20)
        self.workers.kill()
        self.workers.wait(20)
        self.workers.stdout.close()


@pytest.fixture(scope="module")
def pool(tmp_path_factory):
    started = Pool(tmp_path_factory.mktemp("pool"))
    try:
        wait_for(lambda: started.write(ROUTING), "routing accepted")
        for entry in started.entries:
            wait_for(lambda entry=entry: entry.is_ready, f"{entry.log}")
        wait_for(
            lambda: _has_holder_with_workers(started),
            "the holder schedules the workers",
        )
        yield started
    finally:
        started.stop()


def _has_holder_with_workers(pool):
    texts = [
        fetch(f"http://{LOOPBACK}:{entry.metrics}/metrics").decode()
        for entry in pool.entries
    ]
    return any(re.search(HELD_WORKERS, text) for text in texts)


def _submit(entry, key, job=JOB):
    return entry.request("PUT", f"/v1/queues/fast/jobs/{key}", job)


def test_job_completes_through_any_entry_node(pool):
    for number, entry in enumerate(pool.entries):
        status, body, _ = _submit(entry, f"first-{number}")
        assert (status, json.loads(body)) == (200, {"verdict": "completed"})


KEPT = {
    "keep": True,
    "spec": "text",
    "steps": [{"count": 2, "cpu": 6800, "estimate_ms": 20}],
}


def _state(entry, key):
    status, body, _ = entry.request("GET", f"/v1/queues/fast/jobs/{key}")
    return json.loads(body).get("state") if status == 200 else status


def _job_command(pool, *arguments):
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "clayfield.cli.main",
            "job",
            "--output=json",
            f"--box-urls=http://{LOOPBACK}:{pool.entries[1].port}",
            *arguments,
        ],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return completed.returncode, json.loads(completed.stdout or "{}")


def test_kept_job_is_accepted_and_reported_by_any_entry_node(pool):
    status, body, _ = _submit(pool.entries[0], "kept", KEPT)
    assert (status, json.loads(body)) == (202, {"verdict": "accepted"})
    for entry in pool.entries:
        wait_for(
            lambda entry=entry: _state(entry, "kept") == "completed", "ended"
        )
    assert _submit(pool.entries[1], "kept", KEPT)[0] == 202
    assert _state(pool.entries[0], "never-put") == 404


def test_command_line_submits_jobs_and_shows_their_state(pool, tmp_path):
    file = tmp_path / "job.json"
    file.write_text(json.dumps(KEPT))
    put = _job_command(pool, "put", "fast", "by-command", str(file))
    assert put == (0, {"key": "by-command", "verdict": "accepted"})
    wait_for(
        lambda: _state(pool.entries[0], "by-command") == "completed", "ended"
    )
    state = _job_command(pool, "state", "fast", "by-command")
    assert state == (0, {"key": "by-command", "state": "completed"})
    code, problem = _job_command(pool, "state", "fast", "never-put")
    assert (code, problem["code"]) == (1, "CF108")


def test_leader_returns_routing_and_others_redirect(pool):
    replies = [c.request("GET", "/v1/routing") for c in pool.controls]
    found = [body for status, body, _ in replies if status == 200]
    assert [json.loads(body) for body in found] == [ROUTING]
    locations = [
        headers["Location"] for status, _, headers in replies if status == 307
    ]
    assert all(location.endswith("/v1/routing") for location in locations)


@pytest.mark.parametrize(
    ("change", "expected_text"),
    [
        ({"services": []}, "no service"),
        ({"version": 0}, "version"),
        ({"queues": [{**ROUTING["queues"][0], "timeout_ms": 0}]}, "timeout_ms"),
        ({"queues": ROUTING["queues"] * 2}, "stands twice"),
    ],
)
def test_invalid_routing_is_rejected_with_its_problems(
    pool, change, expected_text
):
    replies = pool.write({**ROUTING, "version": 9, **change})
    assert {status for status, _, _ in replies} == {422}
    assert expected_text in json.loads(replies[0][1])["detail"]


@pytest.mark.parametrize(
    ("job", "status", "code"),
    [
        (b"{", 400, "CF101"),
        ({"spec": "x"}, 422, "CF102"),
        ({**JOB, "steps": []}, 422, "CF102"),
        ({**JOB, "steps": [{"count": 1, "after": [0]}]}, 422, "CF102"),
        ({**JOB, "spec": "x" * 4001}, 413, "CF104"),
        ({**JOB, "steps": [{"count": 1, "cpu": 99_999}]}, 503, "CF204"),
    ],
)
def test_invalid_job_gets_error_code_and_remedy(pool, job, status, code):
    status_of_reply, body, _ = _submit(pool.entries[0], "bad", job)
    problem = json.loads(body)
    assert (status_of_reply, problem["code"]) == (status, code)
    assert problem["remedy"]


def test_log_has_verdict_and_start_count_of_a_job(pool):
    _submit(pool.entries[0], "traced")
    lines = [
        json.loads(line)
        for entry in pool.entries
        for line in entry.log.read_text().splitlines()
        if '"traced"' in line
    ]
    by_name = {line["name"]: line for line in lines}
    assert by_name["JOB_ANSWERED"]["verdict"] == "completed"
    assert by_name["JOB_ENDED"]["starts"] == 4


def _events(pool, name, nodes=None):
    """Returns the log lines of an event, by default of all entry nodes."""
    lines = [
        json.loads(line)
        for node in nodes or pool.entries
        for line in node.log.read_text().splitlines()
        if f'"{name}"' in line
    ]
    return [line for line in lines if line["name"] == name]


def _count_by_version(pool, name, nodes, version):
    lines = _events(pool, name, nodes)
    return sum(line["version"] == version for line in lines)


def test_log_has_each_step_of_a_configuration(pool):
    pool.controls[0].request("GET", "/v1/routing")
    expected = {
        "CONFIG_PROPOSED": (pool.controls, 1),
        "CONFIG_STORED": (pool.controls, 3),
        "CONFIG_COMMITTED": (pool.controls, 3),
        "CONFIG_RECEIVED": (pool.entries, 2),
        "CONFIG_IN_FORCE": (pool.entries, 2),
    }
    for name, (nodes, count) in expected.items():
        wait_for(
            lambda name=name, nodes=nodes, count=count: (
                _count_by_version(pool, name, nodes, 3) == count
            ),
            f"{count} lines {name}",
        )
    answers = _events(pool, "CONFIG_ACKNOWLEDGED", pool.controls)
    assert {line["outcome"] for line in answers} == {"in-force"}
    for control in pool.controls:
        control.request("GET", "/v1/routing")
    reads = _events(pool, "CONFIG_READ", pool.controls)
    assert reads
    assert all(line["lease_left_ms"] > 0 for line in reads)


def test_tasks_on_workers_that_restart_under_their_names_run_once(pool):
    pool.workers.send_signal(signal.SIGUSR1)
    wait_for(
        lambda: len(_events(pool, "WORKER_RESTARTED")) >= 4,
        "the restart of all workers is known",
    )
    for number in range(5):
        status, body, _ = _submit(pool.entries[0], f"restarted-{number}")
        assert (status, json.loads(body)) == (200, {"verdict": "completed"})
    ended = {line["job"]: line for line in _events(pool, "JOB_ENDED")}
    starts = [ended[f"restarted-{number}"]["starts"] for number in range(5)]
    assert starts == [4] * 5


def test_stopping_entry_node_is_not_ready_but_serves_jobs(pool):
    entry = pool.entries[0]
    conn = http.client.HTTPConnection(LOOPBACK, entry.port, timeout=30)
    entry.process.send_signal(signal.SIGTERM)
    wait_for(lambda: not entry.is_ready, "not ready")
    conn.request("PUT", "/v1/queues/fast/jobs/late", json.dumps(JOB))
    response = conn.getresponse()
    assert response.status == 200
    assert response.headers["Connection"] == "close"
    conn.close()
    assert entry.process.wait(20) == 0
    entry.start()
    wait_for(lambda: entry.is_ready, "ready again")


def test_remaining_nodes_serve_jobs_after_kills(pool):
    pool.entries[1].kill()
    pool.controls[0].kill()
    wait_for(lambda: _submit(pool.entries[0], "after-kill")[0] == 200, "served")
    pool.controls[0].start()
    pool.entries[1].start()
    wait_for(lambda: pool.entries[1].is_ready, "ready again")
    assert _submit(pool.entries[1], "after-return")[0] == 200


def test_kept_jobs_survive_restart_of_all_control_nodes(pool):
    for number in range(4):
        reply = _submit(pool.entries[0], f"safe-{number}", KEPT)
        assert reply[0] == 202
    for control in pool.controls:
        control.kill()
    for control in pool.controls:
        control.start()
    for number in range(4):
        wait_for(
            lambda n=number: (
                _state(pool.entries[1], f"safe-{n}") == "completed"
            ),
            "completed",
        )
    wait_for(
        lambda: _submit(pool.entries[1], "again", KEPT)[0] == 202, "accepted"
    )


@pytest.mark.parametrize(
    ("arguments", "expected_text"),
    [
        (["entry"], "--node"),
        (["control", "--node=a", "--peers=1:1", "--seeds=1:1"], "--operators"),
        (["entry", "--node=a", "--peers=nothing", "--seeds=1:1"], "--peers"),
    ],
)
def test_invalid_settings_are_reported_with_exit_code_2(
    arguments, expected_text
):
    completed = subprocess.run(
        [sys.executable, "-m", "clayfield.node.main", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 2
    assert expected_text in completed.stderr


def test_reload_during_a_start_does_not_end_the_process():
    # SIGHUP ended a node that was still importing its modules.
    code = (
        "import signal, sys, clayfield.node.main as main\n"
        "assert 'twisted' not in sys.modules\n"
        "sys.argv = ['clayfield-node', '--help']\n"
        "try: main.main()\n"
        "except SystemExit: pass\n"
        "print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.stdout.endswith("True\n"), completed.stderr
