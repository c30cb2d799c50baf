"""Tests of a box beside crowds of clients that don't behave.

They guard against a box that no longer answers ordinary submissions because of
what such clients send. Neither times nor shares of served requests count.
"""

import http.client
import json
import pathlib

import pytest

from clayfield.testbed.crowd_scripts import CHUNKED, unfinished_body
from clayfield.testbed.crowds import Crowd, chunk, head
from clayfield.testbed.processes import Cluster, wait_for

CONFIG = str(pathlib.Path(__file__).parent.parent / "examples/ordervaart.yaml")
TOKEN = "desk-amsterdam"
PATH = b"/v1/submissions"
SUBMISSION = {
    "member": "amsterdam",
    "job": "check-order",
    "tasks": [{"run_ms": 5}],
}
ANSWER_TIMEOUT_S = 2.0
BODY_BYTES = 1024 * 1024
CHUNKS = 131_072


@pytest.fixture
def box(tmp_path):
    with Cluster(tmp_path, CONFIG, {"west-1": 1}, 3, 1) as running:
        yield next(iter(running.boxes.values()))


def _is_served(box, key):
    """Returns whether an ordinary submission is completed."""
    conn = http.client.HTTPConnection(
        "127.0.0.1", box.callers_port, timeout=ANSWER_TIMEOUT_S
    )
    fields = {"Authorization": f"Bearer {TOKEN}", "Idempotency-Key": key}
    try:
        conn.request("POST", PATH.decode(), json.dumps(SUBMISSION), fields)
        return conn.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        conn.close()


def _tiny_chunks():
    start = head(b"POST", PATH, CHUNKED)
    body = chunk(b" ") * CHUNKS
    return lambda: [start, body]


@pytest.mark.parametrize(
    ("count", "script"),
    [
        pytest.param(500, _tiny_chunks(), id="tiny-chunks"),
        pytest.param(200, unfinished_body(PATH, BODY_BYTES), id="bodies"),
    ],
)
def test_box_serves_submissions_beside(box, count, script):
    # Beside 200 bodies in chunks of one byte none was answered for 10 s.
    wait_for(lambda: _is_served(box, "before"), "served before the crowd")
    with Crowd(box.callers_port, count, script) as crowd:
        crowd.play()
        wait_for(lambda: _is_served(box, "beside"), "served beside the crowd")
    wait_for(lambda: _is_served(box, "after"), "served after the crowd")
    assert box.is_running
    assert box.resident_mb() < 300
