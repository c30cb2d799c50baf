"""Tests of duration estimates, forecasts and the admission of jobs."""

import random

import pytest

from clayfield.pool.estimates import DurationEstimator
from clayfield.pool.forecast import Forecast
from clayfield.testbed.pool_site import PoolSite
from clayfield.wire.jobs import Verdict


def test_uninformative_estimates_regress_to_the_mean_duration():
    rng = random.Random(7)
    estimates = DurationEstimator()
    for _ in range(500):
        true_ms = 100.0 * rng.lognormvariate(0.0, 0.2)
        estimate_ms = true_ms * rng.lognormvariate(0.0, 0.4)
        estimates.add_sample("queue", estimate_ms, true_ms)
    assert 80 <= estimates.expected_ms("queue", 40.0) <= 100
    assert 100 <= estimates.expected_ms("queue", 250.0) <= 130


def test_estimates_off_by_a_constant_factor_are_rescaled():
    rng = random.Random(7)
    estimates = DurationEstimator()
    for _ in range(500):
        true_ms = 100.0 * rng.lognormvariate(0.0, 0.5)
        estimates.add_sample("queue", true_ms / 2, true_ms)
    assert estimates.expected_ms("queue", 20.0) == pytest.approx(40, rel=0.1)
    assert estimates.expected_ms("queue", 100.0) == pytest.approx(200, rel=0.1)


def test_forecast_uses_the_slots_that_become_free_first():
    forecast = Forecast([0.0, 0.0, 50.0])
    assert forecast.add_task(100.0) == 100.0
    assert forecast.add_task(100.0) == 100.0
    assert forecast.add_task(100.0) == 150.0
    assert forecast.add_task(10.0, ready_ms=300.0) == 310.0


def test_admission_accounts_for_later_steps():
    site = PoolSite(("a",), 2, seed=1)
    site.grant("a-0/1", {})
    site.run(200)
    for number in range(8):
        site.submit("a-0/1", f"job-{number}", count=4, steps=3)
    site.run(1000)
    verdicts = [ended.verdict for _, ended in site.outcomes.values()]
    completed_count = verdicts.count(Verdict.COMPLETED)
    assert completed_count + verdicts.count(Verdict.REFUSED) == 8
    end_times_ms = [at_ms for at_ms, ended in site.outcomes.values()]
    assert completed_count >= 1
    assert max(end_times_ms) <= 200 + 1.6 * 180 + 60 + 30
