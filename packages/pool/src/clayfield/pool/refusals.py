"""Refusals that the node that sent them must not revise.

The same holds for the other answers after which a job may be submitted again,
and is run anew: that it was abandoned, and that its callers have left.

An entry node may send a job to the same holder more than once: when its
connection breaks, it sends the job again on the next one. A copy sent on the
broken connection may still be read, before or after the later copy. Once one
of them was refused, the caller may have been told, so none may be run.
"""

from clayfield.base import Clock
from clayfield.wire.cluster import JobEnded, SubmitJob

# How long refusals are stored; copies of a job arrive within this time.
REFUSAL_RETENTION_MS = 20_000.0


class Refusals:
    """The refusals that one node has sent recently."""

    __slots__ = ("_by_job", "_clock")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._by_job: dict[tuple[str, str], tuple[float, JobEnded]] = {}

    def add(self, entry: str, refusal: JobEnded) -> None:
        """Records a refusal that is sent to an entry node."""
        # Removed first, so that the dictionary stays ordered by time.
        self._by_job.pop((entry, refusal.key), None)
        self._by_job[entry, refusal.key] = (self._clock.now_ms(), refusal)

    def find(self, entry: str, submit: SubmitJob) -> JobEnded | None:
        """Returns the refusal of a submission, None if it was not refused.

        A submission with a higher number than the refused one is a new one.

        Args:
            entry: the entry node that sent the submission.
            submit: the submission.
        """
        stored = self._by_job.get((entry, submit.job.key))
        if stored is None or submit.number > stored[1].number:
            return None
        return stored[1]

    def expire(self) -> None:
        """Drops the refusals that were sent long ago."""
        now_ms = self._clock.now_ms()
        while self._by_job:
            entry_and_key, (sent_ms, _) = next(iter(self._by_job.items()))
            if now_ms - sent_ms < REFUSAL_RETENTION_MS:
                return
            del self._by_job[entry_and_key]
