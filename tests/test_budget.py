"""Tests of the memory that is held for clients, and of who releases it.

They guard against a process that runs out of memory, and against clients that
fill the budget and keep it from others.
"""

import pytest

from clayfield.node.budget import (
    LARGE_BYTES,
    Holder,
    MemoryBudget,
    job_limit_bytes,
    request_limit_bytes,
)

LIMIT = 100 * LARGE_BYTES
LARGE_LIMIT = 75 * LARGE_BYTES


class _Clock:
    def __init__(self):
        self.now_s = 1000.0

    def seconds(self):
        return self.now_s


class _Client(Holder):
    """A client that has sent some bytes since it began."""

    def __init__(self, budget, clock, can_release=True):
        self._budget = budget
        self._clock = clock
        self._begun_s = clock.now_s
        self._can_release = can_release
        self.is_released = False

    def send(self, byte_count):
        self._budget.update(self, self.held_bytes + byte_count)
        return self

    @property
    def can_release(self):
        return self._can_release and not self.is_released

    def rate(self, now_s):
        return self.held_bytes / max(0.001, now_s - self._begun_s)

    def release(self):
        self.is_released = True
        self._budget.update(self, 0)


@pytest.fixture
def clock():
    return _Clock()


@pytest.fixture
def budget(clock):
    return MemoryBudget(LIMIT, clock.seconds)


def test_nobody_releases_memory_below_the_limit(budget, clock):
    client = _Client(budget, clock).send(LARGE_LIMIT)
    assert not client.is_released
    assert budget.held_bytes == LARGE_LIMIT


def test_bodies_that_stand_still_release_memory_for_new_ones(budget, clock):
    standing = [_Client(budget, clock).send(10 * LARGE_BYTES) for _ in range(7)]
    clock.now_s += 2.0
    for client in standing:
        client.send(1)
    clock.now_s += 0.1
    fresh = _Client(budget, clock)
    clock.now_s += 0.1
    fresh.send(10 * LARGE_BYTES)
    assert not fresh.is_released
    assert any(client.is_released for client in standing)
    assert budget.large_bytes <= LARGE_LIMIT


def test_large_bodies_leave_room_for_ordinary_requests(budget, clock):
    large = [_Client(budget, clock).send(10 * LARGE_BYTES) for _ in range(20)]
    clock.now_s += 5.0
    small = [_Client(budget, clock).send(500) for _ in range(100)]
    assert sum(not client.is_released for client in large) <= 7
    assert not any(client.is_released for client in small)


def test_small_requests_release_memory_only_if_no_large_one_can(budget, clock):
    slow = [_Client(budget, clock).send(LARGE_BYTES) for _ in range(60)]
    clock.now_s += 1.0
    large = _Client(budget, clock).send(41 * LARGE_BYTES)
    assert large.is_released
    assert not any(client.is_released for client in slow)
    more = [_Client(budget, clock).send(LARGE_BYTES) for _ in range(60)]
    assert any(client.is_released for client in slow)
    assert not more[-1].is_released
    assert budget.held_bytes <= LIMIT


def test_what_can_not_be_released_is_counted(budget, clock):
    _Client(budget, clock, can_release=False).send(LARGE_LIMIT)
    arriving = _Client(budget, clock).send(LARGE_BYTES + 1)
    assert arriving.is_released
    assert budget.held_bytes == LARGE_LIMIT


def test_closed_connections_hold_nothing(budget, clock):
    client = _Client(budget, clock).send(LARGE_BYTES + 1)
    budget.update(client, 0)
    assert (budget.held_bytes, budget.large_bytes) == (0, 0)


@pytest.mark.parametrize("memory_mb", [0, 32, 64, 80, 100, 128])
def test_process_of_a_small_machine_still_serves(memory_mb):
    # The platform's settings file may name any size: all were refused.
    request_bytes = request_limit_bytes(memory_mb)
    large = MemoryBudget(request_bytes, lambda: 0.0).large_limit_bytes
    assert large > 4 * 1024 * 1024 + 65_536
    assert job_limit_bytes(memory_mb) >= 4 * 1024 * 1024


@pytest.mark.parametrize("memory_mb", [128, 296, 300, 4096])
def test_budgets_leave_room_for_the_largest_document(memory_mb):
    request_bytes = request_limit_bytes(memory_mb)
    large = MemoryBudget(request_bytes, lambda: 0.0).large_limit_bytes
    assert large > 4 * 1024 * 1024 + 65_536
    held = request_bytes + job_limit_bytes(memory_mb)
    assert held < (memory_mb - 80) * 1024 * 1024
