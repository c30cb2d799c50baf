"""Failure tests of a simulated site: drills, random schedules, mutations."""

import pytest

from clayfield.testbed import ViolationError
from clayfield.testbed.chaos import Chaos
from clayfield.testbed.drills import DRILLS
from clayfield.testbed.mutations import apply_mutation

# Seeds and numbers of steps, among them every seed that once failed.
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
def test_drill_violates_no_invariant(name):
    DRILLS[name](1)


@pytest.mark.parametrize(("seed", "steps"), SCHEDULES)
def test_random_schedule_violates_no_invariant(seed, steps):
    chaos = Chaos(seed)
    chaos.run(steps)
    assert not chaos.checker.violation_counts


@pytest.mark.parametrize(
    ("mutation", "drill", "error_text"),
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
def test_drill_detects_mutation(mutation, drill, error_text):
    with (
        apply_mutation(mutation),
        pytest.raises((ViolationError, AssertionError), match=error_text),
    ):
        DRILLS[drill](1)
