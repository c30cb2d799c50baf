"""How runs end, on which evidence, and the interface that receives the ends."""

import abc
import enum

from clayfield.pool.commands import EndedRun, EndKind
from clayfield.pool.tasks import Run
from clayfield.pool.worker import Worker


class RunOutcome(enum.Enum):
    """How a run ended for its task.

    LOST: the run has neither succeeded nor failed, and its task must run
    again.
    """

    DONE = "done"
    FAILED = "failed"
    LOST = "lost"


class EndCause(enum.StrEnum):
    """The evidence from which the fleet concluded that a run has ended.

    LISTED: the worker listed its end. UNLISTED: the worker no longer lists
    it. LEASE_LAPSED: the lease of its unreachable worker has lapsed.
    START_REJECTED: the worker rejected the start. WORKER_REMOVED: the worker
    was removed. SUPERSEDED: the worker lists a later run of the task.
    """

    LISTED = "listed"
    UNLISTED = "unlisted"
    LEASE_LAPSED = "lease-lapsed"
    START_REJECTED = "start-rejected"
    WORKER_REMOVED = "worker-removed"
    SUPERSEDED = "superseded"


class CrashEvidence(enum.StrEnum):
    """The evidence that the process of a worker has ended without notice.

    REFUSED: no process listens at its address. REPLACED: another incarnation
    replies there. RESTARTED: it has started again under its name.
    """

    REFUSED = "refused"
    REPLACED = "replaced"
    RESTARTED = "restarted"


_OUTCOMES = {EndKind.DONE: RunOutcome.DONE, EndKind.FAILED: RunOutcome.FAILED}


def outcome_of(kind: EndKind) -> RunOutcome:
    """Returns what an end that a worker lists means for the task."""
    return _OUTCOMES.get(kind, RunOutcome.LOST)


class FleetListener(abc.ABC):
    """Receives the events of a fleet."""

    @abc.abstractmethod
    def on_run_end(self, run: Run, end: RunOutcome, worker: Worker) -> None:
        """Handles the end of a run; its capacity is already released."""

    @abc.abstractmethod
    def on_inherited_end(self, row: EndedRun, worker: Worker) -> None:
        """Handles the end of a run that an earlier holder started."""

    @abc.abstractmethod
    def on_worker_crashed(self, worker: Worker, runs: list[Run]) -> None:
        """Handles a worker whose process ended without notice.

        Args:
            worker: the incarnation that has ended.
            runs: the runs that were on it, including those that were ended
                since because its lease had lapsed.
        """

    @abc.abstractmethod
    def on_ticket_rejected(self, run: Run, worker: Worker) -> None:
        """Handles a start that failed because of the advisor's ticket."""

    @abc.abstractmethod
    def on_fenced(self, worker: Worker) -> None:
        """Handles a worker that has accepted a higher fencing token."""

    @abc.abstractmethod
    def lease_limit_ms(self, run: Run) -> float:
        """Returns the time to which a lease may be renewed beside a run.

        In ms; infinite if there is no limit.
        """

    @abc.abstractmethod
    def before_renewal(self) -> None:
        """Withholds the leases that must not be renewed any more.

        Called before every poll that would renew a lease.
        """
