"""One node's part in one replicated group: creation and membership.

The first of the configured boxes, by name, creates the group when all of them
report that they hold no state of it. The others join one at a time, and the
group opens only when all of them are voters. From then on, a box that restarts
with empty memory or disk joins as a new node: as a learner until it has caught
up, then as a voter in place of its earlier incarnation.

Each creation makes an *instance* of the group, with its own name. A node that
holds no state of an opened instance drops what it has when a message of
another instance arrives; a node that holds such state ignores the message.
"""

import random
from collections.abc import Callable

from clayfield.base import Clock
from clayfield.state.consensus import Consensus, Ready, Timing
from clayfield.state.log import RestoredState
from clayfield.state.machine import StateMachine
from clayfield.state.membership import PeerTable, box_of, supersedes
from clayfield.state.records import LogCreated, Record
from clayfield.wire.messages import GroupMessage, Members, Message

INSTANCE_SEPARATOR = "@"
BOOTSTRAP_SEPARATOR = "#"
MAX_LAG_TO_VOTE = 64
# Time for which all nodes must report a group as lost before they drop it.
LOSS_CONFIRMATION_MS = 1500.0


def base_name_of(group: str) -> str:
    """Returns the name of a group without its instance."""
    return group.partition(INSTANCE_SEPARATOR)[0]


class Group:
    """A node's part in a group.

    Attributes:
        base: name of the group, without its instance.
        node: name of this node.
        consensus: this node's replica of the log, None before it takes part.
        machine: state machine that the log drives.
    """

    def __init__(
        self,
        base: str,
        node: str,
        replicas: tuple[str, ...],
        make_machine: Callable[[], StateMachine],
        is_opened: Callable[["Group"], bool],
        clock: Clock,
        rng: random.Random,
        timing: Timing,
        election_timeout_factor: float = 1.0,
        stored: RestoredState | None = None,
        may_drop: bool = False,
    ):
        """Restores this node's part from its stored state, if there is any.

        Args:
            base: name of the group, without its instance.
            node: name of this node.
            replicas: names of the boxes that should vote.
            make_machine: returns an empty state machine.
            is_opened: returns whether the group's log contains the command
                that opens it.
            clock: source of the current time.
            rng: randomizes the election timeout.
            timing: timing parameters of the group.
            election_timeout_factor: see `Consensus`.
            stored: restored state, None for a group kept in memory only.
            may_drop: whether the group is dropped and created again when it
                has lost its quorum of voters for good.
        """
        self.base = base
        self.node = node
        self._replicas = replicas
        self._make_machine = make_machine
        self._is_opened = is_opened
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._election_timeout_factor = election_timeout_factor
        self.machine = make_machine()
        self.consensus: Consensus | None = None
        self._may_drop = may_drop
        self._bootstrap_count = 0
        self._is_quorum_lost = False
        self._lost_since_ms = 0.0
        self._new_log_records: list[Record] = []
        if stored and stored.instance:
            self._start(stored.instance, stored)

    def _start(
        self, instance: str, stored: RestoredState | None = None
    ) -> None:
        self.machine = self._make_machine()
        self.consensus = Consensus(
            instance,
            self.node,
            self.machine,
            self._clock,
            self._rng,
            self._timing,
            stored.hard_state if stored else None,
            stored.log if stored else None,
            self._election_timeout_factor,
        )

    def _start_new_log(self, instance: str) -> None:
        self._new_log_records.append(LogCreated(instance))
        self._start(instance)

    @property
    def is_empty(self) -> bool:
        """Whether this node holds no state of an opened instance."""
        return self.consensus is None or not self._is_opened(self)

    @property
    def is_discardable(self) -> bool:
        """Whether what this node holds can be dropped.

        It holds no state of an opened instance, or only that of one that has
        lost its quorum for good.
        """
        return self.is_empty or self._is_quorum_lost

    @property
    def is_leader(self) -> bool:
        """Whether this node leads under a valid lease."""
        return self.consensus is not None and self.consensus.has_lease

    @property
    def is_voter(self) -> bool:
        """Whether this node is a voter."""
        return self.consensus is not None and self.consensus.is_voter

    @property
    def has_all_voters(self) -> bool:
        """Whether every configured box is a voter."""
        if self.consensus is None:
            return False
        voters = {box_of(voter) for voter in self.consensus.members.voters}
        return voters >= set(self._replicas)

    @property
    def leader(self) -> str:
        """Name of the current leader, "" if unknown."""
        return self.consensus.leader if self.consensus else ""

    def on_message(self, message: GroupMessage) -> None:
        """Handles a consensus message.

        Messages for other nodes or groups are ignored.
        """
        group = message.body.group
        if message.to != self.node or base_name_of(group) != self.base:
            return
        current = self.consensus.group if self.consensus else ""
        if group != current:
            if not self.is_empty:
                return
            self._start_new_log(group)
        self.consensus.on_message(message.source, message.body)

    def tick(self, peers: PeerTable) -> None:
        """Runs the periodic work.

        Creates or drops the group where this is due, runs the periodic work
        of consensus, and on the leader moves the members towards the
        configured ones.
        """
        self._drop_if_lost(peers)
        if self.consensus is None:
            self._bootstrap_if_first(peers)
        if self.consensus is None:
            return
        self.consensus.tick()
        if self.consensus.has_committed_in_term:
            self._propose_next_members(peers)

    def _bootstrap_if_first(self, peers: PeerTable) -> None:
        """Creates the group if this box is the first and all are empty."""
        own_box = box_of(self.node)
        if not self._replicas or own_box != min(self._replicas):
            return
        for box in self._replicas:
            if box != own_box and not self._reports_empty(peers, box):
                return
        # A node may create its group again; the number makes the name unique.
        self._bootstrap_count += 1
        self._start_new_log(
            f"{self.make_join_name()}{BOOTSTRAP_SEPARATOR}{self._bootstrap_count}"
        )
        self.consensus.bootstrap(Members((self.node,)))

    def _drop_if_lost(self, peers: PeerTable) -> None:
        """Drops a group that has lost its quorum of voters for good.

        A voter is lost for good when a later incarnation of its box has been
        in contact. Once every configured box reports the group as lost, no
        node can become its leader any more, and it can be created again.
        """
        now_ms = self._clock.now_ms()
        self._is_quorum_lost = self._may_drop and self._is_quorum_superseded(
            peers
        )
        is_confirmed = self._is_quorum_lost and all(
            box == box_of(self.node) or self._reports_empty(peers, box)
            for box in self._replicas
        )
        if not is_confirmed:
            self._lost_since_ms = now_ms
        elif now_ms - self._lost_since_ms >= LOSS_CONFIRMATION_MS:
            self.consensus = None
            self.machine = self._make_machine()
            self._is_quorum_lost = False

    def _is_quorum_superseded(self, peers: PeerTable) -> bool:
        if self.consensus is None or not self.consensus.members.voters:
            return False
        voters = self.consensus.members.voters
        superseded = sum(peers.is_superseded(voter) for voter in voters)
        return (len(voters) - superseded) * 2 <= len(voters)

    def _reports_empty(self, peers: PeerTable, box: str) -> bool:
        """Returns whether a live box reports that it can drop the group."""
        peer = peers.get(box)
        if peer is None or peer.heartbeat is None or not peers.is_live(box):
            return False
        return self.base in peer.heartbeat.unformed_groups

    def _propose_next_members(self, peers: PeerTable) -> None:
        """Proposes the next step from the current to the configured members."""
        members = self.consensus.members
        for box in self._replicas:
            node = self._joining_node(box, peers)
            if not node or node in members.voters:
                continue
            next_members = self._next_members(node, members)
            if next_members and self.consensus.change_members(next_members):
                return
        self._remove_unconfigured_voter(members)

    def _remove_unconfigured_voter(self, members: Members) -> None:
        """Removes a voter whose box is no longer configured.

        Waits until all configured boxes are voters, and removes the leader
        last.
        """
        if not self.has_all_voters:
            return
        unconfigured = [
            voter
            for voter in members.voters
            if box_of(voter) not in self._replicas
        ]
        unconfigured.sort(key=lambda voter: voter == self.node)
        if unconfigured:
            voters = tuple(v for v in members.voters if v != unconfigured[0])
            self.consensus.change_members(Members(voters, members.learners))

    def _joining_node(self, box: str, peers: PeerTable) -> str:
        """Returns the node with which a live box takes part in the group.

        "" if the box is not live or does not take part.
        """
        if box == box_of(self.node):
            return self.node
        peer = peers.get(box)
        if peer is None or peer.heartbeat is None or not peers.is_live(box):
            return ""
        for joined in peer.heartbeat.group_members:
            group, _, node = joined.partition(INSTANCE_SEPARATOR)
            if group == self.base:
                return node
        return ""

    def _next_members(self, node: str, members: Members) -> Members | None:
        """Returns the members after the next step that makes a node a voter.

        The node becomes a learner; once it has caught up, an earlier
        incarnation of its box is removed, then the node becomes a voter. None
        while it has not caught up.
        """
        if node not in members.learners:
            return Members(members.voters, (*members.learners, node))
        lag = self.consensus.get_lag(node)
        if lag is None or lag > MAX_LAG_TO_VOTE:
            return None
        stale = [v for v in members.voters if supersedes(node, v)]
        if stale:
            voters = tuple(v for v in members.voters if v != stale[0])
            return Members(voters, members.learners)
        learners = tuple(
            n for n in members.learners if box_of(n) != box_of(node)
        )
        return Members((*members.voters, node), learners)

    def make_join_name(self) -> str:
        """Returns the entry for this node in `Heartbeat.group_members`."""
        return f"{self.base}{INSTANCE_SEPARATOR}{self.node}"

    def take_ready(self) -> Ready | None:
        """Returns what to store and send since the last call.

        None if there is nothing.
        """
        ready = self.consensus.take_ready() if self.consensus else None
        if not self._new_log_records:
            return ready
        new_log_records = self._new_log_records
        self._new_log_records = []
        if ready is None:
            return Ready(new_log_records, [], 0)
        ready.records = new_log_records + ready.records
        return ready

    def wrap_messages(
        self, messages: list[tuple[str, Message]]
    ) -> list[GroupMessage]:
        """Wraps messages with their sender and receiver."""
        return [GroupMessage(self.node, to, body) for to, body in messages]
