"""Tests of control nodes on a manual clock: configuration, voters, grants."""

import pytest

from clayfield.cluster import Broadcast, Send, WriteOutcome
from clayfield.cluster.config_pushes import ConfigPushes
from clayfield.state.membership import box_of
from clayfield.testbed.control_site import ControlSite
from clayfield.wire.cluster import ControlNodes, EntryStatus, NodeGreeting
from clayfield.wire.jobs import WorkerInfo, WorkerState

SETTLE_MS = 2500
# Time from an acknowledgement until every entry node uses the version.
CONFIG_MS = 2000
DOCUMENT_BYTES = 1_000_000
ENTRIES = {"e1/1": "x", "e2/1": "x", "e3/1": "y", "e4/1": "z"}


def _site(seed=1, entries=()):
    site = ControlSite(3, seed)
    for entry in entries:
        site.add_entry_node(entry, ENTRIES[entry])
    site.run(SETTLE_MS)
    assert site.leader()
    return site


def _write(site, request, version):
    assert site.write_config(request, version)
    site.run(300)
    return site.write_outcomes.get(request)


def test_highest_version_is_active_and_lower_writes_are_acknowledged():
    site = _site()
    assert _write(site, 1, 5) is WriteOutcome.IN_FORCE
    assert _write(site, 2, 3) is WriteOutcome.IN_FORCE
    assert _write(site, 3, 5) is WriteOutcome.IN_FORCE
    for node in site.nodes.values():
        assert (node.state.version, node.state.document) == (5, b"document-5")


@pytest.mark.parametrize("persist_ms", [450.0, 700.0])
def test_write_that_is_sent_again_before_it_is_stored_enters_the_log_once(
    persist_ms,
):
    site = _site()
    site.persist_ms = persist_ms
    leader = site.leader()
    last_index = leader.consensus.last_index
    for request in range(1, 5):
        assert site.write_config(request, 1, DOCUMENT_BYTES)
        site.run(100)
    assert leader.consensus.last_index == last_index + 1
    site.run(persist_ms + 500)
    outcomes = [site.write_outcomes.get(request) for request in range(1, 5)]
    assert outcomes == [WriteOutcome.IN_FORCE] * 4


def test_write_of_other_content_under_a_version_that_is_not_stored_is_kept():
    site = _site()
    site.persist_ms = 500.0
    leader = site.leader()
    last_index = leader.consensus.last_index
    assert site.write_config(1, 1)
    assert site.write_config(2, 1, padding=10)
    assert leader.consensus.last_index == last_index + 2
    site.run(1500)
    assert site.write_outcomes[2] is WriteOutcome.IN_FORCE
    assert leader.state.document == b"document-1"


@pytest.mark.parametrize("bytes_per_s", [4_000_000, 10_000_000])
@pytest.mark.parametrize("interval_ms", [50, 300])
def test_newest_configuration_does_not_wait_behind_copies_of_older_ones(
    bytes_per_s, interval_ms
):
    site = _site()
    entry = site.add_slow_entry("e1/1", "x", bytes_per_s)
    for version in range(1, 11):
        assert site.write_config(version, version, DOCUMENT_BYTES)
        site.run(interval_ms)
    site.run(CONFIG_MS - interval_ms)
    assert entry.version == 10
    copies = entry.link.max_waiting_bytes / DOCUMENT_BYTES
    assert round(copies) <= len(site.nodes)


@pytest.mark.parametrize("bytes_per_s", [3_000_000, 5_000_000, 20_000_000])
@pytest.mark.parametrize("interval_ms", [50, 300])
def test_entries_on_their_way_to_a_follower_are_not_sent_again(
    bytes_per_s, interval_ms
):
    site = _site()
    site.limit_links(bytes_per_s)
    count = 10
    for version in range(1, count + 1):
        assert site.write_config(version, version, DOCUMENT_BYTES)
        site.run(interval_ms)
    site.run(count * DOCUMENT_BYTES / bytes_per_s * 1000)
    versions = [node.state.version for node in site.nodes.values()]
    assert versions == [count] * 3
    for link in site.links.values():
        assert link.sent_bytes < (count + 1) * DOCUMENT_BYTES
        assert link.max_waiting_bytes < 2 * DOCUMENT_BYTES


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("bytes_per_s", [300_000, 500_000, 1_000_000])
def test_leader_is_kept_while_an_entry_takes_longer_than_the_election_timeout(
    bytes_per_s, seed
):
    site = _site(seed)
    term = site.leader().consensus.term
    site.limit_links(bytes_per_s)
    assert site.write_config(1, 1, DOCUMENT_BYTES)
    site.run(1.2 * DOCUMENT_BYTES / bytes_per_s * 1000)
    assert [n.state.version for n in site.nodes.values()] == [1] * 3
    assert site.leader().consensus.term == term


def test_leader_that_steps_down_is_replaced_though_its_process_lives():
    site = _site()
    site.limit_links(20_000_000)
    former = site.leader()
    former.consensus._become_follower(former.consensus.term, "")
    site.run(SETTLE_MS)
    assert site.leader()
    assert site.leader().consensus.term > 2


@pytest.mark.parametrize("bytes_per_s", [1_000_000, 5_000_000])
def test_chunks_on_their_way_to_a_follower_are_not_sent_again(bytes_per_s):
    site = _site()
    for version in range(1, 67):
        site.write_config(version, version, DOCUMENT_BYTES)
        site.run(20)
    replaced = next(
        address
        for address, node in site.nodes.items()
        if node is not site.leader()
    )
    site.kill(replaced)
    site.lose_disk(replaced)
    site.run(SETTLE_MS)
    log = site.leader().consensus._log
    size = len(log.snapshot.data) + log.size_bytes
    assert size > 2 * DOCUMENT_BYTES
    site.limit_links(bytes_per_s)
    site.start(replaced)
    site.run(5 * size / bytes_per_s * 1000)
    assert site.nodes[replaced].state.version == 66
    for link in site.links.values():
        assert link.sent_bytes < 1.1 * size


@pytest.mark.parametrize("bytes_per_s", [2_000_000, 4_000_000])
def test_configuration_sent_on_a_lost_stream_is_sent_again(bytes_per_s):
    site = _site()
    entry = site.add_slow_entry("e1/1", "x", bytes_per_s)
    assert site.write_config(1, 1, DOCUMENT_BYTES)
    # All copies are on the way.
    site.run(120)
    assert not entry.received
    entry.lose_streams()
    site.run(CONFIG_MS)
    assert entry.version == 1


@pytest.mark.parametrize(
    ("in_force", "received", "sent", "active", "is_due"),
    [
        (0, 0, 0, 1, True),
        (0, 0, 1, 1, False),
        (0, 0, 1, 2, False),
        (0, 1, 1, 1, False),
        (0, 1, 1, 2, True),
        (2, 0, 1, 2, False),
        (2, 0, 1, 3, False),
        # An earlier release reports no receipts.
        (0, -1, 1, 2, False),
        (1, -1, 1, 2, True),
    ],
)
def test_configuration_is_due_once_the_former_copy_has_arrived(
    in_force, received, sent, active, is_due
):
    pushes = ConfigPushes()
    pushes.on_connected("e1/1")
    pushes.on_sent("e1/1", sent)
    status = EntryStatus(in_force, 0, False, received_version=received)
    assert pushes.is_due("e1/1", status, active) == is_due


def test_configuration_that_an_entry_node_cannot_use_is_sent_once():
    site = _site()
    entry = site.add_slow_entry("e1/1", "x", 10_000_000, can_use=False)
    for version in (1, 2):
        assert site.write_config(version, version)
        site.run(CONFIG_MS)
        assert entry.received.count(version) == len(site.nodes)


@pytest.mark.parametrize("seed", range(10))
def test_acknowledged_write_survives_loss_of_one_disk_at_a_time(seed):
    site = _site(seed)
    _write(site, 1, 7)
    address = site.initial_addresses[seed % 3]
    site.kill(address)
    site.lose_disk(address)
    site.run(100 * seed)
    site.start(address)
    site.run(SETTLE_MS)
    assert site.leader().state.version == 7
    assert len(site.leader().consensus.members.voters) == 3
    assert _write(site, 2, 8) is WriteOutcome.IN_FORCE
    second = site.initial_addresses[(seed + 1) % 3]
    site.kill(second)
    site.lose_disk(second)
    site.start(second)
    site.run(SETTLE_MS)
    assert site.leader().state.version == 8


@pytest.mark.parametrize("seed", range(10))
def test_acknowledged_write_survives_restart_of_all_nodes(seed):
    site = _site(seed)
    _write(site, 1, 4)
    for address in site.initial_addresses:
        site.kill(address)
    site.run(1000)
    for address in site.initial_addresses:
        site.start(address)
    site.run(SETTLE_MS)
    assert site.leader().state.version == 4


@pytest.mark.parametrize("writes", range(60, 70))
def test_log_is_restored_when_its_snapshot_covers_all_entries(writes):
    site = _site()
    for version in range(1, writes):
        assert site.write_config(version, version)
        site.run(40)
    site.run(500)
    for address in site.initial_addresses:
        site.kill(address)
    site.run(1000)
    for address in site.initial_addresses:
        site.start(address)
    site.run(SETTLE_MS)
    assert site.leader().state.version == writes - 1


@pytest.mark.parametrize("seed", range(10))
def test_partitioned_leader_rejects_writes_and_catches_up_later(seed):
    site = _site(seed)
    old = site.leader()
    site.partition(box_of(old.node))
    site.run(SETTLE_MS)
    assert not old.is_state_current
    assert not old.write_config(9, 9, b"document-9")
    assert site.leader() is not old
    assert _write(site, 1, 3) is WriteOutcome.IN_FORCE
    site.heal(box_of(old.node))
    site.run(SETTLE_MS)
    assert old.state.version == 3


def test_replacement_node_becomes_voter_in_place_of_lost_node():
    site = _site()
    _write(site, 1, 2)
    lost = site.initial_addresses[0]
    site.kill(lost)
    site.start("10.0.9.1:7000")
    site.run(4000)
    voters = {box_of(v) for v in site.leader().consensus.members.voters}
    assert voters == {*site.initial_addresses[1:], "10.0.9.1:7000"}
    site.kill(site.initial_addresses[1])
    site.run(SETTLE_MS)
    assert site.leader().state.version == 2


def test_unreachable_voter_is_kept_without_a_replacement():
    site = _site()
    site.kill(site.initial_addresses[2])
    site.run(20_000)
    assert len(site.leader().consensus.members.voters) == 3


def test_snapshots_limit_log_length_and_restore_an_empty_node():
    site = _site()
    for version in range(1, 400):
        assert site.write_config(version, version)
        site.run(5)
    site.run(300)
    assert all(len(n.consensus._log) <= 64 for n in site.nodes.values())
    empty = site.initial_addresses[0]
    site.kill(empty)
    site.lose_disk(empty)
    site.start(empty)
    site.run(SETTLE_MS)
    assert site.nodes[empty].state.version == 399


def test_one_entry_node_becomes_holder_and_keeps_the_grant():
    site = _site(entries=tuple(ENTRIES))
    site.run(10_000)
    assert list(site.grants) == [1]
    grant = site.grants[1]
    assert grant.holder in ("e1/1", "e2/1")
    assert set(grant.standbys) == {"y", "z"}


@pytest.mark.parametrize("seed", range(5))
def test_lost_holder_is_replaced_within_half_a_second(seed):
    site = _site(seed, tuple(ENTRIES))
    site.run(3000)
    holder = site.grants[1].holder
    site.remove_entry_node(holder)
    site.run(500)
    assert max(site.grants) == 2
    assert site.grants[2].holder != holder


def test_holder_is_granted_after_election_when_all_nodes_restart():
    site = _site(entries=tuple(ENTRIES))
    for address in site.initial_addresses:
        site.kill(address)
    for entry in ENTRIES:
        site.remove_entry_node(entry)
    site.run(1000)
    for address in site.initial_addresses:
        site.start(address)
    for entry, hall in ENTRIES.items():
        site.add_entry_node(entry.replace("/1", "/2"), hall)
    while not site.leader():
        site.run(10)
    site.run(100)
    assert site.grants[2].holder.endswith("/2")


def test_stopping_holder_is_replaced():
    site = _site(entries=tuple(ENTRIES))
    holder = site.grants[1].holder
    site.send_status(holder, EntryStatus(0, 1, True))
    site.run(200)
    assert site.grants[2].holder != holder


def test_requested_epoch_is_granted_to_the_same_holder():
    site = _site(entries=tuple(ENTRIES))
    site.send_status("e4/1", EntryStatus(0, 1, False, True))
    site.run(200)
    assert list(site.grants) == [1, 2]
    assert site.grants[2].holder == site.grants[1].holder


def test_new_leader_keeps_a_connected_holder():
    site = _site(entries=tuple(ENTRIES))
    site.kill(box_of(site.leader().node))
    site.run(6000)
    assert site.leader()
    assert list(site.grants) == [1]


def test_outdated_heartbeat_of_a_worker_is_ignored():
    site = _site(entries=("e1/1",))
    node = site.leader()
    draining = _info(WorkerState.DRAINING, 5)
    node.on_worker_heartbeat(draining)
    node.on_worker_heartbeat(_info(WorkerState.READY, 4))
    assert node.workers.all() == (draining,)
    node.on_worker_removed("w1")
    node.on_worker_heartbeat(_info(WorkerState.READY, 6))
    assert node.workers.all() == ()


@pytest.mark.parametrize(
    ("heartbeats", "expected"),
    [
        # A restart is known by a later start, whatever the number.
        ([("ready", 60, 1000), ("draining", 2, 9000)], ("draining", 2, 9000)),
        ([("draining", 60, 1000), ("ready", 1, 9000)], ("ready", 1, 9000)),
        # A delayed heartbeat of the former incarnation changes nothing.
        ([("draining", 2, 9000), ("ready", 61, 1000)], ("draining", 2, 9000)),
        # A worker that has left may start again, and not come back.
        ([("ready", 60, 1000), None, ("ready", 1, 9000)], ("ready", 1, 9000)),
        ([("ready", 60, 1000), None, ("ready", 61, 1000)], None),
    ],
)
def test_heartbeats_of_a_worker_that_restarts_count_by_its_start(
    heartbeats, expected
):
    node = _site(entries=("e1/1",)).leader()
    for heartbeat in heartbeats:
        if heartbeat is None:
            node.on_worker_removed("w1")
        else:
            node.on_worker_heartbeat(_info(*heartbeat))
    latest = (_info(*expected),) if expected else ()
    assert node.workers.all() == latest


@pytest.mark.parametrize("way", ["seeds", "connection", "message"])
def test_connected_nodes_learn_of_a_control_node_that_joins_later(way):
    # Nodes that stayed connected while all others were replaced knew only one.
    site = _site(entries=ENTRIES)
    node = site.leader()
    joined = "10.0.9.1:7000"
    if way == "seeds":
        node.add_addresses((joined,))
    elif way == "connection":
        node.on_connected(
            NodeGreeting("test", f"{joined}/5", "control", "hall-9")
        )
    else:
        other = next(n for n in site.nodes.values() if n is not node)
        node.on_message(other.node, ControlNodes((joined,)))
    told = _addresses_sent(node)
    peers = {n.node for n in site.nodes.values() if n is not node}
    assert told.keys() >= {"all entry nodes", *peers}
    assert all(joined in addresses for addresses in told.values())
    # What is known already is not passed on again.
    node.on_message(next(iter(peers)), ControlNodes((joined,)))
    assert _addresses_sent(node) == {}


def _addresses_sent(node):
    """Returns the control nodes' addresses that a node sends, by receiver."""
    told = {}
    for action in node.take_actions():
        match action:
            case Broadcast(message=ControlNodes(addresses=addresses)):
                told["all entry nodes"] = addresses
            case Send(node=to, message=ControlNodes(addresses=addresses)):
                told[to] = addresses
    return told


def _info(state, sequence, born_ms=0):
    return WorkerInfo(
        "w1",
        "s",
        "a:1",
        "x",
        WorkerState(state),
        sequence,
        1,
        1,
        0,
        born_ms=born_ms,
    )
