"""Tests of the clock of leases, and of reads under the lease of a leader."""

import time

import pytest

from clayfield.base import MonotonicClock
from clayfield.base.clock import find_monotonic_clock
from clayfield.state.consensus import Role
from clayfield.state.membership import box_of
from clayfield.testbed.control_plays import ControlPlay
from clayfield.testbed.control_site import ControlSite

SETTLE_MS = 2500
SUSPENSION_MS = 5000.0
NS_PER_MS = 1_000_000


def _counts_suspension(monkeypatch):
    """Returns whether a `MonotonicClock` goes on during a suspension."""
    real = time.clock_gettime_ns
    suspension_ns = int(SUSPENSION_MS * NS_PER_MS)

    def read_after_suspension(clock_id):
        is_counted = clock_id == time.CLOCK_BOOTTIME
        return real(clock_id) + suspension_ns * is_counted

    clock = MonotonicClock()
    before_ms = clock.now_ms()
    with monkeypatch.context() as context:
        context.setattr(time, "clock_gettime_ns", read_after_suspension)
        return clock.now_ms() - before_ms >= SUSPENSION_MS


def _suspend_leader_during_write(site, duration_ms):
    """Suspends the leader while its successor acknowledges a write."""
    site.run(SETTLE_MS)
    leader = site.leader()
    assert site.write_config(1, 1)
    site.run(100)
    site.suspend(box_of(leader.node))
    site.run(duration_ms / 2)
    assert site.write_config(2, 2)
    site.run(duration_ms / 2)
    assert site.acknowledged_version == 2
    site.resume(box_of(leader.node))
    return leader


@pytest.mark.parametrize("duration_ms", [4000.0, SUSPENSION_MS, 10_000.0])
def test_leader_that_was_suspended_serves_no_read_of_an_older_version(
    monkeypatch, duration_ms
):
    site = ControlSite(3, 1, _counts_suspension(monkeypatch))
    leader = _suspend_leader_during_write(site, duration_ms)
    assert (leader.consensus.is_leader, leader.state.version) == (True, 1)
    assert not leader.is_state_current
    site.run(SETTLE_MS)
    assert leader.state.version == 2


def test_monotonic_clock_is_used_where_the_boot_clock_cannot_be_read(
    monkeypatch,
):
    real = time.clock_gettime_ns

    def refuse_boot_time(clock_id):
        if clock_id == time.CLOCK_BOOTTIME:
            raise OSError("invalid clock")
        return real(clock_id)

    monkeypatch.setattr(time, "clock_gettime_ns", refuse_boot_time)
    assert find_monotonic_clock() == time.CLOCK_MONOTONIC
    assert MonotonicClock().now_ms() > 0


def _settled_site():
    """Returns a site that has acknowledged version 1, and its leader."""
    site = ControlSite(3, seed=1)
    site.run(SETTLE_MS)
    leader = site.leader()
    assert site.write_config(1, 1)
    site.run(100)
    return site, leader


def test_leader_whose_connections_end_serves_no_read_under_its_old_lease():
    site, leader = _settled_site()
    site.partition(box_of(leader.node))
    assert not leader.is_state_current
    site.run(200)
    assert site.write_config(2, 2)
    site.run(100)
    assert (site.acknowledged_version, leader.state.version) == (2, 1)
    assert not leader.is_state_current


def test_leader_that_gave_up_leadership_serves_no_read_under_its_old_lease():
    site, leader = _settled_site()
    address = box_of(leader.node)
    assert site.transfer_leadership(address)
    site.suspend(address)
    site.run(150)
    assert site.write_config(2, 2)
    site.run(100)
    assert (site.acknowledged_version, leader.state.version) == (2, 1)
    site.resume(address)
    assert not leader.is_state_current


def test_delayed_request_for_a_vote_wins_no_election_during_a_lease():
    site, leader = _settled_site()
    address = box_of(leader.node)
    site.persist_ms = 5.0
    site.silence(address)
    others = [node for node in site.nodes.values() if node is not leader]
    while not any(n.consensus.role is Role.CANDIDATE for n in others):
        site.run(1)
    candidate = next(
        box_of(n.node) for n in others if n.consensus.role is Role.CANDIDATE
    )
    site.suspend(candidate)
    site.heal(address)
    site.run(150)
    assert leader.is_state_current
    site.suspend(address)
    site.resume(candidate)
    site.run(50)
    site.write_config_at(candidate, 2, 2)
    site.run(50)
    site.resume(address)
    assert leader.is_state_current
    assert site.acknowledged_version == leader.state.version == 1


PLAYS = [
    ("partition",),
    ("silence", "kill"),
    ("suspend", "reset", "partition"),
    ("silence", "transfer"),
    ("partition", "silence", "kill", "suspend", "reset", "lose_disk"),
]


@pytest.mark.parametrize("faults", PLAYS, ids="+".join)
@pytest.mark.parametrize("seed", range(3))
def test_no_read_returns_an_older_version_than_one_acknowledged(seed, faults):
    play = ControlPlay(seed, faults=faults)
    play.run()
    assert play.reads > 1000
    assert not play.stale_reads
    leader = play.site.leader()
    assert leader.state.version >= play.site.acknowledged_version > 0
