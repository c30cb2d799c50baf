"""Breaks the mechanism behind each promise, to prove that checks catch it.

Each mutation is a switch of the tests only: it replaces one method for the
time of a `with` block and leaves the product as it is.
"""

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

from clayfield.dispatch import Entry
from clayfield.state import ConfigLog, Consensus
from clayfield.testbed.box import FakeBox, FakeDisk


def _commit_alone(consensus: Consensus) -> None:
    consensus._commit_to(consensus._persisted)


def _elect_at_once(
    original: Callable[[Consensus, bool], None],
) -> Callable[[Consensus, bool], None]:
    return lambda consensus, pre: original(consensus, False)


def _start_unchanged(original: Callable[[FakeBox], None]) -> Callable:
    def start(box: FakeBox) -> None:
        original(box)
        if box.incarnation > 1:
            box.crash()
            box.incarnation = 0
            original(box)

    return start


def _forget_hall_sets(original: Callable) -> Callable:
    def open_hall(log: ConfigLog, opening: object) -> int:
        count = original(log, opening)
        return count - log._hall_sets.index(opening.halls)

    return open_hall


def _make_lying(
    original: Callable[[FakeDisk, int], None],
) -> Callable[[FakeDisk, int], None]:
    def make(disk: FakeDisk, made: int) -> None:
        original(disk, made)
        disk.is_lying = True

    return make


MUTATIONS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {
    "no_claim_quorum": lambda: mock.patch.object(
        Consensus, "_advance_commit", _commit_alone
    ),
    "no_pre_vote": lambda: mock.patch.object(
        Consensus,
        "_start_election",
        _elect_at_once(Consensus._start_election),
    ),
    "no_incarnation": lambda: mock.patch.object(
        FakeBox, "start", _start_unchanged(FakeBox.start)
    ),
    "no_sync": lambda: mock.patch.object(
        FakeDisk, "__init__", _make_lying(FakeDisk.__init__)
    ),
    "no_hall_sets": lambda: mock.patch.object(
        ConfigLog, "_open_hall", _forget_hall_sets(ConfigLog._open_hall)
    ),
    "retry_maybe_started": lambda: mock.patch.object(
        Entry, "_may_retry", lambda entry, sub, task, end: True
    ),
}


@contextlib.contextmanager
def mutated(name: str) -> Iterator[None]:
    """Breaks one mechanism for the time of a block."""
    with MUTATIONS[name]():
        yield
