"""Replies to submissions that the node that sent them must not revise.

An entry node may send a job to the same holder more than once: when its
connection breaks, it sends the job again on the next one. A copy sent on the
broken connection may still be read, before or after the later copy. Once one
of them was refused, the caller may have been told, so none may be run.

The same holds for the other ends after which a caller may submit the job
again, to have it run anew: that it was abandoned, or that its callers left.
"""

from clayfield.base import Clock
from clayfield.wire.cluster import JobEnded, SubmitJob

# How long replies are stored; copies of a job arrive within this time.
REPLY_RETENTION_MS = 20_000.0


class FinalReplies:
    """The replies that one node has sent recently."""

    __slots__ = ("_by_job", "_clock")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._by_job: dict[tuple[str, str], tuple[float, JobEnded]] = {}

    def add(self, entry: str, reply: JobEnded) -> None:
        """Records a reply that is sent to an entry node."""
        # Removed first, so that the dictionary stays ordered by time.
        self._by_job.pop((entry, reply.key), None)
        self._by_job[entry, reply.key] = (self._clock.now_ms(), reply)

    def find(self, entry: str, submit: SubmitJob) -> JobEnded | None:
        """Returns the reply to a submission, None if it has none.

        A submission with a higher number than the answered one is a new one.

        Args:
            entry: the entry node that sent the submission.
            submit: the submission.
        """
        stored = self._by_job.get((entry, submit.job.key))
        if stored is None or submit.number > stored[1].number:
            return None
        return stored[1]

    def expire(self) -> None:
        """Drops the replies that were sent long ago."""
        now_ms = self._clock.now_ms()
        while self._by_job:
            entry_and_key, (sent_ms, _) = next(iter(self._by_job.items()))
            if now_ms - sent_ms < REPLY_RETENTION_MS:
                return
            del self._by_job[entry_and_key]
