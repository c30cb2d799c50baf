"""Mutations that disable the mechanism behind an invariant.

The tests run drills with a mutation to show that the checks detect the fault.
A mutation patches one method for the duration of a `with` block.
"""

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

from clayfield.dispatch import SubmissionManager
from clayfield.state import ConfigLog, Consensus
from clayfield.testbed.box import FakeBox, FakeDisk


def _commit_alone(consensus: Consensus) -> None:
    """Commits what is stored locally, without a quorum."""
    consensus._commit_to(consensus._persisted)


def _skip_pre_vote(
    original: Callable[[Consensus, bool], None],
) -> Callable[[Consensus, bool], None]:
    """Returns a patch that starts an election without a pre-vote."""
    return lambda consensus, is_prevote: original(consensus, False)


def _keep_incarnation(original: Callable[[FakeBox], None]) -> Callable:
    """Returns a patch that restarts a box with its first incarnation."""

    def start(box: FakeBox) -> None:
        original(box)
        if box.incarnation > 1:
            box.crash()
            box.incarnation = 0
            original(box)

    return start


def _ignore_hall_sets(original: Callable) -> Callable:
    """Returns a patch that does not count earlier sets of halls as starts."""

    def open_hall(log: ConfigLog, opening: object) -> int:
        count = original(log, opening)
        return count - log._hall_sets.index(opening.halls)

    return open_hall


def _report_sync_early(
    original: Callable[[FakeDisk, int], None],
) -> Callable[[FakeDisk, int], None]:
    """Returns a patch that makes disks report a sync before it is done."""

    def init(disk: FakeDisk, disk_id: int) -> None:
        original(disk, disk_id)
        disk.is_lying = True

    return init


MUTATIONS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {
    "no_claim_quorum": lambda: mock.patch.object(
        Consensus, "_advance_commit", _commit_alone
    ),
    "no_pre_vote": lambda: mock.patch.object(
        Consensus,
        "_start_election",
        _skip_pre_vote(Consensus._start_election),
    ),
    "no_incarnation": lambda: mock.patch.object(
        FakeBox, "start", _keep_incarnation(FakeBox.start)
    ),
    "no_sync": lambda: mock.patch.object(
        FakeDisk, "__init__", _report_sync_early(FakeDisk.__init__)
    ),
    "no_hall_sets": lambda: mock.patch.object(
        ConfigLog, "_open_hall", _ignore_hall_sets(ConfigLog._open_hall)
    ),
    "retry_maybe_started": lambda: mock.patch.object(
        SubmissionManager, "_may_retry", lambda entry, sub, task, end: True
    ),
}


@contextlib.contextmanager
def apply_mutation(name: str) -> Iterator[None]:
    """Applies a mutation for the duration of a `with` block."""
    with MUTATIONS[name]():
        yield
