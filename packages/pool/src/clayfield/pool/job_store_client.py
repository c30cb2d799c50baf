"""The holder's client of the job store, the replicated record of kept jobs.

The holder sends changes to the leader of the control log, which confirms them
once they are on disk at a majority of the control nodes. Only one write is in
flight at a time, which keeps writes in order; it is sent again until it is
confirmed, also to a later leader. Further changes collect in the next write.

The leader's replies to the holder's status messages give the holder
*authority* over kept jobs for a limited time; after that another node may have
become the holder.
"""

import msgspec

from clayfield.base import Clock
from clayfield.pool.commands import SendToNode
from clayfield.pool.worker import Worker
from clayfield.wire.job_store import (
    AcceptJob,
    HolderLease,
    JobChange,
    JobsLoaded,
    JobsWritten,
    KeptJob,
    LoadJobs,
    WriteJobs,
)
from clayfield.wire.jobs import Job, JobState

# How long authority lasts, from the sending of the confirmed status message.
AUTHORITY_MS = 1500.0
# Least time after which a request without a reply counts as lost.
RESEND_MS = 400.0
NEVER_MS = -1e12
# Above this size of a write, further changes go into the next one. A write must
# fit one message, also if each of its jobs is as large as a caller may send.
MAX_WRITE_BYTES = 1024 * 1024
# Numbers of requests that are reserved for each epoch. A late reply to an
# earlier client of the same node then matches no request of a later one.
REQUESTS_PER_EPOCH = 1 << 32


class JobChangeRecord:
    """A change to the job store and the worker's report that it is based on.

    Attributes:
        change: the change.
        worker: the worker that lists the end of the run, None for other
            changes.
        sequence: the worker's number of that end.
        size: number of bytes of the encoded change.
    """

    __slots__ = ("change", "sequence", "size", "worker")

    def __init__(
        self,
        change: JobChange,
        worker: Worker | None = None,
        sequence: int = 0,
    ):
        self.change = change
        self.worker = worker
        self.sequence = sequence
        self.size = 0


class _Batch:
    """A write that is not confirmed yet."""

    __slots__ = ("changes", "sent_ms", "sequence")

    def __init__(self, sequence: int, changes: list[JobChangeRecord]):
        self.sequence = sequence
        self.changes = changes
        self.sent_ms: float | None = None


class JobStoreClient:
    """Loads the stored jobs and writes the holder's changes to them.

    Attributes:
        epoch: the epoch of the grant that the holder acts on.
        confirmed_ms: latest time when this node was certainly the only
            holder, in ms.
        is_loaded: whether all jobs stored before the grant were received.
        actions: messages to send; the caller clears it.
    """

    def __init__(self, clock: Clock, epoch: int):
        self._clock = clock
        self.epoch = epoch
        self.is_loaded = False
        self.actions: list[SendToNode] = []
        self._leader = ""
        self.confirmed_ms = -AUTHORITY_MS
        self._load_sent_ms = NEVER_MS
        self._load_request = epoch * REQUESTS_PER_EPOCH
        self._loaded_parts: list[JobsLoaded] = []
        self._unsent: list[JobChangeRecord] = []
        self._in_flight: _Batch | None = None
        self._sequence = epoch * REQUESTS_PER_EPOCH

    @property
    def has_authority(self) -> bool:
        """Whether certainly no other node is the holder yet."""
        return self._clock.now_ms() < self.confirmed_ms + AUTHORITY_MS

    def write(self, record: JobChangeRecord) -> None:
        """Adds a change to the next write.

        `on_written` returns the change once it is stored.

        Raises:
            ValueError: the change can't be encoded. In a write it would keep
                every other change from being stored.
        """
        size = find_stored_size(record.change)
        if size is None:
            raise ValueError(f"{type(record.change).__name__}: not encodable")
        record.size = size
        self._unsent.append(record)

    def withdraw_unsent_jobs(self) -> list[Job]:
        """Removes the jobs whose acceptance was never sent; returns them.

        All other unsent changes to these jobs are removed too.
        """
        jobs = [
            pending.change.job
            for pending in self._unsent
            if isinstance(pending.change, AcceptJob)
        ]
        keys = {job.key for job in jobs}
        self._unsent = [
            pending
            for pending in self._unsent
            if _key_of(pending.change) not in keys
        ]
        return jobs

    def renew_epoch(self, epoch: int) -> None:
        """Continues under this node's next grant.

        No other node may have been the holder in between.
        """
        self.epoch = epoch
        self._mark_unsent()

    # Messages of the leader.

    def on_lease(self, node: str, lease: HolderLease) -> None:
        """Handles a leader's confirmation that this node is the holder.

        Loads the stored jobs from that leader if they are not loaded yet.
        """
        if lease.epoch != self.epoch:
            return
        self.confirmed_ms = max(self.confirmed_ms, lease.sent_ms)
        if node != self._leader:
            self._leader = node
            self._load_sent_ms = NEVER_MS
            self._mark_unsent()
        self._send_load()

    def on_loaded(self, node: str, loaded: JobsLoaded) -> bool:
        """Handles a part of the stored jobs.

        Returns:
            Whether it was the last part, so that all jobs are loaded now.
        """
        is_next = loaded.part == len(self._loaded_parts)
        if (
            self.is_loaded
            or loaded.request != self._load_request
            or not is_next
        ):
            return False
        self._loaded_parts.append(loaded)
        self.is_loaded = loaded.is_last
        return loaded.is_last

    def take_open_jobs(self) -> list[KeptJob]:
        """Returns the loaded jobs that have not ended."""
        return [job for part in self._loaded_parts for job in part.open_jobs]

    def take_ended_jobs(self) -> dict[str, JobState]:
        """Returns by key the outcomes of the loaded jobs that ended.

        Discards the loaded parts, so `take_open_jobs` must be called first.
        """
        ended: dict[str, JobState] = {}
        for part in self._loaded_parts:
            ended.update(part.ended)
        self._loaded_parts = []
        return ended

    def on_written(self, written: JobsWritten) -> list[JobChangeRecord]:
        """Handles the confirmation of a write; returns its changes."""
        batch = self._in_flight
        if batch is None or batch.sequence != written.sequence:
            return []
        self._in_flight = None
        return batch.changes

    # Sending.

    def flush(self) -> None:
        """Sends the next write, or again the one that is not confirmed."""
        if self._in_flight is None and self._unsent:
            self._sequence += 1
            self._in_flight = _Batch(self._sequence, self._take_next_changes())
        batch = self._in_flight
        if batch is None or not self._leader:
            return
        if batch.sent_ms is None or self._is_lost(batch.sent_ms):
            self._send(batch, self._clock.now_ms())

    def _is_lost(self, sent_ms: float) -> bool:
        """Returns whether a request without a reply is to be sent again.

        A stream keeps the order of messages, so the request has arrived or is
        lost once the leader has replied to a later status. Until then a copy
        would wait behind it.

        Args:
            sent_ms: time at which the request was sent, in ms.
        """
        elapsed_ms = self._clock.now_ms() - sent_ms
        return elapsed_ms >= RESEND_MS and self.confirmed_ms > sent_ms

    def _take_next_changes(self) -> list[JobChangeRecord]:
        """Returns the oldest unsent changes, one or as many as fit a write."""
        count = 1
        size = self._unsent[0].size
        for record in self._unsent[1:]:
            size += record.size
            if size > MAX_WRITE_BYTES:
                break
            count += 1
        taken = self._unsent[:count]
        self._unsent = self._unsent[count:]
        return taken

    def _mark_unsent(self) -> None:
        """Marks the write in flight to be sent again at the next flush."""
        if self._in_flight:
            self._in_flight.sent_ms = None

    def _send(self, batch: _Batch, now_ms: float) -> None:
        batch.sent_ms = now_ms
        changes = tuple(pending.change for pending in batch.changes)
        write = WriteJobs(self.epoch, batch.sequence, changes)
        self.actions.append(SendToNode(self._leader, write))

    def _send_load(self) -> None:
        """Requests the stored jobs, unless they are loaded or requested."""
        if self.is_loaded or not self._is_lost(self._load_sent_ms):
            return
        self._load_sent_ms = self._clock.now_ms()
        self._load_request += 1
        self._loaded_parts = []
        load = LoadJobs(self.epoch, self._load_request)
        self.actions.append(SendToNode(self._leader, load))


def find_stored_size(change: JobChange) -> int | None:
    """Returns the size of an encoded change, in bytes.

    None if it can't be encoded, and so not be stored.
    """
    try:
        return len(msgspec.msgpack.encode(change))
    except (OverflowError, TypeError, UnicodeEncodeError):
        return None


def _key_of(change: JobChange) -> str:
    """Returns the key of the job that a change applies to."""
    return change.job.key if isinstance(change, AcceptJob) else change.key
