"""Tests of clayfieldd processes: HTTP interfaces, crashes, planned stops."""

import concurrent.futures
import http.client
import json
import pathlib
import subprocess
import sys

import pytest

from clayfield.testbed.processes import Cluster, wait_for

CONFIG = str(pathlib.Path(__file__).parent.parent / "examples/ordervaart.yaml")
TOKEN = "desk-amsterdam"
BODY = {
    "member": "amsterdam",
    "job": "check-order",
    "tasks": [{"run_ms": 5}, {"run_ms": 20}],
}
OPTIONS = ("--request-ms", "500")


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("boxes")
    with Cluster(
        folder, CONFIG, {"west-1": 3}, 3, extra_flags=OPTIONS
    ) as running:
        yield running


def _submit(box, key, body, token=TOKEN, **headers):
    conn = http.client.HTTPConnection("127.0.0.1", box.callers_port, timeout=30)
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    fields = {"Authorization": f"Bearer {token}", **headers}
    if key is not None:
        fields["Idempotency-Key"] = key
    conn.request("POST", "/v1/submissions", data, fields)
    response = conn.getresponse()
    answer = response.read()
    conn.close()
    return response.status, answer, response.headers


def _get(box, path, token=TOKEN):
    conn = http.client.HTTPConnection("127.0.0.1", box.callers_port, timeout=30)
    conn.request("GET", path, headers={"Authorization": f"Bearer {token}"})
    response = conn.getresponse()
    answer = response.read()
    conn.close()
    return response.status, answer


def _box(cluster, number):
    return list(cluster.boxes.values())[number]


@pytest.mark.parametrize(
    ("key", "body", "token", "status", "code"),
    [
        (None, BODY, TOKEN, 400, "CF103"),
        ("k\u00e9".encode().decode("latin-1"), BODY, TOKEN, 400, "CF103"),
        ("k" * 201, BODY, TOKEN, 400, "CF103"),
        ("k", b"{", TOKEN, 400, "CF101"),
        ("k", b"\xff\xfe", TOKEN, 400, "CF101"),
        ("k", [], TOKEN, 422, "CF102"),
        ("k", {**BODY, "tasks": []}, TOKEN, 422, "CF102"),
        ("k", {**BODY, "tasks": "no"}, TOKEN, 422, "CF102"),
        ("k", {**BODY, "extra": 1}, TOKEN, 422, "CF102"),
        ("k", {**BODY, "deadline_ms": -1}, TOKEN, 422, "CF102"),
        ("k", {**BODY, "repeatable": "yes"}, TOKEN, 422, "CF102"),
        ("k", BODY, "wrong", 401, "CF106"),
        ("k", BODY, "desk-rotterdam", 403, "CF107"),
        ("k-job", {**BODY, "job": "none"}, TOKEN, 404, "CF108"),
        ("k-many", {**BODY, "tasks": [1] * 1701}, TOKEN, 413, "CF104"),
        ("k", b"x" * 1_100_000, TOKEN, 413, "CF104"),
    ],
)
def test_invalid_submission_gets_its_error_code(
    cluster, key, body, token, status, code
):
    got_status, answer, headers = _submit(_box(cluster, 0), key, body, token)
    problem = json.loads(answer)
    assert (got_status, problem["code"]) == (status, code)
    assert problem["ran"] == "no"
    assert problem["remedy"]
    assert headers["content-type"] == "application/problem+json"


def test_incomplete_request_times_out(cluster):
    conn = http.client.HTTPConnection(
        "127.0.0.1", _box(cluster, 0).callers_port, timeout=30
    )
    conn.putrequest("POST", "/v1/submissions")
    conn.putheader("Content-Length", "1000")
    conn.endheaders(b"{")
    response = conn.getresponse()
    assert json.loads(response.read())["code"] == "CF105"
    conn.close()


def test_resubmission_to_any_box_gets_the_same_response(cluster):
    first = _submit(_box(cluster, 0), "west-1:same", BODY)
    assert first[0] == 200
    assert json.loads(first[1])["answers"] == BODY["tasks"]
    for number in (1, 2):
        assert (
            _submit(_box(cluster, number), "west-1:same", BODY)[:2]
            == (first[:2])
        )
        path = "/v1/submissions/west-1:same"
        assert _get(_box(cluster, number), path) == first[:2]
    other = {**BODY, "tasks": [1]}
    status, answer, _ = _submit(_box(cluster, 1), "west-1:same", other)
    assert (status, json.loads(answer)["code"]) == (409, "CF109")


def test_submission_of_another_member_is_not_found(cluster):
    assert _submit(_box(cluster, 0), "west-1:mine", BODY)[0] == 200
    path = "/v1/submissions/west-1:mine"
    assert _get(_box(cluster, 0), path, "desk-rotterdam")[0] == 404


def test_command_line_applies_valid_files_and_rejects_invalid_ones(
    cluster, tmp_path, capsys
):
    url = f"http://127.0.0.1:{_box(cluster, 1).operators_port}"
    common = ["--box-urls", url, "--token", "operator", "--output", "json"]
    text = pathlib.Path(CONFIG).read_text()
    valid = tmp_path / "valid.yaml"
    valid.write_text(text.replace("replaces: 0", "replaces: 1"))
    invalid = tmp_path / "invalid.yaml"
    invalid.write_text(text.replace("price: 20", "price: cheap"))
    cases = [
        (["check", str(invalid)], 1, "faults"),
        (["apply", str(invalid)], 1, "faults"),
        (["apply", "--wait", str(valid)], 0, '"version": 2'),
        (["apply", str(valid)], 0, '"version": 2'),
        (["apply", CONFIG], 0, '"version": 1'),
        (["show"], 0, '"replaces": 1'),
        (["status"], 0, '"is_ready": true'),
    ]
    for arguments, code, output in cases:
        result = _run_cli([*arguments, *common])
        assert result.returncode == code, (
            arguments,
            result.stdout,
            result.stderr,
        )
        assert output in result.stdout, arguments


def _run_cli(arguments):
    command = [sys.executable, "-m", "clayfield.cli.main", *arguments]
    return subprocess.run(command, capture_output=True, text=True)


def test_metrics_and_health_are_served(cluster):
    box = _box(cluster, 0)
    conn = http.client.HTTPConnection(
        "127.0.0.1", box.operators_port, timeout=30
    )
    for path, content in (
        ("/healthz", b"ok"),
        ("/readyz", b"ready"),
        ("/metrics", b"clayfield_slowdown"),
    ):
        conn.request("GET", path)
        assert content in conn.getresponse().read()
    conn.close()


def test_crash_and_planned_stop_neither_lose_nor_repeat_tasks(tmp_path):
    with (
        Cluster(
            tmp_path, CONFIG, {"west-1": 3}, 3, extra_flags=OPTIONS
        ) as cluster,
        concurrent.futures.ThreadPoolExecutor(40) as pool,
    ):
        slow = {**BODY, "tasks": [{"run_ms": 400}] * 2}
        stopped, killed, other = cluster.boxes.values()
        in_flight = [
            pool.submit(_submit, stopped, f"west-1:s{n}", slow)
            for n in range(8)
        ]

        def counts():
            return json.loads(cluster.workers.counts())

        wait_for(lambda: counts()["starts"] >= 16, "all started")
        stopped.begin_stop()
        assert [future.result()[0] for future in in_flight] == [200] * 8
        assert stopped.wait() == 0
        stopped.start()
        stopped.wait_ready()
        in_flight = [
            pool.submit(_submit, killed, f"west-1:k{n}", slow) for n in range(8)
        ]
        wait_for(lambda: counts()["starts"] >= 32, "all started")
        killed.kill()
        for future in in_flight:
            assert future.exception() is not None
        for n in range(8):
            status, answer, _ = _submit(other, f"west-1:k{n}", slow)
            assert status == 502
            assert json.loads(answer)["ran"] == "maybe"
        killed.start()
        killed.wait_ready()
        for n in range(8):
            assert _submit(killed, f"west-1:s{n}", slow)[0] == 200
        assert counts()["starts"] == 32
        assert counts()["doubled"] == 0


def test_accepted_configurations_survive_a_crash_of_every_box(tmp_path):
    text = pathlib.Path(CONFIG).read_text()
    with Cluster(tmp_path, CONFIG, {"west-1": 3}, 1) as cluster:
        boxes = list(cluster.boxes.values())
        urls = ",".join(f"http://127.0.0.1:{b.operators_port}" for b in boxes)
        common = ["--box-urls", urls, "--token", "operator"]
        for version in range(1, 7):
            if version in (3, 5):
                for box in boxes:
                    box.kill()
                for box in boxes:
                    box.start()
                for box in boxes:
                    box.wait_ready()
            path = tmp_path / f"{version}.yaml"
            path.write_text(text.replace("replaces: 0", f"replaces: {version}"))
            result = _run_cli(["apply", str(path), *common])
            assert result.returncode == 0, (
                version,
                result.stdout,
                result.stderr,
            )
        for version in range(1, 7):
            path = str(tmp_path / f"{version}.yaml")
            result = _run_cli(["apply", path, *common])
            assert f"accepted as version {version + 1}" in result.stdout
        result = _run_cli(["show", "--output", "json", *common])
        assert json.loads(result.stdout)["replaces"] == 6
