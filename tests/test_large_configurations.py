"""Tests of configurations near the size limit, as separate processes."""

import json
import time

import pytest
from test_node_processes import ROUTING, Pool, _events

from clayfield.testbed.processes import wait_for

# Time from an acknowledgement until every entry node uses the version.
CONFIG_S = 2.0
DOCUMENT_BYTES = 3_900_000
SERVICE = '{"name": "service-%06d"}'


def _padded(version):
    """Returns a document whose size is almost all white space."""
    text = json.dumps({**ROUTING, "version": version})
    return text.encode() + b" " * (DOCUMENT_BYTES - len(text))


def _with_many_services(version):
    """Returns a document whose size is almost all services."""
    count = DOCUMENT_BYTES // len(SERVICE % 0 + ", ")
    services = [{"name": f"service-{n:06d}"} for n in range(count)]
    services += ROUTING["services"]
    document = {**ROUTING, "version": version, "services": services}
    return json.dumps(document).encode()


@pytest.fixture(scope="module")
def pool(tmp_path_factory):
    started = Pool(tmp_path_factory.mktemp("large"))
    try:
        wait_for(lambda: started.write(ROUTING), "routing accepted")
        for entry in started.entries:
            wait_for(lambda entry=entry: entry.is_ready, f"{entry.log}")
        yield started
    finally:
        started.stop()


@pytest.mark.parametrize(
    ("version", "make"), [(10, _padded), (11, _with_many_services)]
)
def test_large_configuration_is_in_force_in_time(pool, version, make):
    document = make(version)
    statuses = []
    for control in pool.controls:
        statuses.append(control.request("PUT", "/v1/routing", document)[0])
        if statuses[-1] == 200:
            break
    acknowledged_s = time.monotonic()
    assert statuses[-1] == 200, statuses
    wait_for(
        lambda: (
            sum(
                line["version"] == version
                for line in _events(pool, "CONFIG_IN_FORCE")
            )
            == len(pool.entries)
        ),
        "in force at all entry nodes",
    )
    assert time.monotonic() - acknowledged_s < CONFIG_S
    reads = [c.request("GET", "/v1/routing") for c in pool.controls]
    assert [body for status, body, _ in reads if status == 200] == [document]
