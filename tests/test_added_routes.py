"""Tests that a route is served after the configuration that adds it.

They guard against a route that is in force and whose jobs are not run: the
workers of its service, the holder's configuration and the grant may come in
any order.
"""

import itertools

import msgspec
import pytest

from clayfield.testbed.pool_site import (
    DEFAULT_STEP,
    HOLDER,
    STANDBYS,
    make_granted_site,
)
from clayfield.wire.jobs import (
    JobState,
    Limits,
    Route,
    RoutingTable,
    Service,
    Verdict,
)

CONFIG_MS = 2000.0
# One worker serves all jobs of an added route.
JOB_INTERVAL_MS = 100.0
WORKER = "new-worker"
ENTRIES_OF_B = ("b-0/1", "b-1/1")


def _route(name, prefix, service):
    return Route(name, "host", prefix, service, 1500.0, 60.0, 0, 3, 1.6)


def _table(version, *routes):
    services = sorted({"service", *(route.service for route in routes)})
    return RoutingTable(
        version,
        (_route("queue", "/q/", "service"), *routes),
        tuple(Service(name, 64, True) for name in services),
        Limits(),
    )


ADDED = _table(2, _route("added", "/q/added/", "new"))


def _configure(site, table, holder_delay_ms=0.0):
    for node in site.entries:
        delay_ms = holder_delay_ms if node == HOLDER else 0.0
        site.call_later(delay_ms, lambda node=node: site.configure(node, table))


def _submit_everywhere(site, label, path="/q/added/"):
    """Submits a job and a kept job at each live node; returns their keys."""
    keys = []
    for number, node in enumerate(site.entries):
        if site.is_dead(node):
            continue
        for is_kept in (False, True):
            key = f"{label}-{number}-{is_kept}"
            assert site.submit_by_route(node, path, key, is_kept)
            keys.append(key)
            site.run(JOB_INTERVAL_MS)
    return keys


def _assert_served(site, keys, worker=WORKER):
    """Checks that jobs are completed, all on one worker."""
    node = next(node for node in site.entries if not site.is_dead(node))
    kept_keys = [key for key in keys if key.endswith("True")]
    for key in kept_keys:
        site.request_state(node, key)
    site.run(500)
    verdicts = {key: site.outcomes[key][1].verdict for key in site.outcomes}
    expected = {
        key: Verdict.ACCEPTED if key in kept_keys else Verdict.COMPLETED
        for key in keys
    }
    assert {key: verdicts.get(key) for key in keys} == expected
    states = {key: site.reported_states.get(key) for key in kept_keys}
    assert states == dict.fromkeys(kept_keys, JobState.COMPLETED)
    runs = [run for run in site.runs if run.task_id.job in keys]
    assert {run.worker for run in runs} == {worker}
    assert site.find_violations() == []


ORDERS = list(
    itertools.product(
        ["before", "after", "before-holders-other-nodes-only"],
        [0.0, 300.0, 1500.0],
        ["none", "holder-killed", "holder-granted-again"],
    )
)


@pytest.mark.parametrize(("announced", "holder_delay_ms", "event"), ORDERS)
def test_added_route_is_not_left_without_its_workers(
    announced, holder_delay_ms, event
):
    site = make_granted_site()
    site.add_worker(WORKER, "b", "new")
    if announced == "before":
        site.announce_worker(WORKER, site.entries)
    elif announced == "before-holders-other-nodes-only":
        site.announce_worker(WORKER, ENTRIES_OF_B)
    site.run(100)
    _configure(site, ADDED, holder_delay_ms)
    site.run(10)
    if announced == "after":
        site.announce_worker(WORKER, site.entries)
    if event == "holder-killed":
        site.kill(HOLDER)
        grant = ("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
        site.call_later(600, lambda: site.grant(*grant))
    elif event == "holder-granted-again":
        site.call_later(100, lambda: site.grant(HOLDER, STANDBYS))
    site.run(CONFIG_MS)
    keys = _submit_everywhere(site, "job")
    site.run(CONFIG_MS)
    _assert_served(site, keys)


@pytest.mark.parametrize("announced", ["before", "after"])
def test_holder_with_an_older_configuration_serves_an_added_route(announced):
    site = make_granted_site()
    site.add_worker(WORKER, "b", "new")
    if announced == "before":
        site.announce_worker(WORKER, site.entries)
    site.run(100)
    for node in site.entries:
        if node != HOLDER:
            site.configure(node, ADDED)
    keys = []
    for number in range(4):
        node = [n for n in site.entries if n != HOLDER][number]
        keys.append(f"job-{number}-{number % 2 == 1}")
        site.submit_by_route(node, "/q/added/", keys[-1], number % 2 == 1)
    site.run(100)
    if announced == "after":
        site.announce_worker(WORKER, site.entries)
    site.run(CONFIG_MS)
    _assert_served(site, keys)


@pytest.mark.parametrize("is_before", [True, False])
def test_standby_of_a_partitioned_hall_serves_an_added_route(is_before):
    site = make_granted_site()
    site.add_worker(WORKER, "b", "new")
    site.announce_worker(WORKER, ENTRIES_OF_B)
    if is_before:
        _configure(site, ADDED)
    site.run(100)
    site.partition("b")
    if not is_before:
        _configure(site, ADDED)
    site.run(4000)
    for node in ENTRIES_OF_B:
        assert site.submit_by_route(node, "/q/added/", f"job-{node}-False")
    site.run(1000)
    keys = [f"job-{node}-False" for node in ENTRIES_OF_B]
    _assert_served(site, keys)
    site.heal("b")
    site.announce_worker(WORKER, site.entries)
    site.grant(HOLDER, STANDBYS)
    site.run(4000)
    keys = _submit_everywhere(site, "healed")
    site.run(CONFIG_MS)
    _assert_served(site, keys)


@pytest.mark.parametrize("holder_delay_ms", [0.0, 500.0])
@pytest.mark.parametrize("event", ["none", "holder-killed"])
def test_route_that_returns_with_another_service_is_run_by_that(
    holder_delay_ms, event
):
    site = make_granted_site()
    site.add_worker(WORKER, "b", "new")
    site.add_worker("other-worker", "c", "other")
    for name in (WORKER, "other-worker"):
        site.announce_worker(name, site.entries)
    _configure(site, ADDED)
    site.run(300)
    _submit_everywhere(site, "early")
    _configure(site, _table(3), holder_delay_ms)
    site.run(100)
    assert site.entries["b-1/1"].routes.find("host", "/q/added/").name == (
        "queue"
    )
    moved = _table(4, _route("added", "/q/added/", "other"))
    _configure(site, moved, holder_delay_ms)
    if event == "holder-killed":
        site.kill(HOLDER)
        grant = ("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
        site.call_later(600, lambda: site.grant(*grant))
    site.run(CONFIG_MS)
    keys = _submit_everywhere(site, "late")
    site.run(CONFIG_MS)
    _assert_served(site, keys, "other-worker")
    early = [run for run in site.runs if run.task_id.job.startswith("early")]
    assert {run.worker for run in early} <= {WORKER}


@pytest.mark.parametrize("task_ms", [300.0, 600.0, 2400.0])
def test_added_route_is_not_refused_since_another_service_is_busy(task_ms):
    site = make_granted_site(task_ms=task_ms)
    site.add_worker(WORKER, "b", "new")
    site.announce_worker(WORKER, site.entries)
    _configure(site, ADDED)
    site.run(CONFIG_MS)
    template = msgspec.structs.replace(DEFAULT_STEP, estimate_ms=task_ms)
    for number in range(40):
        site.submit(HOLDER, f"busy-{number}", template=template)
    site.run(20)
    for number, node in enumerate(site.entries):
        key = f"job-{number}"
        site.submit_by_route(node, "/q/added/", key)
        site.run(200)
        assert site.outcomes[key][1].verdict is Verdict.COMPLETED
    verdicts = [
        ended.verdict
        for key, (_, ended) in site.outcomes.items()
        if key.startswith("busy")
    ]
    assert Verdict.REFUSED in verdicts


def test_job_is_not_admitted_since_another_service_is_idle():
    site = make_granted_site()
    for number in range(4):
        site.add_worker(f"new-{number}", "b", "new")
        site.announce_worker(f"new-{number}", site.entries)
    _configure(site, ADDED)
    site.run(CONFIG_MS)
    for number in range(40):
        site.submit(HOLDER, f"job-{number}")
    site.run(1000)
    objective_ms = 1.6 * 60.0 + 60.0
    for at_ms, ended in site.outcomes.values():
        if ended.verdict is Verdict.COMPLETED:
            assert at_ms <= site.clock.now_ms() - 1000 + objective_ms
    assert len(site.outcomes) == 40
