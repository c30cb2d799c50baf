"""Tests of the memory of accepted jobs.

They guard against a node that runs out of memory because of legal jobs with
many steps or tasks, and against large jobs that keep ordinary ones out.
"""

import msgspec
import pytest

from clayfield.pool.job_memory import (
    LARGE_BYTES,
    JobMemory,
    message_bytes,
    open_bytes,
)
from clayfield.testbed.pool_site import (
    DEFAULT_STEP,
    HOLDER,
    make_granted_site,
)
from clayfield.wire.jobs import Job, Reason, Verdict

LIMIT = 100 * LARGE_BYTES
LARGE_LIMIT = 75 * LARGE_BYTES
SLOTS = 1000


def _job(key, steps=1, count=1, after=()):
    step = msgspec.structs.replace(DEFAULT_STEP, count=count, after=after)
    return Job(key, "q", "s", "", (step,) * steps, 0, 3, 1.6, 60.0, 1500.0)


def _fill(memory, count, byte_count, steps=1):
    """Offers jobs of one size; returns the number of those accepted."""
    accepted = 0
    for number in range(count):
        job = _job(f"{byte_count}-{number}", steps)
        if memory.has_room_for(job, byte_count):
            memory.open.add(job.key, byte_count, steps)
            accepted += 1
    return accepted


def test_large_jobs_leave_room_for_ordinary_ones():
    memory = JobMemory(LIMIT)
    assert _fill(memory, 20, 10 * LARGE_BYTES) == 7
    assert _fill(memory, 1000, 1000) == 1000


def test_ordinary_jobs_are_bounded_too():
    memory = JobMemory(LIMIT)
    assert _fill(memory, 10_000, LARGE_BYTES // 10) == 1000
    assert memory.total_bytes <= LIMIT


def test_largest_job_is_accepted_if_it_is_alone():
    memory = JobMemory(LIMIT)
    assert _fill(memory, 3, 2 * LIMIT) == 1


def test_job_at_its_own_holder_does_not_exceed_the_limit_by_itself():
    memory = JobMemory(LIMIT)
    memory.pending.add("job", LARGE_LIMIT, 1)
    assert memory.has_room_for(_job("job"), LARGE_LIMIT)


def test_jobs_of_many_steps_are_bounded_and_one_alone_is_accepted():
    # Four jobs of 12,000 steps kept the loop of their holder for seconds.
    memory = JobMemory(LIMIT)
    assert _fill(memory, 4, 1, steps=12_000) == 1
    assert memory.has_room_for(_job("ordinary", steps=8), 1)


def test_removed_jobs_take_no_memory():
    memory = JobMemory(LIMIT)
    for ledger in (memory.pending, memory.open):
        ledger.add("job", LARGE_LIMIT, 1000)
        ledger.add("job", 10, 1000)
        ledger.remove("job")
        ledger.remove("job")
        assert (ledger.total_bytes, ledger.large_bytes) == (0, 0)
        assert ledger.long_steps == 0


@pytest.mark.parametrize(
    ("steps", "count", "after", "least_bytes"),
    [(20_000, 1, 0, 13_000_000), (1, 20_000, 0, 9_000_000), (2, 1, 130_000, 1)],
)
def test_estimate_covers_what_a_job_takes(steps, count, after, least_bytes):
    # Measured with tracemalloc: 168 to 271 bytes a step, 464 to 556 a task.
    job = _job("k", steps, count, (0,) * after)
    assert open_bytes(job) >= least_bytes
    assert open_bytes(job) > message_bytes(job) >= 8 * after * steps


def _site(limit_bytes):
    site = make_granted_site(workers=4)
    for name in site.workers:
        site.resize_worker(name, SLOTS)
    site.run(100)
    for entry in site.entries.values():
        entry.memory.limit_bytes = limit_bytes
    return site


@pytest.mark.parametrize("node", [HOLDER, "c-1/1"])
@pytest.mark.parametrize("is_kept", [False, True])
def test_jobs_over_the_limit_are_refused_and_never_run(node, is_kept):
    # 300 jobs of legal size with 12,000 steps each took 795 MB.
    site = _site(200_000)
    for number in range(10):
        site.submit(node, f"job-{number}", count=150, is_kept=is_kept)
    site.run(3000)
    ends = {key: ended for key, (_, ended) in site.outcomes.items()}
    refused = [
        key
        for key, ended in ends.items()
        if ended.verdict is Verdict.REFUSED and ended.reason is Reason.TOO_MANY
    ]
    assert len(refused) >= 8
    assert not any(run.task_id.job in refused for run in site.runs)
    assert all(ends[key].retry_after_ms > 0 for key in refused)


def test_memory_of_jobs_is_free_after_their_end():
    site = _site(10**9)
    for number in range(10):
        site.submit("c-1/1", f"job-{number}")
    site.run(3000)
    assert len(site.outcomes) == 10
    assert [entry.memory.total_bytes for entry in site.entries.values()] == (
        [0] * len(site.entries)
    )


def test_same_job_submitted_again_is_not_refused():
    site = _site(12_000)
    site.submit("c-1/1", "job", count=2)
    site.submit("c-1/1", "job", count=2)
    site.run(2000)
    assert site.outcomes["job"][1].verdict is Verdict.COMPLETED


def test_former_holder_forgets_the_memory_of_its_jobs():
    site = _site(10**9)
    site.submit("c-1/1", "job", count=2000)
    site.run(40)
    holder = site.entries[HOLDER]
    assert holder.memory.open.total_bytes
    site.grant("b-0/1", {"a": "a-1/1", "c": "c-0/1"})
    site.run(500)
    assert holder.memory.open.total_bytes == 0
