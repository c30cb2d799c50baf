"""Jobs whose tasks last, on a manual clock: at work until cancelled."""

import msgspec
import pytest

from clayfield.pool import EndKind
from clayfield.testbed.poolsite import HOLDER, USUAL_STEP, granted_site
from clayfield.wire.jobs import JobState, Verdict

LONG_MS = 100_000
LASTING = msgspec.structs.replace(USUAL_STEP, is_lasting=True)


def _running(site, key):
    return [
        ran for ran in site.ran if ran.task_id.job == key and ran.end_ms is None
    ]


@pytest.mark.parametrize("is_failing", [True, False])
def test_a_task_that_lasts_is_started_again_however_it_ends(is_failing):
    site = granted_site(task_ms=300)
    for worker in site.workers.values():
        worker.is_failing = is_failing
    site.submit("a-1/1", "job", 3, is_kept=True, template=LASTING)
    site.run(4000)
    kind = EndKind.FAILED if is_failing else EndKind.DONE
    assert len(site.ends("job", kind)) >= 30
    assert len(_running(site, "job")) == 3
    site.ask("b-1/1", "job")
    site.run(200)
    assert site.states == {"job": JobState.RUNNING}
    assert site.faults() == []


def test_a_task_that_lasts_is_never_taken_for_stuck():
    site = granted_site(task_ms=LONG_MS)
    site.submit("a-1/1", "job", 3, is_kept=True, template=LASTING)
    site.run(20_000)
    assert len(site.ran) == 3
    assert len(_running(site, "job")) == 3


def test_what_lasts_takes_its_places_from_the_forecast():
    site = granted_site(task_ms=LONG_MS)
    site.submit("a-1/1", "job", 11, is_kept=True, template=LASTING)
    site.run(100)
    for worker in site.workers.values():
        worker.task_ms = 60
    for number in range(3):
        site.submit("a-1/1", f"small-{number}", 2)
    site.run(400)
    verdicts = [site.ended[f"small-{n}"][1].verdict for n in range(3)]
    assert verdicts[0] is Verdict.COMPLETED
    assert verdicts[2] is Verdict.REFUSED
    assert 0 < site.ended["small-2"][1].retry_after_ms <= 10_000


@pytest.mark.parametrize("seed", range(10))
def test_what_lasts_goes_on_under_a_new_holder(seed):
    site = granted_site(seed, task_ms=LONG_MS)
    site.submit("b-1/1", "job", 5, is_kept=True, template=LASTING)
    site.run(500 + seed)
    site.kill(HOLDER)
    if seed % 2:
        site.silence("worker-a-1")
    site.run(150)
    site.grant("b-0/1", {"c": "c-0/1"})
    site.run(6000)
    assert site.faults() == []
    assert len(_running(site, "job")) == 5
    lost = 1 + (seed % 2)
    assert len(site.ran) <= 5 + 2 * lost


def test_what_lasts_ends_when_it_is_cancelled():
    site = granted_site(task_ms=LONG_MS)
    site.submit("b-1/1", "job", 5, is_kept=True, template=LASTING)
    site.run(500)
    site.cancel("c-1/1", "job")
    site.run(300)
    assert list(site.cancelled) == ["job"]
    assert _running(site, "job") == []
    site.run(5000)
    assert len(site.ran) == 5
