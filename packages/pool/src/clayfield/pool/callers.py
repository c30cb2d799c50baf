"""Callers of one entry node whose requests wait for the holder.

An entry node forwards its callers' jobs to the holder, the node that schedules
all workers, and forwards them again when the holder changes. Cancel and state
requests are forwarded once.
"""

import abc
import math

from clayfield.base import Clock
from clayfield.pool.actions import (
    EntryAction,
    ReplyToCaller,
    ReplyToCancel,
    ReplyToStateRequest,
)
from clayfield.pool.job_memory import JobMemory, message_bytes
from clayfield.pool.timing import PoolTiming
from clayfield.wire.cluster import (
    CancelJob,
    CancelReply,
    JobEnded,
    JobStateReply,
    JobStateRequest,
    SessionProbe,
    SessionReply,
    SubmitJob,
)
from clayfield.wire.jobs import Job, Reason, Verdict
from clayfield.wire.messages import Message

# How long a job that was never sent waits for a holder, as a share of its
# objective; a caller that is refused then has time to try elsewhere.
MAX_WAIT_SHARE = 0.2
# When the caller of a refused job may try again.
NO_HOLDER_RETRY_MS = 500.0
# How much longer than the job's own timeout its entry node waits.
HOLDER_SLACK_MS = 100.0
# How long the holder may take to reply to a cancel or state request.
REQUEST_TIMEOUT_MS = 1000.0


class HolderLink(abc.ABC):
    """The connection from an entry node to the current holder."""

    @property
    @abc.abstractmethod
    def holder(self) -> str:
        """Name of the node to send jobs to, "" if none is known."""

    @property
    @abc.abstractmethod
    def is_holder_reachable(self) -> bool:
        """Whether jobs can be sent to the holder now."""

    @property
    @abc.abstractmethod
    def uses_standby(self) -> bool:
        """Whether `holder` is the standby of a partitioned hall."""

    @property
    @abc.abstractmethod
    def epoch(self) -> int:
        """Epoch of the grant that names the holder."""

    @abc.abstractmethod
    def send_to_holder(self, message: Message) -> None:
        """Sends a message to the holder."""

    @abc.abstractmethod
    def send_workers(self) -> None:
        """Sends all workers known here to the holder, if it may lack them."""


class _Pending:
    """A job whose callers wait.

    Attributes:
        job: the job.
        request_ids: numbers of the callers that wait.
        arrived_ms: time of its arrival, in ms.
        sent_to: the holder that has the job, "" if it is to be sent.
        was_sent: whether it was ever sent to a holder.
        receivers: the holders that it was sent to.
        number: number of the latest submission, 0 before the first.
        grant: the holder and the epoch of the latest submission.
    """

    __slots__ = (
        "arrived_ms",
        "grant",
        "job",
        "number",
        "receivers",
        "sent_to",
        "request_ids",
        "was_sent",
    )

    def __init__(self, job: Job, request_id: int, arrived_ms: float):
        self.job = job
        self.request_ids = [request_id]
        self.arrived_ms = arrived_ms
        self.sent_to = ""
        self.was_sent = False
        self.receivers: set[str] = set()
        self.number = 0
        self.grant = ("", 0)


class _Request:
    """A cancel or state request without a reply from the holder.

    Attributes:
        request_id: number of the caller that waits.
        since_ms: time when it was sent, in ms.
        is_cancel: whether it is a cancel request; a state request otherwise.
    """

    __slots__ = ("is_cancel", "since_ms", "request_id")

    def __init__(self, request_id: int, since_ms: float, is_cancel: bool):
        self.request_id = request_id
        self.since_ms = since_ms
        self.is_cancel = is_cancel


class PendingCallers:
    """Tracks the jobs and requests of one entry node's callers.

    A caller is identified by a number, its *request id*, chosen by the
    embedding process.

    Attributes:
        actions: answers to callers; the entry node clears it.
    """

    def __init__(
        self,
        clock: Clock,
        link: HolderLink,
        timing: PoolTiming,
        memory: JobMemory,
    ):
        self.actions: list[EntryAction] = []
        self._clock = clock
        self._timing = timing
        self._memory = memory
        self._link = link
        self._pending: dict[str, _Pending] = {}
        self._requests: dict[int, _Request] = {}
        self._last_request = 0
        self._last_submission = 0
        self._session = 1
        self._probed_ms = 0.0
        # Time of the latest reply to a probe, by the node that had sent it.
        # Such a node stops the runs of a job unless its session goes on.
        self._replied_ms: dict[str, float] = {}

    @property
    def open_jobs(self) -> int:
        """Number of jobs whose callers wait here."""
        return len(self._pending)

    def pending_count(self, queue: str) -> int:
        """Returns how many jobs of a queue wait here, without kept jobs."""
        return sum(
            pending.job.queue == queue and not pending.job.is_kept
            for pending in self._pending.values()
        )

    def has_job(self, key: str) -> bool:
        """Returns whether callers wait for a job."""
        return key in self._pending

    # Jobs.

    def submit(self, job: Job, request_id: int) -> None:
        """Submits a job; a `ReplyToCaller` action reports its result.

        A new job for which there is no memory is refused.
        """
        existing = self._pending.get(job.key)
        if existing:
            existing.request_ids.append(request_id)
            return
        byte_count = message_bytes(job)
        if not self._memory.has_room_for(job, byte_count):
            self.refuse(job, request_id, Reason.TOO_MANY)
            return
        self._memory.pending.add(job.key, byte_count, len(job.steps))
        pending = _Pending(job, request_id, self._clock.now_ms())
        self._pending[job.key] = pending
        self._forward(pending)

    def refuse(self, job: Job, request_id: int, reason: Reason) -> None:
        """Refuses a job immediately."""
        ended = JobEnded(job.key, Verdict.REFUSED, reason, NO_HOLDER_RETRY_MS)
        self.actions.append(ReplyToCaller(request_id, ended))

    def on_caller_disconnected(self, key: str, request_id: int) -> None:
        """Handles the disconnection of a caller.

        A job without any other caller is cancelled, unless it is kept.
        """
        pending = self._pending.get(key)
        if pending is None or request_id not in pending.request_ids:
            return
        pending.request_ids.remove(request_id)
        if not pending.request_ids and not pending.job.is_kept:
            self._remove(key)
            self._link.send_to_holder(CancelJob(0, key, pending.number))

    def on_job_ended(self, node: str, ended: JobEnded) -> None:
        """Handles the result of a job.

        A refused or abandoned submission is ignored unless it is the latest
        one of the job. It may have been followed by a submission to another
        holder, or by that of a caller who tries again.

        Args:
            node: the sender.
            ended: the result.
        """
        pending = self._pending.get(ended.key)
        if pending is None:
            return
        is_final = ended.verdict not in (Verdict.REFUSED, Verdict.ABANDONED)
        is_latest = pending.sent_to == node and ended.number in (
            0,
            pending.number,
        )
        if is_final or is_latest:
            self._answer(pending, ended)

    def _answer(self, pending: _Pending, ended: JobEnded) -> None:
        self._remove(ended.key)
        for request_id in pending.request_ids:
            self.actions.append(ReplyToCaller(request_id, ended))

    def _remove(self, key: str) -> None:
        del self._pending[key]
        self._memory.pending.remove(key)

    def fail_all(self, reason: Reason) -> None:
        """Ends all pending jobs as refused or abandoned."""
        for pending in list(self._pending.values()):
            self._fail(pending, reason)

    def _fail(self, pending: _Pending, reason: Reason) -> None:
        """Ends a job: abandoned if it was ever sent, refused otherwise."""
        verdict = Verdict.ABANDONED if pending.was_sent else Verdict.REFUSED
        key = pending.job.key
        ended = JobEnded(key, verdict, reason, NO_HOLDER_RETRY_MS)
        self._answer(pending, ended)

    # Forwarding of jobs.

    def mark_unsent(self, node: str | None) -> None:
        """Marks jobs to be sent again.

        Args:
            node: the node that they were sent to, None for any node.
        """
        if node is None or node == self._link.holder:
            self._session += 1
            self._probed_ms = 0.0
        for pending in self._pending.values():
            if node is None or pending.sent_to == node:
                pending.sent_to = ""

    def forward_all(self) -> None:
        """Sends all jobs that were not sent to the current holder."""
        for pending in list(self._pending.values()):
            self._forward(pending)

    def _forward(self, pending: _Pending) -> None:
        """Sends a job to the holder, unless it was sent there or must wait."""
        link = self._link
        if pending.sent_to == link.holder or not link.is_holder_reachable:
            return
        may_run = pending.was_sent and not self._is_released(pending)
        if link.uses_standby and (may_run or pending.job.is_kept):
            # The job may run on workers that the standby can't reach, or it
            # is kept, which takes a majority of the control nodes. It is sent
            # to the holder once the partition is over.
            return
        grant = (link.holder, link.epoch)
        if pending.grant != grant:
            self._last_submission += 1
            pending.number = self._last_submission
            pending.grant = grant
        submit = SubmitJob(
            pending.job,
            self._clock.now_ms() - pending.arrived_ms,
            link.epoch,
            pending.was_sent,
            pending.number,
            self._session,
            self._probed_ms,
        )
        if pending.was_sent:
            link.send_workers()
        pending.sent_to = link.holder
        pending.receivers.add(link.holder)
        pending.was_sent = True
        link.send_to_holder(submit)

    def _is_released(self, pending: _Pending) -> bool:
        """Returns whether the holders that had a job have ended its runs.

        That is so some time after the last reply to a probe, as for a job
        that its caller may submit again.
        """
        latest_ms = self._clock.now_ms() - self._timing.resubmit_ms
        return all(
            self._replied_ms.get(node, math.inf) <= latest_ms
            for node in pending.receivers
        )

    def on_probe(self, node: str, probe: SessionProbe) -> None:
        """Confirms to the holder that jobs still wait here.

        Another node that had them before gets no reply, so that it stops their
        runs.
        """
        if node != self._link.holder:
            return
        self._probed_ms = probe.sent_ms
        self._replied_ms[node] = self._clock.now_ms()
        reply = SessionReply(self._session, probe.sent_ms)
        self._link.send_to_holder(reply)

    # Cancel and state requests.

    def cancel(self, key: str, request_id: int) -> None:
        """Cancels a job of any caller; `ReplyToCancel` reports the result."""
        number = self._add_request(request_id, is_cancel=True)
        if number:
            self._link.send_to_holder(CancelJob(number, key))

    def request_state(self, key: str, request_id: int) -> None:
        """Requests a kept job's state; `ReplyToStateRequest` reports it."""
        number = self._add_request(request_id, is_cancel=False)
        if number:
            self._link.send_to_holder(JobStateRequest(number, key))

    def _add_request(self, request_id: int, is_cancel: bool) -> int:
        """Records a request; returns its number, 0 without a reachable holder.

        Without one the caller is answered at once that the result is unknown.
        """
        pending_request = _Request(request_id, self._clock.now_ms(), is_cancel)
        if not self._link.is_holder_reachable:
            self._answer_unknown(pending_request)
            return 0
        self._last_request += 1
        self._requests[self._last_request] = pending_request
        return self._last_request

    def on_cancel_reply(self, reply: CancelReply) -> None:
        """Handles the holder's reply to a cancel request."""
        pending_request = self._requests.pop(reply.request, None)
        if pending_request:
            self.actions.append(
                ReplyToCancel(pending_request.request_id, reply.is_found)
            )

    def on_state_reply(self, reply: JobStateReply) -> None:
        """Handles the holder's reply to a state request."""
        pending_request = self._requests.pop(reply.request, None)
        if pending_request:
            self.actions.append(
                ReplyToStateRequest(pending_request.request_id, reply)
            )

    def _answer_unknown(self, request: _Request) -> None:
        """Answers a caller that the result of its request is unknown."""
        if request.is_cancel:
            self.actions.append(ReplyToCancel(request.request_id, None))
        else:
            self.actions.append(ReplyToStateRequest(request.request_id, None))

    # Periodic work.

    def tick(self) -> None:
        """Runs the periodic work: forwarding of jobs and timeouts."""
        now_ms = self._clock.now_ms()
        for pending in list(self._pending.values()):
            self._tick_pending(pending, now_ms)
        for number, request in list(self._requests.items()):
            if now_ms - request.since_ms > REQUEST_TIMEOUT_MS:
                del self._requests[number]
                self._answer_unknown(request)

    def _tick_pending(self, pending: _Pending, now_ms: float) -> None:
        """Sends a job if it may be sent, and ends it after its timeout."""
        self._forward(pending)
        age_ms = now_ms - pending.arrived_ms
        if age_ms > pending.job.timeout_ms + HOLDER_SLACK_MS:
            self._fail(pending, Reason.TIMED_OUT)
        elif not pending.was_sent and age_ms > _max_wait_ms(pending.job):
            self._fail(pending, Reason.NO_HOLDER)


def _max_wait_ms(job: Job) -> float:
    """Returns how long a job that was never sent waits for a holder."""
    total_ms = sum(step.estimate_ms for step in job.steps)
    return MAX_WAIT_SHARE * (job.stretch * total_ms + job.target_ms)
