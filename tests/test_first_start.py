"""Tests of the first start of a control node."""

import pytest

from clayfield.cluster import make_initial_records
from clayfield.daemon.store import Store
from clayfield.node.control_process import FIRST_STORE_ID, ControlProcess
from clayfield.node.native import NativeOperators
from clayfield.node.settings import NodeSettings
from clayfield.state import HardState
from clayfield.state.membership import node_name

SEEDS = [("127.0.0.1", 1), ("127.0.0.2", 1), ("127.0.0.3", 1)]
VOTERS = tuple(
    node_name(f"{host}:{port}", FIRST_STORE_ID) for host, port in SEEDS
)


def _start(folder, is_first_start):
    cfg = NodeSettings("control-1", "h", SEEDS[0])
    cfg.data_folder = str(folder)
    cfg.seeds = SEEDS
    cfg.is_first_start = is_first_start
    return ControlProcess(cfg, NativeOperators(), lambda: cfg)


@pytest.mark.parametrize("stored", range(4))
def test_first_start_that_was_interrupted_is_completed(tmp_path, stored):
    store = Store(str(tmp_path), disk_id=FIRST_STORE_ID)
    store.write(make_initial_records(VOTERS)[:stored])
    store.close()
    process = _start(tmp_path, is_first_start=True)
    assert process._control.consensus.members.voters == VOTERS


def test_first_start_keeps_a_log_that_exists(tmp_path):
    store = Store(str(tmp_path), disk_id=FIRST_STORE_ID)
    store.write(make_initial_records(VOTERS[:1]))
    store.close()
    process = _start(tmp_path, is_first_start=True)
    assert process._control.consensus.members.voters == VOTERS[:1]


def test_first_start_after_an_interrupted_one_keeps_the_vote(tmp_path):
    store = Store(str(tmp_path), disk_id=FIRST_STORE_ID)
    vote = HardState(5, VOTERS[1])
    store.write([make_initial_records(VOTERS)[0], vote])
    store.close()
    _start(tmp_path, is_first_start=True)
    state = Store(str(tmp_path)).state
    assert state.hard_state == vote
    assert state.log.last_index == 1
