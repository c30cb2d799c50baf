"""One node's part in one replicated group, from its forming on.

The first of the configured boxes forms the group when all of them say that
they hold no state of it; the others join one at a time; only when all vote
does the group open. From then on a box that comes back with empty memory or
disk joins as a new node: it learns without a vote until it has caught up,
then takes the place of its earlier incarnation.

Each forming is an instance with its own name. A node that holds no opened
state drops what it has for another instance; one that does never will.
"""

import random
from collections.abc import Callable

from clayfield.base import Clock
from clayfield.state.consensus import Consensus, Ready, Timing
from clayfield.state.log import Replayed
from clayfield.state.machine import StateMachine
from clayfield.state.membership import PeerTable, box_of, supersedes
from clayfield.state.records import Born, Record
from clayfield.wire.messages import Grouped, Members, Message

INSTANCE_SEPARATOR = "@"
FORMING_SEPARATOR = "#"
MAX_LAG_TO_VOTE = 64
# How long all nodes must agree that their group is lost before they drop it.
LOST_MS = 1500.0


def base_of(group: str) -> str:
    """Returns the name of a group without its instance."""
    return group.partition(INSTANCE_SEPARATOR)[0]


class Group:
    """A node's part in a group.

    Attributes:
        base: the group's name, without an instance.
        node: this node.
        consensus: the node's log, None before it takes part.
        machine: the state it drives.
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
        patience: float = 1.0,
        stored: Replayed | None = None,
        may_drop: bool = False,
    ):
        """Starts from what is stored, if anything.

        Args:
            base: the group's name.
            node: this node's name.
            replicas: the boxes that are to vote.
            make_machine: makes an empty state.
            is_opened: tells whether the group's log holds its opening.
            clock: the time.
            rng: spreads election times.
            timing: the group's times.
            patience: see `Consensus`.
            stored: what the store holds, None for a group in memory.
            may_drop: start anew when a majority is provably gone for good.
        """
        self.base = base
        self.node = node
        self._replicas = replicas
        self._make_machine = make_machine
        self._is_opened = is_opened
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._patience = patience
        self.machine = make_machine()
        self.consensus: Consensus | None = None
        self._may_drop = may_drop
        self._formings = 0
        self._is_lost = False
        self._lost_since_ms = 0.0
        self._births: list[Record] = []
        if stored and stored.instance:
            self._start(stored.instance, stored)

    def _start(self, instance: str, stored: Replayed | None = None) -> None:
        self.machine = self._make_machine()
        self.consensus = Consensus(
            instance,
            self.node,
            self.machine,
            self._clock,
            self._rng,
            self._timing,
            stored.hard if stored else None,
            stored.log if stored else None,
            self._patience,
        )

    def _be_born(self, instance: str) -> None:
        self._births.append(Born(instance))
        self._start(instance)

    @property
    def is_fresh(self) -> bool:
        """Whether the node holds nothing that an opened group left."""
        return self.consensus is None or not self._is_opened(self)

    @property
    def holds_nothing_live(self) -> bool:
        """Whether what this node holds, if anything, can never count again."""
        return self.is_fresh or self._is_lost

    @property
    def is_leader(self) -> bool:
        """Whether this node leads under a valid lease."""
        return self.consensus is not None and self.consensus.has_lease

    @property
    def is_voter(self) -> bool:
        """Whether this node has a vote."""
        return self.consensus is not None and self.consensus.is_voter

    @property
    def is_whole(self) -> bool:
        """Whether every configured box has a vote."""
        if self.consensus is None:
            return False
        voters = {box_of(voter) for voter in self.consensus.members.voters}
        return voters >= set(self._replicas)

    @property
    def leader(self) -> str:
        """The node that this one follows, or ""."""
        return self.consensus.leader if self.consensus else ""

    def on_message(self, message: Grouped) -> None:
        """Takes a consensus message for this node."""
        group = message.body.group
        if message.to != self.node or base_of(group) != self.base:
            return
        current = self.consensus.group if self.consensus else ""
        if group != current:
            if not self.is_fresh:
                return
            self._be_born(group)
        self.consensus.on_message(message.source, message.body)

    def tick(self, peers: PeerTable) -> None:
        """Lets time act, and brings the members nearer to the wanted ones."""
        self._drop_if_lost(peers)
        if self.consensus is None:
            self._form_if_first(peers)
        if self.consensus is None:
            return
        self.consensus.tick()
        if self.consensus.is_settled:
            self._change_one(peers)

    def _form_if_first(self, peers: PeerTable) -> None:
        own_box = box_of(self.node)
        if not self._replicas or own_box != min(self._replicas):
            return
        for box in self._replicas:
            if box != own_box and not self._says_fresh(peers, box):
                return
        # A node may form its group again; the number keeps the names apart.
        self._formings += 1
        self._be_born(f"{self.join_name()}{FORMING_SEPARATOR}{self._formings}")
        self.consensus.form(Members((self.node,)))

    def _drop_if_lost(self, peers: PeerTable) -> None:
        """Drops a group of which a majority is gone for good.

        A voter is gone for good when a later incarnation of its box was
        heard. When every node that still lives sees it so, none of them can
        ever lead again, and the claims start anew; see docs/design/claims.md.
        """
        now_ms = self._clock.now_ms()
        self._is_lost = self._may_drop and self._sees_majority_gone(peers)
        is_agreed = self._is_lost and all(
            box == box_of(self.node) or self._says_fresh(peers, box)
            for box in self._replicas
        )
        if not is_agreed:
            self._lost_since_ms = now_ms
        elif now_ms - self._lost_since_ms >= LOST_MS:
            self.consensus = None
            self.machine = self._make_machine()
            self._is_lost = False

    def _sees_majority_gone(self, peers: PeerTable) -> bool:
        if self.consensus is None or not self.consensus.members.voters:
            return False
        voters = self.consensus.members.voters
        gone = sum(peers.is_superseded(voter) for voter in voters)
        return (len(voters) - gone) * 2 <= len(voters)

    def _says_fresh(self, peers: PeerTable, box: str) -> bool:
        peer = peers.get(box)
        if peer is None or peer.beat is None or not peers.is_live(box):
            return False
        return self.base in peer.beat.fresh

    def _change_one(self, peers: PeerTable) -> None:
        """Takes the next step from the present members to the wanted ones."""
        members = self.consensus.members
        for box in self._replicas:
            node = self._node_of(box, peers)
            if not node or node in members.voters:
                continue
            step = self._step_for(node, members)
            if step and self.consensus.change_members(step):
                return
        self._remove_one_unwanted(members)

    def _remove_one_unwanted(self, members: Members) -> None:
        """Takes the vote of a box that is configured no more.

        The configured boxes get theirs first; the leader goes last, when
        another can lead.
        """
        if not self.is_whole:
            return
        unwanted = [
            voter
            for voter in members.voters
            if box_of(voter) not in self._replicas
        ]
        unwanted.sort(key=lambda voter: voter == self.node)
        if unwanted:
            voters = tuple(v for v in members.voters if v != unwanted[0])
            self.consensus.change_members(Members(voters, members.learners))

    def _node_of(self, box: str, peers: PeerTable) -> str:
        """Returns the node by which a live box takes part, or ""."""
        if box == box_of(self.node):
            return self.node
        peer = peers.get(box)
        if peer is None or peer.beat is None or not peers.is_live(box):
            return ""
        for joined in peer.beat.joins:
            group, _, node = joined.partition(INSTANCE_SEPARATOR)
            if group == self.base:
                return node
        return ""

    def _step_for(self, node: str, members: Members) -> Members | None:
        if node not in members.learners:
            return Members(members.voters, (*members.learners, node))
        lag = self.consensus.lag_of(node)
        if lag is None or lag > MAX_LAG_TO_VOTE:
            return None
        stale = [v for v in members.voters if supersedes(node, v)]
        if stale:
            voters = tuple(v for v in members.voters if v != stale[0])
            return Members(voters, members.learners)
        learners = tuple(
            one for one in members.learners if box_of(one) != box_of(node)
        )
        return Members((*members.voters, node), learners)

    def join_name(self) -> str:
        """Returns how this node asks to take part."""
        return f"{self.base}{INSTANCE_SEPARATOR}{self.node}"

    def take_ready(self) -> Ready | None:
        """Returns what is to be stored and sent, None if nothing is."""
        ready = self.consensus.take_ready() if self.consensus else None
        if not self._births:
            return ready
        births = self._births
        self._births = []
        if ready is None:
            return Ready(births, [], 0)
        ready.records = births + ready.records
        return ready

    def address(self, messages: list[tuple[str, Message]]) -> list[Grouped]:
        """Returns messages with sender and receiver on them."""
        return [Grouped(self.node, to, body) for to, body in messages]
