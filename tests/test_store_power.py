"""Tests of the store after kills and losses of power at any operation."""

import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.daemon.store import Store
from clayfield.state import (
    Append,
    HardState,
    LogCreated,
    Snapshot,
    replay,
)
from clayfield.testbed.disk import ProcessKilledError, SimulatedFolder
from clayfield.wire.messages import LogEntry, Members

INSTANCE = "control@a/1#1"
SIZES = [0, 9, 4000, 9000, 1024 * 1024]


def _append(index, size, term=1):
    return Append(index, LogEntry(term, 0, index.to_bytes(2) * (size // 2)))


def _image(state):
    """Returns the content of a restored state as comparable values."""
    log = state.log
    entries = [
        (index, log.entry_at(index))
        for index in range(log.first_index, log.last_index + 1)
    ]
    return state.instance, state.hard_state, log.snapshot, entries


class History:
    """A folder, and the states that a process may find in it.

    Attributes:
        folder: the folder.
        records: records of the writes that returned.
        unfinished: records of a write that may have been interrupted.
        disk_id: identity as last reported, None if never.
    """

    def __init__(self, seed, exists=True):
        self.rng = random.Random(seed)
        self.folder = SimulatedFolder(self.rng, exists)
        self.records = []
        self.unfinished = []
        self.disk_id = None
        self.store = None

    def allowed_images(self):
        return [
            _image(replay(self.records + self.unfinished[:count]))
            for count in range(len(self.unfinished) + 1)
        ]

    def open(self):
        """Opens the folder; what it reports counts as stored from then on."""
        store = Store(self.folder)
        image = _image(store.state)
        allowed = self.allowed_images()
        assert image in allowed
        assert self.disk_id in (None, store.disk_id)
        count = allowed.index(image)
        self.records = self.records + self.unfinished[:count]
        self.unfinished = []
        self.disk_id = store.disk_id
        self.store = store

    def write(self, records):
        """Writes records; they count as stored once the call returns."""
        self.unfinished = records
        self.store.write(records)
        self.records = self.records + records
        self.unfinished = []

    def make_records(self, kind):
        """Returns valid records of a kind for the state so far."""
        state = replay(self.records)
        log = state.log
        term = state.hard_state.term + 1
        if kind == "new log" or not state.instance:
            name = f"{INSTANCE}.{len(self.records)}"
            return [LogCreated(name), HardState(term, "a/1"), _append(1, 9)]
        if kind == "vote":
            return [HardState(term, "b/1")]
        if kind == "snapshot" and len(log):
            index = self.rng.randint(log.first_index, log.last_index)
            data = b"s" * self.rng.choice(SIZES)
            members = Members(("a/1",))
            return [Snapshot(index, log.term_at(index), members, data)]
        first = log.last_index + 1
        if kind == "replace":
            first = self.rng.randint(log.first_index, first)
        return [
            HardState(term, "a/1"),
            *(
                _append(first + n, self.rng.choice(SIZES), term)
                for n in range(self.rng.randint(1, 3))
            ),
        ]


KINDS = ["append", "replace", "snapshot", "vote", "new log"]
STEP = st.tuples(
    st.sampled_from(KINDS),
    st.one_of(st.none(), st.integers(0, 12)),
    st.booleans(),
)


@settings(
    max_examples=400,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    seed=st.integers(0, 2**32),
    exists=st.booleans(),
    steps=st.lists(STEP, min_size=1, max_size=10),
)
def test_stored_records_survive_kills_and_losses_of_power(seed, exists, steps):
    history = History(seed, exists)
    for kind, operations, is_power_lost in steps:
        history.folder.kill_after(operations)
        try:
            if history.store is None:
                history.open()
            history.write(history.make_records(kind))
        except ProcessKilledError:
            history.store = None
        if operations is not None:
            history.store = None
            _end(history.folder, is_power_lost)
    _end(history.folder, is_power_lost=True)
    history.open()


def _end(folder, is_power_lost):
    if is_power_lost:
        folder.lose_power()
    else:
        folder.end_process()


def _stored(seed, exists=True):
    history = History(seed, exists)
    history.open()
    history.write(history.make_records("append"))
    return history


@pytest.mark.parametrize("seed", range(100))
def test_hole_in_an_unsynced_write_of_two_records_is_cut_off(seed):
    history = _stored(seed)
    history.folder.kill_after(1)
    with pytest.raises(ProcessKilledError):
        history.write([_append(2, 9000), _append(3, 9000)])
    history.folder.lose_power()
    history.open()


@pytest.mark.parametrize("seed", range(100))
def test_records_reported_after_a_kill_before_the_sync_outlive_power(seed):
    history = _stored(seed)
    history.folder.kill_after(1)
    with pytest.raises(ProcessKilledError):
        history.write([_append(2, 9000)])
    history.folder.end_process()
    history.open()
    assert history.store.state.log.last_index == 2
    history.folder.lose_power()
    history.open()


@pytest.mark.parametrize("seed", range(100))
def test_folder_that_was_just_made_outlives_power(seed):
    history = _stored(seed, exists=False)
    history.folder.lose_power()
    history.open()


@pytest.mark.parametrize("operations", range(12))
@pytest.mark.parametrize("seed", range(20))
def test_first_opening_that_is_killed_twice_leaves_a_usable_folder(
    seed, operations
):
    history = History(seed)
    for limit in (operations, seed % 12):
        history.folder.kill_after(limit)
        try:
            history.open()
        except ProcessKilledError:
            history.folder.end_process()
    history.folder.lose_power()
    history.open()


@pytest.mark.parametrize("kind", ["append", "snapshot"])
@pytest.mark.parametrize("room", [0, 1, 40, 100, 5000, 100_000])
@pytest.mark.parametrize("is_power_lost", [False, True])
@pytest.mark.parametrize("seed", range(5))
def test_write_to_a_full_disk_keeps_earlier_records(
    seed, is_power_lost, room, kind
):
    history = _stored(seed)
    folder = history.folder
    history.write([_append(2, 1024 * 1024)])
    used = sum(len(folder.read(name)) for name in folder.list_names())
    folder.capacity_bytes = used + room
    records = [_append(3, 9000), _append(4, 1024 * 1024)]
    if kind == "snapshot":
        records = [Snapshot(1, 1, Members(("a/1",)), b"s"), *records]
    for _ in range(3):
        with pytest.raises(ClayfieldError) as info:
            history.write(records)
        assert info.value.kind is ErrorKind.STORE_FAILED
        _end(folder, is_power_lost)
        history.open()
    names = folder.list_names()
    assert not [name for name in names if name.endswith(".new")]
    folder.capacity_bytes = None
    history.write([_append(history.store.state.log.last_index + 1, 9)])
    folder.lose_power()
    history.open()
