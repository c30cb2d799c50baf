"""The brief's failures: directed drills, random schedules, mutations."""

import pytest

from clayfield.testbed import ViolationError
from clayfield.testbed.chaos import Chaos
from clayfield.testbed.drills import DRILLS
from clayfield.testbed.mutations import mutated

# Every seed that ever failed, with the steps it took, and a few that did not.
SCHEDULES = [
    (0, 150),
    (1, 150),
    (2, 150),
    (8, 150),
    (25, 150),
    (26, 150),
    (33, 150),
    (105, 150),
    (112, 300),
    (157, 300),
    (5049, 200),
    (6057, 200),
]


@pytest.mark.parametrize("name", DRILLS)
def test_drill(name):
    DRILLS[name](1)


@pytest.mark.parametrize(("seed", "steps"), SCHEDULES)
def test_random_schedule(seed, steps):
    chaos = Chaos(seed)
    chaos.run(steps)
    assert not chaos.ledger.violations


@pytest.mark.parametrize(
    ("mutation", "drill", "promise"),
    [
        ("no_claim_quorum", "leader_isolated", "starts_at_most_once"),
        ("no_pre_vote", "back_from_silence", "return_deposes_nobody"),
        ("no_incarnation", "empty_voter_returns", "starts_at_most_once"),
        ("no_incarnation", "whole_hall_restarts", "starts_at_most_once"),
        ("no_hall_sets", "hall_added", "did_not_run_is_true"),
        ("no_sync", "accepted_then_power_lost", "accepted version 2"),
        ("retry_maybe_started", "worker_dies", "starts_at_most_once"),
    ],
)
def test_drill_catches_mutation(mutation, drill, promise):
    with (
        mutated(mutation),
        pytest.raises((ViolationError, AssertionError), match=promise),
    ):
        DRILLS[drill](1)
