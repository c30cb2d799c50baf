"""One replica of a hall's claims, and the hall's scheduler on their leader.

A claim is the record that an owner runs an idempotency key. The leader of a
hall's claims also schedules the hall's workers, so that claims and requests
for slots go to the same node and one lease covers both.
"""

from clayfield.base import Clock, ErrorKind, Problem, Ran
from clayfield.config import Configuration
from clayfield.dispatch import Scheduler, WorkerInfo, render_problem
from clayfield.state.claims import (
    AdvanceTime,
    ClaimCommand,
    ClaimTable,
    OpenTable,
    OwnerLost,
    encode_commands,
)
from clayfield.state.group import Group
from clayfield.state.membership import PeerTable, box_of
from clayfield.wire.messages import (
    Claim,
    ClaimReply,
    Complete,
    Lookup,
    Message,
    OpenReply,
    OpenRequest,
    SlotSync,
    Unclaim,
)

ADVANCE_INTERVAL_MS = 500.0
OPEN_RESEND_MS = 500.0
# A new scheduler grants nothing until all live boxes have sent their slots, or
# this time has passed.
SLOT_SYNC_TIMEOUT_MS = 300.0
# Size of the range of grant numbers of each term; keeps them unique.
GRANTS_PER_TERM = 1 << 32
COMMANDS_WITH_REPLY = (Claim, Lookup, Complete, Unclaim)


class Registry:
    """One node's replica of the claims of a hall.

    Attributes:
        hall: name of the hall.
        group: this node's member of the replicated group.
        scheduler: the hall's scheduler while this node leads, else None.
        outbox: (node, message) pairs to send; the caller empties it.
        open_request: request to the control log to record that the hall's
            claims start, None if there is none to send.
    """

    def __init__(
        self, clock: Clock, hall: str, halls: tuple[str, ...], group: Group
    ):
        """Creates a replica that is not the leader.

        Args:
            clock: the source of time.
            hall: name of the hall.
            halls: names of all halls, sorted.
            group: this node's member of the replicated group.
        """
        self.hall = hall
        self._halls = halls
        self.group = group
        self.scheduler: Scheduler | None = None
        self.outbox: list[tuple[str, Message]] = []
        self.open_request: OpenRequest | None = None
        self._clock = clock
        self._batch: list[ClaimCommand] = []
        self._pending: dict[tuple[int, int], list[ClaimCommand]] = {}
        self._scheduler_term = 0
        self._sync_deadline_ms = 0.0
        self._synced_boxes: set[str] = set()
        self._advanced_ms = clock.now_ms()
        self._open_requested_ms = -OPEN_RESEND_MS

    @property
    def table(self) -> ClaimTable:
        """This node's copy of the claims."""
        return self.group.machine

    @property
    def is_leader(self) -> bool:
        """Whether this node leads the group and the table is open."""
        return self.group.is_leader and self.table.is_open

    def handle(self, command: ClaimCommand) -> bool:
        """Queues a command for the next log entry.

        Returns:
            False if this node does not lead; the command is then dropped.
        """
        if not self.is_leader:
            return False
        self._batch.append(command)
        return True

    def flush(self) -> None:
        """Proposes the queued commands as one log entry."""
        if not self._batch:
            return
        batch = self._batch
        self._batch = []
        position = self.group.consensus.propose(encode_commands(batch))
        if position:
            self._pending[position] = batch

    def collect_results(self) -> None:
        """Adds the replies to committed commands to the outbox."""
        if self.group.consensus is None:
            return
        for index, term, replies in self.group.consensus.take_results():
            commands = self._pending.pop((index, term), None)
            if commands:
                self._reply_all(commands, replies)
        if not self.group.consensus.is_leader:
            self._pending.clear()

    def _reply_all(
        self, commands: list[ClaimCommand], replies: list[ClaimReply | None]
    ) -> None:
        for command, reply in zip(commands, replies, strict=True):
            if reply is not None and isinstance(command, COMMANDS_WITH_REPLY):
                self.outbox.append((command.owner, reply))

    # Opening.

    def on_open_reply(self, reply: OpenReply) -> None:
        """Proposes to open the table once the control log has recorded it."""
        consensus = self.group.consensus
        if self.table.is_open or consensus is None or not consensus.is_leader:
            return
        if reply.instance == consensus.group:
            consensus.propose(encode_commands([OpenTable(reply.count)]))

    def _request_open(self) -> None:
        """Sets the open request, at intervals, once all replicas vote."""
        now_ms = self._clock.now_ms()
        consensus = self.group.consensus
        if not (
            consensus
            and consensus.has_committed_in_term
            and self.group.has_all_voters
        ):
            return
        if now_ms - self._open_requested_ms >= OPEN_RESEND_MS:
            self._open_requested_ms = now_ms
            self.open_request = OpenRequest(
                self.hall, consensus.group, self._halls
            )

    # Periodic work.

    def tick(
        self,
        peers: PeerTable,
        hall_boxes: tuple[str, ...],
        retention_ms: float,
    ) -> None:
        """Runs the periodic work: opening, expiry and lost owners.

        Args:
            peers: the last heartbeat of each peer.
            hall_boxes: the boxes that use the hall's workers.
            retention_ms: how long outcomes are kept, in ms.
        """
        self.group.tick(peers)
        if not self.table.is_open:
            self._request_open()
        now_ms = self._clock.now_ms()
        if not self.is_leader:
            self._advanced_ms = now_ms
            return
        if now_ms - self._advanced_ms >= ADVANCE_INTERVAL_MS:
            self._batch.append(
                AdvanceTime(now_ms - self._advanced_ms, retention_ms)
            )
            self._advanced_ms = now_ms
            self._end_lost_claims(peers)
        if self.scheduler:
            self._tick_scheduler(peers, hall_boxes)

    def _end_lost_claims(self, peers: PeerTable) -> None:
        """Ends the open claims of owners that have restarted."""
        for owner in self.table.owners:
            if peers.is_superseded(owner):
                problem = Problem(
                    ErrorKind.OWNER_LOST, "It restarted.", Ran.MAYBE
                )
                outcome = render_problem(problem)
                self._batch.append(OwnerLost(owner, outcome))

    # Scheduling.

    def update_scheduler(
        self, cfg: Configuration, workers: list[WorkerInfo]
    ) -> bool:
        """Creates the scheduler when this node becomes leader, else drops it.

        Args:
            cfg: the active configuration.
            workers: the platform list of workers.

        Returns:
            Whether a scheduler was created by this call.
        """
        consensus = self.group.consensus
        if consensus is None or not consensus.is_leader:
            self.scheduler = None
            return False
        is_current = self.scheduler and self._scheduler_term == consensus.term
        if is_current or not self.is_leader:
            return False
        self._scheduler_term = consensus.term
        self.scheduler = Scheduler(
            self._clock, self.hall, consensus.term * GRANTS_PER_TERM, cfg
        )
        self.scheduler.set_workers(workers)
        self._sync_deadline_ms = self._clock.now_ms() + SLOT_SYNC_TIMEOUT_MS
        self._synced_boxes = set()
        return True

    def on_slot_sync(self, node: str, sync: SlotSync) -> None:
        """Handles a box's report of its slots and queued requests."""
        self._synced_boxes.add(box_of(node))
        self.scheduler.on_slot_sync(node, sync)

    def grant_slots(self) -> None:
        """Grants free slots to queued requests while this node leads.

        Nothing is granted while a new scheduler waits for the slots that boxes
        already hold.
        """
        if self.scheduler is None:
            return
        is_syncing = self._clock.now_ms() < self._sync_deadline_ms
        if self.is_leader and not is_syncing:
            self.scheduler.grant_slots()
        self.outbox.extend(self.scheduler.outbox)
        self.scheduler.outbox.clear()

    def _tick_scheduler(
        self, peers: PeerTable, hall_boxes: tuple[str, ...]
    ) -> None:
        live = {box for box in hall_boxes if peers.is_live(box)}
        if self._synced_boxes >= live:
            self._sync_deadline_ms = 0.0
        self.scheduler.tick()
        for node in sorted(self.scheduler.active_nodes()):
            box = box_of(node)
            is_lost = peers.is_superseded(node) or (
                box != box_of(self.group.node) and not peers.is_live(box)
            )
            if is_lost:
                self.scheduler.on_node_lost(node)
