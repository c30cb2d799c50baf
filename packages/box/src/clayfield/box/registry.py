"""A node's part in the claims of one hall, and its scheduler when it leads.

The leader of a hall's claims also schedules the hall's workers: a claim and
the request for slots then take the same way, and one lease covers both.
"""

from clayfield.base import Clock, Kind, Problem, Ran
from clayfield.config import Configuration
from clayfield.dispatch import Scheduler, WorkerInfo, render_problem
from clayfield.state.claims import (
    Advance,
    ClaimCommand,
    ClaimTable,
    Open,
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

ADVANCE_MS = 500.0
OPEN_RESEND_MS = 500.0
SYNC_WAIT_MS = 300.0
GRANTS_PER_TERM = 1 << 32
ANSWERED = (Claim, Lookup, Complete, Unclaim)


class Registry:
    """The claims of one hall at one node.

    Attributes:
        hall: whose claims.
        group: the node's part in the replicated group.
        scheduler: the hall's scheduler while this node leads, else None.
        outbox: (node, message) pairs to send; the caller empties it.
        opening: a request that control is to record, None for none.
    """

    def __init__(
        self, clock: Clock, hall: str, halls: tuple[str, ...], group: Group
    ):
        self.hall = hall
        self._halls = halls
        self.group = group
        self.scheduler: Scheduler | None = None
        self.outbox: list[tuple[str, Message]] = []
        self.opening: OpenRequest | None = None
        self._clock = clock
        self._batch: list[ClaimCommand] = []
        self._pending: dict[tuple[int, int], list[ClaimCommand]] = {}
        self._scheduler_term = 0
        self._silent_until_ms = 0.0
        self._synced: set[str] = set()
        self._advanced_ms = clock.now_ms()
        self._open_asked_ms = -OPEN_RESEND_MS

    @property
    def table(self) -> ClaimTable:
        """The claims as far as this node knows them."""
        return self.group.machine

    @property
    def leads(self) -> bool:
        """Whether this node takes claims now."""
        return self.group.is_leader and self.table.is_open

    def take(self, command: ClaimCommand) -> bool:
        """Takes a command; False when this node does not lead."""
        if not self.leads:
            return False
        self._batch.append(command)
        return True

    def flush(self) -> None:
        """Proposes the commands taken since the last time, as one entry."""
        if not self._batch:
            return
        batch = self._batch
        self._batch = []
        place = self.group.consensus.propose(encode_commands(batch))
        if place:
            self._pending[place] = batch

    def collect_results(self) -> None:
        """Turns the results of committed commands into replies."""
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
            if reply is not None and isinstance(command, ANSWERED):
                self.outbox.append((command.owner, reply))

    # Opening.

    def on_open_reply(self, reply: OpenReply) -> None:
        """Opens the table once control has recorded it."""
        consensus = self.group.consensus
        if self.table.is_open or consensus is None or not consensus.is_leader:
            return
        if reply.instance == consensus.group:
            consensus.propose(encode_commands([Open(reply.count)]))

    def _ask_to_open(self) -> None:
        now_ms = self._clock.now_ms()
        consensus = self.group.consensus
        if not (consensus and consensus.is_settled and self.group.is_whole):
            return
        if now_ms - self._open_asked_ms >= OPEN_RESEND_MS:
            self._open_asked_ms = now_ms
            self.opening = OpenRequest(self.hall, consensus.group, self._halls)

    # Time.

    def tick(
        self,
        peers: PeerTable,
        hall_boxes: tuple[str, ...],
        retention_ms: float,
    ) -> None:
        """Lets time act.

        Args:
            peers: the live peers.
            hall_boxes: the boxes that use the hall's workers.
            retention_ms: how long outcomes are kept.
        """
        self.group.tick(peers)
        if not self.table.is_open:
            self._ask_to_open()
        now_ms = self._clock.now_ms()
        if not self.leads:
            self._advanced_ms = now_ms
            return
        if now_ms - self._advanced_ms >= ADVANCE_MS:
            self._batch.append(
                Advance(now_ms - self._advanced_ms, retention_ms)
            )
            self._advanced_ms = now_ms
            self._end_lost_claims(peers)
        if self.scheduler:
            self._tick_scheduler(peers, hall_boxes)

    def _end_lost_claims(self, peers: PeerTable) -> None:
        for owner in self.table.owners:
            if peers.is_superseded(owner):
                problem = Problem(Kind.OWNER_LOST, "It restarted.", Ran.MAYBE)
                outcome = render_problem(problem)
                self._batch.append(OwnerLost(owner, outcome))

    # The scheduler.

    def keep_scheduler(
        self, cfg: Configuration, workers: list[WorkerInfo]
    ) -> bool:
        """Starts or drops the scheduler as this node leads or not.

        Returns:
            Whether one was started just now.
        """
        consensus = self.group.consensus
        if consensus is None or not consensus.is_leader:
            self.scheduler = None
            return False
        is_current = self.scheduler and self._scheduler_term == consensus.term
        if is_current or not self.leads:
            return False
        self._scheduler_term = consensus.term
        self.scheduler = Scheduler(
            self._clock, self.hall, consensus.term * GRANTS_PER_TERM, cfg
        )
        self.scheduler.set_workers(workers)
        self._silent_until_ms = self._clock.now_ms() + SYNC_WAIT_MS
        self._synced = set()
        return True

    def on_sync(self, node: str, sync: SlotSync) -> None:
        """Takes what a box holds."""
        self._synced.add(box_of(node))
        self.scheduler.on_sync(node, sync)

    def assign(self) -> None:
        """Grants what can be granted, while the lease holds."""
        if self.scheduler is None:
            return
        is_waiting = self._clock.now_ms() < self._silent_until_ms
        if self.leads and not is_waiting:
            self.scheduler.assign()
        self.outbox.extend(self.scheduler.outbox)
        self.scheduler.outbox.clear()

    def _tick_scheduler(
        self, peers: PeerTable, hall_boxes: tuple[str, ...]
    ) -> None:
        live = {box for box in hall_boxes if peers.is_live(box)}
        if self._synced >= live:
            self._silent_until_ms = 0.0
        self.scheduler.tick()
        for node in sorted(self.scheduler.nodes()):
            box = box_of(node)
            is_gone = peers.is_superseded(node) or (
                box != box_of(self.group.node) and not peers.is_live(box)
            )
            if is_gone:
                self.scheduler.on_node_lost(node)
