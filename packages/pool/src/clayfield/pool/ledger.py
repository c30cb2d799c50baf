"""The holder's side of the replicated record of kept jobs.

The holder writes changes to the leader of the control log and learns when
they are stored. One write is under way at a time, so that none overtakes an
earlier one; it is sent again until it is answered, also to a later leader.
Meanwhile further changes gather in the next. The leader's answers to the
holder's statuses are its authority over kept jobs: without one for a while,
another holder may have been chosen.
"""

from clayfield.base import Clock
from clayfield.pool.orders import TellEntry
from clayfield.wire.jobs import Job, JobState
from clayfield.wire.ledger import (
    AcceptJob,
    HolderLease,
    JobChange,
    JobsLoaded,
    JobsWritten,
    KeptJob,
    LoadJobs,
    WriteJobs,
)

# How long after its status was sent an answered holder may run kept jobs.
AUTHORITY_MS = 1500.0
# A write or a question without an answer is sent again after so long.
RESEND_MS = 400.0


class StoredChange:
    """A change that is stored, with the end of a run that it is of.

    Attributes:
        change: what was written.
        worker: that lists the end, "" for none.
        sequence: by which the worker numbers the end.
    """

    __slots__ = ("change", "sequence", "worker")

    def __init__(self, change: JobChange, worker: str = "", sequence: int = 0):
        self.change = change
        self.worker = worker
        self.sequence = sequence


class _Batch:
    """A write that is not answered yet."""

    __slots__ = ("changes", "sent_ms", "sequence")

    def __init__(self, sequence: int, changes: list[StoredChange]):
        self.sequence = sequence
        self.changes = changes
        self.sent_ms: float | None = None


class JobLedger:
    """What a holder has written of kept jobs, and what of it is stored.

    Attributes:
        epoch: of the grant that the holder acts on.
        confirmed_ms: when this node was last surely the only holder.
        is_loaded: whether it has heard of all jobs kept before its grant.
        actions: messages to send; the caller empties it.
    """

    def __init__(self, clock: Clock, epoch: int):
        self._clock = clock
        self.epoch = epoch
        self.is_loaded = False
        self.actions: list[TellEntry] = []
        self._leader = ""
        self.confirmed_ms = -AUTHORITY_MS
        self._asked_ms = -RESEND_MS
        self._request = 0
        self._parts: list[JobsLoaded] = []
        self._unsent: list[StoredChange] = []
        self._under_way: _Batch | None = None
        self._sequence = 0

    @property
    def has_authority(self) -> bool:
        """Whether surely no other holder may run kept jobs yet."""
        return self._clock.now_ms() < self.confirmed_ms + AUTHORITY_MS

    def write(self, change: StoredChange) -> None:
        """Writes a change; `on_written` returns it once it is stored."""
        self._unsent.append(change)

    def withdraw_jobs(self) -> list[Job]:
        """Takes back the acceptances that were never sent; returns them."""
        jobs = [
            one.change.job
            for one in self._unsent
            if isinstance(one.change, AcceptJob)
        ]
        keys = {job.key for job in jobs}
        self._unsent = [
            one for one in self._unsent if _key_of(one.change) not in keys
        ]
        return jobs

    def raise_epoch(self, epoch: int) -> None:
        """Goes on under the next grant, with no other holder between."""
        self.epoch = epoch
        self._send_again()

    # Messages of the leader.

    def on_lease(self, node: str, lease: HolderLease) -> None:
        """Learns that a leader took this node for the holder at a time."""
        if lease.epoch != self.epoch:
            return
        self.confirmed_ms = max(self.confirmed_ms, lease.sent_ms)
        if node != self._leader:
            self._leader = node
            self._asked_ms = -RESEND_MS
            self._send_again()
        self._ask()

    def on_loaded(self, node: str, loaded: JobsLoaded) -> bool:
        """Takes a part of the jobs; returns whether it was the last."""
        is_next = loaded.part == len(self._parts)
        if self.is_loaded or loaded.request != self._request or not is_next:
            return False
        self._parts.append(loaded)
        self.is_loaded = loaded.is_last
        return loaded.is_last

    def take_open(self) -> list[KeptJob]:
        """Returns the loaded jobs that have not ended."""
        return [kept for part in self._parts for kept in part.open_jobs]

    def take_ended(self) -> dict[str, JobState]:
        """Returns how other loaded jobs ended."""
        ended: dict[str, JobState] = {}
        for part in self._parts:
            ended.update(part.ended)
        self._parts = []
        return ended

    def on_written(self, written: JobsWritten) -> list[StoredChange]:
        """Learns that a write is stored; returns its changes."""
        batch = self._under_way
        if batch is None or batch.sequence != written.sequence:
            return []
        self._under_way = None
        return batch.changes

    # Sending.

    def flush(self) -> None:
        """Sends what is to be written, and again what is not answered."""
        if self._under_way is None and self._unsent:
            self._sequence += 1
            self._under_way = _Batch(self._sequence, self._unsent)
            self._unsent = []
        batch = self._under_way
        if batch is None or not self._leader:
            return
        now_ms = self._clock.now_ms()
        if batch.sent_ms is None or now_ms - batch.sent_ms >= RESEND_MS:
            self._send(batch, now_ms)

    def _send_again(self) -> None:
        if self._under_way:
            self._under_way.sent_ms = None

    def _send(self, batch: _Batch, now_ms: float) -> None:
        batch.sent_ms = now_ms
        changes = tuple(one.change for one in batch.changes)
        write = WriteJobs(self.epoch, batch.sequence, changes)
        self.actions.append(TellEntry(self._leader, write))

    def _ask(self) -> None:
        now_ms = self._clock.now_ms()
        if self.is_loaded or now_ms - self._asked_ms < RESEND_MS:
            return
        self._asked_ms = now_ms
        self._request += 1
        self._parts = []
        load = LoadJobs(self.epoch, self._request)
        self.actions.append(TellEntry(self._leader, load))


def _key_of(change: JobChange) -> str:
    return change.job.key if isinstance(change, AcceptJob) else change.key
