"""Jobs submitted to every box of one hall, on a manual clock."""

import msgspec
import pytest

from clayfield.config import Limits
from clayfield.testbed import Site, SiteShape
from clayfield.testbed.site import DEFAULT_CONFIG

HALL = {"h1": 3}


@pytest.mark.parametrize(
    ("priority", "run_ms"),
    [
        ("cancel", [50.0]),
        ("dear", [100.0, 200.0, 50.0]),
        ("cheap", [60.0] * 40),
    ],
)
def test_every_box_returns_all_answers_in_task_order(priority, run_ms):
    site = Site(SiteShape(HALL), seed=1)
    # The queue limit is large enough that none of the three jobs is refused.
    site.settle(
        msgspec.structs.replace(DEFAULT_CONFIG, limits=Limits(queue_ms=9000))
    )
    outcomes = []
    for box in site.boxes:
        site.submit(box, f"key-{box}", priority, run_ms, outcomes.append)
    site.run(3000)
    assert [outcome.status for outcome in outcomes] == [200] * 3
    for outcome in outcomes:
        answers = msgspec.json.decode(outcome.body)["answers"]
        assert [answer[1] for answer in answers] == list(range(len(run_ms)))
    assert all(box.core.submissions.is_idle for box in site.boxes.values())
